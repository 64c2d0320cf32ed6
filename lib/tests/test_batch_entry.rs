//! Decisions of the entry core for the platform, event by event.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::active_batch::{Batch, BatchTimes};
use trestleknot_lib::batch::{BatchSpec, StepSpec, Unsupported};
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{
    EntryAction, EntryEvent, EntryOptions, Refusal, Reply, Submission,
};
use trestleknot_lib::entry_load::{EntryLoadReport, LoopLoad};
use trestleknot_lib::evacuations::EvacuatedHalls;
use trestleknot_lib::events::EventCode;
use trestleknot_lib::ids::{Now, RequestId, SessionId};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{NotStarted, RunEnd, RunKey, TaskKey};
use trestleknot_lib::run_message::{
    AgentIntro, AgentNews, AgentPacket, Order, Packet, PeerIntro, PeerNews, PeerPacket, RunsNotice,
    TargetInfo,
};
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::timings::Timings;

const HOST: &str = "host.example";

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn entry() -> BatchEntryCore {
    entry_with_link(None)
}

/// An entry whose link carries `link_rate` bytes a second.
fn entry_with_link(link_rate: Option<f64>) -> BatchEntryCore {
    BatchEntryCore::new(options(link_rate, None))
}

/// An entry with a small share of a core.
fn entry_with_share() -> BatchEntryCore {
    BatchEntryCore::new(options(None, Some(0.12)))
}

fn options(link_rate: Option<f64>, processor_share: Option<f64>) -> EntryOptions {
    EntryOptions {
        name: "entry".into(),
        incarnation: 1,
        hall: "hall".into(),
        address: "10.0.0.1:7720".parse().expect("an address"),
        seeds: Vec::new(),
        seed: 1,
        timings: Timings::default(),
        link_rate,
        processor_share,
        far_factor: None,
    }
}

fn config() -> EntryEvent {
    config_of(false)
}

fn config_of(needs_advice: bool) -> EntryEvent {
    config_version(1, "service", needs_advice)
}

/// A configuration that routes the queue to `service`.
fn config_version(version: u64, service: &str, needs_advice: bool) -> EntryEvent {
    let queue = Queue {
        name: "queue".into(),
        host: HOST.into(),
        path_prefix: "/q/".into(),
        service: service.into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: ms(60),
        needs_advice,
    };
    EntryEvent::Config(Arc::new(QueueTable {
        version,
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
        caller_timeout: ms(2_000),
        max_age: Some(Duration::ZERO),
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
    assert_eq!(entry.gauges().batches, 0);
    assert_eq!(replies(&entry.handle(ms(20), config())), []);
    assert_eq!(entry.gauges().batches, 1, "the batch is admitted");
}

#[test]
fn test_handle_batch_without_configuration_is_refused_in_time() {
    let mut entry = entry();
    entry.handle(ms(1), submission(5));
    let wake = entry.next_wake().expect("the entry checks the batch again");
    assert!(wake <= ms(150), "{wake:?}");
    let answered = replies(&entry.handle(wake, EntryEvent::Wake));
    assert_eq!(answered.len(), 1);
    assert!(
        is_refused(&answered[0].1, Refusal::NoConfig),
        "{answered:?}"
    );
}

#[test]
fn test_handle_batch_of_a_queue_with_advice_is_refused_as_unsupported() {
    let mut entry = entry();
    entry.handle(ms(1), config_of(true));
    let answered = replies(&entry.handle(ms(2), submission(5)));
    let expected = Refusal::Unsupported(Unsupported::Advice);
    assert!(is_refused(&answered[0].1, expected), "{answered:?}");
    assert_eq!(entry.gauges().batches, 0);
}

#[test]
fn test_handle_batch_that_outlasts_a_drain_may_be_retried_at_once() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    entry.handle(ms(2), EntryEvent::Drain);
    // The entry serves everything until the balancer stops sending. Near the end of the drain it
    // refuses batches that it can't finish.
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
    assert_eq!(entry.gauges().batches, 0);
}

/// Connects an agent in `hall` on `link`, with a target of the queue's service.
fn join(entry: &mut BatchEntryCore, now: Now, link: SessionId, hall: &str) -> Vec<EntryAction> {
    join_of(entry, now, link, hall, "service")
}

/// Connects an agent with a target of this service.
fn join_of(
    entry: &mut BatchEntryCore,
    now: Now,
    link: SessionId,
    hall: &str,
    service: &str,
) -> Vec<EntryAction> {
    let intro = AgentIntro {
        name: format!("agent-{link}").into(),
        life: link,
        hall: hall.into(),
        protocol: 0,
    };
    let target = TargetInfo {
        life: TargetIncarnation {
            name: "life".into(),
            born: None,
        },
        service: service.into(),
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        labels: Vec::new(),
        leaving: false,
    };
    entry.handle(now, EntryEvent::LinkUp(link, None));
    let free = target.capacity;
    let hello = AgentPacket {
        clock: 0,
        free: Resources::NONE,
        starts_seen: 0,
        health: HealthReport::default(),
        news: vec![AgentNews::Hello(intro), AgentNews::Target(Some(target))],
    };
    let mut actions = entry.handle(now, EntryEvent::Packet(link, Packet::FromAgent(hello)));
    let load = AgentPacket {
        clock: 1,
        free,
        starts_seen: 0,
        health: HealthReport::default(),
        news: Vec::new(),
    };
    let event = EntryEvent::Packet(link, Packet::FromAgent(load));
    actions.extend(entry.handle(now + ms(1), event));
    actions
}

fn evacuated(place: u64, halls: &[&str]) -> EntryEvent {
    let halls = halls.iter().map(|hall| Arc::from(*hall));
    EntryEvent::Evacuations(Arc::new(EvacuatedHalls {
        position: place,
        halls: halls.collect(),
    }))
}

/// Links on which the entry ordered starts.
fn ordered(actions: &[EntryAction]) -> Vec<SessionId> {
    let links = actions.iter().filter_map(|a| match a {
        EntryAction::Send(link, Packet::FromEntry(packet)) => {
            let has_start = packet.orders.iter().any(|o| matches!(o, Order::Start(_)));
            has_start.then_some(*link)
        }
        _ => None,
    });
    links.collect()
}

#[test]
fn test_handle_evacuated_hall_gets_no_work() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    // One agent joins before the evacuation, the other after it.
    join(&mut entry, ms(2), 1, "maadi");
    let actions = entry.handle(ms(4), evacuated(3, &["maadi"]));
    let tells_agent = |a: &EntryAction| match a {
        EntryAction::Send(1, Packet::FromEntry(packet)) => packet
            .orders
            .iter()
            .any(|o| matches!(o, Order::Evacuations(s) if s.contains("maadi"))),
        _ => false,
    };
    assert!(
        actions.iter().any(tells_agent),
        "its agent is told at once: {actions:?}"
    );
    join(&mut entry, ms(5), 2, "maadi");
    join(&mut entry, ms(6), 3, "giza");
    for request in 0..8 {
        let actions = entry.handle(ms(10 + request), submission(request));
        assert!(ordered(&actions).iter().all(|link| *link == 3));
    }
    assert!(entry.is_ready());
    assert_eq!(entry.gauges().targets, 1);
    assert_eq!(entry.gauges().evacuated_halls, 1);
}

#[test]
fn test_handle_evacuation_of_all_targets_refuses_at_once_with_retry_after() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "maadi");
    entry.handle(ms(4), evacuated(3, &["maadi", "giza"]));
    let answered = replies(&entry.handle(ms(10), submission(5)));
    let expected = Reply::Refused {
        why: Refusal::Evacuated,
        retry_after: Some(ms(2_000)),
    };
    assert_eq!(answered, [(5, expected)]);
    // The entry stays ready, since only a ready entry gets requests that it can refuse.
    assert!(entry.is_ready());
    entry.handle(ms(20), evacuated(4, &[]));
    let actions = entry.handle(ms(21), submission(6));
    assert_eq!(ordered(&actions), [1]);
}

#[test]
fn test_handle_evacuation_refuses_waiting_batches_without_runs() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "maadi");
    let full = AgentPacket {
        clock: 5,
        free: Resources::NONE,
        starts_seen: 0,
        health: HealthReport::default(),
        news: Vec::new(),
    };
    entry.handle(ms(5), EntryEvent::Packet(1, Packet::FromAgent(full)));
    let large = match submission(5) {
        EntryEvent::Submit(mut submission) => {
            submission.spec.steps[0].size.cpu_millis = 1_000;
            EntryEvent::Submit(submission)
        }
        other => other,
    };
    assert_eq!(replies(&entry.handle(ms(6), large)), []);
    let answered = replies(&entry.handle(ms(7), evacuated(3, &["maadi"])));
    assert_eq!(answered.len(), 1);
    assert!(
        is_refused(&answered[0].1, Refusal::Evacuated),
        "{answered:?}"
    );
}

#[test]
fn test_handle_evacuations_pass_between_entries_and_ignore_older_states() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "maadi");
    let intro = PeerIntro {
        name: "other".into(),
        life: 2,
        address: "10.0.0.2:7720".parse().expect("an address"),
        config: 1,
        evacuations: 0,
        entries: Vec::new(),
        protocol: 0,
        processor_millis: 0,
        hall: "".into(),
    };
    let from_peer = |news| {
        let packet = PeerPacket {
            clock: 0,
            news: vec![news],
        };
        EntryEvent::Packet(9, Packet::BetweenEntries(packet))
    };
    let state = |place, halls: &[&str]| match evacuated(place, halls) {
        EntryEvent::Evacuations(state) => state,
        other => panic!("{other:?}"),
    };
    entry.handle(ms(5), EntryEvent::LinkUp(9, None));
    entry.handle(ms(5), from_peer(PeerNews::Hello(intro)));
    entry.handle(
        ms(6),
        from_peer(PeerNews::Evacuations(state(8, &["maadi"]))),
    );
    assert_eq!(entry.gauges().evacuated_halls, 1);
    // A stale answer from the store.
    entry.handle(ms(7), evacuated(7, &[]));
    assert_eq!(entry.gauges().evacuated_halls, 1);
    // A new state is sent to peers, except to the peer that sent it.
    let actions = entry.handle(ms(8), evacuated(9, &[]));
    let is_forwarded = actions.iter().any(|a| match a {
        EntryAction::Send(9, Packet::BetweenEntries(packet)) => packet
            .news
            .iter()
            .any(|n| matches!(n, PeerNews::Evacuations(s) if s.position == 9)),
        _ => false,
    });
    assert!(is_forwarded, "{actions:?}");
}

fn loop_load(busy_share: f64, lag_ms: u64) -> EntryEvent {
    EntryEvent::LoopLoad(LoopLoad {
        busy_share,
        lag: ms(lag_ms),
    })
}

fn closes_a_link(actions: &[EntryAction]) -> bool {
    actions.iter().any(|a| matches!(a, EntryAction::Close(_)))
}

#[test]
fn test_handle_link_is_not_closed_as_silent_while_its_packets_may_be_unread() {
    let mut entry = entry_with_share();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "maadi");
    let silent_at = ms(4) + Timings::default().link_timeout;
    entry.handle(silent_at, loop_load(1.0, 300));
    let actions = entry.handle(silent_at, EntryEvent::Wake);
    assert!(!closes_a_link(&actions), "{actions:?}");
    // The link stays silent, and the lag is over.
    let actions = entry.handle(silent_at + ms(500), EntryEvent::Wake);
    assert!(closes_a_link(&actions), "{actions:?}");
}

/// An entry with one full target and a batch that waits for it, 300 ms after the entry should have
/// read its input.
fn late_entry_with_waiting_batch() -> BatchEntryCore {
    let mut entry = entry_with_share();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "maadi");
    assert_eq!(starts(&entry.handle(ms(5), batch_of_tasks(5, 8))).len(), 1);
    entry.handle(ms(6), batch_of_tasks(6, 1));
    entry.handle(ms(400), loop_load(1.0, 300));
    entry
}

#[test]
fn test_handle_batch_is_not_refused_before_late_input_is_read() {
    let mut entry = late_entry_with_waiting_batch();
    let answered = replies(&entry.handle(ms(401), EntryEvent::Wake));
    assert_eq!(answered, [], "the deadline passed while the entry was late");
    let packet = AgentPacket {
        clock: 20,
        free: Resources {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        starts_seen: 8,
        health: HealthReport::default(),
        news: Vec::new(),
    };
    let event = EntryEvent::Packet(1, Packet::FromAgent(packet));
    let actions = entry.handle(ms(405), event);
    assert_eq!(starts(&actions).len(), 1, "{actions:?}");
}

#[test]
fn test_handle_batch_is_refused_if_late_input_shows_no_capacity() {
    let mut entry = late_entry_with_waiting_batch();
    entry.handle(ms(401), EntryEvent::Wake);
    let answered = replies(&entry.handle(ms(460), EntryEvent::Wake));
    assert_eq!(answered.len(), 1);
    assert!(is_refused(&answered[0].1, Refusal::Busy), "{answered:?}");
}

/// Load reports that an entry of a given protocol gets from a starved one.
fn reports_to(protocol: u32) -> Vec<EntryLoadReport> {
    let mut entry = entry_with_share();
    let intro = PeerIntro {
        name: "other".into(),
        life: 2,
        address: "10.0.0.2:7720".parse().expect("an address"),
        config: 0,
        evacuations: 0,
        entries: Vec::new(),
        protocol,
        processor_millis: 500,
        hall: "maadi".into(),
    };
    let packet = PeerPacket {
        clock: 0,
        news: vec![PeerNews::Hello(intro)],
    };
    entry.handle(ms(1), EntryEvent::LinkUp(9, None));
    entry.handle(ms(1), EntryEvent::Packet(9, Packet::BetweenEntries(packet)));
    let mut actions = entry.handle(ms(200), loop_load(0.5, 0));
    actions.extend(entry.handle(ms(250), loop_load(0.9, 0)));
    actions.extend(entry.handle(ms(300), loop_load(0.6, 0)));
    actions.extend(entry.handle(ms(400), loop_load(0.65, 0)));
    let mut reports = Vec::new();
    for action in actions {
        if let EntryAction::Send(9, Packet::BetweenEntries(packet)) = action {
            reports.extend(packet.news.iter().filter_map(|news| match news {
                PeerNews::Load(load) => Some(*load),
                _ => None,
            }));
        }
    }
    reports
}

#[test]
fn test_handle_load_is_reported_on_large_changes_at_most_every_100_ms() {
    let report = |processor_percent| EntryLoadReport {
        processor_percent,
        link_percent: 0,
    };
    // The change at 250 ms comes too soon and is over at 300 ms; that at 400 ms is exactly 15.
    assert_eq!(reports_to(1), [report(50), report(65)]);
}

#[test]
fn test_handle_load_is_not_reported_to_entries_of_an_older_build() {
    // Such an entry can't decode the report and would close the link.
    assert_eq!(reports_to(0), []);
}

/// A batch of tasks of two cores each, with a payload that is too short to compress.
fn batch_of_tasks(request: RequestId, tasks: u32) -> EntryEvent {
    match submission(request) {
        EntryEvent::Submit(mut submission) => {
            let step = &mut submission.spec.steps[0];
            step.count = tasks;
            step.size.cpu_millis = 2_000;
            submission.spec.payload = "0123456789abcdef".repeat(12).into();
            EntryEvent::Submit(submission)
        }
        other => other,
    }
}

/// A start order: the link, whether it carries the payload, and the runs.
type SentStart = (SessionId, bool, Vec<(u16, u32)>);

fn starts(actions: &[EntryAction]) -> Vec<SentStart> {
    let mut starts = Vec::new();
    for action in actions {
        let EntryAction::Send(link, Packet::FromEntry(packet)) = action else {
            continue;
        };
        for order in &packet.orders {
            if let Order::Start(order) = order {
                starts.push((*link, order.payload.is_some(), order.runs.clone()));
            }
        }
    }
    starts
}

fn not_started(
    entry: &mut BatchEntryCore,
    now: Now,
    reason: NotStarted,
    run: u32,
) -> Vec<EntryAction> {
    let task = TaskKey {
        batch: 5,
        time: 0,
        step: 0,
        index: 0,
    };
    let key = RunKey { task, run };
    let packet = AgentPacket {
        clock: 20,
        free: Resources {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        starts_seen: u64::from(run),
        health: HealthReport::default(),
        news: vec![AgentNews::NotStarted { key, reason }],
    };
    entry.handle(now, EntryEvent::Packet(1, Packet::FromAgent(packet)))
}

#[test]
fn test_handle_payload_is_sent_again_only_if_the_agent_lacks_it() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "hall");
    let actions = entry.handle(ms(10), batch_of_tasks(5, 1));
    assert_eq!(starts(&actions), [(1, true, vec![(0, 1)])]);
    let actions = not_started(&mut entry, ms(20), NotStarted::Full, 1);
    assert_eq!(starts(&actions), [(1, false, vec![(0, 2)])]);
    let actions = not_started(&mut entry, ms(30), NotStarted::NoPayload, 2);
    assert_eq!(starts(&actions), [(1, true, vec![(0, 3)])]);
}

#[test]
fn test_handle_starts_are_paced_by_the_link_rate() {
    // A start takes about 370 bytes with its payload, which is 37 ms on this link.
    let mut entry = entry_with_link(Some(10_000.0));
    entry.handle(ms(1), config());
    for link in 1..=4 {
        join(&mut entry, ms(2), link, "hall");
    }
    // The messages sent at the join have left the link by now.
    let actions = entry.handle(ms(400), batch_of_tasks(5, 4));
    assert_eq!(starts(&actions).len(), 1, "{:?}", starts(&actions));
    // An answer or a stop waits for one order at most. The other starts follow on later wakes.
    let mut at = ms(400);
    let mut placed = starts(&actions).iter().map(|s| s.2.len()).sum::<usize>();
    while placed < 4 {
        at = entry.next_wake().expect("it goes on");
        assert!(at < ms(600), "{at:?}");
        let actions = entry.handle(at, EntryEvent::Wake);
        let orders = starts(&actions);
        assert!(orders.len() <= 1, "{orders:?}");
        placed += orders.iter().map(|s| s.2.len()).sum::<usize>();
    }
    assert!(at > ms(420), "{at:?}");
}

#[test]
fn test_record_slow_task_replaces_a_wrong_estimate() {
    let EntryEvent::Submit(submission) = batch_of_tasks(5, 2) else {
        panic!("a submission");
    };
    let EntryEvent::Config(table) = config() else {
        panic!("a configuration");
    };
    let times = BatchTimes {
        arrived: ms(0),
        due: ms(100),
        is_overdue: false,
        caller_deadline: ms(2_000),
        latest_on_time_start: ms(50),
        proven_until: ms(1_000),
        placement_deadline: ms(50),
    };
    let queue = table.queues[0].clone();
    let mut batch = Batch::new(&submission.spec, "work".into(), queue, 1, times);
    let step = &mut batch.steps[0];
    let (first, second) = ("agent-1".into(), "agent-2".into());
    // Repeated reports from one target don't count: the target itself may be slow.
    assert!(!step.record_slow_task(&first, ms(900)));
    assert!(!step.record_slow_task(&first, ms(800)));
    assert_eq!(step.spec.estimate, ms(100));
    assert!(step.record_slow_task(&second, ms(850)));
    assert_eq!(step.spec.estimate, ms(800));
}

// Guards against a task that runs twice at once: an entry that wakes up reads first that its run was
// stopped and only then that its caller is gone, who may have reached another entry meanwhile.
#[test]
fn test_handle_entry_that_stood_still_starts_nothing_before_it_has_read_its_input() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "maadi");
    let started = starts(&entry.handle(ms(5), batch_of_tasks(5, 1)));
    assert_eq!(started.len(), 1);
    let task = TaskKey {
        batch: 5,
        time: 0,
        step: 0,
        index: 0,
    };
    let key = RunKey { task, run: 1 };
    let wakes_at = ms(1_250);
    let news = AgentNews::Ended {
        key,
        end: RunEnd::Stopped,
        ran_ms: 800,
    };
    let packet = AgentPacket {
        clock: 1_250,
        free: Resources {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        starts_seen: 1,
        health: HealthReport::default(),
        news: vec![news],
    };
    let mut actions = entry.handle(wakes_at, EntryEvent::Packet(1, Packet::FromAgent(packet)));
    // Another packet would extend the lease of its runs beyond the callers' return.
    assert!(!actions.iter().any(|a| matches!(a, EntryAction::Send(1, _))));
    actions.extend(entry.handle(wakes_at + ms(5), EntryEvent::CallerGone(5)));
    actions.extend(entry.handle(wakes_at + ms(25), EntryEvent::Wake));
    assert_eq!(starts(&actions).len(), 0, "{actions:?}");
    assert_eq!(entry.gauges().batches, 0);
}

#[test]
fn test_handle_entry_that_stood_still_goes_on_with_its_batches() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "maadi");
    assert_eq!(
        starts(&entry.handle(ms(1_250), batch_of_tasks(5, 1))).len(),
        0
    );
    let packet = AgentPacket {
        clock: 1_255,
        free: Resources {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        starts_seen: 0,
        health: HealthReport::default(),
        news: Vec::new(),
    };
    entry.handle(ms(1_255), EntryEvent::Packet(1, Packet::FromAgent(packet)));
    let wake = entry.next_wake().expect("the entry has a batch");
    assert!(wake <= ms(1_275), "{wake:?}");
    let mut actions = entry.handle(wake, EntryEvent::Wake);
    actions.extend(entry.handle(ms(1_275), EntryEvent::Wake));
    assert_eq!(starts(&actions).len(), 1, "{actions:?}");
}

// Guards against two attempts of a batch that run at once unseen: the other entry's notice arrives after
// the batch was started here.
#[test]
fn test_handle_notice_on_a_batch_that_is_started_already_is_logged_once() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "maadi");
    assert_eq!(starts(&entry.handle(ms(5), batch_of_tasks(5, 1))).len(), 1);
    let notice = RunsNotice {
        batch: 5,
        holder: 2,
        owner: 2,
        number: 1,
    };
    let packet = AgentPacket {
        clock: 20,
        free: Resources::NONE,
        starts_seen: 1,
        health: HealthReport::default(),
        news: vec![AgentNews::RunsLeft(notice), AgentNews::RunsLeft(notice)],
    };
    let actions = entry.handle(ms(20), EntryEvent::Packet(1, Packet::FromAgent(packet)));
    let is_late = |a: &&EntryAction| matches!(a, EntryAction::Log(event) if event.code == EventCode::RunsLeftHeardLate);
    assert_eq!(actions.iter().filter(is_late).count(), 1, "{actions:?}");
}

/// Batch 5 with one task, submitted by `request`.
fn attempt(request: RequestId) -> EntryEvent {
    match batch_of_tasks(5, 1) {
        EntryEvent::Submit(mut submission) => {
            submission.request = request;
            EntryEvent::Submit(submission)
        }
        other => other,
    }
}

fn run_of_task(run: u32) -> RunKey {
    let task = TaskKey {
        batch: 5,
        time: 0,
        step: 0,
        index: 0,
    };
    RunKey { task, run }
}

fn ended(run: u32, end: RunEnd) -> AgentNews {
    let key = run_of_task(run);
    let ran_ms = 50;
    AgentNews::Ended { key, end, ran_ms }
}

/// A packet of agent 1 with this piece of news.
fn agent_tells(news: AgentNews) -> EntryEvent {
    packet_of(1, vec![news])
}

fn packet_of(agent: SessionId, news: Vec<AgentNews>) -> EntryEvent {
    let packet = AgentPacket {
        clock: 2_000,
        free: Resources {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        starts_seen: 2,
        health: HealthReport::default(),
        news,
    };
    EntryEvent::Packet(agent, Packet::FromAgent(packet))
}

/// An entry whose caller left and came back after the first attempt was over: a run of the second
/// attempt is ordered at agent 1, or at agent 2 if agent 1 takes no more work. Returns the number
/// of the first attempt's run.
fn entry_with_second_attempt(first_agent_leaves: bool) -> (BatchEntryCore, u32) {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "hall");
    let first = starts(&entry.handle(ms(10), attempt(6)));
    let (_, run) = first[0].2[0];
    entry.handle(ms(50), EntryEvent::CallerGone(6));
    entry.handle(ms(55), agent_tells(ended(run, RunEnd::Stopped)));
    assert_eq!(entry.gauges().batches, 0, "the first attempt is over");
    let mut agent = 1;
    if first_agent_leaves {
        agent = 2;
        entry.handle(ms(56), agent_tells(AgentNews::Leaving));
        join(&mut entry, ms(57), agent, "hall");
    }
    for at in (100..1_350).step_by(100) {
        entry.handle(ms(at), packet_of(1, Vec::new()));
        entry.handle(ms(at), packet_of(agent, Vec::new()));
    }
    let second = starts(&entry.handle(ms(1_350), attempt(7)));
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!(second[0].0, agent);
    (entry, run)
}

// Guards against a task that runs twice at once, or is answered as done while it runs: a stop crosses
// the end of a run, so that the agent reports the end a second time, when the caller is back.
#[test]
fn test_handle_late_news_of_an_earlier_attempt_does_not_end_the_next_ones_run() {
    for first_agent_leaves in [false, true] {
        let (_, run) = entry_with_second_attempt(first_agent_leaves);
        let key = run_of_task(run);
        let reason = NotStarted::Superseded;
        let news = [
            ended(run, RunEnd::Stopped),
            ended(run, RunEnd::Done),
            ended(run, RunEnd::Failed),
            ended(run, RunEnd::Crashed { alone: false }),
            AgentNews::NotStarted { key, reason },
            AgentNews::Slow {
                key,
                ran_ms: 400,
                percent: 1,
            },
        ];
        for late in news {
            let (mut entry, _) = entry_with_second_attempt(first_agent_leaves);
            if !first_agent_leaves {
                join(&mut entry, ms(1_351), 3, "hall");
            }
            let mut actions = entry.handle(ms(1_360), agent_tells(late.clone()));
            actions.extend(entry.handle(ms(1_380), EntryEvent::Wake));
            assert_eq!(starts(&actions), [], "{late:?}");
            assert_eq!(replies(&actions), [], "{late:?}");
            let stops = orders(&actions).filter(|o| matches!(o, Order::Stop(_)));
            assert_eq!(stops.count(), 0, "{late:?}");
        }
    }
}

// Guards against a task that runs twice at once, or is answered as done while it runs: a run of another
// entry has the same key, and its agent tells this entry how it ended.
#[test]
fn test_handle_news_of_an_agent_without_the_run_changes_nothing() {
    let key = run_of_task(1);
    let lacks_the_run = [
        ended(1, RunEnd::Done),
        ended(1, RunEnd::Failed),
        ended(1, RunEnd::Lost),
        ended(1, RunEnd::Crashed { alone: true }),
        AgentNews::NotStarted {
            key,
            reason: NotStarted::Late,
        },
        AgentNews::Slow {
            key,
            ran_ms: 400,
            percent: 1,
        },
    ];
    for news in lacks_the_run {
        let mut entry = entry();
        entry.handle(ms(1), config());
        join(&mut entry, ms(2), 1, "hall");
        assert_eq!(starts(&entry.handle(ms(10), attempt(6))).len(), 1);
        join(&mut entry, ms(20), 2, "hall");
        // The link of an agent that has not said who it is, and of one that has.
        entry.handle(ms(30), EntryEvent::LinkUp(3, None));
        for link in [2, 3] {
            let mut actions = entry.handle(ms(40), packet_of(link, vec![news.clone()]));
            actions.extend(entry.handle(ms(60), EntryEvent::Wake));
            assert_eq!(starts(&actions), [], "link {link}: {news:?}");
            assert_eq!(replies(&actions), [], "link {link}: {news:?}");
            let stops = orders(&actions).filter(|o| matches!(o, Order::Stop(_)));
            assert_eq!(stops.count(), 0, "link {link}: {news:?}");
        }
        let actions = entry.handle(ms(80), agent_tells(ended(1, RunEnd::Done)));
        assert_eq!(replies(&actions), [(6, Reply::Succeeded)], "{news:?}");
    }
}

/// All orders among the actions.
fn orders(actions: &[EntryAction]) -> impl Iterator<Item = &Order> {
    let packets = actions.iter().filter_map(|a| match a {
        EntryAction::Send(_, Packet::FromEntry(packet)) => Some(packet),
        _ => None,
    });
    packets.flat_map(|packet| &packet.orders)
}

#[test]
fn test_handle_run_numbers_of_a_new_batch_begin_at_1() {
    // Targets refuse a run that is not above an earlier one of its task.
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "hall");
    let first = starts(&entry.handle(ms(10), batch_of_tasks(5, 1)));
    assert_eq!(first, [(1, true, vec![(0, 1)])]);
    entry.handle(ms(50), agent_tells(ended(1, RunEnd::Done)));
    let other = starts(&entry.handle(ms(60), batch_of_tasks(6, 1)));
    assert_eq!(other, [(1, true, vec![(0, 1)])]);
}

/// When the entry closes link 9, on which it or the other side has dialled and nothing arrives.
fn closed_at(dialled: Option<&str>) -> Option<Now> {
    let mut entry = entry();
    let dialled = dialled.map(|address| address.parse().expect("an address"));
    entry.handle(ms(1), EntryEvent::LinkUp(9, dialled));
    let mut now = ms(1);
    while now < ms(10_000) {
        now = entry.next_wake().map_or(ms(10_000), |wake| wake.max(now));
        let actions = entry.handle(now, EntryEvent::Wake);
        if actions.iter().any(|a| matches!(a, EntryAction::Close(9))) {
            return Some(now);
        }
    }
    None
}

// Guards against links that are kept for ever: a connection may go silent for good, without a reset,
// before the other side's hello arrives.
#[test]
fn test_handle_link_without_a_hello_is_closed() {
    for dialled in [Some("10.0.0.2:7720"), None] {
        let closed = closed_at(dialled).expect("the link is closed");
        assert!(closed <= ms(3_100), "{dialled:?}: {closed:?}");
    }
}

// Guards against a link that is closed although its other side has said who it is.
#[test]
fn test_handle_link_with_a_hello_is_kept() {
    let mut entry = entry();
    join(&mut entry, ms(1), 9, "hall");
    let mut actions = Vec::new();
    for at in (100..6_000).step_by(100) {
        actions.extend(entry.handle(ms(at), packet_of(9, Vec::new())));
        actions.extend(entry.handle(ms(at), EntryEvent::Wake));
    }
    assert!(!closes_a_link(&actions));
}

/// An entry with a run of batch 5 at agent 1, whose queue has moved to the service of agent 2.
fn entry_with_moved_queue() -> BatchEntryCore {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "hall");
    join_of(&mut entry, ms(2), 2, "hall", "next");
    let first = starts(&entry.handle(ms(10), attempt(6)));
    assert_eq!(first, [(1, true, vec![(0, 1)])]);
    entry.handle(ms(20), config_version(2, "next", false));
    entry
}

/// The services and links of the starts among the actions.
fn services(actions: &[EntryAction]) -> Vec<String> {
    let services = orders(actions).filter_map(|order| match order {
        Order::Start(order) => Some(order.service.to_string()),
        _ => None,
    });
    services.collect()
}

// Guards against a task on a target that the entry did not choose.
#[test]
fn test_handle_order_names_the_incarnation_that_was_chosen() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "hall");
    let actions = entry.handle(ms(10), submission(6));
    let targets = orders(&actions).filter_map(|order| match order {
        Order::Start(order) => Some(order.target.clone()),
        _ => None,
    });
    let chosen = TargetIncarnation {
        name: "life".into(),
        born: None,
    };
    assert_eq!(targets.collect::<Vec<_>>(), [Some(chosen)]);
}

// Guards against a request that an old configuration's service runs although it was sent later: the
// batch is still being closed when its caller returns.
#[test]
fn test_handle_batch_that_is_reopened_goes_to_its_queues_service() {
    let mut entry = entry_with_moved_queue();
    entry.handle(ms(30), EntryEvent::CallerGone(6));
    entry.handle(ms(40), attempt(7));
    let actions = entry.handle(ms(50), agent_tells(ended(1, RunEnd::Stopped)));
    assert_eq!(services(&actions), ["next"], "{actions:?}");
}

// The same, when the entry hasn't noticed yet that the caller's first connection broke.
#[test]
fn test_handle_runs_of_a_reopened_batch_at_the_former_service_are_stopped() {
    let mut entry = entry_with_moved_queue();
    let actions = entry.handle(ms(40), attempt(7));
    let is_stop = |o: &&Order| matches!(o, Order::Stop(keys) if *keys == [run_of_task(1)]);
    assert_eq!(orders(&actions).filter(is_stop).count(), 1, "{actions:?}");
    let actions = entry.handle(ms(50), agent_tells(ended(1, RunEnd::Stopped)));
    assert_eq!(services(&actions), ["next"], "{actions:?}");
}

// Guards against lost work: a configuration that doesn't move the queue leaves its runs alone.
#[test]
fn test_handle_runs_of_a_reopened_batch_go_on_at_the_same_service() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "hall");
    entry.handle(ms(10), attempt(6));
    entry.handle(ms(20), config_version(2, "service", false));
    let mut actions = entry.handle(ms(40), attempt(7));
    assert!(!orders(&actions).any(|o| matches!(o, Order::Stop(_))));
    actions = entry.handle(ms(50), agent_tells(ended(1, RunEnd::Done)));
    assert_eq!(replies(&actions), [(7, Reply::Succeeded)]);
}

// Guards against a link that an agent takes for silent: the input marks of an overloaded entry stand
// still, so that it could renew no lease.
#[test]
fn test_handle_entry_whose_input_marks_stand_still_goes_on_sending() {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "maadi");
    entry.handle(ms(5), EntryEvent::InputRead(ms(5)));
    entry.handle(ms(6), batch_of_tasks(5, 1));
    let mut leases = Vec::new();
    for at in (1..15).map(|n| ms(6 + n * 100)) {
        let packet = AgentPacket {
            clock: at.as_millis() as u64,
            free: Resources::NONE,
            starts_seen: 1,
            health: HealthReport::default(),
            news: Vec::new(),
        };
        let actions = entry.handle(at, EntryEvent::Packet(1, Packet::FromAgent(packet)));
        leases.extend(actions.iter().filter_map(|a| match a {
            EntryAction::Send(1, Packet::FromEntry(packet)) => Some(packet.lease_until),
            _ => None,
        }));
    }
    assert!(leases.len() >= 4, "{leases:?}");
    // The leases still count from the last mark.
    let longest = ms(5) + Timings::default().max_lease_lead + Timings::default().entry_lease;
    let is_short = |until: &u64| *until <= longest.as_millis() as u64 + 10;
    assert!(leases.iter().all(is_short), "{leases:?}, {longest:?}");
}

/// An entry that reported at 100 and 130 ms that it had read its input until 90 and 120 ms, and reads
/// nothing until `now`.
fn entry_that_reads_late() -> BatchEntryCore {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "hall");
    entry.handle(ms(100), EntryEvent::InputRead(ms(90)));
    entry.handle(ms(130), EntryEvent::InputRead(ms(120)));
    entry
}

/// When an entry with a batch logs that it reads its input too late, while it handles packets for 25 s and
/// gets marks of its input that are `mark_age` old; none after the first if not given.
fn logged_as_late(mark_age: Option<Duration>) -> (Vec<Now>, BatchEntryCore) {
    let mut entry = entry();
    entry.handle(ms(1), config());
    join(&mut entry, ms(2), 1, "hall");
    let mut logged = Vec::new();
    for at in (10..25_000).step_by(10).map(ms) {
        let mut actions = Vec::new();
        if at.as_millis() % 1_000 == 10 {
            actions.extend(entry.handle(at, batch_of_tasks(at.as_millis() as u64, 1)));
        }
        if at == ms(20) {
            actions.extend(entry.handle(at, EntryEvent::InputRead(at)));
        }
        if let Some(age) = mark_age.filter(|age| at > *age + ms(20)) {
            actions.extend(entry.handle(at, EntryEvent::InputRead(at - age)));
        }
        actions.extend(entry.handle(at, packet_of(1, Vec::new())));
        let is_late = |a: &EntryAction| matches!(a, EntryAction::Log(event) if event.code == EventCode::InputReadLate);
        logged.extend(actions.iter().filter(|a| is_late(a)).map(|_| at));
    }
    (logged, entry)
}

// Guards against lost work that nobody can explain: an entry reads its input too late to keep its runs.
#[test]
fn test_handle_input_that_is_read_late_for_long_is_logged_at_most_every_10_s() {
    let timings = Timings::default();
    for mark_age in [None, Some(ms(300))] {
        let (logged, entry) = logged_as_late(mark_age);
        let pauses = logged.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(
            pauses.min().is_some_and(|pause| pause >= ms(10_000)),
            "{logged:?}"
        );
        assert_eq!(logged.len(), 3, "{mark_age:?}: {logged:?}");
        let first = ms(20) + timings.max_lease_lead + timings.suspect_after;
        assert!(
            logged[0] >= first && logged[0] <= first + ms(400),
            "{logged:?}"
        );
        let age = mark_age.unwrap_or(ms(24_970));
        assert_eq!(u128::from(entry.gauges().input_age_ms), age.as_millis());
    }
    let (logged, entry) = logged_as_late(Some(timings.max_lease_lead));
    assert_eq!(logged, [], "in time");
    assert_eq!(entry.gauges().input_age_ms, 70);
}

/// Lets agent 1 send packets until shortly before `until`.
fn hear_agent(entry: &mut BatchEntryCore, from: Now, until: Now) {
    let mut at = from;
    while at + ms(50) < until {
        entry.handle(at, packet_of(1, Vec::new()));
        at += ms(50);
    }
}

// Guards against runs that an entry wants while their caller is back at another one: the request waited in
// the socket, and its caller counts from when it sent it.
#[test]
fn test_handle_request_read_late_is_given_up_when_its_caller_may_leave() {
    let given_up_before = |read_at: Now, deadline: Now| {
        let mut entry = entry_that_reads_late();
        assert_eq!(starts(&entry.handle(read_at, attempt(6))).len(), 1);
        let is_stop = |o: &&Order| matches!(o, Order::Stop(_));
        hear_agent(&mut entry, read_at, deadline);
        let actions = entry.handle(deadline - ms(1), EntryEvent::Wake);
        assert_eq!(orders(&actions).filter(is_stop).count(), 0, "{read_at:?}");
        let actions = entry.handle(deadline, EntryEvent::Wake);
        assert_eq!(orders(&actions).filter(is_stop).count(), 1, "{read_at:?}");
    };
    given_up_before(ms(400), ms(120 + 2_000));
    // Connections may be accepted a little later than the input of others is read.
    given_up_before(ms(140), ms(90 + 2_000));
}

/// The end of the lease in the packet that orders the first start.
fn lease_of_order(actions: &[EntryAction]) -> u64 {
    let has_start = |o: &Order| matches!(o, Order::Start(_));
    let packets = actions.iter().filter_map(|a| match a {
        EntryAction::Send(_, Packet::FromEntry(packet)) => Some(packet),
        _ => None,
    });
    let mut with_start = packets.filter(|p| p.orders.iter().any(has_start));
    with_start.next().expect("a start is ordered").lease_until
}

// Guards against a run that outlasts its caller's return: the break of the connection is unread behind the
// request, at an entry that held nothing before.
#[test]
fn test_handle_order_of_an_idle_entry_that_reads_late_counts_from_its_input() {
    let mut late = entry_that_reads_late();
    let late = lease_of_order(&late.handle(ms(400), attempt(6)));
    let mut in_time = entry_that_reads_late();
    in_time.handle(ms(400), EntryEvent::InputRead(ms(395)));
    let in_time = lease_of_order(&in_time.handle(ms(400), attempt(6)));
    let input_age = 400 - 120;
    let lead = Timings::default().max_lease_lead.as_millis() as u64;
    // A clock may be 2% slow.
    assert!(in_time - late >= input_age - lead - 10, "{late} {in_time}");
}

// Guards against a request that is taken for younger than it is: two marks come shortly after one another,
// and the thread that accepts connections is later than both.
#[test]
fn test_handle_request_accepted_after_two_marks_counts_from_before_both() {
    let mut entry = entry_that_reads_late();
    hear_agent(&mut entry, ms(150), ms(600));
    entry.handle(ms(600), EntryEvent::InputRead(ms(600)));
    entry.handle(ms(602), EntryEvent::InputRead(ms(601)));
    assert_eq!(starts(&entry.handle(ms(603), attempt(6))).len(), 1);
    let deadline = ms(120 + 2_000);
    hear_agent(&mut entry, ms(610), deadline);
    let actions = entry.handle(deadline, EntryEvent::Wake);
    let stops = orders(&actions).filter(|o| matches!(o, Order::Stop(_)));
    assert_eq!(stops.count(), 1);
}

// Guards against a task that runs twice at once: the caller is back and refused, so that it goes to another
// entry, while this one still wants the runs of its earlier request.
#[test]
fn test_handle_returning_caller_that_is_refused_ends_its_earlier_request() {
    let mut entry = entry_that_reads_late();
    assert_eq!(starts(&entry.handle(ms(130), attempt(6))).len(), 1);
    let EntryEvent::Submit(mut again) = attempt(7) else {
        return;
    };
    again.caller_timeout = ms(100);
    let actions = entry.handle(ms(400), EntryEvent::Submit(again));
    let replies = replies(&actions);
    assert_eq!(replies[0], (6, Reply::GaveUp));
    assert!(is_refused(&replies[1].1, Refusal::Busy), "{replies:?}");
    let stops = orders(&actions).filter(|o| matches!(o, Order::Stop(_)));
    assert_eq!(stops.count(), 1);
}

// Guards against runs for a caller that has left already.
#[test]
fn test_handle_request_read_after_its_callers_timeout_starts_nothing() {
    let mut entry = entry_that_reads_late();
    hear_agent(&mut entry, ms(150), ms(2_121));
    let mut actions = entry.handle(ms(2_121), attempt(6));
    actions.extend(entry.handle(ms(2_200), EntryEvent::Wake));
    assert_eq!(starts(&actions), []);
    let replies = replies(&actions);
    assert!(
        matches!(&replies[..], [(6, reply)] if is_refused(reply, Refusal::Busy)),
        "{replies:?}"
    );
}

// Guards against a wait for the first configuration that a caller's timeout doesn't contain.
#[test]
fn test_handle_batch_that_waited_for_the_configuration_is_given_up_in_time() {
    let mut entry = entry();
    join(&mut entry, ms(2), 1, "hall");
    entry.handle(ms(10), attempt(6));
    assert_eq!(starts(&entry.handle(ms(100), config())).len(), 1);
    hear_agent(&mut entry, ms(110), ms(2_010));
    let actions = entry.handle(ms(2_010), EntryEvent::Wake);
    assert_eq!(
        orders(&actions)
            .filter(|o| matches!(o, Order::Stop(_)))
            .count(),
        1
    );
}
