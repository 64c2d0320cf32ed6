//! Notices that runs of a batch may be left elsewhere.

use std::time::Duration;

use trestleknot_lib::ids::Now;
use trestleknot_lib::run::BatchId;
use trestleknot_lib::run_message::{ClosingBatch, NoticeNumber, RunsNotice};
use trestleknot_lib::runs_notices::{NoteOutcome, RunsNotices};

const BATCH: BatchId = 5;
const BOUND: Duration = Duration::from_secs(12);
const SELF: u64 = 1;
const OWNER: u64 = 2;
const AGENT: u64 = 3;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// A notice of the owner itself.
fn own(number: NoticeNumber) -> RunsNotice {
    RunsNotice {
        batch: BATCH,
        holder: OWNER,
        owner: OWNER,
        number,
    }
}

fn by_agent(number: NoticeNumber) -> RunsNotice {
    RunsNotice {
        holder: AGENT,
        ..own(number)
    }
}

#[test]
fn test_note_left_copy_is_known_and_later_number_is_new() {
    let mut notices = RunsNotices::default();
    assert_eq!(notices.note_left(ms(1), own(1), BOUND), NoteOutcome::New);
    assert_eq!(notices.note_left(ms(2), own(1), BOUND), NoteOutcome::Known);
    assert!(notices.note_over(ms(3), own(1), BOUND));
    assert_eq!(notices.note_left(ms(4), own(1), BOUND), NoteOutcome::Known);
    assert_eq!(notices.blocked_until(ms(4), BATCH, SELF), None);
    assert_eq!(notices.note_left(ms(5), own(2), BOUND), NoteOutcome::New);
    let until = notices.blocked_until(ms(5), BATCH, SELF);
    assert_eq!(until, Some(ms(5) + BOUND));
}

#[test]
fn test_note_over_of_an_earlier_number_ends_nothing() {
    // The end of the first closing overtakes the second notice on another path.
    let mut notices = RunsNotices::default();
    notices.note_left(ms(1), own(1), BOUND);
    notices.note_left(ms(2), own(2), BOUND);
    assert!(!notices.note_over(ms(3), own(1), BOUND));
    assert!(notices.blocked_until(ms(3), BATCH, SELF).is_some());
}

#[test]
fn test_note_over_of_a_later_number_ends_the_earlier_one() {
    let mut notices = RunsNotices::default();
    notices.note_left(ms(1), own(1), BOUND);
    assert!(notices.note_over(ms(2), own(2), BOUND));
    assert_eq!(notices.blocked_until(ms(2), BATCH, SELF), None);
    assert_eq!(notices.note_left(ms(3), own(2), BOUND), NoteOutcome::Known);
}

#[test]
fn test_blocked_until_every_process_has_reported_the_end() {
    let mut notices = RunsNotices::default();
    notices.note_left(ms(1), own(4), BOUND);
    notices.note_left(ms(2), by_agent(1), BOUND);
    assert!(notices.note_over(ms(3), own(4), BOUND));
    assert!(notices.blocked_until(ms(3), BATCH, SELF).is_some());
    assert!(notices.note_over(ms(4), by_agent(1), BOUND));
    assert_eq!(notices.blocked_until(ms(4), BATCH, SELF), None);
}

#[test]
fn test_blocked_until_owner_is_not_blocked_by_its_own_runs() {
    let mut notices = RunsNotices::default();
    notices.note_left(ms(1), by_agent(1), BOUND);
    assert_eq!(notices.blocked_until(ms(2), BATCH, OWNER), None);
    assert!(notices.blocked_until(ms(2), BATCH, SELF).is_some());
}

#[test]
fn test_blocked_until_ends_with_the_bound() {
    let mut notices = RunsNotices::default();
    notices.note_left(ms(1), own(1), BOUND);
    assert_eq!(notices.blocked_until(ms(1) + BOUND, BATCH, SELF), None);
}

#[test]
fn test_note_left_unnumbered_notice_is_new_again_after_the_bound() {
    let notice = RunsNotice::from(ClosingBatch {
        batch: BATCH,
        entry: OWNER,
    });
    let mut notices = RunsNotices::default();
    assert_eq!(notices.note_left(ms(1), notice, BOUND), NoteOutcome::New);
    assert_eq!(notices.note_left(ms(2), notice, BOUND), NoteOutcome::Known);
    let later = ms(1) + BOUND;
    assert_eq!(notices.note_left(later, notice, BOUND), NoteOutcome::New);
}

#[test]
fn test_note_left_without_room_is_dropped_only_while_all_are_open() {
    let mut notices = RunsNotices::default();
    let of_batch = |batch| RunsNotice { batch, ..own(1) };
    for batch in 0..20_000 {
        let outcome = notices.note_left(ms(1), of_batch(batch), BOUND);
        assert_eq!(outcome, NoteOutcome::New);
    }
    let more = of_batch(30_000);
    assert_eq!(notices.note_left(ms(2), more, BOUND), NoteOutcome::Dropped);
    notices.note_over(ms(3), of_batch(7), BOUND);
    assert_eq!(notices.note_left(ms(4), more, BOUND), NoteOutcome::New);
}
