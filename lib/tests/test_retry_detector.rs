//! Callers that return, and queues that stand.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::backlog_monitor::BacklogMonitor;
use trestleknot_lib::ids::Now;
use trestleknot_lib::queue::Queue;
use trestleknot_lib::retry_detector::RetryDetector;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

const RETURN: Duration = ms(1_300);

#[test]
fn test_is_retry_far_under_the_median() {
    let mut usual = RetryDetector::default();
    let queue: Arc<str> = "queue".into();
    for patience in [2_000, 2_400, 2_800, 2_100, 2_300, 5_000] {
        assert!(!usual.is_retry(&queue, ms(patience), RETURN));
    }
    assert!(!usual.is_retry(&queue, ms(1_800), RETURN));
    assert!(usual.is_retry(&queue, ms(864), RETURN));
    // Another queue's callers have another measure.
    assert!(!usual.is_retry(&"other".into(), ms(864), RETURN));
}

#[test]
fn test_is_retry_learns_a_shorter_patience() {
    let mut usual = RetryDetector::default();
    let queue: Arc<str> = "queue".into();
    for _ in 0..31 {
        usual.is_retry(&queue, ms(3_000), RETURN);
    }
    let returning = (0..31).filter(|_| usual.is_retry(&queue, ms(500), RETURN));
    let returning = returning.count();
    assert!((14..=17).contains(&returning), "{returning}");
}

#[test]
fn test_forget_unconfigured_keeps_what_is_configured() {
    let mut usual = RetryDetector::default();
    let kept: Arc<str> = "kept".into();
    for _ in 0..6 {
        usual.is_retry(&kept, ms(2_000), RETURN);
        usual.is_retry(&"old".into(), ms(2_000), RETURN);
        usual.is_retry(&"older".into(), ms(2_000), RETURN);
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
    usual.forget_unconfigured(&configured);
    assert!(usual.is_retry(&kept, ms(500), RETURN));
    assert!(!usual.is_retry(&"old".into(), ms(500), RETURN));
}

#[test]
fn test_allowance_shrinks_only_in_a_queue_that_stands() {
    let mut queue = BacklogMonitor::default();
    let slack = ms(100);
    queue.note(ms(1_000), true);
    assert_eq!(queue.allowance(ms(1_200), slack), slack);
    assert_eq!(queue.allowance(ms(1_400), slack), slack / 2);
    queue.note(ms(1_401), false);
    queue.note(ms(1_402), true);
    assert_eq!(queue.allowance(ms(1_500), slack), slack);
}
