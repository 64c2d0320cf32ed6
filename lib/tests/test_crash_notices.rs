//! Notices of target crashes: each counts once, expires and takes bounded memory.

use std::time::Duration;

use trestleknot_lib::crash_notices::{CrashNews, CrashNotices, KnownCrash};
use trestleknot_lib::ids::{Incarnation, Now};
use trestleknot_lib::run::{BatchId, RunKey, RunNumber, TaskKey};
use trestleknot_lib::run_message::CrashNotice;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn task(batch: BatchId) -> TaskKey {
    TaskKey {
        batch,
        time: 0,
        step: 0,
        index: 0,
    }
}

fn notice(batch: BatchId, run: RunNumber, owner: Incarnation) -> CrashNotice {
    let task = task(batch);
    CrashNotice {
        key: RunKey { task, run },
        owner,
        alone: false,
        age_ms: 0,
    }
}

#[test]
fn test_note_crash_counts_once_from_all_senders() {
    let mut notices = CrashNotices::default();
    assert_eq!(notices.note(ms(10), notice(5, 1, 7), None), CrashNews::New);
    let forwarded = CrashNotice {
        age_ms: 12,
        ..notice(5, 1, 7)
    };
    assert_eq!(notices.note(ms(25), forwarded, None), CrashNews::Known);
    // The same run number of another entry is another run.
    assert_eq!(notices.note(ms(26), notice(5, 1, 8), None), CrashNews::New);
    assert_eq!(notices.note(ms(27), notice(5, 2, 7), None), CrashNews::New);
    assert_eq!(notices.of_batch(ms(30), 5).len(), 3);
}

#[test]
fn test_of_batch_returns_only_its_crashes_the_oldest_first() {
    let mut notices = CrashNotices::default();
    notices.note(ms(10_000), notice(5, 3, 7), None);
    let older = CrashNotice {
        alone: true,
        age_ms: 2_000,
        ..notice(5, 9, 8)
    };
    notices.note(ms(10_001), older, None);
    notices.note(ms(10_002), notice(4, 1, 7), None);
    notices.note(ms(10_002), notice(6, 1, 7), None);
    let known = |run, alone| KnownCrash {
        task: task(5),
        run,
        alone,
    };
    let expected = [known(9, true), known(3, false)];
    assert_eq!(notices.of_batch(ms(10_003), 5), expected);
}

#[test]
fn test_note_expired_notice_is_not_new_again_elsewhere() {
    // Guards against notices that circulate for ever between entries that forget them in turn.
    let mut first = CrashNotices::default();
    let mut second = CrashNotices::default();
    first.note(ms(0), notice(5, 1, 7), None);
    let passed_on: Vec<CrashNotice> = first.all(ms(29_999)).collect();
    assert_eq!(passed_on[0].age_ms, 29_999);
    assert_eq!(second.note(ms(29_999), passed_on[0], None), CrashNews::New);
    assert_eq!(first.of_batch(ms(30_000), 5), []);
    assert_eq!(second.of_batch(ms(30_000), 5), []);
    assert_eq!(second.all(ms(30_000)).count(), 0);
    let too_old = CrashNotice {
        age_ms: 30_000,
        ..notice(6, 1, 7)
    };
    assert_eq!(second.note(ms(30_000), too_old, None), CrashNews::Known);
}

#[test]
fn test_note_more_crashes_than_fit_keeps_a_bounded_number() {
    let mut notices = CrashNotices::default();
    let mut kept = 0;
    for batch in 0..5_000 {
        kept += usize::from(notices.note(ms(0), notice(batch, 1, 7), None) == CrashNews::New);
    }
    assert_eq!(kept, 2_000);
    assert_eq!(notices.all(ms(1)).count(), 2_000);
    assert_eq!(
        notices.note(ms(1), notice(9_999, 1, 7), None),
        CrashNews::Full
    );
    // A notice without room is not passed on, and expired ones make room.
    assert_eq!(
        notices.note(ms(30_001), notice(9_999, 1, 7), None),
        CrashNews::New
    );
    assert_eq!(notices.all(ms(30_001)).count(), 1);
}

/// The lease of a crashed target has lapsed after this time.
const LAPSE: Duration = ms(1_140);

/// Notices of one crash that tasks of these batches shared, from the target's agent.
fn shared_crash(at: Now, batches: &[BatchId]) -> CrashNotices {
    let agent = "agent-1".into();
    let mut notices = CrashNotices::default();
    for batch in batches {
        notices.note(at, notice(*batch, 1, 7), Some(&agent));
    }
    notices
}

#[test]
fn test_verdict_at_waits_for_the_other_suspects() {
    let notices = shared_crash(ms(100), &[5, 6]);
    assert_eq!(notices.verdict_at(ms(300), task(5), LAPSE), ms(1_340));
    assert_eq!(notices.verdict_at(ms(1_500), task(5), LAPSE), ms(1_500));
}

#[test]
fn test_verdict_at_without_other_suspects_is_now() {
    let mut notices = shared_crash(ms(100), &[5]);
    // Another crash at the same agent, and one that another entry told of.
    let agent = "agent-1".into();
    notices.note(ms(101), notice(6, 1, 7), Some(&agent));
    notices.note(ms(100), notice(8, 1, 7), None);
    assert_eq!(notices.verdict_at(ms(300), task(5), LAPSE), ms(300));
}

#[test]
fn test_verdict_at_suspect_that_another_entry_told_of_first() {
    // The agent's own notice shows to which crash it belongs.
    let mut notices = CrashNotices::default();
    notices.note(ms(99), notice(6, 1, 7), None);
    let agent = "agent-1".into();
    for batch in [5, 6] {
        notices.note(ms(100), notice(batch, 1, 7), Some(&agent));
    }
    assert_eq!(notices.verdict_at(ms(300), task(5), LAPSE), ms(1_340));
}

#[test]
fn test_is_disputed_after_another_crash_of_another_suspect() {
    let mut notices = shared_crash(ms(100), &[5, 6]);
    let alone = |batch| CrashNotice {
        alone: true,
        ..notice(batch, 2, 7)
    };
    notices.note(ms(300), alone(5), None);
    assert!(!notices.is_disputed(task(5)));
    notices.note(ms(900), alone(6), None);
    assert!(notices.is_disputed(task(5)));
}
