//! Crashes of the target: which runs are reported as crashed, and suspects that run alone.

use super::*;

/// An agent whose target runs `count` tasks of its entry, started at 12 ms.
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
    assert_eq!(agent.gauges().runs, u64::from(count));
    agent
}

/// Lets the renewal in flight time out; returns after 205 ms.
fn let_renewal_time_out(agent: &mut RunAgentCore) {
    // The agent reads its sockets for 4 ms after a pause before it judges.
    agent.handle(ms(200), AgentEvent::Wake);
    let actions = agent.handle(ms(205), AgentEvent::Wake);
    assert_eq!(renewals(&actions).len(), 1, "the target is asked again");
}

/// Run ends that the actions report.
fn ends(actions: &[AgentAction]) -> Vec<RunEnd> {
    let sent = actions.iter().filter_map(|a| match a {
        AgentAction::Send(_, packet) => Some(packet),
        _ => None,
    });
    let news = sent.flat_map(|p| p.news.clone());
    let reported = news.filter_map(|n| match n {
        AgentNews::Ended { end, .. } => Some(end),
        _ => None,
    });
    reported.collect()
}

/// Gives every renewal the same answer until run ends are reported, and returns these.
fn ends_if_renewals_get(mut agent: RunAgentCore, answer: &RenewalAnswer) -> Vec<RunEnd> {
    let mut actions = agent.handle(ms(13), AgentEvent::Wake);
    // The renewal pending since the first start has a low number.
    let mut numbers: Vec<u64> = (1..10).collect();
    let mut reported = Vec::new();
    let mut now = ms(13);
    while reported.is_empty() && now < ms(3_000) {
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
        reported = ends(&actions);
    }
    reported
}

#[test]
fn test_handle_run_of_a_target_that_refuses_connections_counts_as_crashed() {
    let reported = ends_if_renewals_get(agent_with_runs(1), &RenewalAnswer::Refused);
    assert_eq!(reported, [RunEnd::Crashed { alone: true }]);
}

#[test]
fn test_handle_crash_with_two_runs_suspects_neither() {
    let reported = ends_if_renewals_get(agent_with_runs(2), &RenewalAnswer::Refused);
    assert_eq!(reported, [RunEnd::Crashed { alone: false }; 2]);
}

#[test]
fn test_handle_run_of_a_silent_target_does_not_count_as_crashed() {
    // The target may have lost power or be cut off.
    let reported = ends_if_renewals_get(agent_with_runs(1), &RenewalAnswer::NoAnswer);
    assert_eq!(reported, [RunEnd::Lost]);
}

#[test]
fn test_handle_run_of_a_target_that_left_does_not_count_as_crashed() {
    let mut agent = agent_with_runs(1);
    agent.handle(ms(13), report("life-1", true, 2));
    let reported = ends_if_renewals_get(agent, &RenewalAnswer::Refused);
    assert_eq!(reported, [RunEnd::Lost]);
}

#[test]
fn test_handle_run_missing_after_a_restart_counts_as_crashed() {
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
    let actions = agent.handle(ms(110), start_unanswered(100));
    let number = fence(&actions).number;
    let answer = RenewalAnswer::Lists {
        born: Some(1),
        clock: 1_000,
        running: Vec::new(),
        ended: Vec::new(),
    };
    // The first lists with a birth time don't prove a restart; a report under another name does.
    let actions = agent.handle(ms(112), report("life-2", false, 1));
    let (check, _) = incarnation_checks(&actions)[0];
    let actions = agent.handle(
        ms(113),
        incarnation_checked(check, IncarnationAnswer::Alive(None)),
    );
    assert_eq!(ends(&actions), [RunEnd::Crashed { alone: true }]);
    let actions = agent.handle(ms(114), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(starts(&actions), 0);
}

#[test]
fn test_handle_next_incarnation_after_a_timed_out_call_does_not_count_as_crash() {
    // Guards against tasks that are suspected because their target's VM lost power: a VM that is
    // back within a quarter of a second was silent, and no process there had crashed.
    let mut agent = agent_with_runs(1);
    let_renewal_time_out(&mut agent);
    let actions = crash_target(&mut agent, ms(230));
    assert_eq!(ends(&actions), [RunEnd::Lost]);
}

#[test]
fn test_handle_connection_refused_after_a_timed_out_call_counts_as_crash() {
    // A task may make its target hang before it crashes it.
    let mut agent = agent_with_runs(1);
    let_renewal_time_out(&mut agent);
    let reported = ends_if_renewals_get(agent, &RenewalAnswer::Refused);
    assert_eq!(reported, [RunEnd::Crashed { alone: true }]);
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
        "nothing runs beside it"
    );
}

#[test]
fn test_handle_suspect_is_refused_beside_other_runs() {
    let mut agent = agent_with_runs(1);
    let actions = agent.handle(ms(13), packet(60_000, vec![start_alone(1)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Full));
}

/// Links an agent to an entry that is not the owner of its runs.
fn link_entry(
    agent: &mut RunAgentCore,
    now: Now,
    link: SessionId,
    protocol: u32,
) -> Vec<AgentAction> {
    agent.handle(now, AgentEvent::LinkUp(link, address(link as u8)));
    let welcome = Welcome {
        name: format!("entry-{link}").into(),
        life: 100 + link,
        entries: Vec::new(),
        claims: Vec::new(),
        evacuations: Arc::default(),
        guarantors: Vec::new(),
        protocol,
    };
    let packet = EntryPacket {
        lease_until: 60_000,
        store_heard: 0,
        waiting: 0,
        orders: vec![Order::Welcome(welcome)],
    };
    agent.handle(now, AgentEvent::Packet(link, packet))
}

/// The crash notices among the actions: the link, the run's task, its owner and whether it was
/// alone.
fn notices(actions: &[AgentAction]) -> Vec<(SessionId, u16, u64, bool)> {
    let mut notices = Vec::new();
    for action in actions {
        let AgentAction::Send(link, packet) = action else {
            continue;
        };
        for news in &packet.news {
            if let AgentNews::Crashed(notice) = news {
                let index = notice.key.task.index;
                notices.push((*link, index, notice.owner, notice.alone));
            }
        }
    }
    notices
}

/// Ends the target's incarnation by a report and an answer of the next one.
fn crash_target(agent: &mut RunAgentCore, now: Now) -> Vec<AgentAction> {
    let actions = agent.handle(now, report("life-2", false, 1));
    let (number, _) = incarnation_checks(&actions)[0];
    agent.handle(
        now + ms(1),
        incarnation_checked(number, IncarnationAnswer::Alive(None)),
    )
}

#[test]
fn test_handle_crash_is_told_to_entries_that_understand_it() {
    let mut agent = agent_with_runs(2);
    link_entry(&mut agent, ms(13), 2, 1);
    link_entry(&mut agent, ms(13), 3, 0);
    let actions = crash_target(&mut agent, ms(20));
    // The owner, entry 9 on link 1, gets the ends of its runs instead.
    assert_eq!(ends(&actions), [RunEnd::Crashed { alone: false }; 2]);
    assert_eq!(notices(&actions), [(2, 0, 9, false), (2, 1, 9, false)]);
}

#[test]
fn test_handle_entry_that_links_after_a_crash_is_told_of_it() {
    // The owner's next incarnation may have no neighbour that could tell it.
    let mut agent = agent_with_runs(1);
    crash_target(&mut agent, ms(20));
    agent.handle(ms(21), AgentEvent::LinkDown(LINK));
    let actions = link_entry(&mut agent, ms(400), 2, 1);
    assert_eq!(notices(&actions), [(2, 0, 9, true)]);
    let actions = link_entry(&mut agent, ms(400), 3, 0);
    assert_eq!(notices(&actions), []);
}
