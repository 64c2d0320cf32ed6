//! Evacuations of data halls.

use super::*;

fn evacuated(place: u64, halls: &[&str]) -> Arc<EvacuatedHalls> {
    let halls = halls.iter().map(|hall| Arc::from(*hall));
    Arc::new(EvacuatedHalls {
        position: place,
        halls: halls.collect(),
    })
}

#[test]
fn test_handle_evacuated_hall_starts_nothing_and_finishes_its_runs() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(5), packet(60_000, vec![start(0, 500)]));
    let StartCall { key, token, .. } = start_calls(&actions).remove(0);
    let answer = StartAnswer::Started { clock: 1_005 };
    agent.handle(ms(6), AgentEvent::StartAnswered { key, token, answer });
    let order = Order::Evacuations(evacuated(7, &["hall"]));
    let actions = agent.handle(ms(7), packet(60_000, vec![order]));
    let stops = actions
        .iter()
        .any(|a| matches!(a, AgentAction::Stop { .. }));
    assert!(!stops, "runs in an evacuated hall are not stopped");
    let actions = agent.handle(ms(8), packet(60_000, vec![start(1, 500)]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Evacuated));
    // An entry's older state changes nothing; a newer one does.
    let order = Order::Evacuations(evacuated(6, &[]));
    let actions = agent.handle(ms(9), packet(60_000, vec![order, start(2, 500)]));
    assert_eq!(starts(&actions), 0);
    let order = Order::Evacuations(evacuated(8, &[]));
    let actions = agent.handle(ms(10), packet(60_000, vec![order, start(3, 500)]));
    assert_eq!(starts(&actions), 1);
}

#[test]
fn test_handle_lost_start_is_not_sent_again_in_an_evacuated_hall() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(5), packet(60_000, vec![start(0, 500)]));
    let StartCall { key, token, .. } = start_calls(&actions).remove(0);
    let order = Order::Evacuations(evacuated(7, &["hall"]));
    agent.handle(ms(6), packet(60_000, vec![order]));
    let answer = StartAnswer::Fenced;
    let actions = agent.handle(ms(7), AgentEvent::StartAnswered { key, token, answer });
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Evacuated));
}

#[test]
fn test_handle_asks_the_store_when_no_entry_hears_from_it() {
    let mut agent = ready_agent();
    let asks = |actions: &[AgentAction]| {
        let asked = actions
            .iter()
            .filter(|a| matches!(a, AgentAction::AskEvacuations));
        asked.count()
    };
    let heard_at = |store_heard| {
        let packet = EntryPacket {
            lease_until: 60_000,
            store_heard,
            waiting: 0,
            orders: Vec::new(),
        };
        AgentEvent::Packet(LINK, packet)
    };
    // While its entry hears from the store, the agent doesn't query it.
    assert_eq!(asks(&agent.handle(ms(1_400), heard_at(1_000))), 0);
    assert_eq!(asks(&agent.handle(ms(2_400), heard_at(1_000))), 0);
    assert_eq!(asks(&agent.handle(ms(2_500), heard_at(1_000))), 1);
    let answer = Some(evacuated(7, &["hall"]));
    agent.handle(ms(2_600), AgentEvent::Evacuations(answer));
    let actions = agent.handle(ms(2_700), packet(60_000, vec![start(0, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Evacuated));
    // An answer counts from the time of its query.
    assert_eq!(asks(&agent.handle(ms(3_900), heard_at(1_000))), 0);
    assert_eq!(asks(&agent.handle(ms(4_000), heard_at(1_000))), 1);
    // Without an answer, the agent queries again.
    agent.handle(ms(4_800), AgentEvent::Evacuations(None));
    assert_eq!(asks(&agent.handle(ms(5_500), heard_at(1_000))), 1);
}
