//! Lease renewals: unanswered ones, adopted and claimed runs, and which leases may lapse.

use super::*;
use trestleknot_lib::events::EventCode;

#[test]
fn test_handle_silent_target_is_asked_until_it_answers() {
    let mut agent = ready_agent();
    let mut actions = agent.handle(ms(10), packet(600_000, vec![start(0, 500)]));
    let mut now = ms(10);
    // The target answers nothing until its leases must have lapsed.
    while now < ms(3_000) {
        // The entry keeps sending, so its link stays up.
        let mut events = vec![AgentEvent::Wake, packet(600_000, Vec::new())];
        for action in &actions {
            match action {
                AgentAction::Renew { renewal, .. } => {
                    let (number, answer) = (renewal.number, RenewalAnswer::NoAnswer);
                    events.push(AgentEvent::RenewalAnswered { number, answer });
                }
                AgentAction::Start(call) => events.push(AgentEvent::StartAnswered {
                    key: call.key,
                    token: call.token,
                    answer: StartAnswer::NoAnswer,
                }),
                _ => {}
            }
        }
        actions = Vec::new();
        for event in events {
            now += ms(20);
            actions.extend(agent.handle(now, event));
        }
    }
    assert_eq!(agent.gauges().runs, 0, "the run's lease has lapsed");
    // The agent keeps asking the target, which gets work again once it has answered.
    let mut asked = renewals(&actions);
    while asked.is_empty() && now < ms(4_000) {
        now += ms(20);
        asked = renewals(&agent.handle(now, packet(600_000, Vec::new())));
    }
    let number = *asked.first().expect("it is asked");
    let answer = lists();
    agent.handle(now, AgentEvent::RenewalAnswered { number, answer });
    let start_by = now.as_millis() as u64 + 500;
    let actions = agent.handle(now, packet(600_000, vec![start(1, start_by)]));
    assert_eq!(starts(&actions), 1);
}

#[test]
fn test_handle_lost_renewal_is_noticed_by_the_answer_times() {
    let mut agent = ready_agent();
    answer_starts_quickly(&mut agent);
    // All earlier renewals are answered; the next one is lost.
    let mut now = ms(203);
    let mut actions = agent.handle(now, packet(60_000, vec![start(0, 5_000)]));
    for number in 1..40 {
        let answer = lists();
        actions.extend(agent.handle(now, AgentEvent::RenewalAnswered { number, answer }));
    }
    let on_the_way = actions.iter().rev().find_map(|a| match a {
        AgentAction::Renew { renewal, .. } => Some(*renewal),
        _ => None,
    });
    let lost = on_the_way.expect("a renewal is on the way");
    let started = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_200 },
    };
    now += ms(1);
    agent.handle(now, started);
    let overdue = now + lost.wait + ms(40);
    let mut again = None;
    while again.is_none() && now < overdue {
        now += ms(2);
        again = renewals(&agent.handle(now, AgentEvent::Wake))
            .first()
            .copied();
    }
    assert!(again.is_some(), "nothing was asked again until {now:?}");

    // A late answer to the first one still counts.
    let answer = RenewalAnswer::Lists {
        born: None,
        clock: 1_300,
        running: Vec::new(),
        ended: vec![(1, key(0), RunEnd::Done)],
    };
    let number = lost.number;
    agent.handle(now + ms(1), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(agent.gauges().runs, 0);
}

#[test]
fn test_handle_idle_target_in_doubt_is_asked_until_it_answers() {
    let mut agent = ready_agent();
    // The only run is refused, and the renewal sent with its start is lost.
    let mut actions = agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let lost = fence(&actions).number;
    let refused = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Late,
    };
    agent.handle(ms(11), refused);
    let answer = RenewalAnswer::NoAnswer;
    let event = AgentEvent::RenewalAnswered {
        number: lost,
        answer,
    };
    actions = agent.handle(ms(450), event);
    let mut now = ms(450);
    while renewals(&actions).is_empty() && now < ms(1_000) {
        now += ms(5);
        actions = agent.handle(now, AgentEvent::Wake);
    }
    let number = *renewals(&actions).first().expect("it is asked again");
    // Nothing starts on the target until it answers.
    let doubtful = agent.handle(now, packet(60_000, vec![start(1, 5_000)]));
    assert_eq!(refusal(&doubtful), Some(NotStarted::Doubtful));
    let answer = lists();
    agent.handle(now, AgentEvent::RenewalAnswered { number, answer });
    let actions = agent.handle(now, packet(60_000, vec![start(2, 5_000)]));
    assert_eq!(starts(&actions), 1);
}

#[test]
fn test_handle_nothing_starts_while_a_lease_must_run_out() {
    let mut agent = ready_agent();
    // A second entry, which stays connected throughout.
    let second: SessionId = 2;
    agent.handle(ms(5), AgentEvent::LinkUp(second, address(2)));
    let welcome = Welcome {
        name: "second".into(),
        life: 10,
        entries: Vec::new(),
        claims: Vec::new(),
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 0,
    };
    let from_second = |orders| {
        let packet = EntryPacket {
            lease_until: 60_000,
            store_heard: 0,
            waiting: 0,
            orders,
        };
        AgentEvent::Packet(second, packet)
    };
    agent.handle(ms(6), from_second(vec![Order::Welcome(welcome)]));
    agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let started = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_010 },
    };
    agent.handle(ms(12), started);
    // The first entry's link breaks. Its run is stopped, but the target keeps listing it.
    agent.handle(ms(20), AgentEvent::LinkDown(LINK));
    let mut actions = Vec::new();
    for step in 2..90 {
        let now = ms(10 * step);
        let running = vec![ListedRun {
            key: key(0),
            percent: 1,
        }];
        let mut answers: Vec<AgentEvent> = renewals(&actions)
            .into_iter()
            .map(|number| AgentEvent::RenewalAnswered {
                number,
                answer: RenewalAnswer::Lists {
                    born: None,
                    clock: 1_000 + 10 * step,
                    running: running.clone(),
                    ended: Vec::new(),
                },
            })
            .collect();
        answers.push(AgentEvent::Wake);
        let handled = answers.into_iter().map(|event| agent.handle(now, event));
        actions = handled.collect::<Vec<_>>().concat();
    }
    // A start would also extend the lease of that run.
    let actions = agent.handle(ms(900), from_second(vec![start(1, 5_000)]));
    assert_eq!(starts(&actions), 0, "{actions:?}");
}

/// The lease ends that the renewals request.
fn leases(actions: &[AgentAction]) -> Vec<Option<u64>> {
    let renewals = actions.iter().filter_map(|a| match a {
        AgentAction::Renew { renewal, .. } => Some(renewal.until),
        _ => None,
    });
    renewals.collect()
}

/// A restarted agent that adopts a run of its earlier incarnation at 2 ms, with the actions of
/// that moment.
fn agent_with_adopted_run() -> (RunAgentCore, Vec<AgentAction>) {
    let mut agent = RunAgentCore::new(Now::ZERO, options());
    let actions = agent.handle(ms(1), AgentEvent::Wake);
    let number = renewals(&actions)[0];
    let answer = running(&[key(0)]);
    let actions = agent.handle(ms(2), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(agent.gauges().runs, 1, "the run is adopted");
    (agent, actions)
}

#[test]
fn test_handle_run_without_owner_is_not_renewed() {
    let (mut agent, mut actions) = agent_with_adopted_run();
    let mut stopped_at = None;
    for step in 1..40 {
        let now = ms(2 + 10 * step);
        assert!(leases(&actions).iter().all(Option::is_none), "{actions:?}");
        if actions
            .iter()
            .any(|a| matches!(a, AgentAction::Stop { .. }))
        {
            stopped_at.get_or_insert(now);
        }
        let mut next = agent.handle(now, AgentEvent::Wake);
        for number in renewals(&actions) {
            let answer = running(&[key(0)]);
            next.extend(agent.handle(now, AgentEvent::RenewalAnswered { number, answer }));
        }
        actions = next;
    }
    let stopped_at = stopped_at.expect("an unclaimed run is stopped");
    assert!(stopped_at < ms(300), "{stopped_at:?}");
}

#[test]
fn test_handle_claimed_run_is_renewed() {
    let (mut agent, actions) = agent_with_adopted_run();
    let number = *renewals(&actions).last().expect("a renewal is on the way");
    agent.handle(ms(10), AgentEvent::LinkUp(LINK, address(1)));
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: vec![(key(0), SIZE)],
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 0,
    };
    agent.handle(ms(11), packet(60_000, vec![Order::Welcome(welcome)]));
    let answer = running(&[key(0)]);
    let actions = agent.handle(ms(12), AgentEvent::RenewalAnswered { number, answer });
    assert!(leases(&actions).iter().any(Option::is_some), "{actions:?}");
}

/// Run ends that the actions report to entries.
fn ends(actions: &[AgentAction]) -> Vec<(RunKey, RunEnd)> {
    let mut ends = Vec::new();
    for action in actions {
        let AgentAction::Send(_, packet) = action else {
            continue;
        };
        for news in &packet.news {
            if let AgentNews::Ended { key, end, .. } = news {
                ends.push((*key, *end));
            }
        }
    }
    ends
}

#[test]
fn test_handle_stop_before_the_lists_are_read_proves_nothing() {
    // The agent has restarted, and its target still runs what the earlier incarnation started.
    let key = key(0);
    let mut agent = RunAgentCore::new(Now::ZERO, options());
    agent.handle(ms(1), AgentEvent::LinkUp(LINK, address(1)));
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: vec![(key, SIZE)],
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 0,
    };
    let orders = vec![Order::Welcome(welcome), Order::Stop(vec![key])];
    let actions = agent.handle(ms(2), packet(60_000, orders));
    assert_eq!(ends(&actions), [], "it may still run");
    let actions = agent.handle(ms(3), report("life-1", false, 1));
    let (number, _) = incarnation_checks(&actions)[0];
    let actions = agent.handle(
        ms(4),
        incarnation_checked(number, IncarnationAnswer::Alive(None)),
    );
    let number = renewals(&actions)[0];
    let running = vec![ListedRun { key, percent: 10 }];
    let answer = RenewalAnswer::Lists {
        born: None,
        clock: 1_000,
        running,
        ended: Vec::new(),
    };
    let actions = agent.handle(ms(5), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(ends(&actions), [], "it runs");
    let is_stop = |a: &AgentAction| matches!(a, AgentAction::Stop { key: k, .. } if *k == key);
    assert!(actions.iter().any(is_stop), "it is stopped: {actions:?}");
}

// Guards against a proof of an end that is none and stays unseen: the run goes on at the target, and
// its task has been started elsewhere.
#[test]
fn test_handle_run_that_is_listed_after_it_was_taken_for_over_is_logged() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), packet(60_000, vec![start(0, 500)]));
    let call = start_calls(&actions)[0].clone();
    let answer = StartAnswer::Started { clock: 1_010 };
    let (key, token) = (call.key, call.token);
    agent.handle(ms(12), AgentEvent::StartAnswered { key, token, answer });
    // The target is silent until its lease must have lapsed, and then lists the run nevertheless.
    let mut now = ms(12);
    let mut asked = Vec::new();
    while agent.gauges().runs > 0 || asked.is_empty() {
        now += ms(5);
        assert!(now < ms(5_000), "the target is not asked again");
        asked = renewals(&agent.handle(now, packet(600_000, Vec::new())));
    }
    let (number, answer) = (asked[0], running(&[key]));
    let actions = agent.handle(now, AgentEvent::RenewalAnswered { number, answer });
    let logged = actions.iter().filter_map(|a| match a {
        AgentAction::Log(event) => Some(event.code),
        _ => None,
    });
    let logged: Vec<EventCode> = logged.collect();
    assert!(logged.contains(&EventCode::EndedRunListed), "{logged:?}");
}

/// Rate of the slowest clock that a target may have.
const SLOW_RATE: f64 = 0.98;

// Guards against a run that counts as lapsed while it goes on: a target with a slow clock is idle for
// long, and the lease of the next start counts from a time that its clock has not reached yet.
#[test]
fn test_handle_lease_after_an_idle_time_ends_when_the_agent_says_so() {
    let timings = Timings::default();
    for idle_ms in [10, 1_000, 1_900, 10_000, 60_000] {
        let mut agent = ready_agent();
        // The clock showed 1,000 ms at 2 ms. The agent's later questions are lost.
        let now = ms(2 + idle_ms);
        let clock = 1_000.0 + SLOW_RATE * idle_ms as f64;
        let word = now.as_millis() as u64 + 500;
        let actions = agent.handle(now, packet(word, vec![start(0, word)]));
        let Some(call) = start_calls(&actions).first().cloned() else {
            assert!(idle_ms > 2_000, "nothing starts after {idle_ms} ms");
            continue;
        };
        let longest = timings.target_lease.as_millis() as f64;
        let left = (call.until as f64 - clock).min(longest);
        assert!(left > 0.0, "late after {idle_ms} ms");
        let ends_at = now + Duration::from_secs_f64(left / SLOW_RATE / 1e3);
        let mut given_up = now;
        while agent.gauges().runs > 0 {
            given_up += ms(1);
            agent.handle(given_up, AgentEvent::Wake);
        }
        assert!(ends_at < given_up, "{idle_ms}: {ends_at:?}, {given_up:?}");
    }
}

// Guards against a short first lease after an idle time: the clock of an idle target is read again.
#[test]
fn test_handle_clock_of_an_idle_target_is_read_again() {
    let mut agent = ready_agent();
    let mut now = ms(5);
    let mut asked = Vec::new();
    while now < ms(9_000) {
        let actions = agent.handle(now, AgentEvent::Wake);
        assert!(leases(&actions).iter().all(Option::is_none), "{actions:?}");
        for number in renewals(&actions) {
            asked.push(now);
            let answer = lists();
            agent.handle(now + ms(1), AgentEvent::RenewalAnswered { number, answer });
        }
        now = agent
            .next_wake()
            .expect("the clock is due")
            .max(now + ms(1));
    }
    assert!(asked.len() >= 4, "{asked:?}");
    assert!(asked.len() <= 5, "{asked:?}");
}

// Guards against a busy loop at an idle target that is gone, and against one whose return is noticed late:
// it is asked a few times a second.
#[test]
fn test_handle_idle_target_that_refuses_calls_is_asked_at_a_bounded_rate() {
    const LONGEST_PAUSE: u64 = 210;
    let mut agent = ready_agent();
    let mut now = ms(5);
    let mut asked = Vec::new();
    let mut wakes = 0;
    while now < ms(62_000) {
        wakes += 1;
        let mut open = renewals(&agent.handle(now, AgentEvent::Wake));
        while let Some(number) = open.pop() {
            asked.push(now);
            let answer = RenewalAnswer::Refused;
            let actions = agent.handle(now, AgentEvent::RenewalAnswered { number, answer });
            open.extend(renewals(&actions));
        }
        now = agent
            .next_wake()
            .expect("it is asked again")
            .max(now + ms(1));
    }
    let longest = asked.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert_eq!(longest, Some(ms(LONGEST_PAUSE)));
    let most = 60_000 / LONGEST_PAUSE as usize + 10;
    assert!(asked.len() <= most, "{} calls in a minute", asked.len());
    assert!(wakes <= 4 * most, "{wakes} wakes in a minute");
}
