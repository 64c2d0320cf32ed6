//! Incarnations of the target: whose reports and answers count.

use super::*;

#[test]
fn test_handle_late_report_of_ready_does_not_take_leaving_back() {
    let mut agent = ready_agent();
    agent.handle(ms(10), report("life-1", true, 3));
    agent.handle(ms(11), report("life-1", false, 2));
    let actions = agent.handle(ms(12), packet(60_000, vec![start(0, 500)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Leaving));
}

#[test]
fn test_handle_new_incarnation_is_learnt_before_it_gets_work() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), report("life-2", false, 1));
    let (number, target_name) = incarnation_checks(&actions)[0];
    assert_eq!(target_name, "life-2");
    let actions = agent.handle(
        ms(10),
        incarnation_checked(number, IncarnationAnswer::Alive(None)),
    );
    let asked = renewals(&actions);
    assert_eq!(asked.len(), 1, "its lists are asked for");
    let refused = agent.handle(ms(11), packet(60_000, vec![start(0, 500)]));
    assert_eq!(refusal(&refused), Some(NotStarted::Unreachable));
    let number = asked[0];
    let answer = lists();
    agent.handle(ms(12), AgentEvent::RenewalAnswered { number, answer });
    let actions = agent.handle(ms(13), packet(60_000, vec![start(1, 500)]));
    assert_eq!(starts(&actions), 1);
}

/// An agent whose target runs a task of its entry, started at 12 ms.
fn agent_with_run() -> RunAgentCore {
    let mut agent = ready_agent();
    agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let started = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_010 },
    };
    agent.handle(ms(12), started);
    assert_eq!(agent.gauges().runs, 1);
    agent
}

#[test]
fn test_handle_late_report_of_a_dead_incarnation_ends_nothing() {
    let mut agent = agent_with_run();
    // The report arrives after its sender has crashed and the present incarnation has reported.
    let actions = agent.handle(ms(20), report("life-0", false, 9));
    assert_eq!(agent.gauges().runs, 1, "a report proves nothing");
    let (number, target_name) = incarnation_checks(&actions)[0];
    assert_eq!(target_name, "life-0");
    agent.handle(
        ms(21),
        incarnation_checked(number, IncarnationAnswer::OtherIncarnation),
    );
    assert_eq!(agent.gauges().runs, 1);
    let actions = agent.handle(ms(22), packet(60_000, vec![start(1, 5_000)]));
    assert_eq!(starts(&actions), 1, "the living incarnation gets work");
    // An incarnation that is known to be dead is not checked again.
    let actions = agent.handle(ms(23), report("life-0", false, 10));
    assert_eq!(incarnation_checks(&actions), []);
}

#[test]
fn test_handle_answer_of_a_new_incarnation_ends_the_one_before() {
    let mut agent = agent_with_run();
    let actions = agent.handle(ms(20), report("life-2", false, 1));
    assert_eq!(agent.gauges().runs, 1, "a report proves nothing");
    let (number, _) = incarnation_checks(&actions)[0];
    agent.handle(
        ms(21),
        incarnation_checked(number, IncarnationAnswer::Alive(None)),
    );
    assert_eq!(agent.gauges().runs, 0);
}

#[test]
fn test_handle_silent_incarnation_is_asked_again_for_a_while() {
    let mut agent = agent_with_run();
    let mut actions = agent.handle(ms(20), report("life-2", false, 1));
    let mut asked = 0;
    for step in 3..1_000 {
        let now = ms(10 * step);
        let mut next = Vec::new();
        for (number, _) in incarnation_checks(&actions) {
            asked += 1;
            next.extend(agent.handle(
                now,
                incarnation_checked(number, IncarnationAnswer::NoAnswer),
            ));
        }
        next.extend(agent.handle(now, AgentEvent::Wake));
        actions = next;
    }
    assert!((10..60).contains(&asked), "asked {asked} times");
}

#[test]
fn test_handle_answer_from_before_the_present_incarnation_does_not_end_it() {
    // The report of the dead incarnation arrives first.
    let mut agent = ready_agent();
    let old = agent.handle(ms(20), report("life-2", false, 1));
    let (old_check, _) = incarnation_checks(&old)[0];
    let new = agent.handle(ms(21), report("life-3", false, 1));
    let (new_check, _) = incarnation_checks(&new)[0];
    let actions = agent.handle(
        ms(22),
        incarnation_checked(new_check, IncarnationAnswer::Alive(None)),
    );
    let (repeated_check, target_name) = incarnation_checks(&actions)[0];
    assert_eq!(target_name, "life-2");
    // The dead incarnation's answer was delayed.
    let late = agent.handle(
        ms(23),
        incarnation_checked(old_check, IncarnationAnswer::Alive(None)),
    );
    assert_eq!(refusal(&late), None);
    agent.handle(
        ms(24),
        incarnation_checked(repeated_check, IncarnationAnswer::OtherIncarnation),
    );
    let number = *renewals(&actions).last().expect("its lists are asked for");
    let answer = lists();
    agent.handle(ms(25), AgentEvent::RenewalAnswered { number, answer });
    let actions = agent.handle(ms(26), packet(60_000, vec![start(1, 5_000)]));
    let call = start_calls(&actions).pop().expect("it is started");
    assert_eq!(&*call.target_name, "life-3");
}

#[test]
fn test_handle_late_lists_of_a_dead_incarnation_are_not_read() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let old = fence(&actions).number;
    let actions = agent.handle(ms(20), report("life-2", false, 1));
    let (number, _) = incarnation_checks(&actions)[0];
    let actions = agent.handle(
        ms(21),
        incarnation_checked(number, IncarnationAnswer::Alive(None)),
    );
    let new = fence(&actions).number;
    let (number, answer) = (new, lists());
    agent.handle(ms(22), AgentEvent::RenewalAnswered { number, answer });
    // Its end sequence number is far above those of the present incarnation.
    let answer = RenewalAnswer::Lists {
        born: None,
        clock: 900_000,
        running: Vec::new(),
        ended: vec![(500, key(9), RunEnd::Done)],
    };
    let number = old;
    agent.handle(ms(23), AgentEvent::RenewalAnswered { number, answer });
    let actions = agent.handle(ms(24), packet(60_000, vec![start(1, 5_000)]));
    let call = start_calls(&actions).pop().expect("it is started");
    assert!(
        call.until < 100_000,
        "the dead incarnation's clock: {}",
        call.until
    );
    let started = AgentEvent::StartAnswered {
        key: key(1),
        token: 100,
        answer: StartAnswer::Started { clock: 1_020 },
    };
    let actions = agent.handle(ms(25), started);
    let number = renewals(&actions).last().copied().unwrap_or(new + 1);
    let answer = RenewalAnswer::Lists {
        born: None,
        clock: 1_030,
        running: Vec::new(),
        ended: vec![(1, key(1), RunEnd::Done)],
    };
    agent.handle(ms(30), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(
        agent.gauges().runs,
        0,
        "the present incarnation's end counts"
    );
}

/// Targets that the actions announce to entries.
fn announced_targets(actions: &[AgentAction]) -> Vec<Option<TargetInfo>> {
    let sent = actions.iter().filter_map(|a| match a {
        AgentAction::Send(_, packet) => Some(packet),
        _ => None,
    });
    let news = sent.flat_map(|p| p.news.clone());
    let targets = news.filter_map(|n| match n {
        AgentNews::Target(target) => Some(target),
        _ => None,
    });
    targets.collect()
}

#[test]
fn test_handle_target_is_offered_once_its_lists_are_read() {
    // An entry that learns of it sooner becomes ready without capacity for its first batches.
    let mut agent = RunAgentCore::new(Now::ZERO, options());
    let actions = agent.handle(ms(1), AgentEvent::LinkUp(LINK, address(1)));
    assert_eq!(announced_targets(&actions), [None]);
    let actions = agent.handle(ms(2), report("life-1", false, 1));
    let number = incarnation_checks(&actions)[0].0;
    let actions = agent.handle(
        ms(3),
        incarnation_checked(number, IncarnationAnswer::Alive(None)),
    );
    assert_eq!(announced_targets(&actions), []);
    let number = renewals(&actions)[0];
    let answer = lists();
    let actions = agent.handle(ms(4), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(announced_targets(&actions), [Some(info("life-1", false))]);
}

/// Lists of an incarnation that began at this time, whose clock shows `clock`.
fn lists_of(born: u64, clock: u64) -> RenewalAnswer {
    RenewalAnswer::Lists {
        born: Some(born),
        clock,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

// Guards against a run that counts as lapsed while it goes on: a renewal that was meant for the former
// incarnation of a target reaches the next one of the same name, whose clock shows less. That one cuts
// the lease to the longest one, and the agent believes in the shorter one that it asked for next.
#[test]
fn test_handle_renewal_that_reaches_the_next_incarnation_is_allowed_for() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), packet(700, vec![start(0, 5_000)]));
    let number = renewals(&actions)[0];
    let answer = lists_of(1, 900_000);
    let actions = agent.handle(ms(11), AgentEvent::RenewalAnswered { number, answer });
    let former = actions.iter().find_map(|action| match action {
        AgentAction::Renew { renewal, .. } => Some(*renewal),
        _ => None,
    });
    let former = former.expect("the lease is renewed");
    assert!(former.until.is_some());
    // Another incarnation answers that renewal: it has reached it.
    let (number, answer) = (former.number, lists_of(2, 5));
    let actions = agent.handle(ms(300), AgentEvent::RenewalAnswered { number, answer });
    let longest_until = ms(300) + Timings::default().target_lease;
    let later = start_calls(&actions).into_iter().map(|call| call.token);
    let later: Vec<u64> = later.chain(renewal_tokens(&actions)).collect();
    assert!(!later.is_empty(), "{actions:?}");
    assert!(later.iter().all(|token| *token > former.token), "{later:?}");
    // That incarnation reports, and a run starts there. Then the target falls silent.
    let mut next = info("life-1", false);
    next.life.born = Some(2);
    let report = TargetReport {
        info: next,
        sequence: 1,
    };
    let actions = agent.handle(ms(300), AgentEvent::Report(report));
    let (number, _) = incarnation_checks(&actions)[0];
    let alive = incarnation_checked(number, IncarnationAnswer::Alive(Some(2)));
    let actions = agent.handle(ms(300), alive);
    let number = renewals(&actions)[0];
    let answer = lists_of(2, 5);
    agent.handle(ms(300), AgentEvent::RenewalAnswered { number, answer });
    let actions = agent.handle(ms(301), packet(1_000, vec![start(1, 5_000)]));
    assert_eq!(starts(&actions), 1, "{:?}", refusal(&actions));
    let mut now = ms(301);
    while agent.gauges().runs > 0 {
        now += ms(1);
        agent.handle(now, AgentEvent::Wake);
    }
    assert!(now > longest_until, "given up at {now:?}");
}

/// The tokens of the renewals among the actions.
fn renewal_tokens(actions: &[AgentAction]) -> Vec<u64> {
    let tokens = actions.iter().filter_map(|action| match action {
        AgentAction::Renew { renewal, .. } => Some(renewal.token),
        _ => None,
    });
    tokens.collect()
}
