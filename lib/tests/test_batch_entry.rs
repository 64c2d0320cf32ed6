//! Single decisions of the platform's entry, event by event.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::batch::{BatchSpec, StepSpec, Unsupported};
use trestleknot_lib::batch_entry::BatchEntry;
use trestleknot_lib::batch_event::{
    EntryAction, EntryEvent, EntryOptions, Refusal, Reply, Submission,
};
use trestleknot_lib::ids::{Now, RequestId};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::timings::Timings;

const HOST: &str = "host.example";

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn entry() -> BatchEntry {
    BatchEntry::new(EntryOptions {
        name: "entry".into(),
        life: 1,
        hall: "hall".into(),
        address: "10.0.0.1:7720".parse().expect("an address"),
        seeds: Vec::new(),
        seed: 1,
        timings: Timings::default(),
    })
}

fn config() -> EntryEvent {
    config_of(false)
}

fn config_of(needs_advice: bool) -> EntryEvent {
    let queue = Queue {
        name: "queue".into(),
        host: HOST.into(),
        path_prefix: "/q/".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: ms(60),
        needs_advice,
    };
    EntryEvent::Config(Arc::new(QueueTable {
        version: 1,
        queues: vec![Arc::new(queue)],
        limits: RequestLimits { body_bytes: 65_536 },
    }))
}

fn submission(request: RequestId) -> EntryEvent {
    let step = StepSpec {
        count: 1,
        size: Resources::NONE,
        estimate: ms(100),
        after: Vec::new(),
        required_label: None,
        preferred_rack: None,
        most_per_target: None,
    };
    EntryEvent::Submit(Submission {
        request,
        host: HOST.to_owned(),
        path: format!("/q/{request:016x}"),
        spec: BatchSpec {
            id: request,
            payload: "work".into(),
            steps: vec![step],
            unsupported: None,
        },
        patience: ms(2_000),
        caller_request: "".into(),
    })
}

fn replies(actions: &[EntryAction]) -> Vec<(RequestId, Reply)> {
    let replies = actions.iter().filter_map(|a| match a {
        EntryAction::Reply(request, reply) => Some((*request, reply.clone())),
        _ => None,
    });
    replies.collect()
}

fn is_refused(reply: &Reply, expected: Refusal) -> bool {
    matches!(reply, Reply::Refused { why, .. } if *why == expected)
}

#[test]
fn test_handle_batch_before_the_first_configuration_waits_for_it() {
    let mut entry = entry();
    assert_eq!(replies(&entry.handle(ms(1), submission(5))), []);
    assert_eq!(entry.levels().batches, 0);
    assert_eq!(replies(&entry.handle(ms(20), config())), []);
    assert_eq!(entry.levels().batches, 1, "it is taken in");
}

#[test]
fn test_handle_batch_without_configuration_is_refused_in_time() {
    let mut entry = entry();
    entry.handle(ms(1), submission(5));
    let wake = entry.next_wake().expect("it is looked at again");
    assert!(wake <= ms(150), "{wake:?}");
    let answered = replies(&entry.handle(wake, EntryEvent::Wake));
    assert_eq!(answered.len(), 1);
    assert!(
        is_refused(&answered[0].1, Refusal::NoConfig),
        "{answered:?}"
    );
}

#[test]
fn test_handle_batch_of_a_queue_with_advice_is_refused_as_not_run() {
    let mut entry = entry();
    entry.handle(ms(1), config_of(true));
    let answered = replies(&entry.handle(ms(2), submission(5)));
    let expected = Refusal::Unsupported(Unsupported::Advice);
    assert!(is_refused(&answered[0].1, expected), "{answered:?}");
    assert_eq!(entry.levels().batches, 0);
}

#[test]
fn test_handle_batch_that_outlasts_a_drain_may_go_elsewhere_at_once() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    entry.handle(ms(2), EntryEvent::Drain);
    // Until the balancer has let go, everything is served; near the end, what can't be finished
    // is not begun.
    let late = Timings::default().entry_stop - ms(100);
    entry.handle(ms(3), submission(4));
    let answered = replies(&entry.handle(late, submission(5)));
    let (_, reply) = answered
        .iter()
        .find(|(r, _)| *r == 5)
        .expect("it is refused");
    let expected = Reply::Refused {
        why: Refusal::Draining,
        retry_after: Some(Duration::ZERO),
    };
    assert_eq!(*reply, expected);
}

#[test]
fn test_handle_too_many_batches_without_configuration_are_refused_at_once() {
    let mut entry = entry();
    let mut refused = 0;
    for request in 0..300 {
        refused += replies(&entry.handle(ms(1), submission(request))).len();
    }
    assert_eq!(refused, 100);
}

#[test]
fn test_handle_caller_gone_before_the_first_configuration_leaves_nothing() {
    let mut entry = entry();
    entry.handle(ms(1), submission(5));
    entry.handle(ms(2), EntryEvent::CallerGone(5));
    assert_eq!(replies(&entry.handle(ms(20), config())), []);
    assert_eq!(entry.levels().batches, 0);
}
