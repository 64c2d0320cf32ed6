//! Decisions of giver and receiver of a batch that is handed over, message by message.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::batch::{BatchSpec, StepSpec};
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{
    BatchQuery, EntryAction, EntryEvent, EntryOptions, Refusal, Reply, Submission,
};
use trestleknot_lib::entry_load::LoopLoad;
use trestleknot_lib::ids::{Now, RequestId, SessionId};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{NotStarted, RunEnd, RunKey, TaskKey};
use trestleknot_lib::run_message::{
    AgentIntro, AgentNews, AgentPacket, DispatchNotice, DispatchedBatch, HandOver, HandOverDecline,
    HandOverOutcome, HandOverReply, Order, Packet, PeerNews, PeerPacket, ProtocolVersion,
    StartOrder, TargetInfo,
};
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::timings::Timings;

const HOST: &str = "host.example";
/// Link of each entry to its agent.
const AGENT: SessionId = 1;
/// Link between the two entries, on either side.
const PEER: SessionId = 9;
const BATCH: u64 = 0xb1;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// A giver, a receiver and the packets between them, which a test may drop, delay or repeat.
struct Pair {
    now: Now,
    giver: BatchEntryCore,
    receiver: BatchEntryCore,
    /// Packets that the giver has sent and that have not been delivered.
    to_receiver: Vec<PeerPacket>,
    to_giver: Vec<PeerPacket>,
    giver_actions: Vec<EntryAction>,
    receiver_actions: Vec<EntryAction>,
}

fn core(name: &str, incarnation: u64, share: f64) -> BatchEntryCore {
    BatchEntryCore::new(EntryOptions {
        name: name.into(),
        incarnation,
        hall: "hall".into(),
        address: format!("10.0.0.{incarnation}:7720")
            .parse()
            .expect("an address"),
        seeds: Vec::new(),
        seed: 1,
        timings: Timings::default(),
        link_rate: None,
        processor_share: Some(share),
        far_factor: None,
    })
}

fn config() -> EntryEvent {
    config_version(1, "service")
}

/// A configuration that routes the queue to `service`.
fn config_version(version: u64, service: &str) -> EntryEvent {
    let queue = Queue {
        name: "queue".into(),
        host: HOST.into(),
        path_prefix: "/q/".into(),
        service: service.into(),
        priority: 0,
        max_attempts: 1,
        stretch: 1.6,
        target_latency: ms(60),
        needs_advice: false,
    };
    EntryEvent::Config(Arc::new(QueueTable {
        version,
        queues: vec![Arc::new(queue)],
        limits: RequestLimits { body_bytes: 65_536 },
    }))
}

fn submission(request: RequestId, batch: u64) -> EntryEvent {
    let step = StepSpec {
        count: 1,
        size: Resources::NONE,
        estimate: ms(500),
        after: Vec::new(),
        required_label: None,
        preferred_rack: None,
        most_per_target: None,
    };
    EntryEvent::Submit(Submission {
        request,
        host: HOST.to_owned(),
        path: format!("/q/{batch:016x}"),
        spec: BatchSpec {
            id: batch,
            payload: "work".into(),
            steps: vec![step],
            unsupported: None,
        },
        caller_timeout: ms(3_000),
        max_age: Some(Duration::ZERO),
        caller_request: "".into(),
    })
}

fn from_agent(news: Vec<AgentNews>, clock: u64) -> EntryEvent {
    let capacity = Resources {
        cpu_millis: 16_000,
        memory_mib: 1_024,
        accelerators: 0,
    };
    let packet = AgentPacket {
        clock,
        free: capacity,
        starts_seen: 0,
        health: HealthReport::default(),
        news,
    };
    EntryEvent::Packet(AGENT, Packet::FromAgent(packet))
}

fn agent_hello(protocol: ProtocolVersion) -> EntryEvent {
    let intro = AgentIntro {
        name: "agent".into(),
        life: 50,
        hall: "hall".into(),
        protocol,
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
    from_agent(
        vec![AgentNews::Hello(intro), AgentNews::Target(Some(target))],
        0,
    )
}

fn busy(busy_share: f64) -> EntryEvent {
    EntryEvent::LoopLoad(LoopLoad {
        busy_share,
        lag: Duration::ZERO,
    })
}

fn between_entries(actions: &[EntryAction]) -> Vec<PeerPacket> {
    let packets = actions.iter().filter_map(|a| match a {
        EntryAction::Send(PEER, Packet::BetweenEntries(packet)) => Some(packet.clone()),
        _ => None,
    });
    packets.collect()
}

fn orders(actions: &[EntryAction]) -> Vec<Order> {
    let packets = actions.iter().filter_map(|a| match a {
        EntryAction::Send(AGENT, Packet::FromEntry(packet)) => Some(packet.orders.clone()),
        _ => None,
    });
    packets.flatten().collect()
}

fn starts(actions: &[EntryAction]) -> Vec<StartOrder> {
    let starts = orders(actions).into_iter().filter_map(|o| match o {
        Order::Start(start) => Some(start),
        _ => None,
    });
    starts.collect()
}

fn has_release(actions: &[EntryAction]) -> bool {
    orders(actions).contains(&Order::Release(BATCH))
}

fn replies(actions: &[EntryAction]) -> Vec<(RequestId, Reply)> {
    let replies = actions.iter().filter_map(|a| match a {
        EntryAction::Reply(request, reply) => Some((*request, reply.clone())),
        _ => None,
    });
    replies.collect()
}

impl Pair {
    /// A starved giver and an idle receiver that are linked, and have a target each.
    fn new() -> Self {
        let mut pair = Self {
            now: ms(1),
            giver: core("giver", 1, 0.1),
            receiver: core("receiver", 2, 0.5),
            to_receiver: Vec::new(),
            to_giver: Vec::new(),
            giver_actions: Vec::new(),
            receiver_actions: Vec::new(),
        };
        for event in [config(), EntryEvent::LinkUp(AGENT, None), agent_hello(1)] {
            pair.give(event.clone());
            pair.receive(event);
        }
        let address = "10.0.0.2:7720".parse().expect("an address");
        pair.give(EntryEvent::LinkUp(PEER, Some(address)));
        pair.receive(EntryEvent::LinkUp(PEER, None));
        // The share of batches that are handed over rises to 1.
        for other in 1..5 {
            pair.pass(ms(600));
            pair.give(submission(other, other));
            pair.give(EntryEvent::CallerGone(other));
        }
        pair.pass(ms(300));
        pair.forget();
        pair
    }

    /// A pair in which the giver has just offered the batch for request 100.
    fn with_offer() -> Self {
        let mut pair = Self::new();
        pair.give(submission(100, BATCH));
        assert!(pair.offer().is_some(), "{:?}", pair.giver_actions);
        pair
    }

    /// A pair in which the receiver has ordered the start of the batch's task, with its run.
    fn with_run() -> (Self, RunKey) {
        let mut pair = Self::with_offer();
        pair.deliver();
        let starts = starts(&pair.receiver_actions);
        assert_eq!(starts.len(), 1, "{:?}", pair.receiver_actions);
        let key = starts[0].keys().next().expect("a run");
        pair.forget();
        (pair, key)
    }

    fn forget(&mut self) {
        self.giver_actions.clear();
        self.receiver_actions.clear();
    }

    fn give(&mut self, event: EntryEvent) {
        let actions = self.giver.handle(self.now, event);
        self.to_receiver.extend(between_entries(&actions));
        self.giver_actions.extend(actions);
    }

    fn receive(&mut self, event: EntryEvent) {
        let actions = self.receiver.handle(self.now, event);
        self.to_giver.extend(between_entries(&actions));
        self.receiver_actions.extend(actions);
    }

    /// Delivers the packets on the link between the entries.
    fn deliver(&mut self) {
        while !self.to_receiver.is_empty() || !self.to_giver.is_empty() {
            for packet in std::mem::take(&mut self.to_receiver) {
                self.receive(EntryEvent::Packet(PEER, Packet::BetweenEntries(packet)));
            }
            for packet in std::mem::take(&mut self.to_giver) {
                self.give(EntryEvent::Packet(PEER, Packet::BetweenEntries(packet)));
            }
        }
    }

    /// Lets time pass while agents and the event loops report.
    fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + ms(20)).min(until);
            let clock = self.now.as_millis() as u64;
            for (is_giver, busy_share) in [(true, 1.0), (false, 0.1)] {
                for event in [
                    busy(busy_share),
                    from_agent(Vec::new(), clock),
                    EntryEvent::Wake,
                ] {
                    match is_giver {
                        true => self.give(event),
                        false => self.receive(event),
                    }
                }
            }
        }
    }

    /// Same as [`Self::wait`], with the link between the entries in order.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.wait(ms(20));
            self.deliver();
        }
    }

    /// The offer that is on its way.
    fn offer(&self) -> Option<HandOver> {
        let mut news = self.to_receiver.iter().flat_map(|p| &p.news);
        news.find_map(|n| match n {
            PeerNews::HandOver(offer) => Some((**offer).clone()),
            _ => None,
        })
    }

    /// The receiver's answers that are on their way.
    fn answers(&self) -> Vec<HandOverReply> {
        let news = self.to_giver.iter().flat_map(|p| &p.news);
        let answers = news.filter_map(|n| match n {
            PeerNews::HandOverReply(reply) => Some(reply.clone()),
            _ => None,
        });
        answers.collect()
    }

    fn end_run(&mut self, key: RunKey, end: RunEnd) {
        let clock = self.now.as_millis() as u64;
        let ran_ms = 1;
        let news = vec![AgentNews::Ended { key, end, ran_ms }];
        self.receive(from_agent(news, clock));
    }

    fn own_replies(&self) -> Vec<(RequestId, Reply)> {
        replies(&self.giver_actions)
    }

    fn is_stopped(&self, key: RunKey) -> bool {
        let orders = orders(&self.receiver_actions);
        let is_stop = |o: &Order| matches!(o, Order::Stop(keys) if keys.contains(&key));
        orders.iter().any(is_stop)
    }
}

#[test]
fn test_handle_answer_is_relayed_once_with_one_packet_each_way() {
    let mut pair = Pair::with_offer();
    assert_eq!(starts(&pair.giver_actions).len(), 0);
    assert_eq!(pair.to_receiver.len(), 1);
    pair.deliver();
    assert_eq!(starts(&pair.receiver_actions)[0].guarantor, Some(1));
    let key = starts(&pair.receiver_actions)[0]
        .keys()
        .next()
        .expect("a run");
    pair.end_run(key, RunEnd::Done);
    assert_eq!(pair.to_giver.len(), 1);
    pair.deliver();
    assert_eq!(pair.own_replies(), [(100, Reply::Succeeded)]);
    assert_eq!(replies(&pair.receiver_actions), []);
    assert!(!has_release(&pair.giver_actions));
    // A repeated answer changes nothing.
    pair.pass(ms(2_000));
    assert_eq!(pair.own_replies().len(), 1);
    assert_eq!(pair.giver.gauges().handed_over, 0);
    assert_eq!(pair.receiver.gauges().taken_over, 0);
}

#[test]
fn test_handle_offer_read_too_late_is_declined_and_taken_back() {
    // An offer that waited in a socket may have been given up; see the caller's return.
    let mut pair = Pair::with_offer();
    pair.wait(ms(330));
    pair.deliver();
    assert_eq!(starts(&pair.receiver_actions).len(), 0);
    // Nothing can run at the receiver, so the giver runs the batch itself.
    assert_eq!(pair.own_replies(), []);
    let own = starts(&pair.giver_actions);
    assert_eq!(own.len(), 1);
    assert_eq!(own[0].guarantor, None);
}

#[test]
fn test_handle_declined_batch_is_not_offered_again() {
    let mut pair = Pair::with_offer();
    pair.receive(busy(0.8));
    pair.deliver();
    assert_eq!(starts(&pair.giver_actions).len(), 1);
    assert!(pair.offer().is_none());
    assert_eq!(pair.giver.gauges().handed_over, 0);
}

#[test]
fn test_handle_repeated_offer_is_declined() {
    let mut pair = Pair::with_offer();
    let packet = pair.to_receiver[0].clone();
    pair.deliver();
    pair.receive(EntryEvent::Packet(PEER, Packet::BetweenEntries(packet)));
    assert_eq!(starts(&pair.receiver_actions).len(), 1);
    let outcome = pair.answers()[0].outcome;
    assert_eq!(outcome, HandOverOutcome::Declined(HandOverDecline::Known));
}

#[test]
fn test_handle_offer_lost_with_the_link_is_given_up() {
    let mut pair = Pair::with_offer();
    pair.to_receiver.clear();
    pair.give(EntryEvent::LinkDown(PEER));
    assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
    assert!(has_release(&pair.giver_actions));
}

#[test]
fn test_handle_silent_receiver_is_given_up_in_time() {
    // The receiver has lost power: its link stays open.
    let (mut pair, _) = Pair::with_run();
    pair.wait(ms(640));
    assert_eq!(pair.own_replies(), []);
    pair.wait(ms(60));
    assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
    assert!(has_release(&pair.giver_actions));
}

#[test]
fn test_handle_receiver_that_is_heard_is_not_given_up() {
    let (mut pair, _) = Pair::with_run();
    pair.pass(ms(2_000));
    assert_eq!(pair.own_replies(), []);
}

#[test]
fn test_handle_giver_whose_link_is_gone_or_silent_closes_its_batches() {
    let (mut pair, key) = Pair::with_run();
    pair.receive(EntryEvent::LinkDown(PEER));
    assert!(pair.is_stopped(key));
    let (mut pair, key) = Pair::with_run();
    pair.wait(ms(780));
    assert!(!pair.is_stopped(key));
    pair.wait(ms(40));
    assert!(pair.is_stopped(key));
    assert_eq!(pair.receiver.gauges().taken_over, 0);
}

#[test]
fn test_handle_caller_gone_ends_the_batch_and_blocks_it_until_confirmed() {
    let (mut pair, key) = Pair::with_run();
    pair.give(EntryEvent::CallerGone(100));
    assert!(has_release(&pair.giver_actions));
    pair.deliver();
    assert!(pair.is_stopped(key));
    // The caller is back; a run may be left.
    pair.forget();
    pair.give(submission(101, BATCH));
    pair.pass(ms(100));
    assert_eq!(starts(&pair.giver_actions).len(), 0);
    assert!(pair.offer().is_none());
    pair.end_run(key, RunEnd::Stopped);
    pair.deliver();
    let own = starts(&pair.giver_actions);
    assert_eq!(own.len(), 1);
    assert_eq!(own[0].guarantor, None);
}

/// A pair whose caller left 1.3 s ago, with no run left.
fn pair_after_release() -> Pair {
    let (mut pair, key) = Pair::with_run();
    pair.give(EntryEvent::CallerGone(100));
    pair.deliver();
    pair.end_run(key, RunEnd::Stopped);
    pair.deliver();
    pair.pass(ms(1_300));
    pair.forget();
    pair
}

// Guards against batches that are refused although there is room: agents refuse for a while what a
// guarantor has released, so a receiver finds no target for a batch that is offered again.
#[test]
fn test_handle_released_batch_that_comes_again_is_kept() {
    let mut pair = pair_after_release();
    pair.give(submission(101, BATCH));
    assert!(pair.offer().is_none());
    let own = starts(&pair.giver_actions);
    assert_eq!(own.len(), 1, "{:?}", pair.giver_actions);
    assert_eq!(own[0].guarantor, None);
}

#[test]
fn test_handle_released_batch_is_offered_again_once_agents_have_forgotten_it() {
    let mut pair = pair_after_release();
    pair.pass(ms(6_000));
    pair.give(submission(101, BATCH));
    assert!(pair.offer().is_some(), "{:?}", pair.giver_actions);
}

#[test]
fn test_handle_lost_confirmation_blocks_for_the_bound_of_lost_agents() {
    let (mut pair, key) = Pair::with_run();
    pair.give(EntryEvent::CallerGone(100));
    pair.deliver();
    pair.end_run(key, RunEnd::Stopped);
    pair.to_giver.clear();
    pair.forget();
    let bound = Timings::default().lost_agent_bound;
    pair.pass(bound - ms(100));
    pair.give(submission(101, BATCH));
    assert_eq!(starts(&pair.giver_actions).len(), 0);
    pair.pass(ms(200));
    assert_eq!(starts(&pair.giver_actions).len(), 1);
}

#[test]
fn test_handle_confirmation_waits_for_a_new_link() {
    let (mut pair, key) = Pair::with_run();
    pair.give(EntryEvent::LinkDown(PEER));
    pair.receive(EntryEvent::LinkDown(PEER));
    pair.to_receiver.clear();
    pair.to_giver.clear();
    pair.end_run(key, RunEnd::Stopped);
    pair.forget();
    pair.give(submission(101, BATCH));
    pair.wait(ms(100));
    assert_eq!(starts(&pair.giver_actions).len(), 0);
    let address = "10.0.0.2:7720".parse().expect("an address");
    pair.give(EntryEvent::LinkUp(PEER, Some(address)));
    pair.receive(EntryEvent::LinkUp(PEER, None));
    pair.pass(ms(40));
    assert_eq!(starts(&pair.giver_actions).len(), 1);
}

#[test]
fn test_handle_end_that_crosses_the_answer_blocks_nothing() {
    let (mut pair, key) = Pair::with_run();
    pair.end_run(key, RunEnd::Done);
    pair.give(EntryEvent::CallerGone(100));
    pair.deliver();
    assert_eq!(pair.own_replies(), []);
    pair.forget();
    pair.give(submission(101, BATCH));
    pair.deliver();
    let started = starts(&pair.giver_actions).len() + starts(&pair.receiver_actions).len();
    assert_eq!(started, 1);
}

#[test]
fn test_handle_cancel_is_acknowledged_at_once_and_releases() {
    let (mut pair, key) = Pair::with_run();
    pair.give(EntryEvent::Cancel(BatchQuery {
        request: 200,
        host: HOST.to_owned(),
        path: String::new(),
        batch: Some(BATCH),
    }));
    let expected = [(100, Reply::Cancelled), (200, Reply::Cancelled)];
    assert_eq!(pair.own_replies(), expected);
    assert!(has_release(&pair.giver_actions));
    pair.deliver();
    assert!(pair.is_stopped(key));
}

// Guards against a cancelled batch that runs because its offer was on the way while another entry
// answered the cancel.
#[test]
fn test_handle_cancel_that_crosses_the_offer_starts_nothing() {
    let mut pair = Pair::with_offer();
    pair.receive(EntryEvent::Cancel(BatchQuery {
        request: 200,
        host: HOST.to_owned(),
        path: String::new(),
        batch: Some(BATCH),
    }));
    assert_eq!(replies(&pair.receiver_actions), [(200, Reply::NoBatch)]);
    pair.deliver();
    pair.pass(ms(500));
    assert_eq!(pair.own_replies(), [(100, Reply::Cancelled)]);
    assert!(starts(&pair.receiver_actions).is_empty());
    assert!(starts(&pair.giver_actions).is_empty());
}

// Guards against the same if the giver hears of the cancel by the answer to its offer only.
#[test]
fn test_handle_offer_of_a_cancelled_batch_is_answered_as_cancelled() {
    let mut pair = Pair::with_offer();
    pair.receive(EntryEvent::Cancel(BatchQuery {
        request: 200,
        host: HOST.to_owned(),
        path: String::new(),
        batch: Some(BATCH),
    }));
    pair.to_giver.clear();
    pair.deliver();
    assert_eq!(pair.own_replies(), [(100, Reply::Cancelled)]);
    assert!(starts(&pair.receiver_actions).is_empty());
    assert!(starts(&pair.giver_actions).is_empty());
}

#[test]
fn test_handle_caller_deadline_is_answered_at_once() {
    let (mut pair, _) = Pair::with_run();
    pair.pass(ms(2_990));
    // Either side may notice first; the caller gets one answer.
    pair.pass(ms(200));
    assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
}

#[test]
fn test_handle_returning_caller_gets_the_answer() {
    let (mut pair, key) = Pair::with_run();
    pair.give(submission(101, BATCH));
    assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
    pair.end_run(key, RunEnd::Done);
    pair.deliver();
    assert_eq!(pair.own_replies()[1..], [(101, Reply::Succeeded)]);
}

// Guards against lost work: agents stop runs whose guarantor reads their packets too late to answer them in
// time.
#[test]
fn test_handle_late_giver_renews_leases_without_waiting_for_packets() {
    let leases_after_mark = |pair: &mut Pair| {
        pair.forget();
        pair.now += ms(300);
        let read_until = pair.now - ms(100);
        pair.give(EntryEvent::InputRead(read_until));
        let leases = pair.giver_actions.iter().filter_map(|a| match a {
            EntryAction::Send(AGENT, Packet::FromEntry(packet)) => Some(packet.lease_until),
            _ => None,
        });
        (leases.collect::<Vec<_>>(), read_until)
    };
    let (mut pair, key) = Pair::with_run();
    // The giver has no run of its own.
    for other in 1..5 {
        let task = TaskKey {
            batch: other,
            ..key.task
        };
        let end = AgentNews::Ended {
            key: RunKey { task, ..key },
            end: RunEnd::Stopped,
            ran_ms: 1,
        };
        pair.give(from_agent(vec![end], pair.now.as_millis() as u64));
    }
    assert_eq!(pair.giver.gauges().batches, 0);
    pair.give(EntryEvent::InputRead(pair.now));
    let (leases, read_until) = leases_after_mark(&mut pair);
    let timings = Timings::default();
    let longest = read_until + timings.max_lease_lead + timings.entry_lease;
    assert_eq!(leases.len(), 1, "{:?}", pair.giver_actions);
    assert!(u128::from(leases[0]) <= longest.as_millis() + 10);
    pair.end_run(key, RunEnd::Done);
    pair.deliver();
    let (leases, _) = leases_after_mark(&mut pair);
    assert!(leases.is_empty(), "no run is left: {leases:?}");
}

// Guards against runs that a receiver wants while their caller is back at another entry: the giver read
// the request late.
#[test]
fn test_handle_request_read_late_is_offered_for_the_rest_of_its_time() {
    let mut pair = Pair::new();
    let read_until = pair.now - ms(200);
    pair.give(EntryEvent::InputRead(read_until));
    pair.pass(ms(40));
    let late = pair.now - read_until;
    pair.give(submission(100, BATCH));
    let offer = pair.offer().expect("an offer");
    let left = ms(3_000) - late;
    assert_eq!(u128::from(offer.timeout_ms), left.as_millis());
    pair.deliver();
    pair.forget();
    pair.pass(left);
    assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
}

// Guards against a request that an old configuration's service runs although it was sent later.
#[test]
fn test_handle_caller_that_returns_after_its_queue_moved_is_served_anew() {
    let (mut pair, key) = Pair::with_run();
    pair.give(config_version(2, "next"));
    let held = pair.giver.gauges().batches;
    pair.forget();
    pair.give(submission(101, BATCH));
    assert!(has_release(&pair.giver_actions), "{:?}", pair.giver_actions);
    assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
    pair.deliver();
    assert!(pair.is_stopped(key));
    pair.end_run(key, RunEnd::Done);
    pair.deliver();
    let answered = pair.own_replies();
    assert!(!answered.contains(&(101, Reply::Succeeded)), "{answered:?}");
    let waiting = pair.giver.gauges().batches - held;
    assert_eq!(waiting, 1, "it waits for its new service");
}

// Guards against lost work: a configuration that doesn't move the queue leaves the batch where it is.
#[test]
fn test_handle_caller_that_returns_after_another_change_gets_the_answer() {
    let (mut pair, key) = Pair::with_run();
    pair.give(config_version(2, "service"));
    pair.give(submission(101, BATCH));
    pair.end_run(key, RunEnd::Done);
    pair.deliver();
    assert_eq!(pair.own_replies()[1..], [(101, Reply::Succeeded)]);
}

#[test]
fn test_handle_caller_that_comes_to_the_receiver_gets_runs_without_guarantor() {
    let (mut pair, key) = Pair::with_run();
    pair.receive(submission(300, BATCH));
    // The old run names the giver, which will release it.
    assert!(pair.is_stopped(key));
    assert!(pair.answers()[0].has_runs);
    pair.deliver();
    assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
    pair.forget();
    pair.pass(ms(50));
    assert_eq!(starts(&pair.receiver_actions).len(), 0);
    pair.end_run(key, RunEnd::Stopped);
    let own = starts(&pair.receiver_actions);
    assert_eq!(own.len(), 1);
    assert_eq!(own[0].guarantor, None);
    let key = own[0].keys().next().expect("a run");
    pair.end_run(key, RunEnd::Done);
    assert_eq!(replies(&pair.receiver_actions), [(300, Reply::Succeeded)]);
}

#[test]
fn test_handle_failed_batch_is_answered_as_failed() {
    let (mut pair, key) = Pair::with_run();
    pair.end_run(key, RunEnd::Failed);
    pair.deliver();
    assert_eq!(pair.own_replies(), [(100, Reply::Failed)]);
}

#[test]
fn test_handle_refusal_of_the_receiver_goes_to_the_caller() {
    let mut pair = Pair::with_offer();
    let number = pair.offer().expect("an offer").number;
    let reply = HandOverReply {
        number,
        outcome: HandOverOutcome::Busy(700),
        has_runs: false,
    };
    let packet = PeerPacket {
        clock: 1,
        news: vec![PeerNews::HandOverReply(reply)],
    };
    pair.give(EntryEvent::Packet(PEER, Packet::BetweenEntries(packet)));
    let expected = Reply::Refused {
        why: Refusal::Busy,
        retry_after: Some(ms(700)),
    };
    assert_eq!(pair.own_replies(), [(100, expected)]);
    assert!(!has_release(&pair.giver_actions));
}

#[test]
fn test_handle_missing_guarantor_gives_the_batch_up() {
    // The only target's agent has no link to the giver.
    let (mut pair, key) = Pair::with_run();
    let clock = pair.now.as_millis() as u64;
    let reason = NotStarted::NoGuarantor;
    pair.receive(from_agent(
        vec![AgentNews::NotStarted { key, reason }],
        clock,
    ));
    assert_eq!(starts(&pair.receiver_actions).len(), 0);
    pair.deliver();
    assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
}

#[test]
fn test_handle_agent_of_an_older_build_gets_no_guaranteed_start() {
    let mut pair = Pair::new();
    pair.receive(agent_hello(0));
    pair.pass(ms(40));
    pair.give(submission(100, BATCH));
    pair.deliver();
    assert_eq!(pair.receiver.gauges().taken_over, 1);
    assert_eq!(starts(&pair.receiver_actions).len(), 0);
    // Nor is it sent releases.
    pair.give(agent_hello(0));
    pair.forget();
    pair.give(EntryEvent::CallerGone(100));
    assert!(!has_release(&pair.giver_actions));
}

#[test]
fn test_handle_reconnected_agent_gets_the_releases_and_guarantors() {
    let (mut pair, key) = Pair::with_run();
    pair.receive(agent_hello(1));
    let welcome = orders(&pair.receiver_actions)
        .into_iter()
        .find_map(|o| match o {
            Order::Welcome(welcome) => Some(welcome),
            _ => None,
        });
    let guarantors = welcome.expect("a welcome").guarantors;
    assert!(guarantors.contains(&(key, 1)), "{guarantors:?}");
    pair.give(EntryEvent::CallerGone(100));
    pair.forget();
    pair.give(agent_hello(1));
    assert!(has_release(&pair.giver_actions), "the release may be lost");
}

#[test]
fn test_handle_draining_giver_waits_for_answers_and_offers_nothing() {
    let (mut pair, key) = Pair::with_run();
    pair.give(EntryEvent::Drain);
    pair.give(submission(101, BATCH + 1));
    assert!(pair.offer().is_none());
    let own = starts(&pair.giver_actions)[0].keys().next().expect("a run");
    let ended = AgentNews::Ended {
        key: own,
        end: RunEnd::Done,
        ran_ms: 1,
    };
    let clock = pair.now.as_millis() as u64;
    pair.give(from_agent(vec![ended], clock));
    pair.pass(ms(2_000));
    pair.end_run(key, RunEnd::Done);
    pair.deliver();
    let served = [(101, Reply::Succeeded), (100, Reply::Succeeded)];
    assert_eq!(pair.own_replies(), served);
}

#[test]
fn test_handle_draining_giver_gives_up_at_its_limit() {
    let mut pair = Pair::new();
    let patient = match submission(100, BATCH) {
        EntryEvent::Submit(mut submission) => {
            submission.caller_timeout = ms(20_000);
            EntryEvent::Submit(submission)
        }
        other => other,
    };
    pair.give(patient);
    pair.deliver();
    pair.give(EntryEvent::Drain);
    pair.pass(Timings::default().entry_stop - ms(50));
    assert_eq!(pair.own_replies(), []);
    pair.pass(ms(100));
    assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
    assert!(has_release(&pair.giver_actions));
}

#[test]
fn test_handle_draining_receiver_finishes_and_declines() {
    let (mut pair, key) = Pair::with_run();
    pair.receive(EntryEvent::Drain);
    pair.give(submission(101, BATCH + 1));
    pair.deliver();
    // The giver takes the second batch itself.
    assert_eq!(starts(&pair.giver_actions).len(), 1);
    pair.end_run(key, RunEnd::Done);
    pair.deliver();
    assert_eq!(pair.own_replies(), [(100, Reply::Succeeded)]);
}

/// Longest time for which runs of a lost agent may go on after the last word to it: the entry's lease, the
/// stop, the lapse of the target's lease, and a suspension of the VM.
fn longest_run_without_words() -> Duration {
    let t = Timings::default();
    t.entry_lease + t.stop_bound + t.lapse + ms(10_000)
}

// Guards against a task that runs twice at once: the receiver answers while a run of the batch is still
// being stopped, its confirmation is late or lost, and the batch comes back to the giver.
#[test]
fn test_handle_answer_with_runs_left_blocks_until_confirmed_or_proven() {
    for is_confirmed in [true, false] {
        let (mut pair, key) = Pair::with_run();
        pair.receive(submission(7, BATCH));
        pair.deliver();
        assert_eq!(pair.own_replies(), [(100, Reply::GaveUp)]);
        let answered_at = pair.now;
        pair.forget();
        let until = match is_confirmed {
            true => answered_at + ms(400),
            false => answered_at + longest_run_without_words(),
        };
        let mut request = 101;
        while pair.now < until {
            pair.give(submission(request, BATCH));
            request += 1;
            pair.wait(ms(180).min(until - pair.now));
        }
        assert_eq!(starts(&pair.giver_actions), [], "confirmed: {is_confirmed}");
        if is_confirmed {
            pair.end_run(key, RunEnd::Stopped);
            pair.deliver();
        } else {
            pair.wait(ms(500));
        }
        pair.give(submission(request, BATCH));
        pair.wait(ms(100));
        assert!(!starts(&pair.giver_actions).is_empty(), "{is_confirmed}");
    }
}

/// Notices on the batch in the giver's undelivered packets: whether its runs may be left or are over.
fn notices_of_giver(pair: &Pair) -> Vec<bool> {
    let news = pair.to_receiver.iter().flat_map(|p| &p.news);
    let notices = news.filter_map(|n| match n {
        PeerNews::RunsLeft(notice) if notice.batch == BATCH => Some(true),
        PeerNews::RunsOver(notice) if notice.batch == BATCH => Some(false),
        _ => None,
    });
    notices.collect()
}

// Guards against a batch that runs twice at once: its caller leaves the giver, and the entry that the
// caller reaches is not told of the receiver's runs, or is told too soon that they are over.
#[test]
fn test_handle_runs_of_a_released_batch_are_told_until_the_receiver_confirms() {
    let (mut pair, key) = Pair::with_run();
    pair.give(EntryEvent::CallerGone(100));
    pair.wait(ms(100));
    assert_eq!(notices_of_giver(&pair), [true]);
    // The caller comes and leaves once more.
    pair.give(submission(101, BATCH));
    pair.give(EntryEvent::CallerGone(101));
    pair.wait(ms(100));
    assert!(!notices_of_giver(&pair).contains(&false));
    pair.deliver();
    pair.end_run(key, RunEnd::Stopped);
    pair.deliver();
    pair.wait(ms(100));
    assert_eq!(notices_of_giver(&pair), [false]);
}

// Guards against a caller whose batch is given up at its entry: the receiver reports it anew, because its
// witness was lost, and the giver is the next one.
#[test]
fn test_handle_report_of_the_receiver_does_not_supersede_the_giver() {
    let (mut pair, _) = Pair::with_run();
    pair.pass(ms(1_400));
    let notice = DispatchNotice {
        batches: Vec::new(),
        ended: vec![BATCH],
    };
    let again = DispatchNotice {
        batches: vec![DispatchedBatch {
            batch: BATCH,
            agents: vec!["agent".into()],
        }],
        ended: Vec::new(),
    };
    let news = [notice, again].map(PeerNews::Dispatched).to_vec();
    let packet = Packet::BetweenEntries(PeerPacket { clock: 1, news });
    pair.give(EntryEvent::Packet(PEER, packet));
    assert!(replies(&pair.giver_actions).is_empty());
}

// Guards against a task that runs twice at once: the request of a batch that is handed over was held up.
#[test]
fn test_handle_offer_of_an_old_request_is_claimed_by_the_receiver() {
    for max_age in [None, Some(ms(1_300)), Some(Duration::ZERO)] {
        let mut pair = Pair::new();
        let EntryEvent::Submit(submission) = submission(100, BATCH) else {
            panic!("a submission");
        };
        let submission = Submission {
            max_age,
            ..submission
        };
        pair.give(EntryEvent::Submit(submission));
        pair.deliver();
        let packets = between_entries(&pair.receiver_actions);
        let mut news = packets.iter().flat_map(|packet| &packet.news);
        let is_claimed = news.any(|news| matches!(news, PeerNews::Claim(_)));
        assert_eq!(is_claimed, max_age != Some(Duration::ZERO), "{max_age:?}");
        // The giver is not another holder.
        assert_eq!(starts(&pair.receiver_actions).len(), 1, "{max_age:?}");
    }
}
