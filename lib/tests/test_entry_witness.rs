//! Witnesses of runs: an entry reports its orders to another one, which announces the runs of a lost
//! entry at agents that are silent.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::batch::{BatchSpec, StepSpec};
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{EntryAction, EntryEvent, EntryOptions, Reply, Submission};
use trestleknot_lib::ids::{Incarnation, Now, RequestId, SessionId};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{BatchId, RunEnd, RunKey, TaskKey};
use trestleknot_lib::run_message::{
    AgentIntro, AgentNews, AgentPacket, ClaimNotice, ClaimReply, DispatchNotice, DispatchedBatch,
    Order, Packet, PeerIntro, PeerNews, PeerPacket, RunsNotice, TargetInfo,
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
    replies: Vec<(RequestId, Reply)>,
    /// Estimate of submitted tasks.
    estimate: Duration,
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
            replies: Vec::new(),
            estimate: ms(60),
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
            match action {
                EntryAction::Send(link, packet) => self.sent.push((link, packet)),
                EntryAction::Reply(request, reply) => self.replies.push((request, reply)),
                _ => {}
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
        self.submit_request(7, Some(Duration::ZERO));
    }

    fn submit_request(&mut self, request: RequestId, max_age: Option<Duration>) {
        let step = StepSpec {
            count: 1,
            size: Resources::NONE,
            estimate: self.estimate,
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
            max_age,
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

    /// The claim notices that were sent, and to whom.
    fn claims(&self) -> Vec<(SessionId, ClaimNotice)> {
        let news = self.news_to_entries();
        let claims = news.filter_map(|(link, news)| match news {
            PeerNews::Claim(notice) => Some((link, notice.clone())),
            _ => None,
        });
        claims.collect()
    }

    /// The answers to claims that were sent, and to whom.
    fn claim_replies(&self) -> Vec<(SessionId, Vec<BatchId>)> {
        let news = self.news_to_entries();
        let replies = news.filter_map(|(link, news)| match news {
            PeerNews::ClaimReply(reply) => Some((link, reply.held.clone())),
            _ => None,
        });
        replies.collect()
    }

    /// Answers the last claim notice to each entry.
    fn answer_claims(&mut self, held: &[BatchId]) {
        let claims = self.claims();
        for (link, notice) in &claims[claims.len() - 2..] {
            let reply = ClaimReply {
                number: notice.number,
                held: held.to_vec(),
            };
            self.peer_news(*link, vec![PeerNews::ClaimReply(reply)]);
        }
    }

    fn claim_from(&mut self, link: SessionId) {
        let notice = ClaimNotice {
            number: 1,
            claims: vec![BATCH],
            checks: Vec::new(),
        };
        self.peer_news(link, vec![PeerNews::Claim(notice)]);
    }

    /// Links on which it was told that the caller is at another entry.
    fn told_superseded(&self) -> Vec<SessionId> {
        let news = self.news_to_entries();
        let told = news.filter(|(_, news)| **news == PeerNews::Superseded(BATCH));
        told.map(|(link, _)| link).collect()
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

/// Lowest protocol version with claims.
const CLAIMS: u32 = 5;
/// Longer than callers take to come to another entry.
const OLD: Option<Duration> = Some(ms(1_300));

// Guards against a task that runs twice at once: the request was held up, and its caller has come to
// another entry.
#[test]
fn test_handle_old_request_starts_once_its_witnesses_have_answered() {
    for max_age in [OLD, None] {
        let mut fixture = Fixture::new(CLAIMS);
        fixture.submit_request(7, max_age);
        assert_eq!(fixture.claims().len(), 2, "{max_age:?}");
        assert!(fixture.starts().is_empty(), "{max_age:?}");
        fixture.answer_claims(&[]);
        assert_eq!(fixture.starts().len(), 1, "{max_age:?}");
    }
}

#[test]
fn test_handle_recent_request_asks_no_witness() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.submit_request(7, Some(ms(1_299)));
    assert!(fixture.claims().is_empty());
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn test_handle_old_request_of_a_batch_that_is_held_waits() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.estimate = ms(2_000);
    fixture.submit_request(7, OLD);
    fixture.answer_claims(&[BATCH]);
    assert!(fixture.starts().is_empty());
    // Its witnesses are asked again.
    fixture.pass(ms(100));
    assert_eq!(fixture.claims().len(), 4);
    fixture.answer_claims(&[]);
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn test_handle_answer_to_an_earlier_claim_grants_nothing() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.submit_request(7, OLD);
    let (link, notice) = fixture.claims().remove(0);
    fixture.answer_claims(&[BATCH]);
    fixture.pass(ms(100));
    for link in [link, OWNER, OTHER] {
        let reply = ClaimReply {
            number: notice.number,
            held: Vec::new(),
        };
        fixture.peer_news(link, vec![PeerNews::ClaimReply(reply)]);
    }
    assert!(fixture.starts().is_empty());
}

// Guards against a caller that waits for an entry which is lost.
#[test]
fn test_handle_old_request_starts_if_its_witnesses_do_not_answer() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.submit_request(7, OLD);
    fixture.pass(ms(120));
    assert!(fixture.starts().is_empty());
    fixture.pass(ms(20));
    assert_eq!(fixture.starts().len(), 1);
}

#[test]
fn test_handle_entries_of_an_older_protocol_are_not_asked() {
    let mut fixture = Fixture::new(REPORTS);
    fixture.submit_request(7, OLD);
    assert!(fixture.claims().is_empty());
    assert_eq!(fixture.starts().len(), 1);
}

// Guards against a further start for a caller that may have left long ago.
#[test]
fn test_handle_further_attempt_of_an_old_request_is_claimed() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.submit();
    let (_, agent) = fixture.starts()[0];
    fixture.pass(ms(1_300));
    fixture.hear(agent, vec![failed(first_run())]);
    assert_eq!(fixture.claims().len(), 2);
    assert_eq!(fixture.starts().len(), 1);
    fixture.answer_claims(&[]);
    assert_eq!(fixture.starts().len(), 2);
}

#[test]
fn test_handle_further_attempt_long_after_a_grant_is_claimed_again() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.submit_request(7, OLD);
    fixture.answer_claims(&[]);
    let (_, agent) = fixture.starts()[0];
    fixture.pass(ms(1_300));
    fixture.hear(agent, vec![failed(first_run())]);
    assert_eq!(fixture.claims().len(), 4);
    assert_eq!(fixture.starts().len(), 1);
    fixture.answer_claims(&[]);
    assert_eq!(fixture.starts().len(), 2);
}

#[test]
fn test_handle_claim_to_a_reported_batch_is_refused() {
    let mut fixture = Fixture::new(CLAIMS);
    let news = PeerNews::Dispatched(orders_at(&[]));
    fixture.peer_news(OWNER, vec![news]);
    fixture.claim_from(OTHER);
    assert_eq!(fixture.claim_replies(), [(OTHER, vec![BATCH])]);
    // Its owner may claim it, and the other one once it has ended.
    fixture.claim_from(OWNER);
    let ended = DispatchNotice {
        batches: Vec::new(),
        ended: vec![BATCH],
    };
    fixture.peer_news(OWNER, vec![PeerNews::Dispatched(ended)]);
    fixture.pass(ms(1_400));
    fixture.claim_from(OTHER);
    assert_eq!(fixture.claim_replies()[1], (OWNER, Vec::new()));
    assert_eq!(fixture.claim_replies()[2], (OTHER, Vec::new()));
}

#[test]
fn test_handle_claim_to_a_batch_of_a_lost_entry_is_refused() {
    let mut fixture = Fixture::new(CLAIMS);
    let news = PeerNews::Dispatched(orders_at(&[AWAKE]));
    fixture.peer_news(OWNER, vec![news]);
    fixture.handle(EntryEvent::LinkDown(OWNER));
    fixture.claim_from(OTHER);
    assert_eq!(fixture.claim_replies(), [(OTHER, vec![BATCH])]);
}

// Guards against two entries that start a batch at once, and against two that wait for each other.
#[test]
fn test_handle_claims_of_two_entries_one_is_granted() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.claim_from(OWNER);
    fixture.claim_from(OTHER);
    let replies = [(OWNER, Vec::new()), (OTHER, vec![BATCH])];
    assert_eq!(fixture.claim_replies(), replies);
    // A claim that leads to nothing expires.
    fixture.pass(ms(1_400));
    fixture.claim_from(OTHER);
    assert_eq!(fixture.claim_replies()[2], (OTHER, Vec::new()));
}

#[test]
fn test_handle_claims_that_cross_one_gives_way() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.submit_request(7, OLD);
    // The other entry has a higher incarnation.
    fixture.claim_from(OWNER);
    assert_eq!(fixture.claim_replies(), [(OWNER, vec![BATCH])]);
    fixture.answer_claims(&[]);
    assert_eq!(fixture.starts().len(), 1);
}

// Guards against an entry that goes on for a caller who has come to another one.
#[test]
fn test_handle_report_of_a_recent_request_supersedes_older_ones() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.submit_request(7, OLD);
    fixture.answer_claims(&[]);
    let news = PeerNews::Dispatched(orders_at(&[AWAKE]));
    fixture.peer_news(OWNER, vec![news.clone()]);
    assert_eq!(fixture.replies, [(7, Reply::GaveUp)]);
    fixture.peer_news(OTHER, vec![news]);
    assert_eq!(fixture.told_superseded(), [OWNER]);
}

#[test]
fn test_handle_superseded_batch_of_a_recent_request_goes_on() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.submit();
    fixture.peer_news(OTHER, vec![PeerNews::Superseded(BATCH)]);
    assert!(fixture.replies.is_empty());
}

#[test]
fn test_handle_report_after_a_claim_supersedes_nothing() {
    let mut fixture = Fixture::new(CLAIMS);
    let news = PeerNews::Dispatched(orders_at(&[AWAKE]));
    fixture.peer_news(OTHER, vec![news.clone()]);
    fixture.claim_from(OWNER);
    fixture.peer_news(OWNER, vec![news]);
    assert!(fixture.told_superseded().is_empty());
}

// Guards against a caller that loses its place to its own earlier request, which arrives late.
#[test]
fn test_handle_old_request_does_not_replace_a_recent_one() {
    let mut fixture = Fixture::new(CLAIMS);
    fixture.submit();
    fixture.submit_request(8, OLD);
    assert_eq!(fixture.replies, [(8, Reply::GaveUp)]);
    fixture.handle(EntryEvent::CallerGone(8));
    fixture.submit_request(9, Some(Duration::ZERO));
    assert_eq!(fixture.replies[1..], [(7, Reply::GaveUp)]);
}

fn first_run() -> RunKey {
    let task = TaskKey {
        batch: BATCH,
        time: 0,
        step: 0,
        index: 0,
    };
    RunKey { task, run: 1 }
}

fn failed(key: RunKey) -> AgentNews {
    AgentNews::Ended {
        key,
        end: RunEnd::Failed,
        ran_ms: 10,
    }
}
