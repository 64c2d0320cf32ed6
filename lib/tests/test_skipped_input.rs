//! Log lines about skipped input: bounded in length and in rate, none for what is read again.

use std::time::Duration;

use trestleknot_lib::skipped_input::{SkippedInput, excerpt};

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// Guards against a line as long as another writer's record, and against forged lines.
#[test]
fn test_excerpt_is_short_and_on_one_line() {
    assert_eq!(excerpt("a plain cause"), "a plain cause");
    assert_eq!(excerpt("a\nt=5 level=error b"), "a t=5 level=error b");
    for long in ["x".repeat(1_000_000), "ü".repeat(1_000_000)] {
        let text = excerpt(&long);
        assert!(text.len() < 200 && text.ends_with("..."), "{}", text.len());
    }
}

// Guards against a line for each of many records.
#[test]
fn test_take_line_many_records_give_one_line() {
    let mut skipped = SkippedInput::default();
    assert_eq!(skipped.take_line(seconds(1)), None);
    for i in 0..100_000 {
        skipped.note(&format!("cause {i} {}", "x".repeat(1_000)));
    }
    let line = skipped.take_line(seconds(1)).expect("a line");
    assert!(
        line.contains("count=100000") && line.contains("cause 0"),
        "{line}"
    );
    assert!(line.len() < 250, "{line}");
    skipped.note("another");
    assert_eq!(skipped.take_line(seconds(1)), None, "too soon");
    let line = skipped.take_line(seconds(10)).expect("a line");
    assert_eq!(line, "count=1 cause=\"another\"");
}

// Guards against a line at each read of the same record.
#[test]
fn test_note_new_same_record_gives_no_other_line() {
    let mut skipped = SkippedInput::default();
    for second in (1..100).step_by(10) {
        skipped.note_new("value of `a`: bad");
        skipped.note_new("value of `b`: bad");
        let line = skipped.take_line(seconds(second));
        assert_eq!(line.is_some(), second == 1, "{line:?}");
    }
    skipped.note_new("value of `c`: bad");
    let line = skipped.take_line(seconds(200)).expect("a line");
    assert!(line.contains("count=1") && line.contains("`c`"), "{line}");
}
