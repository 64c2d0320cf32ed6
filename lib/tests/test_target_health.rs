//! Health reports that an agent derives from its target's runs.

use std::time::Duration;

use trestleknot_lib::ids::Now;
use trestleknot_lib::target_health::{SlowRun, TargetHealth};

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

#[test]
fn test_report_two_failures_eject_and_three_successes_readmit() {
    let mut health = TargetHealth::default();
    health.run_failed();
    assert!(
        !health.report().fails_too_often(),
        "one failure may be the task's"
    );
    health.run_failed();
    assert!(health.report().fails_too_often());
    for _ in 0..3 {
        health.run_done(1.0);
    }
    assert!(!health.report().fails_too_often());
}

#[test]
fn test_report_one_batch_with_a_wrong_estimate_is_ignored() {
    let mut health = TargetHealth::default();
    let slow = SlowRun {
        slowdown: 12.0,
        percent: 8,
    };
    for step in 0..10 {
        health.run_slow(ms(10 * step), 1, slow);
    }
    assert_eq!(health.report().pace_percent, 100);
    // Another batch's run is slow there as well.
    health.run_slow(ms(200), 2, slow);
    assert!(health.report().slowdown() > 2.0);
}

#[test]
fn test_report_stalled_run_counts_at_once() {
    let mut health = TargetHealth::default();
    let stalled = SlowRun {
        slowdown: 30.0,
        percent: 1,
    };
    health.run_slow(ms(10), 1, stalled);
    assert!(health.report().slowdown() > 2.6);
    // Successful probes lower it again.
    for _ in 0..3 {
        health.run_done(1.0);
    }
    assert!(health.report().slowdown() < 2.6);
}
