//! Detection of retrying callers and of queues with a backlog.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::backlog_monitor::BacklogMonitor;
use trestleknot_lib::ids::Now;
use trestleknot_lib::queue::Queue;
use trestleknot_lib::retry_detector::RetryDetector;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

const CALLER_RETURN: Duration = ms(1_300);

#[test]
fn test_is_retry_far_under_the_median() {
    let mut detector = RetryDetector::default();
    let queue: Arc<str> = "queue".into();
    for patience in [2_000, 2_400, 2_800, 2_100, 2_300, 5_000] {
        assert!(!detector.is_retry(&queue, ms(patience), CALLER_RETURN));
    }
    assert!(!detector.is_retry(&queue, ms(1_800), CALLER_RETURN));
    assert!(detector.is_retry(&queue, ms(864), CALLER_RETURN));
    // Each queue has its own median.
    assert!(!detector.is_retry(&"other".into(), ms(864), CALLER_RETURN));
}

#[test]
fn test_is_retry_learns_a_shorter_patience() {
    let mut detector = RetryDetector::default();
    let queue: Arc<str> = "queue".into();
    for _ in 0..31 {
        detector.is_retry(&queue, ms(3_000), CALLER_RETURN);
    }
    let retries = (0..31).filter(|_| detector.is_retry(&queue, ms(500), CALLER_RETURN));
    let retries = retries.count();
    assert!((14..=17).contains(&retries), "{retries}");
}

#[test]
fn test_forget_unconfigured_keeps_what_is_configured() {
    let mut detector = RetryDetector::default();
    let kept: Arc<str> = "kept".into();
    for _ in 0..6 {
        detector.is_retry(&kept, ms(2_000), CALLER_RETURN);
        detector.is_retry(&"old".into(), ms(2_000), CALLER_RETURN);
        detector.is_retry(&"older".into(), ms(2_000), CALLER_RETURN);
    }
    let configured = [Arc::new(Queue {
        name: kept.clone(),
        host: "host".into(),
        path_prefix: "/".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: ms(60),
        needs_advice: false,
    })];
    detector.forget_unconfigured(&configured);
    assert!(detector.is_retry(&kept, ms(500), CALLER_RETURN));
    assert!(!detector.is_retry(&"old".into(), ms(500), CALLER_RETURN));
}

#[test]
fn test_max_wait_shrinks_only_with_a_lasting_backlog() {
    let mut monitor = BacklogMonitor::default();
    let slack = ms(100);
    monitor.note(ms(1_000), true);
    assert_eq!(monitor.max_wait(ms(1_200), slack), slack);
    assert_eq!(monitor.max_wait(ms(1_400), slack), slack / 2);
    monitor.note(ms(1_401), false);
    monitor.note(ms(1_402), true);
    assert_eq!(monitor.max_wait(ms(1_500), slack), slack);
}
