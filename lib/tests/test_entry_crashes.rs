//! What an entry does with target crashes during its own runs and those of other entries.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::batch::{BatchSpec, StepSpec};
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{EntryAction, EntryEvent, EntryOptions, Reply, Submission};
use trestleknot_lib::ids::{Incarnation, Now, RequestId, SessionId};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{BatchId, RunEnd, RunKey, RunNumber, TaskKey};
use trestleknot_lib::run_message::{
    AgentIntro, AgentNews, AgentPacket, CrashNotice, Order, Packet, PeerIntro, PeerNews,
    PeerPacket, ProtocolVersion, StartOrder, TargetInfo,
};
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::timings::Timings;

const HOST: &str = "host.example";
/// Incarnation of the entry under test.
const OWN: Incarnation = 1;
/// Incarnation of an entry that died.
const DEAD: Incarnation = 99;
const BATCH: BatchId = 5;
/// Links to agents.
const AGENTS: [SessionId; 3] = [1, 2, 3];
/// Links to entries of protocol 1.
const NEIGHBOUR: SessionId = 11;
const OTHER_NEIGHBOUR: SessionId = 12;
/// Link to an entry of protocol 0.
const OLD_NEIGHBOUR: SessionId = 13;
const CAPACITY: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 1_024,
    accelerators: 0,
};

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn config() -> EntryEvent {
    let queue = Queue {
        name: "queue".into(),
        host: HOST.into(),
        path_prefix: "/q/".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: ms(60),
        needs_advice: false,
    };
    EntryEvent::Config(Arc::new(QueueTable {
        version: 1,
        queues: vec![Arc::new(queue)],
        limits: RequestLimits { body_bytes: 65_536 },
    }))
}

/// A batch of one task of two cores.
fn submission(request: RequestId) -> EntryEvent {
    let step = StepSpec {
        count: 1,
        size: Resources {
            cpu_millis: 2_000,
            ..Resources::NONE
        },
        estimate: ms(100),
        after: Vec::new(),
        required_label: None,
        preferred_rack: None,
        most_per_target: None,
    };
    EntryEvent::Submit(Submission {
        request,
        host: HOST.to_owned(),
        path: format!("/q/{BATCH:016x}"),
        spec: BatchSpec {
            id: BATCH,
            payload: "work".into(),
            steps: vec![step],
            unsupported: None,
        },
        caller_timeout: ms(2_000),
        max_age: Some(Duration::ZERO),
        caller_request: "".into(),
    })
}

fn from_agent(link: SessionId, news: Vec<AgentNews>) -> EntryEvent {
    let packet = AgentPacket {
        clock: 10,
        free: CAPACITY,
        starts_seen: 100,
        health: HealthReport::default(),
        news,
    };
    EntryEvent::Packet(link, Packet::FromAgent(packet))
}

fn from_neighbour(link: SessionId, news: PeerNews) -> EntryEvent {
    let news = vec![news];
    let packet = PeerPacket { clock: 0, news };
    EntryEvent::Packet(link, Packet::BetweenEntries(packet))
}

fn join_agent(entry: &mut BatchEntryCore, link: SessionId) {
    let intro = AgentIntro {
        name: format!("agent-{link}").into(),
        life: link,
        hall: "hall".into(),
        protocol: 1,
    };
    let target = TargetInfo {
        life: TargetIncarnation {
            name: "life".into(),
            born: None,
        },
        service: "service".into(),
        capacity: CAPACITY,
        labels: Vec::new(),
        leaving: false,
    };
    entry.handle(ms(2), EntryEvent::LinkUp(link, None));
    let hello = vec![AgentNews::Hello(intro), AgentNews::Target(Some(target))];
    entry.handle(ms(2), from_agent(link, hello));
    entry.handle(ms(3), from_agent(link, Vec::new()));
}

fn join_neighbour(
    entry: &mut BatchEntryCore,
    now: Now,
    link: SessionId,
    protocol: ProtocolVersion,
) -> Vec<EntryAction> {
    let intro = PeerIntro {
        name: format!("entry-{link}").into(),
        life: link,
        address: ([10, 0, 0, link as u8], 7720).into(),
        config: 1,
        evacuations: 0,
        entries: Vec::new(),
        protocol,
        processor_millis: 0,
        hall: "".into(),
    };
    entry.handle(now, EntryEvent::LinkUp(link, None));
    entry.handle(now, from_neighbour(link, PeerNews::Hello(intro)))
}

/// An entry with three agents, two neighbours of protocol 1 and one of protocol 0.
fn ready_entry() -> BatchEntryCore {
    let mut entry = BatchEntryCore::new(EntryOptions {
        name: "entry".into(),
        incarnation: OWN,
        hall: "hall".into(),
        address: "10.0.0.1:7720".parse().expect("an address"),
        seeds: Vec::new(),
        seed: 1,
        timings: Timings::default(),
        link_rate: None,
        processor_share: None,
        far_factor: None,
    });
    entry.handle(ms(1), config());
    for link in AGENTS {
        join_agent(&mut entry, link);
    }
    join_neighbour(&mut entry, ms(4), NEIGHBOUR, 1);
    join_neighbour(&mut entry, ms(4), OTHER_NEIGHBOUR, 1);
    join_neighbour(&mut entry, ms(4), OLD_NEIGHBOUR, 0);
    entry
}

fn key(run: RunNumber) -> RunKey {
    let task = TaskKey {
        batch: BATCH,
        time: 0,
        step: 0,
        index: 0,
    };
    RunKey { task, run }
}

fn notice(owner: Incarnation, run: RunNumber, alone: bool) -> CrashNotice {
    CrashNotice {
        key: key(run),
        owner,
        alone,
        age_ms: 0,
    }
}

fn agent_notice(notice: CrashNotice) -> EntryEvent {
    from_agent(AGENTS[0], vec![AgentNews::Crashed(notice)])
}

fn crashed(link: SessionId, run: RunNumber, alone: bool) -> EntryEvent {
    let end = RunEnd::Crashed { alone };
    let key = key(run);
    let ran_ms = 0;
    from_agent(link, vec![AgentNews::Ended { key, end, ran_ms }])
}

fn replies(actions: &[EntryAction]) -> Vec<Reply> {
    let replies = actions.iter().filter_map(|a| match a {
        EntryAction::Reply(_, reply) => Some(reply.clone()),
        _ => None,
    });
    replies.collect()
}

fn orders(actions: &[EntryAction]) -> Vec<(SessionId, Order)> {
    let mut orders = Vec::new();
    for action in actions {
        if let EntryAction::Send(link, Packet::FromEntry(packet)) = action {
            orders.extend(packet.orders.iter().map(|o| (*link, o.clone())));
        }
    }
    orders
}

/// The only start order among the actions.
fn start(actions: &[EntryAction]) -> (SessionId, StartOrder) {
    let starts = orders(actions).into_iter().filter_map(|(link, o)| match o {
        Order::Start(order) => Some((link, order)),
        _ => None,
    });
    let starts: Vec<_> = starts.collect();
    assert_eq!(starts.len(), 1, "{actions:?}");
    starts[0].clone()
}

/// The crash notices among the actions, with the links that they are sent on.
fn sent_notices(actions: &[EntryAction]) -> Vec<(SessionId, CrashNotice)> {
    let mut sent = Vec::new();
    for action in actions {
        if let EntryAction::Send(link, Packet::BetweenEntries(packet)) = action {
            for news in &packet.news {
                if let PeerNews::Crashed(notice) = news {
                    sent.push((*link, *notice));
                }
            }
        }
    }
    sent
}

#[test]
fn test_handle_notice_of_an_agent_makes_the_next_batch_a_suspect() {
    // The owner died at the crash and no neighbour tells of it.
    let mut entry = ready_entry();
    entry.handle(ms(10), agent_notice(notice(DEAD, 4, false)));
    let (_, order) = start(&entry.handle(ms(20), submission(50)));
    assert!(order.alone);
    assert_eq!(order.runs, [(0, 5)]);
}

#[test]
fn test_handle_notice_of_a_neighbour_makes_the_next_batch_a_suspect() {
    // The owner died at the crash, and the agent has no link to this entry.
    let mut entry = ready_entry();
    let news = PeerNews::Crashed(notice(DEAD, 1, false));
    entry.handle(ms(10), from_neighbour(NEIGHBOUR, news));
    let (_, order) = start(&entry.handle(ms(20), submission(50)));
    assert!(order.alone);
}

#[test]
fn test_handle_batch_without_notice_is_no_suspect() {
    let mut entry = ready_entry();
    let other = TaskKey {
        batch: BATCH + 1,
        ..key(1).task
    };
    let other = CrashNotice {
        key: RunKey {
            task: other,
            run: 1,
        },
        ..notice(DEAD, 1, true)
    };
    entry.handle(ms(10), agent_notice(other));
    let (_, order) = start(&entry.handle(ms(20), submission(50)));
    assert!(!order.alone);
    assert_eq!(order.runs, [(0, 1)]);
}

#[test]
fn test_handle_batch_whose_crashes_suffice_fails_at_once() {
    let mut entry = ready_entry();
    entry.handle(ms(10), agent_notice(notice(DEAD, 1, false)));
    entry.handle(ms(11), agent_notice(notice(DEAD, 2, true)));
    let actions = entry.handle(ms(20), submission(50));
    assert_eq!(replies(&actions), [Reply::Failed]);
    assert_eq!(orders(&actions), []);
    assert_eq!(entry.gauges().batches, 0);
}

#[test]
fn test_handle_notice_is_forgotten_after_the_callers_may_no_longer_retry() {
    let mut entry = ready_entry();
    entry.handle(ms(10), agent_notice(notice(DEAD, 1, false)));
    entry.handle(ms(11), agent_notice(notice(DEAD, 2, true)));
    for link in AGENTS {
        entry.handle(ms(30_100), from_agent(link, Vec::new()));
    }
    let actions = entry.handle(ms(30_101), submission(50));
    assert_eq!(replies(&actions), []);
}

#[test]
fn test_handle_crash_that_agent_and_neighbour_report_counts_once() {
    // Two crashes at the last of which the task ran alone would give it up.
    let mut entry = ready_entry();
    let (link, _) = start(&entry.handle(ms(10), submission(50)));
    let own = notice(OWN, 1, true);
    entry.handle(ms(20), from_neighbour(NEIGHBOUR, PeerNews::Crashed(own)));
    let actions = entry.handle(ms(21), crashed(link, 1, true));
    assert_eq!(replies(&actions), []);
    let (_, order) = start(&actions);
    assert_eq!((order.alone, order.runs), (true, vec![(0, 2)]));
    let actions = entry.handle(ms(22), agent_notice(own));
    assert_eq!(replies(&actions), []);
    let news = PeerNews::Crashed(own);
    let actions = entry.handle(ms(23), from_neighbour(OTHER_NEIGHBOUR, news));
    assert_eq!(replies(&actions), []);
    assert_eq!(entry.gauges().batches, 1);
}

#[test]
fn test_handle_crash_known_before_counts_with_one_of_an_own_run() {
    let mut entry = ready_entry();
    entry.handle(ms(10), agent_notice(notice(DEAD, 1, false)));
    let (link, order) = start(&entry.handle(ms(20), submission(50)));
    let run = order.runs[0].1;
    let actions = entry.handle(ms(30), crashed(link, run, true));
    assert_eq!(replies(&actions), [Reply::Failed]);
}

#[test]
fn test_handle_notice_during_a_run_gives_the_task_up() {
    // The caller came here before the notices, because they were delayed.
    let mut entry = ready_entry();
    let (link, order) = start(&entry.handle(ms(10), submission(50)));
    let actions = entry.handle(ms(20), agent_notice(notice(DEAD, 1, false)));
    assert_eq!(replies(&actions), []);
    let actions = entry.handle(ms(21), agent_notice(notice(DEAD, 2, true)));
    assert_eq!(replies(&actions), [Reply::Failed]);
    let stop = (link, Order::Stop(vec![key(order.runs[0].1)]));
    assert_eq!(orders(&actions), [stop]);
}

#[test]
fn test_handle_batch_again_at_the_same_entry_counts_its_crashes_apart() {
    // The caller gives up after each crash and comes back. Both runs would have the number 1.
    let mut entry = ready_entry();
    let (link, _) = start(&entry.handle(ms(10), submission(50)));
    entry.handle(ms(15), EntryEvent::CallerGone(50));
    entry.handle(ms(20), crashed(link, 1, false));
    assert_eq!(entry.gauges().batches, 0);
    let (link, order) = start(&entry.handle(ms(30), submission(51)));
    assert_eq!((order.alone, order.runs), (true, vec![(0, 2)]));
    let actions = entry.handle(ms(40), crashed(link, 2, true));
    assert_eq!(replies(&actions), [Reply::Failed]);
}

#[test]
fn test_handle_two_shared_crashes_and_the_end_of_the_time_do_not_fail_the_batch() {
    // Guards against an innocent task that is answered as failed for running twice beside the cause.
    let mut entry = ready_entry();
    entry.handle(ms(10), agent_notice(notice(DEAD, 1, false)));
    entry.handle(ms(11), agent_notice(notice(DEAD, 2, false)));
    let (link, order) = start(&entry.handle(ms(20), submission(50)));
    assert!(order.alone);
    for at in (100..2_000).step_by(100) {
        entry.handle(ms(at), from_agent(link, Vec::new()));
    }
    entry.handle(ms(2_021), EntryEvent::Wake);
    let ended = AgentNews::Ended {
        key: key(order.runs[0].1),
        end: RunEnd::Stopped,
        ran_ms: 90,
    };
    let actions = entry.handle(ms(2_030), from_agent(link, vec![ended]));
    assert_eq!(replies(&actions), [Reply::GaveUp]);
}

#[test]
fn test_handle_new_notice_is_passed_on_once_to_neighbours_that_understand_it() {
    let mut entry = ready_entry();
    entry.handle(ms(10), EntryEvent::Wake);
    let told = notice(DEAD, 1, false);
    let news = PeerNews::Crashed(told);
    let mut actions = entry.handle(ms(20), from_neighbour(NEIGHBOUR, news.clone()));
    actions.extend(entry.handle(ms(25), agent_notice(told)));
    actions.extend(entry.handle(ms(26), from_neighbour(OTHER_NEIGHBOUR, news)));
    actions.extend(entry.handle(ms(100), EntryEvent::Wake));
    assert_eq!(sent_notices(&actions), [(OTHER_NEIGHBOUR, told)]);
}

#[test]
fn test_handle_crash_of_an_own_run_is_told_to_neighbours() {
    let mut entry = ready_entry();
    let (link, _) = start(&entry.handle(ms(10), submission(50)));
    let mut actions = entry.handle(ms(20), crashed(link, 1, false));
    actions.extend(entry.handle(ms(100), EntryEvent::Wake));
    let told = notice(OWN, 1, false);
    let expected = [(NEIGHBOUR, told), (OTHER_NEIGHBOUR, told)];
    assert_eq!(sent_notices(&actions), expected);
}

#[test]
fn test_handle_new_neighbour_is_told_of_recent_crashes() {
    // The next incarnation of a killed entry may get its callers' batches again.
    let mut entry = ready_entry();
    entry.handle(ms(10), agent_notice(notice(DEAD, 1, false)));
    let actions = join_neighbour(&mut entry, ms(510), 14, 1);
    let aged = CrashNotice {
        age_ms: 500,
        ..notice(DEAD, 1, false)
    };
    let to_new: Vec<_> = sent_notices(&actions)
        .into_iter()
        .filter(|(link, _)| *link == 14)
        .collect();
    assert_eq!(to_new, [(14, aged)]);
    let actions = join_neighbour(&mut entry, ms(520), 15, 0);
    assert!(sent_notices(&actions).iter().all(|(link, _)| *link != 15));
}

/// When it is decided about a task that shared a crash, told of at 10 ms, with another one: the
/// lease on the other one's next target has lapsed, with some time to get there.
const VERDICT_AT: Now = ms(1_250);

/// An entry whose batch shared a crash with another batch and then crashed a target alone.
fn entry_with_two_crashes() -> BatchEntryCore {
    let mut entry = ready_entry();
    let shared = [notice(DEAD, 1, false), other_notice(1, false)];
    let news = shared.map(AgentNews::Crashed).to_vec();
    entry.handle(ms(10), from_agent(AGENTS[0], news));
    let (link, order) = start(&entry.handle(ms(20), submission(50)));
    assert!(order.alone);
    let actions = entry.handle(ms(300), crashed(link, order.runs[0].1, true));
    assert_eq!(replies(&actions), []);
    assert_eq!(orders(&actions), []);
    entry
}

/// A notice of a crash during a run of another batch.
fn other_notice(run: RunNumber, alone: bool) -> CrashNotice {
    let mut notice = notice(DEAD, run, alone);
    notice.key.task.batch += 1;
    notice
}

/// Lets the agents show that they are alive.
fn hear_agents(entry: &mut BatchEntryCore, now: Now) {
    for link in AGENTS {
        entry.handle(now, from_agent(link, Vec::new()));
    }
}

#[test]
fn test_handle_second_crash_fails_the_batch_once_no_other_suspect_crashed_again() {
    let mut entry = entry_with_two_crashes();
    let before = entry.handle(VERDICT_AT - ms(1), EntryEvent::Wake);
    assert_eq!(replies(&before), []);
    assert_eq!(entry.next_wake(), Some(VERDICT_AT));
    let actions = entry.handle(VERDICT_AT, EntryEvent::Wake);
    assert_eq!(replies(&actions), [Reply::Failed]);
}

#[test]
fn test_handle_innocent_whose_next_target_exits_is_not_given_up() {
    // Guards against an innocent batch that is answered as failed because its next target crashes of
    // itself. The cause of the shared crash is known only later.
    let mut entry = entry_with_two_crashes();
    hear_agents(&mut entry, ms(1_000));
    let news = vec![AgentNews::Crashed(other_notice(2, true))];
    entry.handle(ms(1_200), from_agent(AGENTS[1], news));
    let actions = entry.handle(VERDICT_AT, EntryEvent::Wake);
    assert_eq!(replies(&actions), []);
    let (link, order) = start(&actions);
    assert!(order.alone);
    let ended = AgentNews::Ended {
        key: key(order.runs[0].1),
        end: RunEnd::Done,
        ran_ms: 100,
    };
    let actions = entry.handle(VERDICT_AT + ms(100), from_agent(link, vec![ended]));
    assert_eq!(replies(&actions), [Reply::Succeeded]);
}

#[test]
fn test_handle_third_crash_fails_the_batch_although_evidence_was_disputed() {
    let mut entry = entry_with_two_crashes();
    hear_agents(&mut entry, ms(1_000));
    let news = vec![AgentNews::Crashed(other_notice(2, true))];
    entry.handle(ms(1_200), from_agent(AGENTS[1], news));
    let (link, order) = start(&entry.handle(VERDICT_AT, EntryEvent::Wake));
    let crashed = crashed(link, order.runs[0].1, true);
    let actions = entry.handle(VERDICT_AT + ms(50), crashed);
    assert_eq!(replies(&actions), [Reply::Failed]);
}
