//! Runs of batches that were handed over: both leases count, and releases stop them.

use super::*;

const OWNER: u64 = 9;
const GUARANTOR: u64 = 10;
const SECOND: SessionId = 2;

fn welcome(life: u64, claims: Vec<(RunKey, Resources)>, guarantors: Vec<(RunKey, u64)>) -> Order {
    Order::Welcome(Welcome {
        name: format!("entry-{life}").into(),
        life,
        entries: Vec::new(),
        claims,
        guarantors,
        evacuations: Arc::default(),
        protocol: 1,
    })
}

fn packet_on(link: SessionId, lease_until: u64, orders: Vec<Order>) -> AgentEvent {
    let packet = EntryPacket {
        lease_until,
        store_heard: 0,
        waiting: 0,
        orders,
    };
    AgentEvent::Packet(link, packet)
}

fn guaranteed_start(index: u16, start_by: u64) -> Order {
    match start(index, start_by) {
        Order::Start(order) => Order::Start(StartOrder {
            guarantor: Some(GUARANTOR),
            ..order
        }),
        other => other,
    }
}

/// An agent that is linked to the owner, whose lease is long, and to the guarantor with this lease.
fn agent_with_guarantor(lease_until: u64) -> RunAgentCore {
    let mut agent = ready_agent();
    agent.handle(ms(5), AgentEvent::LinkUp(SECOND, address(2)));
    let orders = vec![welcome(GUARANTOR, Vec::new(), Vec::new())];
    agent.handle(ms(5), packet_on(SECOND, lease_until, orders));
    agent
}

fn started(agent: &mut RunAgentCore, at: Now, index: u16) {
    let answered = AgentEvent::StartAnswered {
        key: key(index),
        token: 100,
        answer: StartAnswer::Started { clock: 1_010 },
    };
    agent.handle(at, answered);
}

fn stops(actions: &[AgentAction]) -> Vec<RunKey> {
    let stops = actions.iter().filter_map(|a| match a {
        AgentAction::Stop { key, .. } => Some(*key),
        _ => None,
    });
    stops.collect()
}

/// Whether a renewal among the actions extends the target's lease.
fn renews(actions: &[AgentAction]) -> bool {
    let is_extending = |a: &AgentAction| matches!(a, AgentAction::Renew { renewal, .. } if renewal.until.is_some());
    actions.iter().any(is_extending)
}

#[test]
fn test_handle_start_without_guarantor_is_refused() {
    // The guarantor has no link here, so its death would not be noticed.
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), packet(60_000, vec![guaranteed_start(0, 500)]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::NoGuarantor));
}

#[test]
fn test_handle_start_after_guarantors_lease_is_refused() {
    let mut agent = agent_with_guarantor(300);
    let actions = agent.handle(ms(301), packet(60_000, vec![guaranteed_start(0, 800)]));
    assert_eq!(refusal(&actions), Some(NotStarted::NoGuarantor));
}

#[test]
fn test_handle_start_after_guarantors_link_closed_is_refused() {
    // Its lease lasts for the reconnect grace, in which the caller's entry may already be gone.
    let mut agent = agent_with_guarantor(60_000);
    agent.handle(ms(10), AgentEvent::LinkDown(SECOND));
    let actions = agent.handle(ms(11), packet(60_000, vec![guaranteed_start(0, 800)]));
    assert_eq!(refusal(&actions), Some(NotStarted::NoGuarantor));
}

#[test]
fn test_handle_run_is_stopped_when_guarantors_lease_lapses() {
    let mut agent = agent_with_guarantor(300);
    let orders = vec![guaranteed_start(0, 500), start(1, 500)];
    let actions = agent.handle(ms(10), packet(60_000, orders));
    assert_eq!(starts(&actions), 2);
    started(&mut agent, ms(11), 0);
    started(&mut agent, ms(11), 1);
    assert_eq!(stops(&agent.handle(ms(299), AgentEvent::Wake)), []);
    assert!(agent.next_wake().expect("the lease lapses") <= ms(300));
    // Only the run that names the guarantor is an orphan.
    let actions = agent.handle(ms(300), AgentEvent::Wake);
    assert_eq!(stops(&actions), [key(0)]);
}

#[test]
fn test_handle_run_is_stopped_when_owners_lease_lapses() {
    let mut agent = agent_with_guarantor(60_000);
    let orders = vec![welcome(OWNER, Vec::new(), Vec::new())];
    agent.handle(ms(6), packet(60_000, orders));
    agent.handle(ms(10), packet(60_000, vec![guaranteed_start(0, 500)]));
    started(&mut agent, ms(11), 0);
    agent.handle(ms(20), AgentEvent::LinkDown(LINK));
    let grace = Timings::default().reconnect_grace;
    let actions = agent.handle(ms(20) + grace, AgentEvent::Wake);
    assert_eq!(stops(&actions), [key(0)]);
}

#[test]
fn test_handle_run_that_outlasts_its_guarantor_is_not_renewed() {
    // The stop is not listed within the stop bound, so the target's lease must lapse.
    let mut agent = agent_with_guarantor(300);
    agent.handle(ms(10), packet(60_000, vec![guaranteed_start(0, 500)]));
    started(&mut agent, ms(11), 0);
    let bound = ms(300) + Timings::default().stop_bound;
    let mut actions = Vec::new();
    let mut now = ms(20);
    let mut renewed_late = false;
    while now < ms(1_500) {
        let numbers = renewals(&actions);
        actions = agent.handle(now, AgentEvent::Wake);
        for number in numbers {
            let answer = running(&[key(0)]);
            actions.extend(agent.handle(now, AgentEvent::RenewalAnswered { number, answer }));
        }
        renewed_late |= now >= bound && renews(&actions);
        now += ms(10);
    }
    assert!(!renewed_late);
}

#[test]
fn test_handle_release_stops_the_guarantors_runs_and_starts_no_others() {
    let mut agent = agent_with_guarantor(60_000);
    let orders = vec![guaranteed_start(0, 500), start(1, 500)];
    agent.handle(ms(10), packet(60_000, orders));
    started(&mut agent, ms(11), 0);
    started(&mut agent, ms(11), 1);
    // Another entry's release concerns no run that names a different guarantor.
    let actions = agent.handle(ms(19), packet(60_000, vec![Order::Release(5)]));
    assert_eq!(stops(&actions), []);
    let actions = agent.handle(ms(20), packet_on(SECOND, 60_000, vec![Order::Release(5)]));
    assert_eq!(stops(&actions), [key(0)]);
    // A start order that the owner sent before it learnt of the end.
    let actions = agent.handle(ms(21), packet(60_000, vec![guaranteed_start(2, 500)]));
    assert_eq!(refusal(&actions), Some(NotStarted::NoGuarantor));
    // The owner may run the batch on its own account.
    let actions = agent.handle(ms(22), packet(60_000, vec![start(3, 500)]));
    assert_eq!(starts(&actions), 1);
}

#[test]
fn test_handle_release_lasts_for_its_retention() {
    let mut agent = agent_with_guarantor(60_000);
    agent.handle(ms(10), packet_on(SECOND, 60_000, vec![Order::Release(5)]));
    for second in 1..5 {
        let at = ms(1_000 * second);
        agent.handle(at, packet_on(SECOND, 60_000, Vec::new()));
        let order = guaranteed_start(second as u16, 1_000 * second + 500);
        let actions = agent.handle(at, packet(60_000, vec![order]));
        assert_eq!(refusal(&actions), Some(NotStarted::NoGuarantor), "{at:?}");
    }
    agent.handle(ms(5_011), packet_on(SECOND, 60_000, Vec::new()));
    let actions = agent.handle(ms(5_011), packet(60_000, vec![guaranteed_start(9, 5_500)]));
    assert_eq!(starts(&actions), 1);
}

/// A restarted agent whose target runs `key(0)`, which the owner claims at 11 ms with a guarantor
/// that has not reconnected.
fn agent_with_claimed_run() -> (RunAgentCore, Vec<AgentAction>) {
    let mut agent = RunAgentCore::new(Now::ZERO, options());
    let actions = agent.handle(ms(1), AgentEvent::Wake);
    let number = renewals(&actions)[0];
    let answer = running(&[key(0)]);
    let mut actions = agent.handle(ms(2), AgentEvent::RenewalAnswered { number, answer });
    agent.handle(ms(10), AgentEvent::LinkUp(LINK, address(1)));
    let claims = vec![(key(0), SIZE)];
    let order = welcome(OWNER, claims, vec![(key(0), GUARANTOR)]);
    actions.extend(agent.handle(ms(11), packet(60_000, vec![order])));
    (agent, actions)
}

/// Answers the renewals among the actions, with the run still listed.
fn answer_renewals(
    agent: &mut RunAgentCore,
    now: Now,
    actions: &[AgentAction],
) -> Vec<AgentAction> {
    let mut next = agent.handle(now, AgentEvent::Wake);
    for number in renewals(actions) {
        let answer = running(&[key(0)]);
        next.extend(agent.handle(now, AgentEvent::RenewalAnswered { number, answer }));
    }
    next
}

#[test]
fn test_handle_adopted_run_is_renewed_only_once_its_guarantor_is_known() {
    let (mut agent, mut actions) = agent_with_claimed_run();
    // The guarantor may rely on the lease lapsing after its last packet to the earlier incarnation.
    for step in 2..10 {
        actions = answer_renewals(&mut agent, ms(10 * step), &actions);
        assert!(!renews(&actions), "{actions:?}");
        assert_eq!(stops(&actions), []);
    }
    agent.handle(ms(100), AgentEvent::LinkUp(SECOND, address(2)));
    let orders = vec![welcome(GUARANTOR, Vec::new(), Vec::new())];
    actions.extend(agent.handle(ms(101), packet_on(SECOND, 60_000, orders)));
    let mut is_renewed = renews(&actions);
    for step in 11..60 {
        actions = answer_renewals(&mut agent, ms(10 * step), &actions);
        is_renewed |= renews(&actions);
        assert_eq!(stops(&actions), []);
    }
    assert!(is_renewed);
}

#[test]
fn test_handle_adopted_run_whose_guarantor_does_not_return_is_stopped() {
    let (mut agent, mut actions) = agent_with_claimed_run();
    let mut stopped_at = None;
    for step in 2..40 {
        let now = ms(10 * step);
        actions = answer_renewals(&mut agent, now, &actions);
        assert!(!renews(&actions), "{actions:?}");
        if !stops(&actions).is_empty() {
            stopped_at.get_or_insert(now);
        }
    }
    let stopped_at = stopped_at.expect("the run is stopped");
    assert!(stopped_at < ms(300), "{stopped_at:?}");
}

#[test]
fn test_handle_adopted_run_claimed_after_its_release_is_stopped() {
    // The release arrives before the claim that names the guarantor.
    let mut agent = RunAgentCore::new(Now::ZERO, options());
    let actions = agent.handle(ms(1), AgentEvent::Wake);
    let number = renewals(&actions)[0];
    let answer = running(&[key(0)]);
    agent.handle(ms(2), AgentEvent::RenewalAnswered { number, answer });
    agent.handle(ms(3), AgentEvent::LinkUp(SECOND, address(2)));
    let orders = vec![
        welcome(GUARANTOR, Vec::new(), Vec::new()),
        Order::Release(5),
    ];
    agent.handle(ms(4), packet_on(SECOND, 60_000, orders));
    agent.handle(ms(10), AgentEvent::LinkUp(LINK, address(1)));
    let order = welcome(OWNER, vec![(key(0), SIZE)], vec![(key(0), GUARANTOR)]);
    let actions = agent.handle(ms(11), packet(60_000, vec![order]));
    assert_eq!(stops(&actions), [key(0)]);
}

#[test]
fn test_handle_reconnected_owner_does_not_remove_a_guarantor() {
    // A claim without guarantors comes from an older build.
    let mut agent = agent_with_guarantor(300);
    agent.handle(ms(10), packet(60_000, vec![guaranteed_start(0, 500)]));
    started(&mut agent, ms(11), 0);
    let order = welcome(OWNER, vec![(key(0), SIZE)], Vec::new());
    agent.handle(ms(20), packet(60_000, vec![order]));
    let actions = agent.handle(ms(300), AgentEvent::Wake);
    assert_eq!(stops(&actions), [key(0)]);
}

#[test]
fn test_handle_lost_start_is_not_resent_after_guarantors_lease() {
    // The process stalled, and the target's answer is read after the lease has lapsed.
    let mut agent = agent_with_guarantor(300);
    agent.handle(ms(250), packet(60_000, vec![guaranteed_start(0, 700)]));
    let answer = StartAnswer::Fenced;
    let event = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer,
    };
    let actions = agent.handle(ms(310), event);
    assert_eq!(starts(&actions), 0, "{actions:?}");
}
