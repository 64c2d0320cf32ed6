//! Witnesses of runs: an entry reports its orders to another one, which announces the runs of a lost
//! entry at agents that are silent.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::batch::{BatchSpec, StepSpec};
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{EntryAction, EntryEvent, EntryOptions, Submission};
use trestleknot_lib::ids::{Incarnation, Now, SessionId};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{BatchId, RunEnd, RunKey, TaskKey};
use trestleknot_lib::run_message::{
    AgentIntro, AgentNews, AgentPacket, DispatchNotice, DispatchedBatch, Order, Packet, PeerIntro,
    PeerNews, PeerPacket, RunsNotice, TargetInfo,
};
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::timings::Timings;

const HOST: &str = "host.example";
const BATCH: BatchId = 5;
const SILENT: SessionId = 1;
const AWAKE: SessionId = 2;
const OWNER: SessionId = 10;
const OTHER: SessionId = 11;
const OWNER_LIFE: Incarnation = 0xe1;
/// Lowest protocol version with reports.
const REPORTS: u32 = 4;
const CAPACITY: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 1_024,
    accelerators: 0,
};

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// An entry with its messages to agents and other entries, in the order in which they were sent.
struct Fixture {
    entry: BatchEntryCore,
    now: Now,
    /// Agents that send packets while time passes.
    heard: Vec<SessionId>,
    sent: Vec<(SessionId, Packet)>,
}

impl Fixture {
    /// An entry with a configuration, two agents and two entries of this protocol version.
    fn new(protocol: u32) -> Self {
        let entry = BatchEntryCore::new(EntryOptions {
            name: "entry".into(),
            incarnation: 1,
            hall: "hall".into(),
            address: "10.0.0.1:7720".parse().expect("an address"),
            seeds: Vec::new(),
            seed: 1,
            timings: Timings::default(),
            link_rate: None,
            processor_share: None,
            far_factor: None,
        });
        let mut fixture = Self {
            entry,
            now: ms(1),
            heard: Vec::new(),
            sent: Vec::new(),
        };
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
        fixture.handle(EntryEvent::Config(Arc::new(QueueTable {
            version: 1,
            queues: vec![Arc::new(queue)],
            limits: RequestLimits { body_bytes: 65_536 },
        })));
        fixture.meet(OWNER, OWNER_LIFE, protocol);
        fixture.meet(OTHER, 0xe2, protocol);
        for link in [SILENT, AWAKE] {
            fixture.join(link, link);
            fixture.hear(link, vec![AgentNews::RunsListed]);
        }
        fixture
    }

    fn handle(&mut self, event: EntryEvent) {
        for action in self.entry.handle(self.now, event) {
            if let EntryAction::Send(link, packet) = action {
                self.sent.push((link, packet));
            }
        }
    }

    fn peer_news(&mut self, link: SessionId, news: Vec<PeerNews>) {
        let clock = self.now.as_millis() as u64;
        let packet = Packet::BetweenEntries(PeerPacket { clock, news });
        self.handle(EntryEvent::Packet(link, packet));
    }

    fn meet(&mut self, link: SessionId, life: Incarnation, protocol: u32) {
        self.handle(EntryEvent::LinkUp(link, None));
        let intro = PeerIntro {
            name: format!("entry-{link}").into(),
            life,
            address: format!("10.0.0.{link}:7720").parse().expect("an address"),
            config: 1,
            evacuations: 0,
            entries: Vec::new(),
            protocol,
            processor_millis: 0,
            hall: "hall".into(),
        };
        self.peer_news(link, vec![PeerNews::Hello(intro)]);
    }

    /// Handles a packet that an agent wrote at this time.
    fn hear_from(&mut self, link: SessionId, wrote_at: Now, news: Vec<AgentNews>) {
        let packet = AgentPacket {
            clock: wrote_at.as_millis() as u64,
            free: CAPACITY,
            starts_seen: u64::MAX,
            health: HealthReport::default(),
            news,
        };
        self.handle(EntryEvent::Packet(link, Packet::FromAgent(packet)));
    }

    fn hear(&mut self, link: SessionId, news: Vec<AgentNews>) {
        self.hear_from(link, self.now, news);
    }

    /// Connects the agent whose name is that of its first link.
    fn join(&mut self, link: SessionId, agent: SessionId) {
        self.handle(EntryEvent::LinkUp(link, None));
        let intro = AgentIntro {
            name: format!("agent-{agent}").into(),
            life: agent,
            hall: "hall".into(),
            protocol: REPORTS,
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
        let news = vec![AgentNews::Hello(intro), AgentNews::Target(Some(target))];
        self.hear(link, news);
        self.heard.push(link);
    }

    fn submit(&mut self) {
        let step = StepSpec {
            count: 1,
            size: Resources::NONE,
            estimate: ms(60),
            after: Vec::new(),
            required_label: None,
            preferred_rack: None,
            most_per_target: None,
        };
        self.handle(EntryEvent::Submit(Submission {
            request: 7,
            host: HOST.to_owned(),
            path: "/q/0000000000000005".to_owned(),
            spec: BatchSpec {
                id: BATCH,
                payload: "work".into(),
                steps: vec![step],
                unsupported: None,
            },
            caller_timeout: ms(60_000),
            max_age: Some(Duration::ZERO),
            caller_request: "".into(),
        }));
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + ms(10)).min(until);
            for link in self.heard.clone() {
                self.hear(link, Vec::new());
            }
            for link in [OWNER, OTHER] {
                self.peer_news(link, vec![PeerNews::Heartbeat]);
            }
            self.handle(EntryEvent::Wake);
        }
    }

    fn reports(&self) -> Vec<(SessionId, DispatchNotice)> {
        let all = self
            .news_to_entries()
            .filter_map(|(link, news)| match news {
                PeerNews::Dispatched(notice) => Some((link, notice.clone())),
                _ => None,
            });
        all.collect()
    }

    fn news_to_entries(&self) -> impl Iterator<Item = (SessionId, &PeerNews)> {
        self.sent.iter().flat_map(|(link, packet)| {
            let news = match packet {
                Packet::BetweenEntries(packet) => &packet.news[..],
                _ => &[],
            };
            news.iter().map(|news| (*link, news))
        })
    }

    /// Notices to the other entry that runs of the lost one are left, and that they are over.
    fn notices(&self) -> (usize, usize) {
        let is_meant = |n: &RunsNotice| (n.batch, n.holder, n.owner) == (BATCH, 1, OWNER_LIFE);
        let count = |is: fn(&PeerNews) -> Option<&RunsNotice>| {
            let to_other = self.news_to_entries().filter(|(link, _)| *link == OTHER);
            to_other
                .filter_map(|(_, news)| is(news))
                .filter(|n| is_meant(n))
                .count()
        };
        let left = count(|news| match news {
            PeerNews::RunsLeft(notice) => Some(notice),
            _ => None,
        });
        let over = count(|news| match news {
            PeerNews::RunsOver(notice) => Some(notice),
            _ => None,
        });
        (left, over)
    }

    /// Links on which a start was ordered, with the position of the packet.
    fn starts(&self) -> Vec<(usize, SessionId)> {
        let has_start = |packet: &Packet| match packet {
            Packet::FromEntry(packet) => packet.orders.iter().any(|o| matches!(o, Order::Start(_))),
            _ => false,
        };
        let sent = self.sent.iter().enumerate();
        let starts = sent.filter(|(_, (_, packet))| has_start(packet));
        starts
            .map(|(position, (link, _))| (position, *link))
            .collect()
    }
}

fn orders_at(agents: &[SessionId]) -> DispatchNotice {
    let agents = agents.iter().map(|agent| format!("agent-{agent}").into());
    DispatchNotice {
        batches: vec![DispatchedBatch {
            batch: BATCH,
            agents: agents.collect(),
        }],
        ended: Vec::new(),
    }
}

// Guards against a run that nobody but its owner knows of: the owner is killed right after its order.
#[test]
fn test_handle_order_is_sent_after_the_report_to_one_witness() {
    let mut fixture = Fixture::new(REPORTS);
    fixture.submit();
    let starts = fixture.starts();
    let [(ordered_at, agent)] = starts[..] else {
        panic!("one order: {starts:?}");
    };
    let reports = fixture.reports();
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].1, orders_at(&[agent]));
    let is_report = |(_, packet): &(SessionId, Packet)| match packet {
        Packet::BetweenEntries(packet) => matches!(packet.news[..], [PeerNews::Dispatched(_)]),
        _ => false,
    };
    let reported_at = fixture.sent.iter().position(is_report);
    assert!(reported_at.is_some_and(|at| at < ordered_at));
}

#[test]
fn test_handle_lost_witness_is_replaced() {
    let mut fixture = Fixture::new(REPORTS);
    fixture.submit();
    let (first, report) = fixture.reports().remove(0);
    fixture.handle(EntryEvent::LinkDown(first));
    let (second, repeated) = fixture.reports().remove(1);
    assert_ne!(first, second);
    assert_eq!(report, repeated);
}

#[test]
fn test_handle_end_of_a_batch_is_reported() {
    let mut fixture = Fixture::new(REPORTS);
    fixture.submit();
    let (_, agent) = fixture.starts()[0];
    let task = TaskKey {
        batch: BATCH,
        time: 0,
        step: 0,
        index: 0,
    };
    let ended = AgentNews::Ended {
        key: RunKey { task, run: 1 },
        end: RunEnd::Done,
        ran_ms: 60,
    };
    fixture.hear(agent, vec![ended]);
    fixture.pass(ms(1_100));
    let ended: Vec<BatchId> = fixture
        .reports()
        .into_iter()
        .flat_map(|(_, n)| n.ended)
        .collect();
    assert_eq!(ended, [BATCH]);
}

// Builds without reports close a link on a message that they can't decode.
#[test]
fn test_handle_entry_of_an_older_build_gets_no_reports() {
    let mut fixture = Fixture::new(REPORTS - 1);
    fixture.submit();
    assert_eq!(fixture.starts().len(), 1);
    assert_eq!(fixture.reports(), []);
}

/// A witness of runs at these agents whose owner is killed, while the first agent is silent.
fn witness_of(agents: &[SessionId]) -> Fixture {
    let mut fixture = Fixture::new(REPORTS);
    fixture.pass(ms(1_000));
    fixture.peer_news(OWNER, vec![PeerNews::Dispatched(orders_at(agents))]);
    fixture.heard.retain(|link| *link != SILENT);
    fixture.pass(ms(30));
    fixture.handle(EntryEvent::LinkDown(OWNER));
    fixture
}

// Guards against two runs of a task at once: its owner was killed while the agent's VM is suspended, and
// its caller returns to an entry that knows of no run.
#[test]
fn test_handle_runs_of_a_lost_entry_at_a_silent_agent_are_announced() {
    let mut fixture = witness_of(&[SILENT, AWAKE]);
    let return_time = Timings::default().caller_retry_interval;
    fixture.pass(return_time - ms(300));
    assert_eq!(fixture.notices(), (1, 0));
    fixture.submit();
    assert_eq!(fixture.starts(), [], "the batch is held here too");
}

#[test]
fn test_handle_runs_of_a_lost_entry_at_agents_that_are_awake_are_not_announced() {
    let mut fixture = witness_of(&[AWAKE]);
    fixture.pass(ms(3_000));
    assert_eq!(fixture.notices(), (0, 0));
}

// The VM of an agent whose connection was closed is awake: the lease of its target lapses.
#[test]
fn test_handle_runs_of_a_lost_entry_at_a_closed_agent_are_not_announced() {
    let mut fixture = witness_of(&[SILENT]);
    fixture.handle(EntryEvent::LinkDown(SILENT));
    fixture.pass(ms(3_000));
    assert_eq!(fixture.notices(), (0, 0));
}

#[test]
fn test_handle_runs_of_an_entry_whose_link_is_back_are_not_announced() {
    let mut fixture = witness_of(&[SILENT]);
    fixture.meet(OWNER, OWNER_LIFE, REPORTS);
    fixture.pass(ms(3_000));
    assert_eq!(fixture.notices(), (0, 0));
}

#[test]
fn test_handle_ended_batch_of_a_lost_entry_is_not_announced() {
    let mut fixture = Fixture::new(REPORTS);
    let ended = DispatchNotice {
        batches: Vec::new(),
        ended: vec![BATCH],
    };
    for notice in [orders_at(&[SILENT]), ended] {
        fixture.peer_news(OWNER, vec![PeerNews::Dispatched(notice)]);
    }
    fixture.heard.retain(|link| *link != SILENT);
    fixture.handle(EntryEvent::LinkDown(OWNER));
    fixture.pass(ms(3_000));
    assert_eq!(fixture.notices(), (0, 0));
}

// An entry that lost power closes no connection. Agents that are awake notice its silence.
#[test]
fn test_handle_runs_of_an_entry_that_agents_announce_are_announced() {
    let mut fixture = Fixture::new(REPORTS);
    fixture.pass(ms(1_000));
    fixture.peer_news(
        OWNER,
        vec![PeerNews::Dispatched(orders_at(&[SILENT, AWAKE]))],
    );
    fixture.heard.retain(|link| *link != SILENT);
    fixture.pass(ms(500));
    let announced = AgentNews::RunsLeft(RunsNotice {
        batch: BATCH,
        holder: AWAKE,
        owner: OWNER_LIFE,
        number: 1,
    });
    fixture.hear(AWAKE, vec![announced]);
    fixture.pass(ms(500));
    assert_eq!(fixture.notices(), (1, 0));
}

// Guards against a batch that is released too soon: a packet that the agent wrote before its VM was
// suspended arrives when it resumes, before the agent acts.
#[test]
fn test_handle_packet_from_before_the_loss_ends_no_announcement() {
    let mut fixture = witness_of(&[SILENT]);
    let lost_at = fixture.now;
    fixture.pass(ms(1_200));
    assert_eq!(fixture.notices(), (1, 0));
    fixture.hear_from(SILENT, lost_at - ms(25), Vec::new());
    fixture.pass(ms(100));
    assert_eq!(fixture.notices(), (1, 0));
    fixture.hear(SILENT, Vec::new());
    fixture.pass(ms(100));
    assert_eq!(fixture.notices(), (1, 1));
}

// Guards against a batch that is released before the agent has announced the runs that it still has.
#[test]
fn test_handle_agent_on_a_new_link_ends_an_announcement_once_its_runs_are_listed() {
    let mut fixture = witness_of(&[SILENT]);
    fixture.pass(ms(1_900));
    assert_eq!(fixture.notices(), (1, 0));
    fixture.join(3, SILENT);
    fixture.pass(ms(200));
    assert_eq!(fixture.notices(), (1, 0));
    fixture.hear(3, vec![AgentNews::RunsListed]);
    fixture.pass(ms(100));
    assert_eq!(fixture.notices(), (1, 1));
    fixture.submit();
    assert_eq!(fixture.starts().len(), 1);
}
