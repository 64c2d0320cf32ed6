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
    assert_eq!(notices.note(ms(10), notice(5, 1, 7)), CrashNews::New);
    let forwarded = CrashNotice {
        age_ms: 12,
        ..notice(5, 1, 7)
    };
    assert_eq!(notices.note(ms(25), forwarded), CrashNews::Known);
    // The same run number of another entry is another run.
    assert_eq!(notices.note(ms(26), notice(5, 1, 8)), CrashNews::New);
    assert_eq!(notices.note(ms(27), notice(5, 2, 7)), CrashNews::New);
    assert_eq!(notices.of_batch(ms(30), 5).len(), 3);
}

#[test]
fn test_of_batch_returns_only_its_crashes_the_oldest_first() {
    let mut notices = CrashNotices::default();
    notices.note(ms(10_000), notice(5, 3, 7));
    let older = CrashNotice {
        alone: true,
        age_ms: 2_000,
        ..notice(5, 9, 8)
    };
    notices.note(ms(10_001), older);
    notices.note(ms(10_002), notice(4, 1, 7));
    notices.note(ms(10_002), notice(6, 1, 7));
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
    first.note(ms(0), notice(5, 1, 7));
    let passed_on: Vec<CrashNotice> = first.all(ms(29_999)).collect();
    assert_eq!(passed_on[0].age_ms, 29_999);
    assert_eq!(second.note(ms(29_999), passed_on[0]), CrashNews::New);
    assert_eq!(first.of_batch(ms(30_000), 5), []);
    assert_eq!(second.of_batch(ms(30_000), 5), []);
    assert_eq!(second.all(ms(30_000)).count(), 0);
    let too_old = CrashNotice {
        age_ms: 30_000,
        ..notice(6, 1, 7)
    };
    assert_eq!(second.note(ms(30_000), too_old), CrashNews::Known);
}

#[test]
fn test_note_more_crashes_than_fit_keeps_a_bounded_number() {
    let mut notices = CrashNotices::default();
    let mut kept = 0;
    for batch in 0..5_000 {
        kept += usize::from(notices.note(ms(0), notice(batch, 1, 7)) == CrashNews::New);
    }
    assert_eq!(kept, 2_000);
    assert_eq!(notices.all(ms(1)).count(), 2_000);
    assert_eq!(notices.note(ms(1), notice(9_999, 1, 7)), CrashNews::Full);
    // A notice without room is not passed on, and expired ones make room.
    assert_eq!(
        notices.note(ms(30_001), notice(9_999, 1, 7)),
        CrashNews::New
    );
    assert_eq!(notices.all(ms(30_001)).count(), 1);
}
