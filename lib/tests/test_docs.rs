//! Checks that the generated pages match the code. `UPDATE_DOCS=1` regenerates them.

use std::fmt::Write as _;
use std::fs;
use std::path::PathBuf;

use testutils::faults::{FAULTS, STEPS};
use testutils::matrix::{FaultAtStep, run_cell};
use trestleknot_lib::events::CATALOGUE;
use trestleknot_lib::placement::PlacementMode;

fn page(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(name)
}

fn check_or_write(name: &str, text: &str) {
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(page(name), text).expect("docs can be written");
    }
    let current = fs::read_to_string(page(name)).unwrap_or_default();
    assert!(
        current == text,
        "docs/{name} is outdated; run with UPDATE_DOCS=1"
    );
}

#[test]
fn test_events_page_is_current() {
    let mut text = "# Log events\n\nMade from `lib/src/events.rs` by `UPDATE_DOCS=1 cargo test`. \
                    Every line in the log carries `event=NUMBER`.\n\n\
                    | number | level | name | meaning |\n|---|---|---|---|\n"
        .to_owned();
    for info in CATALOGUE {
        let level = info.level.to_string().to_lowercase();
        writeln!(
            text,
            "| {} | {level} | {:?} | {} |",
            info.number, info.code, info.text
        )
        .expect("writing to a string succeeds");
    }
    check_or_write("EVENTS.md", &text);
}

#[test]
fn test_events_numbers_differ_and_rise() {
    let numbers: Vec<u16> = CATALOGUE.iter().map(|info| info.number).collect();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
}

#[test]
fn test_faults_page_is_current() {
    let mut text =
        "# Fault matrix\n\nMade by `UPDATE_DOCS=1 cargo test`: every fault at every step, \
                    the real cores on a virtual clock, seed 0, placement `slot_grants`. `+`: the \
                    fault struck and every promise held; `-`: a promise was broken; `o`: the step \
                    was not reached.\n\n| fault |"
            .to_owned();
    for step in STEPS {
        write!(text, " {step:?} |").expect("writing to a string succeeds");
    }
    text.push_str("\n|---|");
    text.push_str(&"---|".repeat(STEPS.len()));
    text.push('\n');
    for fault in FAULTS {
        write!(text, "| {fault:?} |").expect("writing to a string succeeds");
        for step in STEPS {
            let cell = run_cell(&[FaultAtStep { step, fault }], 0, PlacementMode::SlotGrants);
            let mark = match (cell.struck, cell.violations.is_empty()) {
                (false, _) => 'o',
                (true, true) => '+',
                (true, false) => '-',
            };
            write!(text, " {mark} |").expect("writing to a string succeeds");
        }
        text.push('\n');
    }
    check_or_write("FAULTS.md", &text);
}
