//! Cancels that reach an entry before their batch, or another entry than the one that holds it.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::batch::{BatchSpec, StepSpec};
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{
    BatchQuery, EntryAction, EntryEvent, EntryOptions, Reply, Submission,
};
use trestleknot_lib::ids::{Incarnation, Now, RequestId, SessionId};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::BatchId;
use trestleknot_lib::run_message::{
    AgentIntro, AgentNews, AgentPacket, Order, Packet, PeerIntro, PeerNews, PeerPacket,
    ProtocolVersion, TargetInfo,
};
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::timings::Timings;

const HOST: &str = "host.example";
const BATCH: BatchId = 0xb1;
/// Link of each entry to its agent.
const AGENT: SessionId = 1;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn core(incarnation: Incarnation) -> BatchEntryCore {
    BatchEntryCore::new(EntryOptions {
        name: format!("entry-{incarnation}").into(),
        incarnation,
        hall: "hall".into(),
        address: format!("10.0.0.{incarnation}:7720")
            .parse()
            .expect("an address"),
        seeds: Vec::new(),
        seed: 1,
        timings: Timings::default(),
        link_rate: None,
        processor_share: None,
        far_factor: None,
    })
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

fn from_agent(news: Vec<AgentNews>, clock: u64) -> EntryEvent {
    let packet = AgentPacket {
        clock,
        free: Resources {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        starts_seen: 0,
        health: HealthReport::default(),
        news,
    };
    EntryEvent::Packet(AGENT, Packet::FromAgent(packet))
}

fn agent_hello() -> EntryEvent {
    let intro = AgentIntro {
        name: "agent".into(),
        life: 7,
        hall: "hall".into(),
        protocol: 2,
    };
    let target = TargetInfo {
        life: TargetIncarnation {
            name: "life".into(),
            born: None,
        },
        service: "service".into(),
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        labels: Vec::new(),
        leaving: false,
    };
    let news = vec![AgentNews::Hello(intro), AgentNews::Target(Some(target))];
    from_agent(news, 0)
}

/// An entry with a target; it has no configuration yet.
fn entry_without_config(incarnation: Incarnation) -> BatchEntryCore {
    let mut entry = core(incarnation);
    entry.handle(ms(1), EntryEvent::LinkUp(AGENT, None));
    entry.handle(ms(1), agent_hello());
    entry.handle(ms(2), from_agent(Vec::new(), 1));
    entry
}

fn entry(incarnation: Incarnation) -> BatchEntryCore {
    let mut entry = entry_without_config(incarnation);
    entry.handle(ms(2), config());
    entry
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
        path: format!("/q/{BATCH:016x}"),
        spec: BatchSpec {
            id: BATCH,
            payload: "work".into(),
            steps: vec![step],
            unsupported: None,
        },
        caller_timeout: ms(20_000),
        max_age: Some(Duration::ZERO),
        caller_request: "".into(),
    })
}

fn cancel(request: RequestId) -> EntryEvent {
    EntryEvent::Cancel(BatchQuery {
        request,
        host: HOST.to_owned(),
        path: format!("/q/{BATCH:016x}"),
        batch: Some(BATCH),
    })
}

fn replies(actions: &[EntryAction]) -> Vec<(RequestId, Reply)> {
    let replies = actions.iter().filter_map(|a| match a {
        EntryAction::Reply(request, reply) => Some((*request, reply.clone())),
        _ => None,
    });
    replies.collect()
}

fn orders(actions: &[EntryAction]) -> impl Iterator<Item = &Order> {
    let packets = actions.iter().filter_map(|a| match a {
        EntryAction::Send(AGENT, Packet::FromEntry(packet)) => Some(packet),
        _ => None,
    });
    packets.flat_map(|p| &p.orders)
}

fn has_start(actions: &[EntryAction]) -> bool {
    orders(actions).any(|o| matches!(o, Order::Start(_)))
}

fn has_stop(actions: &[EntryAction]) -> bool {
    orders(actions).any(|o| matches!(o, Order::Stop(_)))
}

/// Linked entries. The link from entry A to entry B has the number 10 A + B on either side, where A
/// has the lower index.
struct Fleet {
    now: Now,
    entries: Vec<BatchEntryCore>,
    actions: Vec<Vec<EntryAction>>,
    /// Packets on their way: sender, receiver and packet.
    packets: Vec<(usize, usize, PeerPacket)>,
    /// Number of news between entries that were delivered, without heartbeats.
    news: usize,
}

fn link(a: usize, b: usize) -> SessionId {
    (10 * a.min(b) + a.max(b) + 100) as SessionId
}

impl Fleet {
    fn new(entries: Vec<BatchEntryCore>) -> Self {
        Self {
            now: ms(10),
            actions: entries.iter().map(|_| Vec::new()).collect(),
            entries,
            packets: Vec::new(),
            news: 0,
        }
    }

    /// Entries that are all linked to one another.
    fn linked(count: usize) -> Self {
        let mut fleet = Self::new((0..count).map(|i| entry(i as Incarnation + 1)).collect());
        for a in 0..count {
            for b in a + 1..count {
                fleet.link(a, b);
            }
        }
        fleet.pass(ms(200));
        fleet
    }

    fn link(&mut self, a: usize, b: usize) {
        let address = format!("10.0.0.{}:7720", b + 1)
            .parse()
            .expect("an address");
        self.tell(b, EntryEvent::LinkUp(link(a, b), None));
        self.tell(a, EntryEvent::LinkUp(link(a, b), Some(address)));
    }

    fn unlink(&mut self, a: usize, b: usize) {
        self.tell(a, EntryEvent::LinkDown(link(a, b)));
        self.tell(b, EntryEvent::LinkDown(link(a, b)));
        self.packets
            .retain(|(from, to, _)| link(*from, *to) != link(a, b));
    }

    fn tell(&mut self, to: usize, event: EntryEvent) {
        let actions = self.entries[to].handle(self.now, event);
        for action in &actions {
            if let EntryAction::Send(session, Packet::BetweenEntries(packet)) = action {
                let other = (0..self.entries.len()).find(|i| *i != to && link(*i, to) == *session);
                if let Some(other) = other {
                    self.packets.push((to, other, packet.clone()));
                }
            }
        }
        self.actions[to].extend(actions);
    }

    /// Lets time pass, with links in order.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += ms(1);
            for (from, to, packet) in std::mem::take(&mut self.packets) {
                let news = packet.news.iter();
                self.news += news.filter(|n| **n != PeerNews::Heartbeat).count();
                let event = EntryEvent::Packet(link(from, to), Packet::BetweenEntries(packet));
                self.tell(to, event);
            }
            for i in 0..self.entries.len() {
                let clock = self.now.as_millis() as u64;
                if clock.is_multiple_of(20) {
                    self.tell(i, from_agent(Vec::new(), clock));
                }
                if self.entries[i].next_wake().is_some_and(|at| at <= self.now) {
                    self.tell(i, EntryEvent::Wake);
                }
            }
        }
    }

    fn replies(&self, entry: usize) -> Vec<(RequestId, Reply)> {
        replies(&self.actions[entry])
    }
}

// Guards against a batch that runs although its cancel was answered: in the sockets of an entry that
// stood still, the cancel is read first.
#[test]
fn test_handle_cancel_before_its_batch_starts_nothing() {
    let mut entry = entry(1);
    let actions = entry.handle(ms(10), cancel(5));
    assert_eq!(replies(&actions), [(5, Reply::NoBatch)]);
    let actions = entry.handle(ms(11), submission(6));
    assert_eq!(replies(&actions), [(6, Reply::Cancelled)]);
    assert!(!has_start(&actions), "{actions:?}");
    assert_eq!(entry.gauges().batches, 0);
}

// Guards against the same for a batch that waits for the entry's first configuration.
#[test]
fn test_handle_cancel_of_a_batch_that_waits_for_the_configuration_holds() {
    let mut entry = entry_without_config(1);
    assert_eq!(replies(&entry.handle(ms(10), submission(5))), []);
    assert_eq!(
        replies(&entry.handle(ms(11), cancel(6))),
        [(6, Reply::NoBatch)]
    );
    let actions = entry.handle(ms(12), config());
    assert_eq!(replies(&actions), [(5, Reply::Cancelled)]);
    assert!(!has_start(&actions), "{actions:?}");
}

// Guards against a batch that runs on because its cancel reached an entry that doesn't hold it.
#[test]
fn test_handle_cancel_at_another_entry_closes_the_batch() {
    let mut fleet = Fleet::linked(2);
    fleet.tell(0, submission(5));
    assert!(has_start(&fleet.actions[0]));
    fleet.tell(1, cancel(6));
    assert_eq!(fleet.replies(1), [(6, Reply::NoBatch)]);
    fleet.pass(ms(5));
    assert_eq!(fleet.replies(0), [(5, Reply::Cancelled)]);
    assert!(has_stop(&fleet.actions[0]), "{:?}", fleet.actions[0]);
}

// Guards against a batch that runs because it reaches another entry than its cancel did before.
#[test]
fn test_handle_batch_after_its_cancel_at_another_entry_starts_nothing() {
    let mut fleet = Fleet::linked(3);
    fleet.tell(1, cancel(6));
    fleet.pass(ms(20));
    for entry in [0, 2] {
        fleet.tell(entry, submission(7));
        assert_eq!(fleet.replies(entry), [(7, Reply::Cancelled)]);
        assert!(!has_start(&fleet.actions[entry]));
    }
}

// Guards against a cancelled batch that runs because its caller, whose connection broke before the
// cancel's answer to it arrived, comes again at another entry.
#[test]
fn test_handle_cancelled_batch_that_returns_elsewhere_starts_nothing() {
    let mut fleet = Fleet::linked(2);
    fleet.tell(0, submission(5));
    fleet.tell(0, cancel(6));
    let expected = [(5, Reply::Cancelled), (6, Reply::Cancelled)];
    assert_eq!(fleet.replies(0), expected);
    fleet.pass(Timings::default().caller_retry_interval);
    fleet.tell(1, submission(7));
    assert_eq!(fleet.replies(1), [(7, Reply::Cancelled)]);
    assert!(!has_start(&fleet.actions[1]));
}

// Guards against an entry that misses cancels while it has no link, or before it was started.
#[test]
fn test_handle_cancels_are_told_on_new_links() {
    let mut fleet = Fleet::linked(2);
    fleet.unlink(0, 1);
    fleet.tell(1, submission(5));
    fleet.tell(0, cancel(6));
    fleet.pass(ms(100));
    assert!(!has_stop(&fleet.actions[1]));
    fleet.link(0, 1);
    fleet.pass(ms(20));
    assert_eq!(fleet.replies(1), [(5, Reply::Cancelled)]);
    assert!(has_stop(&fleet.actions[1]));
    fleet.tell(1, submission(8));
    assert_eq!(fleet.replies(1)[1..], [(8, Reply::Cancelled)]);
}

// Guards against an entry that is stopped before it has told the others of its last cancel.
#[test]
fn test_handle_cancel_at_a_stopping_entry_is_told_at_once() {
    let mut fleet = Fleet::linked(2);
    fleet.tell(0, EntryEvent::Drain);
    fleet.tell(0, submission(5));
    fleet.tell(0, cancel(6));
    let expected = [(5, Reply::Cancelled), (6, Reply::Cancelled)];
    assert_eq!(fleet.replies(0), expected);
    let is_told = fleet.packets.iter().any(|(_, to, packet)| {
        let mut news = packet.news.iter();
        *to == 1 && news.any(|n| matches!(n, PeerNews::Cancelled(c) if c.batch == BATCH))
    });
    assert!(is_told, "{:?}", fleet.packets);
}

fn from_peer(link: SessionId, news: PeerNews) -> EntryEvent {
    let packet = PeerPacket {
        clock: 0,
        news: vec![news],
    };
    EntryEvent::Packet(link, Packet::BetweenEntries(packet))
}

// Guards against an id that can never be used again once it was cancelled.
#[test]
fn test_handle_cancel_is_forgotten_after_a_time() {
    let mut fleet = Fleet::linked(2);
    fleet.tell(1, cancel(5));
    fleet.pass(ms(60_000));
    for entry in [0, 1] {
        fleet.tell(entry, submission(6));
        assert_eq!(fleet.replies(entry).last().filter(|(r, _)| *r == 6), None);
        assert!(has_start(&fleet.actions[entry]));
    }
}

/// News of `fleet` between entries in this time, without heartbeats.
fn news_sent(fleet: &mut Fleet, time: Duration) -> usize {
    fleet.news = 0;
    fleet.pass(time);
    fleet.news
}

// Guards against cancels that circulate between the entries: each is told once on each link and in
// each direction at most, also if it is repeated.
#[test]
fn test_handle_cancel_is_told_once_on_each_link() {
    let mut fleet = Fleet::linked(4);
    assert_eq!(news_sent(&mut fleet, ms(2_000)), 0);
    fleet.tell(1, cancel(5));
    fleet.tell(1, cancel(6));
    // Three neighbours are told, and each tells the two others.
    assert_eq!(news_sent(&mut fleet, ms(2_000)), 3 + 3 * 2);
    fleet.tell(2, cancel(7));
    assert_eq!(news_sent(&mut fleet, ms(2_000)), 0);
}

/// Number of packets that an entry sends a neighbour of this protocol after a cancel.
fn news_after_cancel(protocol: ProtocolVersion) -> usize {
    let mut entry = entry(1);
    entry.handle(ms(5), EntryEvent::LinkUp(9, None));
    let intro = PeerIntro {
        name: "other".into(),
        life: 2,
        address: "10.0.0.2:7720".parse().expect("an address"),
        config: 1,
        evacuations: 0,
        entries: Vec::new(),
        protocol,
        processor_millis: 0,
        hall: "hall".into(),
    };
    let mut actions = entry.handle(ms(5), from_peer(9, PeerNews::Hello(intro)));
    actions.clear();
    actions.extend(entry.handle(ms(200), cancel(5)));
    actions.extend(entry.handle(ms(300), EntryEvent::Wake));
    let packets = actions
        .iter()
        .filter(|a| matches!(a, EntryAction::Send(9, _)));
    packets.count()
}

// Guards against links that older builds close because they don't know the message.
#[test]
fn test_handle_cancel_is_not_told_to_an_older_build() {
    assert_eq!(news_after_cancel(2), 0);
    assert_eq!(news_after_cancel(3), 1);
}
