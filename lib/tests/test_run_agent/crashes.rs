//! Crashes of the target: which runs they are told of, and tasks that run alone.

use super::*;

/// An agent on whose target runs of its entry go, from 12 ms on.
fn agent_with_runs(count: u16) -> RunAgentCore {
    let mut agent = ready_agent();
    for index in 0..count {
        agent.handle(ms(10), packet(60_000, vec![start(index, 5_000)]));
        let started = AgentEvent::StartAnswered {
            key: key(index),
            token: 100,
            answer: StartAnswer::Started { clock: 1_010 },
        };
        agent.handle(ms(12), started);
    }
    assert_eq!(agent.levels().runs, u64::from(count));
    agent
}

/// Ends that the actions tell of.
fn ends(actions: &[AgentAction]) -> Vec<RunEnd> {
    let sent = actions.iter().filter_map(|a| match a {
        AgentAction::Send(_, packet) => Some(packet),
        _ => None,
    });
    let news = sent.flat_map(|p| p.news.clone());
    let told = news.filter_map(|n| match n {
        AgentNews::Ended { end, .. } => Some(end),
        _ => None,
    });
    told.collect()
}

/// Answers every renewal in this way until nothing runs any more; gives the ends that were told.
fn ends_if_renewals_are(mut agent: RunAgentCore, answer: &RenewalAnswer) -> Vec<RunEnd> {
    let mut actions = agent.handle(ms(13), AgentEvent::Wake);
    // The renewal that waits since the first start has a low number.
    let mut numbers: Vec<u64> = (1..10).collect();
    let mut told = Vec::new();
    let mut now = ms(13);
    while told.is_empty() && now < ms(3_000) {
        numbers.extend(renewals(&actions));
        actions = Vec::new();
        for number in std::mem::take(&mut numbers) {
            now += ms(1);
            let answer = answer.clone();
            let answered = AgentEvent::RenewalAnswered { number, answer };
            actions.extend(agent.handle(now, answered));
        }
        now += ms(20);
        actions.extend(agent.handle(now, AgentEvent::Wake));
        actions.extend(agent.handle(now, packet(60_000, Vec::new())));
        told = ends(&actions);
    }
    told
}

#[test]
fn test_handle_run_of_a_target_that_refuses_connections_counts_as_crashed() {
    let told = ends_if_renewals_are(agent_with_runs(1), &RenewalAnswer::Refused);
    assert_eq!(told, [RunEnd::Crashed { alone: true }]);
}

#[test]
fn test_handle_crash_with_two_runs_points_at_neither() {
    let told = ends_if_renewals_are(agent_with_runs(2), &RenewalAnswer::Refused);
    assert_eq!(told, [RunEnd::Crashed { alone: false }; 2]);
}

#[test]
fn test_handle_run_of_a_silent_target_does_not_count_as_crashed() {
    // As one without power, or behind a cut.
    let told = ends_if_renewals_are(agent_with_runs(1), &RenewalAnswer::Silent);
    assert_eq!(told, [RunEnd::Lost]);
}

#[test]
fn test_handle_run_of_a_target_that_left_does_not_count_as_crashed() {
    let mut agent = agent_with_runs(1);
    agent.handle(ms(13), report("life-1", true, 2));
    let told = ends_if_renewals_are(agent, &RenewalAnswer::Refused);
    assert_eq!(told, [RunEnd::Lost]);
}

#[test]
fn test_handle_run_that_another_start_does_not_list_counts_as_crashed() {
    let lists_of = |born| RenewalAnswer::Lists {
        born: Some(born),
        clock: 1_000,
        running: Vec::new(),
        ended: Vec::new(),
    };
    let mut agent = agent_with_runs(1);
    let mut actions = Vec::new();
    for number in 1..20 {
        let answer = RenewalAnswer::Lists {
            born: Some(1),
            clock: 1_000,
            running: vec![ListedRun {
                key: key(0),
                percent: 1,
            }],
            ended: Vec::new(),
        };
        actions = agent.handle(ms(13), AgentEvent::RenewalAnswered { number, answer });
        if !renewals(&actions).is_empty() {
            break;
        }
    }
    let number = renewals(&actions)[0];
    let answer = lists_of(2);
    let actions = agent.handle(ms(30), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(ends(&actions), [RunEnd::Crashed { alone: true }]);
}

#[test]
fn test_handle_start_without_an_answer_is_not_sent_again_after_a_crash() {
    // The target may have crashed at the start itself.
    let mut agent = ready_agent();
    agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let actions = agent.handle(ms(110), silent(100));
    let number = fence(&actions).number;
    let answer = RenewalAnswer::Lists {
        born: Some(1),
        clock: 1_000,
        running: Vec::new(),
        ended: Vec::new(),
    };
    // The first lists that state a start are no proof of another one; a report of another name is.
    let actions = agent.handle(ms(112), report("life-2", false, 1));
    let (question, _) = questions(&actions)[0];
    let actions = agent.handle(
        ms(113),
        life_answered(question, IncarnationAnswer::Alive(None)),
    );
    assert_eq!(ends(&actions), [RunEnd::Crashed { alone: true }]);
    let actions = agent.handle(ms(114), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(starts(&actions), 0);
}

fn start_alone(index: u16) -> Order {
    match start(index, 5_000) {
        Order::Start(order) => Order::Start(StartOrder {
            alone: true,
            ..order
        }),
        other => other,
    }
}

#[test]
fn test_handle_suspect_runs_alone() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), packet(60_000, vec![start_alone(0)]));
    assert_eq!(starts(&actions), 1);
    let actions = agent.handle(ms(11), packet(60_000, vec![start(1, 5_000)]));
    assert_eq!(
        refusal(&actions),
        Some(NotStarted::Full),
        "nothing joins it"
    );
}

#[test]
fn test_handle_suspect_joins_nothing() {
    let mut agent = agent_with_runs(1);
    let actions = agent.handle(ms(13), packet(60_000, vec![start_alone(1)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}
