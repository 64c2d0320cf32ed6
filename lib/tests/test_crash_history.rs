//! When a task counts as the cause of target crashes.

use trestleknot_lib::crash_history::CrashHistory;

/// History after crashes that the task shared with other runs (false) or had alone (true).
fn history(crashes: &[bool]) -> CrashHistory {
    let mut history = CrashHistory::default();
    for alone in crashes {
        history.record(*alone);
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
