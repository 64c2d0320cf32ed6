//! Remembered cancels: each counts once, expires and takes bounded memory.

use std::time::Duration;

use trestleknot_lib::ids::Now;
use trestleknot_lib::remembered_cancels::{MAX_CANCELS, RememberedCancels};
use trestleknot_lib::run::BatchId;
use trestleknot_lib::run_message::CancelNotice;

const RETENTION: Duration = ms(10_000);

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn notice(batch: BatchId, age_ms: u32) -> CancelNotice {
    CancelNotice { batch, age_ms }
}

// Guards against a cancel that is passed on for ever.
#[test]
fn test_note_cancel_is_new_once() {
    let mut cancels = RememberedCancels::new(RETENTION);
    assert!(cancels.note(ms(10), notice(5, 0)));
    assert!(!cancels.note(ms(25), notice(5, 12)));
    assert!(!cancels.note(ms(30), notice(5, 0)));
    assert!(cancels.note(ms(30), notice(6, 0)));
}

// Guards against a cancel that is forgotten early or never, or that a late notice brings back.
#[test]
fn test_contains_cancel_until_its_retention_is_over() {
    let mut cancels = RememberedCancels::new(RETENTION);
    cancels.note(ms(1_000), notice(5, 400));
    assert!(cancels.contains(ms(10_599), 5));
    assert!(!cancels.contains(ms(10_600), 5));
    assert!(!cancels.note(ms(10_600), notice(5, 10_000)));
    assert!(!cancels.contains(ms(10_600), 5));
    assert!(cancels.note(ms(10_601), notice(5, 9_900)));
}

// Guards against a repeated cancel that is forgotten with the first one.
#[test]
fn test_note_cancel_repeated_late_is_kept_longer() {
    let mut cancels = RememberedCancels::new(RETENTION);
    cancels.note(ms(1_000), notice(5, 0));
    assert!(!cancels.note(ms(6_000), notice(5, 0)));
    assert!(cancels.note(ms(6_001), notice(5, 0)));
    assert!(cancels.contains(ms(16_000), 5));
    assert!(!cancels.contains(ms(16_001), 5));
}

// Guards against notices to a new neighbour that outlive those of the others.
#[test]
fn test_all_states_the_present_age() {
    let mut cancels = RememberedCancels::new(RETENTION);
    cancels.note(ms(1_000), notice(5, 400));
    cancels.note(ms(2_000), notice(6, 0));
    let all: Vec<CancelNotice> = cancels.all(ms(3_000)).collect();
    assert_eq!(all, [notice(5, 2_400), notice(6, 1_000)]);
    assert_eq!(cancels.all(ms(10_600)).count(), 1);
}

// Guards against memory that grows with the number of cancels, and against notices that circulate once
// there is no room: the oldest cancel makes room, and is not taken again.
#[test]
fn test_note_more_cancels_than_there_is_room_for_drops_the_oldest() {
    let mut cancels = RememberedCancels::new(RETENTION);
    for batch in 0..MAX_CANCELS as BatchId {
        assert!(cancels.note(ms(batch / 10), notice(batch, 0)));
    }
    let now = ms(MAX_CANCELS as u64 / 10);
    assert!(cancels.note(now, notice(1_000_000, 0)));
    assert_eq!(cancels.all(now).count(), MAX_CANCELS);
    assert!(!cancels.contains(now, 0));
    assert!(cancels.contains(now, 1));
    assert!(!cancels.note(now, notice(0, now.as_millis() as u32)));
    assert!(!cancels.contains(now, 0));
    assert!(cancels.contains(now, 1));
}
