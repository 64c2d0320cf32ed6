//! When an entry starts a task again without news of its last run: only after a proof by time.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::batch::{BatchSpec, StepSpec};
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{EntryAction, EntryEvent, EntryOptions, Submission};
use trestleknot_lib::ids::{Incarnation, Now, RequestId, SessionId};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{BatchId, RunEnd, RunKey};
use trestleknot_lib::run_message::{
    AgentIntro, AgentNews, AgentPacket, Order, Packet, PeerIntro, PeerNews, PeerPacket, RunsNotice,
    TargetInfo,
};
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::timings::Timings;

const HOST: &str = "host.example";
const BATCH: BatchId = 5;
const FIRST: SessionId = 1;
const SECOND: SessionId = 2;
const SIZE: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};
const CAPACITY: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 1_024,
    accelerators: 0,
};
/// Longest suspension of a VM for which proofs by time allow.
const LONGEST_SUSPENSION: Duration = ms(10_000);
/// How long after a proof the task may take to start again.
const START_DELAY: Duration = ms(1_000);

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// Time from an entry's last word to an agent until that agent's runs have ended: its lease, the stop,
/// the lapse of the target's lease, and a suspension of the VM.
fn longest_run_without_words() -> Duration {
    let t = Timings::default();
    t.entry_lease + t.stop_bound + t.lapse + LONGEST_SUSPENSION
}

struct Fixture {
    entry: BatchEntryCore,
    now: Now,
    /// Agents that send packets while time passes.
    heard: Vec<SessionId>,
    /// Start orders: time, link and run.
    starts: Vec<(Now, SessionId, RunKey)>,
    /// When a packet was last sent on each link.
    words: Vec<(Now, SessionId)>,
    /// Other orders to agents.
    orders: Vec<(SessionId, Order)>,
    /// News to another entry.
    peer_news: Vec<PeerNews>,
}

impl Fixture {
    /// An entry that has a configuration and no agents.
    fn new() -> Self {
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
            starts: Vec::new(),
            words: Vec::new(),
            orders: Vec::new(),
            peer_news: Vec::new(),
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
        fixture
    }

    fn handle(&mut self, event: EntryEvent) {
        for action in self.entry.handle(self.now, event) {
            match action {
                EntryAction::Send(link, Packet::FromEntry(packet)) => {
                    self.words.push((self.now, link));
                    for order in packet.orders {
                        self.note_order(link, order);
                    }
                }
                EntryAction::Send(_, Packet::BetweenEntries(packet)) => {
                    self.peer_news.extend(packet.news);
                }
                _ => {}
            }
        }
    }

    fn note_order(&mut self, link: SessionId, order: Order) {
        match order {
            Order::Start(order) => {
                let starts = order.keys().map(|key| (self.now, link, key));
                self.starts.extend(starts);
            }
            other => self.orders.push((link, other)),
        }
    }

    fn hear(&mut self, link: SessionId, news: Vec<AgentNews>) {
        let packet = AgentPacket {
            clock: self.now.as_millis() as u64,
            free: CAPACITY,
            starts_seen: u64::MAX,
            health: HealthReport::default(),
            news,
        };
        self.handle(EntryEvent::Packet(link, Packet::FromAgent(packet)));
    }

    /// Connects an agent. Its name is that of its first link.
    fn join(&mut self, link: SessionId, agent: SessionId, life: Incarnation) {
        self.handle(EntryEvent::LinkUp(link, None));
        let intro = AgentIntro {
            name: format!("agent-{agent}").into(),
            life,
            hall: "hall".into(),
            protocol: 2,
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

    fn submit(&mut self, request: RequestId) {
        let step = StepSpec {
            count: 1,
            size: SIZE,
            estimate: ms(60),
            after: Vec::new(),
            required_label: None,
            preferred_rack: None,
            most_per_target: None,
        };
        self.handle(EntryEvent::Submit(Submission {
            request,
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

    fn pass_until(&mut self, until: Now) {
        while self.now < until {
            self.now = (self.now + ms(10)).min(until);
            for link in self.heard.clone() {
                self.hear(link, Vec::new());
            }
            self.handle(EntryEvent::Wake);
        }
    }

    fn pass(&mut self, time: Duration) {
        self.pass_until(self.now + time);
    }

    fn last_word(&self, link: SessionId) -> Now {
        let words = self.words.iter().filter(|(_, to)| *to == link);
        words.map(|(at, _)| *at).max().expect("a packet was sent")
    }

    /// An entry with a run at the first agent, and a second agent. The entry has sent the order after it
    /// last heard the first agent.
    fn with_run() -> Self {
        let mut fixture = Self::new();
        fixture.join(FIRST, FIRST, 50);
        fixture.pass(ms(100));
        fixture.heard.clear();
        fixture.now += ms(450);
        fixture.submit(100);
        assert_eq!(fixture.starts.len(), 1, "{:?}", fixture.starts);
        assert_eq!(fixture.last_word(FIRST), fixture.now);
        fixture.join(SECOND, SECOND, 60);
        fixture
    }

    fn lose_first(&mut self) {
        self.heard.retain(|link| *link != FIRST);
        self.handle(EntryEvent::LinkDown(FIRST));
    }
}

// Guards against a task that runs twice at once: its agent is lost, and the entry counts the run as over
// before the agent and its target must have ended it.
#[test]
fn test_handle_task_of_a_lost_agent_starts_again_only_after_the_bound() {
    let mut fixture = Fixture::with_run();
    let last_word = fixture.last_word(FIRST);
    fixture.now += ms(5);
    fixture.lose_first();
    let over_at = last_word + longest_run_without_words();
    fixture.pass_until(over_at);
    assert_eq!(fixture.starts.len(), 1, "{:?}", fixture.starts);
    fixture.pass(START_DELAY);
    assert_eq!(fixture.starts.len(), 2, "{:?}", fixture.starts);
    let (_, link, key) = fixture.starts[1];
    assert_eq!(link, SECOND);
    assert!(key.run > fixture.starts[0].2.run);
}

// Guards against a task that runs twice at once: its agent is back and has claimed its run again, and the
// proof by time from its absence would still count.
#[test]
fn test_handle_run_of_an_agent_that_is_back_is_not_over_by_time() {
    for is_same_link_open in [false, true] {
        let mut fixture = Fixture::with_run();
        if !is_same_link_open {
            fixture.lose_first();
            fixture.pass(ms(400));
        }
        fixture.join(3, FIRST, 51);
        fixture.pass(longest_run_without_words() + START_DELAY * 2);
        assert_eq!(fixture.starts.len(), 1, "{:?}", fixture.starts);
    }
}

// Guards against a proof that counts from an earlier word: an agent that was back for a while has heard
// this entry later, and is lost again.
#[test]
fn test_handle_run_of_an_agent_that_is_lost_twice_is_over_after_the_last_word() {
    let mut fixture = Fixture::with_run();
    fixture.lose_first();
    fixture.pass(ms(5_000));
    fixture.join(3, FIRST, 51);
    fixture.pass(ms(500));
    let last_word = fixture.last_word(3);
    fixture.heard.retain(|link| *link != 3);
    fixture.handle(EntryEvent::LinkDown(3));
    fixture.pass_until(last_word + longest_run_without_words());
    assert_eq!(fixture.starts.len(), 1, "{:?}", fixture.starts);
    fixture.pass(START_DELAY);
    assert_eq!(fixture.starts.len(), 2, "{:?}", fixture.starts);
}

// Guards against a task that runs twice at once: another process has announced that runs of the batch may
// be left, is lost before it reports their end, and the batch starts here while they go on.
#[test]
fn test_handle_batch_with_runs_elsewhere_is_held_for_the_bound_of_lost_agents() {
    let mut fixture = Fixture::new();
    fixture.join(FIRST, FIRST, 50);
    let notice = RunsNotice {
        batch: BATCH,
        holder: 50,
        owner: 9,
        number: 1,
    };
    fixture.hear(FIRST, vec![AgentNews::RunsLeft(notice)]);
    let told_at = fixture.now;
    // A batch that can't be placed soon is refused, so it is submitted several times.
    let until = told_at + longest_run_without_words();
    for (request, before) in [(100, 12_000), (101, 6_000), (102, 1_000), (103, 20)] {
        fixture.pass_until(until - ms(before));
        fixture.submit(request);
    }
    fixture.pass_until(until);
    assert_eq!(fixture.starts, [], "runs may be left");
    fixture.pass(START_DELAY);
    fixture.submit(104);
    assert_eq!(fixture.starts.len(), 1, "{:?}", fixture.starts);
}

// Guards against a run that its agent takes for unclaimed and stops, or that goes on although it is not
// wanted: the agent has restarted, and the orders of the entry went to its former incarnation.
#[test]
fn test_handle_agent_that_is_back_is_told_of_its_runs_and_their_stops() {
    for is_wanted in [true, false] {
        let mut fixture = Fixture::with_run();
        let (_, _, key) = fixture.starts[0];
        fixture.lose_first();
        if !is_wanted {
            fixture.handle(EntryEvent::CallerGone(100));
        }
        fixture.pass(ms(300));
        fixture.orders.clear();
        fixture.join(3, FIRST, 51);
        let claims = fixture
            .orders
            .iter()
            .filter_map(|(link, order)| match order {
                Order::Welcome(welcome) if *link == 3 => Some(welcome.claims.clone()),
                _ => None,
            });
        assert_eq!(claims.collect::<Vec<_>>(), [vec![(key, SIZE)]]);
        let stop = (3, Order::Stop(vec![key]));
        assert_eq!(fixture.orders.contains(&stop), !is_wanted);
    }
}

const PEER: SessionId = 9;

// Guards against a batch that runs twice at once: its caller is gone while a run goes on, and the entry
// that it reaches does not know of the run, or hears too soon that it is over.
#[test]
fn test_handle_runs_of_a_closed_batch_are_told_to_neighbours_until_they_are_over() {
    let mut fixture = Fixture::with_run();
    let (_, _, key) = fixture.starts[0];
    fixture.handle(EntryEvent::LinkUp(PEER, None));
    let intro = PeerIntro {
        name: "peer".into(),
        life: 2,
        address: "10.0.0.2:7720".parse().expect("an address"),
        config: 1,
        evacuations: 0,
        entries: Vec::new(),
        protocol: 2,
        processor_millis: 0,
        hall: "hall".into(),
    };
    let hello = PeerPacket {
        clock: 1,
        news: vec![PeerNews::Hello(intro)],
    };
    fixture.handle(EntryEvent::Packet(PEER, Packet::BetweenEntries(hello)));
    fixture.handle(EntryEvent::CallerGone(100));
    fixture.pass(ms(100));
    let notice = RunsNotice {
        batch: BATCH,
        holder: 1,
        owner: 1,
        number: 1,
    };
    assert!(fixture.peer_news.contains(&PeerNews::RunsLeft(notice)));
    fixture.pass(ms(500));
    assert!(!fixture.peer_news.contains(&PeerNews::RunsOver(notice)));
    let end = AgentNews::Ended {
        key,
        end: RunEnd::Stopped,
        ran_ms: 700,
    };
    fixture.hear(FIRST, vec![end]);
    fixture.pass(ms(100));
    assert!(fixture.peer_news.contains(&PeerNews::RunsOver(notice)));
}
