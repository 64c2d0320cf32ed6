//! Starts that are sent, refused or lost.

use super::*;

#[test]
fn test_handle_start_is_sent() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), packet(60_000, vec![start(0, 500)]));
    assert_eq!(starts(&actions), 1);
}

#[test]
fn test_handle_start_on_leaving_target_is_refused() {
    let mut agent = ready_agent();
    agent.handle(ms(10), report("life-1", true, 2));
    let actions = agent.handle(ms(11), packet(60_000, vec![start(0, 500)]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Leaving));
}

#[test]
fn test_handle_start_after_its_deadline_is_refused() {
    // The process stalled while the order waited in the socket past its deadline.
    let mut agent = ready_agent();
    let actions = agent.handle(ms(900), packet(60_000, vec![start(0, 500)]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Late));
}

#[test]
fn test_handle_start_of_entry_whose_lease_lapsed_is_refused() {
    let mut agent = ready_agent();
    // The earlier lease was long; the entry's new incarnation has a short one.
    let welcome = Welcome {
        name: "entry".into(),
        life: 10,
        entries: Vec::new(),
        claims: Vec::new(),
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 0,
    };
    let orders = vec![Order::Welcome(welcome), start(0, 5_000)];
    let actions = agent.handle(ms(1_000), packet(900, orders));
    assert_eq!(refusal(&actions), Some(NotStarted::Late));
}

#[test]
fn test_handle_unanswered_start_is_settled_by_a_higher_token() {
    let mut agent = ready_agent();
    agent.handle(ms(10), packet(60_000, vec![start(0, 500)]));
    let actions = agent.handle(ms(110), start_unanswered(100));
    assert_eq!(refusal(&actions), None, "nothing is proven yet");
    assert_eq!(starts(&actions), 0, "nothing is proven yet");
    let first = fence(&actions);
    assert!(first.token > 100, "{first:?}");

    // The lists prove that the start never happened. It is sent once more under the new token.
    let (number, answer) = (first.number, lists());
    let actions = agent.handle(ms(112), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(refusal(&actions), None);
    let again = start_calls(&actions);
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].key, again[0].token), (key(0), first.token));

    // After the second loss, the agent leaves the retry to the entry.
    let actions = agent.handle(ms(212), start_unanswered(first.token));
    let second = fence(&actions);
    assert!(second.token > first.token, "{second:?}");
    let (number, answer) = (second.number, lists());
    let actions = agent.handle(ms(214), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(refusal(&actions), Some(NotStarted::Unanswered));
    assert_eq!(starts(&actions), 0);
}

#[test]
fn test_handle_start_is_fenced_off_sooner_after_quick_answers() {
    let mut agent = ready_agent();
    answer_starts_quickly(&mut agent);
    agent.handle(ms(300), packet(60_000, vec![start(0, 5_000)]));
    let mut now = ms(300);
    let mut actions = Vec::new();
    while actions.is_empty() && now < ms(400) {
        now += ms(1);
        let woken = agent.handle(now, AgentEvent::Wake);
        actions = woken
            .into_iter()
            .filter(|a| matches!(a, AgentAction::Renew { renewal, .. } if renewal.token > 100))
            .collect();
    }
    assert!(now < ms(330), "it waited until {now:?}");

    // A late answer still counts, since it comes from the target itself.
    let late = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_300 },
    };
    agent.handle(now + ms(1), late);
    let number = fence(&actions).number;
    let answer = RenewalAnswer::Lists {
        born: None,
        clock: 1_301,
        running: vec![ListedRun {
            key: key(0),
            percent: 1,
        }],
        ended: Vec::new(),
    };
    let settled = agent.handle(now + ms(2), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(starts(&settled), 0, "it runs");
    assert_eq!(agent.gauges().runs, 1);
}

#[test]
fn test_handle_answers_after_a_stall_are_read_before_starts_are_fenced_off() {
    let mut agent = ready_agent();
    agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    // The process stalls past the timeout while the answer waits in its socket.
    let actions = agent.handle(ms(400), AgentEvent::Wake);
    let is_fence =
        |a: &AgentAction| matches!(a, AgentAction::Renew { renewal, .. } if renewal.token > 100);
    assert!(!actions.iter().any(is_fence), "{actions:?}");
    let answered = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_100 },
    };
    let actions = agent.handle(ms(401), answered);
    assert!(!actions.iter().any(is_fence), "{actions:?}");
    assert_eq!(agent.gauges().runs, 1);
}

/// A start order without a payload, which relies on one sent earlier on the link.
fn start_without_payload(index: u16, start_by: u64) -> Order {
    match start(index, start_by) {
        Order::Start(order) => Order::Start(StartOrder {
            payload: None,
            ..order
        }),
        other => other,
    }
}

#[test]
fn test_handle_payload_of_a_batch_is_sent_once_a_link() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(5), packet(60_000, vec![start_without_payload(0, 500)]));
    assert_eq!(refusal(&actions), Some(NotStarted::NoPayload));
    agent.handle(ms(6), packet(60_000, vec![start(1, 500)]));
    let actions = agent.handle(ms(7), packet(60_000, vec![start_without_payload(2, 500)]));
    assert_eq!(&*start_calls(&actions)[0].payload, "work");
    // A new link of the same entry must send the payload again.
    agent.handle(ms(8), AgentEvent::LinkDown(LINK));
    agent.handle(ms(9), AgentEvent::LinkUp(LINK, address(1)));
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: Vec::new(),
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 0,
    };
    agent.handle(ms(10), packet(60_000, vec![Order::Welcome(welcome)]));
    let actions = agent.handle(ms(11), packet(60_000, vec![start_without_payload(3, 500)]));
    assert_eq!(refusal(&actions), Some(NotStarted::NoPayload));
}

#[test]
fn test_handle_malformed_payload_starts_nothing() {
    let mut agent = ready_agent();
    let malformed = Payload::Packed(Arc::new(ByteBuf::from(b"nonsense".to_vec())));
    let order = match start(0, 500) {
        Order::Start(order) => Order::Start(StartOrder {
            payload: Some(malformed),
            ..order
        }),
        other => other,
    };
    let actions = agent.handle(ms(5), packet(60_000, vec![order]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Unreachable));
}
