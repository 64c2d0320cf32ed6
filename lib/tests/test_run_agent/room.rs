//! Capacity that shrinks and grows while the target runs.

use super::*;

fn report_of_capacity(cpu_millis: u64, sequence: u64) -> AgentEvent {
    let mut info = info("life-1", false);
    info.capacity.cpu_millis = cpu_millis;
    AgentEvent::Report(TargetReport { info, sequence })
}

fn started(index: u16) -> AgentEvent {
    AgentEvent::StartAnswered {
        key: key(index),
        token: 100,
        answer: StartAnswer::Started { clock: 1_010 },
    }
}

/// An agent whose target has four runs, which take half of its capacity.
fn half_full_agent() -> RunAgentCore {
    let mut agent = ready_agent();
    for index in 0..4 {
        agent.handle(ms(10), packet(60_000, vec![start(index, 5_000)]));
        agent.handle(ms(12), started(index));
    }
    agent
}

fn stops(actions: &[AgentAction]) -> usize {
    let is_stop = |a: &&AgentAction| matches!(a, AgentAction::Stop { .. });
    actions.iter().filter(is_stop).count()
}

#[test]
fn test_handle_shrunk_capacity_applies_from_the_report_on() {
    let mut agent = half_full_agent();
    let actions = agent.handle(ms(20), report_of_capacity(6_000, 2));
    assert_eq!(stops(&actions), 0, "runs go on");
    let actions = agent.handle(ms(21), packet(60_000, vec![start(4, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
    assert_eq!(agent.gauges().runs, 4);
}

#[test]
fn test_handle_run_that_is_being_stopped_takes_shrunk_capacity() {
    let mut agent = half_full_agent();
    agent.handle(ms(20), report_of_capacity(8_000, 2));
    agent.handle(ms(21), packet(60_000, vec![Order::Stop(vec![key(0)])]));
    let actions = agent.handle(ms(22), packet(60_000, vec![start(4, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}

#[test]
fn test_handle_lost_and_regained_capacity_is_used_again() {
    let mut agent = half_full_agent();
    agent.handle(ms(20), report_of_capacity(0, 2));
    let actions = agent.handle(ms(21), packet(60_000, vec![start(4, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
    agent.handle(ms(30), report_of_capacity(10_000, 3));
    let actions = agent.handle(ms(31), packet(60_000, vec![start(5, 5_000)]));
    assert_eq!(starts(&actions), 1, "four of five places are taken");
    let actions = agent.handle(ms(32), packet(60_000, vec![start(6, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}

#[test]
fn test_handle_lost_start_is_not_sent_again_into_shrunk_capacity() {
    let mut agent = half_full_agent();
    agent.handle(ms(20), packet(60_000, vec![start(4, 5_000)]));
    let answer = AgentEvent::StartAnswered {
        key: key(4),
        token: 100,
        answer: StartAnswer::NoAnswer,
    };
    let actions = agent.handle(ms(120), answer);
    let number = fence(&actions).number;
    agent.handle(ms(121), report_of_capacity(8_000, 2));
    // The lists prove that the start never happened.
    let answer = running(&[key(0), key(1), key(2), key(3)]);
    let actions = agent.handle(ms(122), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}

#[test]
fn test_handle_late_report_of_more_capacity_is_ignored() {
    let mut agent = half_full_agent();
    agent.handle(ms(20), report_of_capacity(8_000, 5));
    agent.handle(ms(21), report_of_capacity(16_000, 4));
    let actions = agent.handle(ms(22), packet(60_000, vec![start(4, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}
