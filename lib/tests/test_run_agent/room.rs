//! Room that shrinks and grows while the target runs.

use super::*;

fn report_of_room(cpu_millis: u64, sequence: u64) -> AgentEvent {
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

/// An agent on whose target four runs go, which take half of its room.
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
fn test_handle_shrunk_room_is_obeyed_from_the_report_on() {
    let mut agent = half_full_agent();
    let actions = agent.handle(ms(20), report_of_room(6_000, 2));
    assert_eq!(stops(&actions), 0, "what runs goes on");
    let actions = agent.handle(ms(21), packet(60_000, vec![start(4, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
    assert_eq!(agent.levels().runs, 4);
}

#[test]
fn test_handle_run_that_is_being_stopped_takes_shrunk_room() {
    let mut agent = half_full_agent();
    agent.handle(ms(20), report_of_room(8_000, 2));
    agent.handle(ms(21), packet(60_000, vec![Order::Stop(vec![key(0)])]));
    let actions = agent.handle(ms(22), packet(60_000, vec![start(4, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}

#[test]
fn test_handle_room_that_is_gone_and_back_is_used_again() {
    let mut agent = half_full_agent();
    agent.handle(ms(20), report_of_room(0, 2));
    let actions = agent.handle(ms(21), packet(60_000, vec![start(4, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
    agent.handle(ms(30), report_of_room(10_000, 3));
    let actions = agent.handle(ms(31), packet(60_000, vec![start(5, 5_000)]));
    assert_eq!(starts(&actions), 1, "four run and there is room for five");
    let actions = agent.handle(ms(32), packet(60_000, vec![start(6, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}

#[test]
fn test_handle_lost_start_is_not_sent_again_into_shrunk_room() {
    let mut agent = half_full_agent();
    agent.handle(ms(20), packet(60_000, vec![start(4, 5_000)]));
    let answer = AgentEvent::StartAnswered {
        key: key(4),
        token: 100,
        answer: StartAnswer::Silent,
    };
    let actions = agent.handle(ms(120), answer);
    let number = fence(&actions).number;
    agent.handle(ms(121), report_of_room(8_000, 2));
    // The lists prove that it never happened.
    let answer = running(&[key(0), key(1), key(2), key(3)]);
    let actions = agent.handle(ms(122), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}

#[test]
fn test_handle_late_report_of_more_room_is_passed_over() {
    let mut agent = half_full_agent();
    agent.handle(ms(20), report_of_room(8_000, 5));
    agent.handle(ms(21), report_of_room(16_000, 4));
    let actions = agent.handle(ms(22), packet(60_000, vec![start(4, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}
