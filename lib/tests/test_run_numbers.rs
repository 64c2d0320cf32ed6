//! Run numbers of batches that come again.

use std::time::Duration;

use trestleknot_lib::run_numbers::RunNumbers;

const SECOND: Duration = Duration::from_secs(1);

// Guards against two runs of one task with the same number at one entry.
#[test]
fn test_first_of_batch_that_comes_again_continues() {
    let mut numbers = RunNumbers::default();
    assert_eq!(numbers.first_of(5), 1);
    numbers.note_ended(SECOND, 5, 4);
    assert_eq!(numbers.first_of(5), 4);
    // It comes again and is refused before any of its tasks runs.
    numbers.note_ended(SECOND * 2, 5, 4);
    numbers.note_ended(SECOND * 61, 6, 2);
    assert_eq!(numbers.first_of(5), 4, "its time counts from the last end");
    assert_eq!(numbers.first_of(7), 1);
}

#[test]
fn test_first_of_batch_without_runs_is_1() {
    let mut numbers = RunNumbers::default();
    numbers.note_ended(SECOND, 5, 1);
    assert_eq!(numbers.first_of(5), 1);
}

// Guards against unbounded memory.
#[test]
fn test_first_of_expired_batch_is_1() {
    let mut numbers = RunNumbers::default();
    numbers.note_ended(SECOND, 5, 4);
    numbers.note_ended(SECOND * 62, 6, 2);
    assert_eq!(numbers.first_of(5), 1);
}

// Guards against numbers that come again because there was no room for a batch.
#[test]
fn test_first_of_batch_dropped_for_lack_of_room_continues() {
    let mut numbers = RunNumbers::default();
    numbers.note_ended(SECOND, 5, 4);
    for id in 100..20_200 {
        numbers.note_ended(SECOND * 2, id, 2);
    }
    assert_eq!(numbers.first_of(5), 4);
    assert_eq!(numbers.first_of(99), 4, "unknown batches begin above it");
}
