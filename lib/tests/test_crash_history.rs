//! When a task counts as the cause of target crashes.

use std::time::Duration;

use trestleknot_lib::crash_history::CrashHistory;
use trestleknot_lib::ids::Now;

/// History after crashes that the task shared with other runs (false) or had alone (true).
fn history(crashes: &[bool]) -> CrashHistory {
    let mut history = CrashHistory::default();
    for alone in crashes {
        history.record(*alone, Now::ZERO);
        history.settle(Now::ZERO, false);
    }
    history
}

#[test]
fn test_record_crashes_give_up_by_number_and_isolation() {
    assert!(!history(&[]).is_given_up());
    assert!(!history(&[true]).is_given_up());
    assert!(!history(&[true, false]).is_given_up());
    assert!(history(&[false, true]).is_given_up());
    assert!(history(&[true, true]).is_given_up());
    assert!(history(&[false, false, false]).is_given_up());
}

#[test]
fn test_record_two_shared_crashes_isolate_the_task_but_do_not_condemn_it() {
    // Guards against an innocent task that is answered as failed for running twice beside the cause.
    let shared = history(&[false, false]);
    assert!(shared.must_run_alone());
    assert!(!shared.is_given_up());
}

#[test]
fn test_settle_before_the_verdict_decides_nothing() {
    let mut history = history(&[false]);
    let verdict_at = Duration::from_millis(1_200);
    history.record(true, verdict_at);
    history.settle(Duration::from_millis(1_199), false);
    assert_eq!(history.verdict_at(), Some(verdict_at));
    assert!(!history.is_given_up());
    history.settle(verdict_at, false);
    assert_eq!(history.verdict_at(), None);
    assert!(history.is_given_up());
}

#[test]
fn test_settle_disputed_evidence_needs_a_third_crash() {
    let mut history = history(&[false]);
    history.record(true, Now::ZERO);
    history.settle(Now::ZERO, true);
    assert!(!history.is_given_up());
    assert!(history.must_run_alone());
    history.record(false, Now::ZERO);
    assert!(history.is_given_up());
}
