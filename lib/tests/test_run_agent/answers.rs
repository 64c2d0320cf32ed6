//! Answers of the target that prove less than they seem to.

use super::*;

/// Most ends that a target lists at once.
const ENDS_PER_PAGE: u16 = 500;

/// An agent whose target has started a run, with the number of the renewal in flight.
fn agent_with_run() -> (RunAgentCore, u64) {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let number = renewals(&actions)[0];
    let started = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_010 },
    };
    agent.handle(ms(12), started);
    (agent, number)
}

/// Run ends that the actions report to entries.
fn ends(actions: &[AgentAction]) -> Vec<(RunKey, RunEnd)> {
    let sent = actions.iter().filter_map(|a| match a {
        AgentAction::Send(_, packet) => Some(packet),
        _ => None,
    });
    let ended = sent.flat_map(|p| &p.news).filter_map(|news| match news {
        AgentNews::Ended { key, end, .. } => Some((*key, *end)),
        _ => None,
    });
    ended.collect()
}

// Guards against a run that is done and counts as lost, so that its task runs again: its end is on the
// next page of a long list.
#[test]
fn test_handle_run_whose_end_is_on_the_next_page_is_not_lost() {
    let (mut agent, number) = agent_with_run();
    // The renewal in flight was sent before the start was answered.
    let answer = running(&[key(0)]);
    let actions = agent.handle(ms(20), AgentEvent::RenewalAnswered { number, answer });
    let number = renewals(&actions)[0];
    let others = (1..=ENDS_PER_PAGE).map(|n| (u64::from(n), key(n), RunEnd::Done));
    let answer = RenewalAnswer::Lists {
        born: None,
        clock: 1_040,
        running: Vec::new(),
        ended: others.collect(),
    };
    let actions = agent.handle(ms(50), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(ends(&actions), [], "its end may be on the next page");
    let number = renewals(&actions)[0];
    let answer = RenewalAnswer::Lists {
        born: None,
        clock: 1_041,
        running: Vec::new(),
        ended: vec![(u64::from(ENDS_PER_PAGE) + 1, key(0), RunEnd::Done)],
    };
    let actions = agent.handle(ms(51), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(ends(&actions), [(key(0), RunEnd::Done)]);
}

const SECOND: SessionId = 2;

/// The run starts that the actions send to the target.
fn started(actions: &[AgentAction]) -> Vec<RunKey> {
    start_calls(actions).iter().map(|call| call.key).collect()
}

/// A packet of the entry on its second link, which claims this run.
fn welcome_on_second_link(claimed: RunKey) -> AgentEvent {
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: vec![(claimed, SIZE)],
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 2,
    };
    let packet = EntryPacket {
        lease_until: 60_000,
        store_heard: 0,
        waiting: 0,
        orders: vec![Order::Welcome(welcome)],
    };
    AgentEvent::Packet(SECOND, packet)
}

// Guards against a task that runs twice at once: an entry has replaced its link to the agent, and is told
// there that a run is not known. Its order for that run is still unread on the former link.
#[test]
fn test_handle_order_on_a_replaced_link_starts_nothing() {
    let mut agent = ready_agent();
    agent.handle(ms(10), AgentEvent::LinkUp(SECOND, address(2)));
    let actions = agent.handle(ms(11), welcome_on_second_link(key(0)));
    assert_eq!(ends(&actions), [(key(0), RunEnd::Lost)]);
    let actions = agent.handle(ms(12), packet(60_000, vec![start(0, 500)]));
    assert_eq!(started(&actions), [], "the entry takes the run for over");
}

// Guards against an end that its entry never hears: it is told on the link that the entry has replaced.
#[test]
fn test_handle_end_is_told_on_the_link_that_replaced_another() {
    let (mut agent, number) = agent_with_run();
    agent.handle(ms(13), AgentEvent::LinkUp(SECOND, address(2)));
    agent.handle(ms(14), welcome_on_second_link(key(0)));
    let answer = RenewalAnswer::Lists {
        born: None,
        clock: 1_020,
        running: Vec::new(),
        ended: vec![(1, key(0), RunEnd::Done)],
    };
    let actions = agent.handle(ms(20), AgentEvent::RenewalAnswered { number, answer });
    let on_second = actions.iter().filter_map(|a| match a {
        AgentAction::Send(SECOND, packet) => Some(&packet.news),
        _ => None,
    });
    let is_end = |n: &&AgentNews| matches!(n, AgentNews::Ended { key: k, .. } if *k == key(0));
    assert_eq!(on_second.flatten().filter(is_end).count(), 1, "{actions:?}");
}

// Guards against runs that are stopped although their entry is there: the link that it has replaced closes
// after it has claimed them on the new one.
#[test]
fn test_handle_close_of_a_replaced_link_ends_no_lease() {
    let (mut agent, _) = agent_with_run();
    agent.handle(ms(13), AgentEvent::LinkUp(SECOND, address(2)));
    agent.handle(ms(14), welcome_on_second_link(key(0)));
    agent.handle(ms(15), AgentEvent::LinkDown(LINK));
    let mut actions = Vec::new();
    for step in 2..60 {
        actions.extend(agent.handle(ms(10 * step), AgentEvent::Wake));
    }
    let is_stop = |a: &&AgentAction| matches!(a, AgentAction::Stop { .. });
    assert_eq!(actions.iter().filter(is_stop).count(), 0);
}

/// Rate of the slowest clock that a target may have.
const SLOW_RATE: f64 = 0.98;
/// Longest time that a target takes to stop its runs.
const STOP_TIME: Duration = ms(50);

/// When a lease that a target granted at `at` has ended, with its runs, at the latest.
fn ended_by(at: Now, lease: Duration) -> Now {
    at + lease.div_f64(SLOW_RATE) + STOP_TIME
}

// Guards against a run that counts as lost while it goes on: the agent has restarted, its target does not
// answer, and the lease that its former incarnation asked for last has not ended.
#[test]
fn test_handle_claim_without_lists_is_answered_after_the_former_incarnations_lease() {
    let mut agent = RunAgentCore::new(ms(5), options());
    agent.handle(ms(6), AgentEvent::LinkUp(LINK, address(1)));
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: vec![(key(0), SIZE)],
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 2,
    };
    agent.handle(ms(7), packet(60_000, vec![Order::Welcome(welcome)]));
    let mut now = ms(7);
    let mut told = Vec::new();
    while told.is_empty() {
        now += ms(1);
        assert!(now < ms(3_000), "the claim is not answered");
        let actions = agent.handle(now, packet(60_000, Vec::new()));
        told = ends(&actions);
    }
    assert_eq!(told, [(key(0), RunEnd::Lost)]);
    let longest = Timings::default().target_lease;
    assert!(now > ended_by(ms(5), longest), "told at {now:?}");
}

/// Lists without runs, of an incarnation that began at this time.
fn lists_of(born: u64, clock: u64) -> RenewalAnswer {
    RenewalAnswer::Lists {
        born: Some(born),
        clock,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

// Guards against a run that counts as lapsed while it goes on: a renewal for the former incarnation of a
// target has reached the next one, which granted it in full, and the agent's own last lease is short.
#[test]
fn test_handle_full_lease_of_a_call_to_the_former_incarnation_is_waited_for() {
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: Vec::new(),
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 2,
    };
    let mut agent = ready_agent_of(packet(700, vec![Order::Welcome(welcome)]));
    let actions = agent.handle(ms(10), packet(700, vec![start(0, 5_000)]));
    let number = renewals(&actions)[0];
    let answer = lists_of(1, 900_000);
    let actions = agent.handle(ms(11), AgentEvent::RenewalAnswered { number, answer });
    let number = renewals(&actions)[0];
    let reached_at = ms(600);
    let answer = lists_of(2, 5);
    agent.handle(reached_at, AgentEvent::RenewalAnswered { number, answer });
    let mut next = info("life-1", false);
    next.life.born = Some(2);
    let report = TargetReport {
        info: next,
        sequence: 1,
    };
    let actions = agent.handle(reached_at, AgentEvent::Report(report));
    let (number, _) = incarnation_checks(&actions)[0];
    let alive = incarnation_checked(number, IncarnationAnswer::Alive(Some(2)));
    let actions = agent.handle(reached_at, alive);
    let number = renewals(&actions)[0];
    let answer = lists_of(2, 5);
    agent.handle(reached_at, AgentEvent::RenewalAnswered { number, answer });
    // The entry's last word lets the next lease be short.
    let actions = agent.handle(ms(601), packet(720, vec![start(1, 5_000)]));
    assert_eq!(starts(&actions), 1, "{:?}", refusal(&actions));
    let mut now = ms(601);
    while agent.gauges().runs > 0 {
        now += ms(1);
        agent.handle(now, AgentEvent::Wake);
    }
    let longest = Timings::default().target_lease;
    assert!(now > ended_by(reached_at, longest), "given up at {now:?}");
}

/// An agent whose first start got no answer in time, with the renewal that fences it off.
fn agent_with_unanswered_start(start_by: u64) -> (RunAgentCore, Renewal) {
    let mut agent = ready_agent();
    agent.handle(ms(10), packet(60_000, vec![start(0, start_by)]));
    let actions = agent.handle(ms(111), start_unanswered(100));
    let fence = fence(&actions);
    assert!(fence.token > 100);
    (agent, fence)
}

// Guards against a task that is started for an entry that no longer wants it: a lost start is sent again
// after its last moment, or while its run is being stopped.
#[test]
fn test_handle_lost_start_that_is_no_longer_wanted_is_not_sent_again() {
    for is_stopped in [false, true] {
        let start_by = if is_stopped { 5_000 } else { 115 };
        let (mut agent, fence) = agent_with_unanswered_start(start_by);
        if is_stopped {
            agent.handle(ms(112), packet(60_000, vec![Order::Stop(vec![key(0)])]));
        }
        let (number, answer) = (fence.number, lists());
        let actions = agent.handle(ms(120), AgentEvent::RenewalAnswered { number, answer });
        assert_eq!(started(&actions), [], "stopped: {is_stopped}");
        assert_eq!(refusal(&actions), Some(NotStarted::Unanswered));
    }
}

// Guards against a run that outlasts the return of its caller, who left the entry that guarantees it: the
// lease goes on by the words of the other entry, which runs it.
#[test]
fn test_handle_lease_of_a_guaranteed_run_counts_from_the_earlier_words() {
    const GUARANTOR: u64 = 8;
    let timings = Timings::default();
    let mut agent = ready_agent();
    agent.handle(ms(5), AgentEvent::LinkUp(SECOND, address(2)));
    let welcome = Welcome {
        name: "guarantor".into(),
        life: GUARANTOR,
        entries: Vec::new(),
        claims: Vec::new(),
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 2,
    };
    let guaranteed_at = ms(20);
    let words = EntryPacket {
        lease_until: (guaranteed_at + timings.entry_lease).as_millis() as u64,
        store_heard: 0,
        waiting: 0,
        orders: vec![Order::Welcome(welcome)],
    };
    agent.handle(guaranteed_at, AgentEvent::Packet(SECOND, words));
    let Order::Start(mut order) = start(0, 500) else {
        return;
    };
    order.guarantor = Some(GUARANTOR);
    let mut actions = agent.handle(ms(21), packet(60_000, vec![Order::Start(order)]));
    assert_eq!(starts(&actions), 1, "{:?}", refusal(&actions));
    // On the agent's clock, 1 s behind the target's.
    let mut latest = ms(0);
    let mut now = ms(21);
    while now < ms(790) {
        now += ms(10);
        let mut next = Vec::new();
        for action in &actions {
            let AgentAction::Renew { renewal, .. } = action else {
                continue;
            };
            latest = latest.max(ms(renewal.until.unwrap_or(1_000) - 1_000));
            let RenewalAnswer::Lists { running, ended, .. } = running(&[key(0)]) else {
                continue;
            };
            let answer = RenewalAnswer::Lists {
                born: None,
                clock: 1_000 + now.as_millis() as u64,
                running,
                ended,
            };
            let number = renewal.number;
            next.extend(agent.handle(now, AgentEvent::RenewalAnswered { number, answer }));
        }
        next.extend(agent.handle(now, packet(60_000, Vec::new())));
        actions = next;
    }
    let bound = timings.unrenewed_run_bound;
    assert!(latest > ms(400), "the lease is renewed: {latest:?}");
    assert!(latest + STOP_TIME <= guaranteed_at + bound, "{latest:?}");
}

// Guards against a task that runs twice at once: a start was lost and is sent again, and the late answer to
// the first call counts for the second one.
#[test]
fn test_handle_late_answer_to_a_lost_start_says_nothing_of_the_next_one() {
    for late in [
        StartAnswer::Full,
        StartAnswer::Late,
        StartAnswer::Unhealthy,
        StartAnswer::Superseded,
        StartAnswer::Refused,
    ] {
        let (mut agent, fence) = agent_with_unanswered_start(5_000);
        let (number, answer) = (fence.number, lists());
        let actions = agent.handle(ms(120), AgentEvent::RenewalAnswered { number, answer });
        let again = start_calls(&actions);
        assert_eq!(again.len(), 1, "{actions:?}");
        assert!(again[0].token > 100);
        let answered = |token, answer| AgentEvent::StartAnswered {
            key: key(0),
            token,
            answer,
        };
        let actions = agent.handle(ms(121), answered(100, late));
        assert_eq!(refusal(&actions), None, "{late:?}");
        let started = StartAnswer::Started { clock: 1_121 };
        agent.handle(ms(122), answered(again[0].token, started));
        assert_eq!(agent.gauges().runs, 1, "{late:?}");
    }
}
