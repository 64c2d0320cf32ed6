//! Targets that restart under their names: which incarnation the agent's calls are for.

use super::*;

const FORMER_START: u64 = 1_785_000_000_000;
const NEXT_START: u64 = 1_785_000_005_000;

fn report_of(born: u64, sequence: u64) -> AgentEvent {
    let mut info = info("life-1", false);
    info.life = incarnation_of("life-1", Some(born));
    AgentEvent::Report(TargetReport { info, sequence })
}

/// Empty lists of the incarnation that started at `born`.
fn lists_of(born: u64, clock: u64) -> RenewalAnswer {
    RenewalAnswer::Lists {
        born: Some(born),
        clock,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

/// Makes the incarnation that started at `born` current at `at`, and lets the agent read its lists.
/// Returns the actions that follow.
fn begin(agent: &mut RunAgentCore, at: Now, born: u64, clock: u64) -> Vec<AgentAction> {
    let actions = agent.handle(at, report_of(born, 1));
    let (number, _) = incarnation_checks(&actions)[0];
    let alive = incarnation_checked(number, IncarnationAnswer::Alive(Some(born)));
    let actions = agent.handle(at, alive);
    let number = *renewals(&actions).last().expect("the lists are asked for");
    let answer = lists_of(born, clock);
    agent.handle(at + ms(1), AgentEvent::RenewalAnswered { number, answer })
}

/// An agent whose target states start times, and the actions of a start at 10 ms.
fn agent_with_start_in_flight() -> (RunAgentCore, Vec<AgentAction>) {
    let mut agent = RunAgentCore::new(Now::ZERO, options());
    begin(&mut agent, ms(1), FORMER_START, 900_000);
    agent.handle(ms(3), AgentEvent::LinkUp(LINK, address(1)));
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: Vec::new(),
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 0,
    };
    agent.handle(ms(4), packet(60_000, vec![Order::Welcome(welcome)]));
    let actions = agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    (agent, actions)
}

fn started(call: &StartCall, clock: u64) -> AgentEvent {
    AgentEvent::StartAnswered {
        key: call.key,
        token: call.token,
        answer: StartAnswer::Started { clock },
    }
}

fn extensions(actions: &[AgentAction]) -> Vec<Renewal> {
    let renewals = actions.iter().filter_map(|a| match a {
        AgentAction::Renew { renewal, .. } => Some(*renewal),
        _ => None,
    });
    renewals.filter(|r| r.until.is_some()).collect()
}

// Guards against a call that reaches the next incarnation of the target's name: it would grant a lease by
// the clock of the former one, up to the longest.
#[test]
fn test_handle_calls_that_grant_leases_state_the_incarnation() {
    let (_, actions) = agent_with_start_in_flight();
    let call = start_calls(&actions).remove(0);
    assert_eq!(call.born, Some(FORMER_START));
    let sent = extensions(&actions);
    assert!(!sent.is_empty());
    assert!(
        sent.iter().all(|r| r.born == Some(FORMER_START)),
        "{sent:?}"
    );
}

#[test]
fn test_handle_start_that_found_a_restarted_target_is_not_started() {
    let (mut agent, actions) = agent_with_start_in_flight();
    let call = start_calls(&actions).remove(0);
    let answer = StartAnswer::Restarted;
    let (key, token) = (call.key, call.token);
    let actions = agent.handle(ms(12), AgentEvent::StartAnswered { key, token, answer });
    assert_eq!(refusal(&actions), Some(NotStarted::Unreachable));
    let actions = agent.handle(ms(13), packet(60_000, vec![start(1, 5_000)]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Unreachable));
}

// Guards against a run on an incarnation that its entry did not choose: it may lack a label.
#[test]
fn test_handle_lost_start_is_not_resent_to_the_next_incarnation() {
    let (mut agent, actions) = agent_with_start_in_flight();
    let token = start_calls(&actions)[0].token;
    agent.handle(ms(20), start_unanswered(token));
    // The target is silent, as after a loss of power, so that the start can't have crashed it.
    agent.handle(ms(200), packet(60_000, Vec::new()));
    agent.handle(ms(205), AgentEvent::Wake);
    let actions = begin(&mut agent, ms(300), NEXT_START, 50);
    assert_eq!(start_calls(&actions), []);
    assert_eq!(refusal(&actions), Some(NotStarted::Unreachable));
}

// Guards against a lease by the clock of a former incarnation, whose answer to a start comes late.
#[test]
fn test_handle_late_answer_to_a_start_tells_no_clock() {
    let (mut agent, actions) = agent_with_start_in_flight();
    let call = start_calls(&actions).remove(0);
    begin(&mut agent, ms(30), NEXT_START, 50);
    agent.handle(ms(33), started(&call, 900_020));
    let actions = agent.handle(ms(40), packet(60_000, vec![start(1, 5_000)]));
    let until = start_calls(&actions).first().map(|call| call.until);
    assert!(until.is_some_and(|until| until < 2_000), "{until:?}");
}

fn start_for(target: Option<TargetIncarnation>) -> Order {
    match start(0, 5_000) {
        Order::Start(order) => Order::Start(StartOrder { target, ..order }),
        other => other,
    }
}

// Guards against a task on a target that lacks its label: the entry has not read yet that the incarnation
// that it chose was replaced by one of another kind.
#[test]
fn test_handle_order_for_another_incarnation_starts_nothing() {
    let mut agent = ready_agent();
    let cases = [
        (Some(incarnation_of("life-0", None)), 0),
        (Some(incarnation_of("life-1", Some(1))), 0),
        (Some(incarnation_of("life-1", None)), 1),
    ];
    for (target, expected) in cases {
        let actions = agent.handle(ms(10), packet(60_000, vec![start_for(target.clone())]));
        assert_eq!(starts(&actions), expected, "{target:?}");
        let reason = (expected == 0).then_some(NotStarted::Replaced);
        assert_eq!(refusal(&actions), reason, "{target:?}");
    }
}

#[test]
fn test_handle_order_of_an_older_build_names_no_incarnation() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), packet(60_000, vec![start_for(None)]));
    assert_eq!(starts(&actions), 1);
}
