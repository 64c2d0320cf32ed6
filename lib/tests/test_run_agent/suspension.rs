//! Suspended VMs: the agent's clock goes on while the target's stops.

use super::*;
use trestleknot_lib::events::EventCode;

/// Silence of the target after which all of its leases must have lapsed.
const LAPSED_AFTER: Duration = ms(1_400);

#[test]
fn test_handle_order_from_before_a_suspension_is_too_late() {
    let mut agent = ready_agent();
    agent.handle(ms(3_010), AgentEvent::Resumed(ms(3_000)));
    // The order was sent before the suspension and waited in the socket.
    let actions = agent.handle(ms(3_011), packet(60_000, vec![start(0, 500)]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Late));
}

#[test]
fn test_handle_lease_of_a_suspended_target_has_not_lapsed() {
    let mut agent = ready_agent();
    agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let started = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_010 },
    };
    agent.handle(ms(12), started);
    agent.handle(ms(3_012), AgentEvent::Resumed(ms(3_000)));
    assert_eq!(
        agent.gauges().runs,
        1,
        "the target's clock did not count it"
    );
    let mut now = ms(3_012);
    while agent.gauges().runs > 0 && now < ms(8_000) {
        now += ms(5);
        agent.handle(now, AgentEvent::Wake);
    }
    assert!(now > ms(3_900), "given up at {now:?}");
    assert!(now < ms(3_012) + LAPSED_AFTER, "given up at {now:?}");
}

/// Whether the actions ask the target to stop the run.
fn stops_run(actions: &[AgentAction]) -> bool {
    let is_stop = |a: &AgentAction| matches!(a, AgentAction::Stop { key: k, .. } if *k == key(0));
    actions.iter().any(is_stop)
}

/// An agent whose target stood still unnoticed, so that the run was taken for over. With the time,
/// and the renewals that were sent before and after that.
fn agent_whose_run_counts_as_lapsed() -> (RunAgentCore, Now, Vec<u64>, Vec<u64>) {
    let mut agent = ready_agent();
    let mut earlier = renewals(&agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)])));
    let started = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_010 },
    };
    earlier.extend(renewals(&agent.handle(ms(12), started)));
    let mut now = ms(12);
    let mut later = Vec::new();
    while later.is_empty() {
        assert!(now < ms(6_000), "the target is asked again");
        now += ms(5);
        let is_over = agent.gauges().runs == 0;
        let asked = renewals(&agent.handle(now, packet(60_000, Vec::new())));
        match is_over {
            true => later.extend(asked),
            false => earlier.extend(asked),
        }
    }
    (agent, now, earlier, later)
}

// Guards against a run that goes on unseen after it was taken for over: nobody would stop it, and
// another run of the task could start beside it.
#[test]
fn test_handle_run_that_is_listed_after_it_was_taken_for_over_is_stopped() {
    let (mut agent, now, _, later) = agent_whose_run_counts_as_lapsed();
    let number = later[0];
    let answer = running(&[key(0)]);
    let actions = agent.handle(now + ms(1), AgentEvent::RenewalAnswered { number, answer });
    assert!(stops_run(&actions), "{actions:?}");
    assert_eq!(agent.gauges().runs, 1, "its room is taken");
    let actions = agent.handle(now + ms(2), packet(60_000, vec![start(0, 60_000)]));
    assert_eq!(starts(&actions), 0, "no other run of the task starts");
}

// Guards against a run that comes back to life by a list that was requested before its end.
#[test]
fn test_handle_run_in_a_list_that_was_requested_before_its_end_is_not_adopted() {
    let (mut agent, at, earlier, _) = agent_whose_run_counts_as_lapsed();
    for number in earlier {
        let answer = running(&[key(0)]);
        agent.handle(at, AgentEvent::RenewalAnswered { number, answer });
        assert_eq!(agent.gauges().runs, 0);
    }
}

// Guards against a run that goes on while no entry holds its batch: its owner was told of its end, and
// the stop may be lost.
#[test]
fn test_handle_run_that_is_listed_after_it_was_taken_for_over_is_announced_again() {
    let (mut agent, now, _, later) = agent_whose_run_counts_as_lapsed();
    let (number, answer) = (later[0], running(&[key(0)]));
    agent.handle(now + ms(1), AgentEvent::RenewalAnswered { number, answer });
    let is_announced = |actions: Vec<AgentAction>| {
        let is_log = |a: &AgentAction| matches!(a, AgentAction::Log(e) if e.code == EventCode::RunsAnnounced);
        actions.iter().any(is_log)
    };
    let mut wakes = (2..400).map(|after| agent.handle(now + ms(after), AgentEvent::Wake));
    assert!(wakes.any(is_announced));
}
