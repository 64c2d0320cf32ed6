//! Suspended VMs: the agent's clock goes on while the target's stops.

use super::*;

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
