//! Runs of one task that several entries have ordered: claims, stops, starts and ends of one entry
//! while the agent has a run of another.

use super::*;

const OWNER: u64 = 9;
const OTHER: u64 = 10;
const SECOND: SessionId = 2;

fn welcome(life: u64, claims: Vec<(RunKey, Resources)>) -> Order {
    Order::Welcome(Welcome {
        name: format!("entry-{life}").into(),
        life,
        entries: Vec::new(),
        claims,
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 2,
    })
}

fn packet_on(link: SessionId, orders: Vec<Order>) -> AgentEvent {
    let packet = EntryPacket {
        lease_until: 60_000,
        store_heard: 0,
        waiting: 0,
        orders,
    };
    AgentEvent::Packet(link, packet)
}

/// An agent with a run of the owner, and a link to another entry, whose welcome has these claims.
fn agent_with_owned_run(claims: Vec<(RunKey, Resources)>) -> (RunAgentCore, Vec<AgentAction>) {
    let mut agent = ready_agent_of(packet(60_000, vec![welcome(OWNER, Vec::new())]));
    agent.handle(ms(6), packet(60_000, vec![start(0, 500)]));
    let started = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_000 },
    };
    agent.handle(ms(8), started);
    agent.handle(ms(9), AgentEvent::LinkUp(SECOND, address(2)));
    let actions = agent.handle(ms(10), packet_on(SECOND, vec![welcome(OTHER, claims)]));
    (agent, actions)
}

/// Lets the target list the end of the run.
fn end_run(agent: &mut RunAgentCore, now: Now, end: RunEnd) -> Vec<AgentAction> {
    let mut actions = Vec::new();
    // The number of the renewal that is on its way is not known here.
    for number in 1..10 {
        let answer = RenewalAnswer::Lists {
            born: None,
            clock: 1_000,
            running: Vec::new(),
            ended: vec![(1, key(0), end)],
        };
        actions.extend(agent.handle(now, AgentEvent::RenewalAnswered { number, answer }));
    }
    assert_eq!(agent.gauges().runs, 0);
    actions
}

/// The news about runs, with their links.
fn told(actions: &[AgentAction]) -> Vec<(SessionId, RunKey, Result<RunEnd, NotStarted>)> {
    let mut told = Vec::new();
    for action in actions {
        let AgentAction::Send(link, packet) = action else {
            continue;
        };
        for news in &packet.news {
            match news {
                AgentNews::Ended { key, end, .. } => told.push((*link, *key, Ok(*end))),
                AgentNews::NotStarted { key, reason } => told.push((*link, *key, Err(*reason))),
                _ => {}
            }
        }
    }
    told.sort_by_key(|(link, key, _)| (*link, *key));
    told
}

fn stops(actions: &[AgentAction]) -> usize {
    let is_stop = |a: &&AgentAction| matches!(a, AgentAction::Stop { .. });
    actions.iter().filter(is_stop).count()
}

/// A run of the same task under another number.
fn later_key() -> RunKey {
    RunKey { run: 4, ..key(0) }
}

/// What the entries hear while the run goes on, and at its end.
fn assert_waits_for_the_end(
    agent: &mut RunAgentCore,
    mut actions: Vec<AgentAction>,
    key_of_other: RunKey,
    answer: Result<RunEnd, NotStarted>,
) {
    for step in 1..20 {
        actions.extend(agent.handle(ms(10 + 10 * step), packet_on(SECOND, Vec::new())));
        actions.extend(agent.handle(ms(10 + 10 * step), packet_on(LINK, Vec::new())));
    }
    assert_eq!(told(&actions), [], "a run of the task goes on");
    assert_eq!(stops(&actions), 0, "its owner did not ask for a stop");
    let actions = end_run(agent, ms(250), RunEnd::Done);
    let expected = [
        (LINK, key(0), Ok(RunEnd::Done)),
        (SECOND, key_of_other, answer),
    ];
    assert_eq!(told(&actions), expected);
}

// Guards against a run that loses its owner, which would neither hear of its end nor end it by its
// own loss: an entry that was cut off claims a run of its own with the same number.
#[test]
fn test_handle_claim_does_not_take_over_the_run_of_another_entry() {
    let (mut agent, actions) = agent_with_owned_run(vec![(key(0), SIZE)]);
    assert_waits_for_the_end(&mut agent, actions, key(0), Ok(RunEnd::Lost));
}

// Guards against lost work: the stop means a run of an earlier attempt.
#[test]
fn test_handle_stop_does_not_stop_the_run_of_another_entry() {
    let (mut agent, _) = agent_with_owned_run(Vec::new());
    let actions = agent.handle(ms(11), packet_on(SECOND, vec![Order::Stop(vec![key(0)])]));
    assert_waits_for_the_end(&mut agent, actions, key(0), Ok(RunEnd::Lost));
}

// Guards against a task that runs twice at once: told that its run is over, the entry would start the
// task on another target while this run goes on.
#[test]
fn test_handle_claim_is_not_answered_before_other_runs_of_the_task_are_over() {
    let (mut agent, actions) = agent_with_owned_run(vec![(later_key(), SIZE)]);
    assert_waits_for_the_end(&mut agent, actions, later_key(), Ok(RunEnd::Lost));
}

// Guards against a task that runs twice at once, and against a busy loop: refused at once, the entry
// would start the task elsewhere, or here again, some thousand times a second.
#[test]
fn test_handle_start_beside_another_run_of_the_task_is_refused_when_that_is_over() {
    let (mut agent, _) = agent_with_owned_run(Vec::new());
    let actions = agent.handle(ms(11), packet_on(SECOND, vec![start(0, 500)]));
    let refused = Err(NotStarted::Superseded);
    assert_waits_for_the_end(&mut agent, actions, key(0), refused);
}

#[test]
fn test_handle_stop_of_a_start_that_waits_is_answered_once() {
    let (mut agent, _) = agent_with_owned_run(Vec::new());
    let mut actions = agent.handle(ms(11), packet_on(SECOND, vec![start(0, 500)]));
    let stop = vec![Order::Stop(vec![key(0)])];
    actions.extend(agent.handle(ms(12), packet_on(SECOND, stop.clone())));
    actions.extend(agent.handle(ms(13), packet_on(SECOND, stop)));
    let refused = Err(NotStarted::Superseded);
    assert_waits_for_the_end(&mut agent, actions, key(0), refused);
}

// Guards against a failed or successful end that counts for another entry's run.
#[test]
fn test_handle_end_of_one_entrys_run_is_not_told_as_that_of_another() {
    let (mut agent, _) = agent_with_owned_run(Vec::new());
    end_run(&mut agent, ms(20), RunEnd::Failed);
    let actions = agent.handle(ms(30), packet_on(SECOND, vec![Order::Stop(vec![key(0)])]));
    assert_eq!(told(&actions), [(SECOND, key(0), Ok(RunEnd::Lost))]);
    let actions = agent.handle(ms(31), packet_on(LINK, vec![Order::Stop(vec![key(0)])]));
    assert_eq!(told(&actions), [(LINK, key(0), Ok(RunEnd::Failed))]);
}

/// An answer that lists these runs and ends.
fn listed(running: &[RunKey], ended: &[(u64, RunKey, RunEnd)]) -> RenewalAnswer {
    let running = running.iter().map(|key| ListedRun {
        key: *key,
        percent: 1,
    });
    RenewalAnswer::Lists {
        born: None,
        clock: 1_000,
        running: running.collect(),
        ended: ended.to_vec(),
    }
}

/// Lets the target answer renewals until the agent sends one that waits, and returns its number.
fn waiting_renewal(agent: &mut RunAgentCore, now: Now, running: &[RunKey]) -> u64 {
    let mut last = 0;
    // The number of the renewal that is on its way is not known here.
    for number in 1..10 {
        let answer = listed(running, &[]);
        let actions = agent.handle(now, AgentEvent::RenewalAnswered { number, answer });
        last = renewals(&actions).last().copied().unwrap_or(last);
    }
    last
}

/// Ends the owner's run while its target has another run of the same task, known before or not.
fn agent_with_end_beside_a_run(end: RunEnd, is_known: bool) -> (RunAgentCore, Vec<AgentAction>) {
    let (mut agent, _) = agent_with_owned_run(Vec::new());
    let known = [key(0), later_key()];
    let number = waiting_renewal(&mut agent, ms(20), &known[..1 + usize::from(is_known)]);
    let answer = listed(&[later_key()], &[(1, key(0), end)]);
    let actions = agent.handle(ms(21), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(agent.gauges().runs, 1);
    (agent, actions)
}

// Guards against a task that runs twice at once: told of the end of its run, the entry would start the
// task elsewhere while another run of it, which was taken for over too soon, goes on.
#[test]
fn test_handle_end_beside_another_run_of_the_task_is_told_when_that_is_over() {
    let ends = [
        RunEnd::Failed,
        RunEnd::Stopped,
        RunEnd::Lapsed,
        RunEnd::Lost,
        RunEnd::Crashed { alone: false },
    ];
    for (end, is_known) in ends.into_iter().flat_map(|end| [(end, false), (end, true)]) {
        let (mut agent, mut actions) = agent_with_end_beside_a_run(end, is_known);
        actions.extend(agent.handle(ms(30), packet_on(LINK, Vec::new())));
        assert_eq!(told(&actions), [], "{end:?}, {is_known}");
        let mut actions = Vec::new();
        for number in 1..20 {
            let answer = listed(&[], &[(2, later_key(), RunEnd::Stopped)]);
            actions.extend(agent.handle(ms(40), AgentEvent::RenewalAnswered { number, answer }));
        }
        assert_eq!(agent.gauges().runs, 0);
        assert_eq!(told(&actions), [(LINK, key(0), Ok(end))]);
    }
}

// Guards against a caller that waits longer for work that is done: nothing starts after such an end.
#[test]
fn test_handle_done_beside_another_run_of_the_task_is_told_at_once() {
    for is_known in [false, true] {
        let (_, actions) = agent_with_end_beside_a_run(RunEnd::Done, is_known);
        assert_eq!(told(&actions), [(LINK, key(0), Ok(RunEnd::Done))]);
    }
}

// Guards against a task that runs again although it is done: its run was missing from a list, and the end
// that the target lists later comes while the answer is withheld.
#[test]
fn test_handle_run_that_is_listed_as_done_while_its_answer_is_withheld_is_done() {
    let (mut agent, _) = agent_with_owned_run(Vec::new());
    let number = waiting_renewal(&mut agent, ms(20), &[key(0), later_key()]);
    let answer = listed(&[later_key()], &[]);
    let mut actions = agent.handle(ms(21), AgentEvent::RenewalAnswered { number, answer });
    let rows = [later_key()];
    for number in 1..20 {
        let answer = listed(&rows, &[(1, key(0), RunEnd::Done)]);
        actions.extend(agent.handle(ms(30), AgentEvent::RenewalAnswered { number, answer }));
    }
    assert_eq!(told(&actions), [], "a run of the task goes on");
    let mut actions = Vec::new();
    for number in 1..30 {
        let answer = listed(&[], &[(2, later_key(), RunEnd::Stopped)]);
        actions.extend(agent.handle(ms(40), AgentEvent::RenewalAnswered { number, answer }));
    }
    assert_eq!(told(&actions), [(LINK, key(0), Ok(RunEnd::Done))]);
}

// Guards against a task that runs twice at once: the end of its run and another run of it stand in an answer
// that came too late for its runs to count.
#[test]
fn test_handle_late_answer_with_a_run_of_the_task_ends_no_run_of_it() {
    let (mut agent, _) = agent_with_owned_run(Vec::new());
    let number = waiting_renewal(&mut agent, ms(20), &[key(0)]);
    let rows = listed(&[later_key()], &[(1, key(0), RunEnd::Failed)]);
    let late = AgentEvent::RenewalAnswered {
        number: number - 1,
        answer: rows.clone(),
    };
    let mut actions = agent.handle(ms(21), late);
    let answer = rows;
    actions.extend(agent.handle(ms(22), AgentEvent::RenewalAnswered { number, answer }));
    assert_eq!(told(&actions), [], "a run of the task goes on");
    let mut actions = Vec::new();
    for number in 1..20 {
        let answer = listed(&[], &[(2, later_key(), RunEnd::Stopped)]);
        actions.extend(agent.handle(ms(40), AgentEvent::RenewalAnswered { number, answer }));
    }
    assert_eq!(told(&actions), [(LINK, key(0), Ok(RunEnd::Failed))]);
}

fn reports_runs_over(actions: &[AgentAction]) -> bool {
    let sent = actions.iter().filter_map(|a| match a {
        AgentAction::Send(_, packet) => Some(&packet.news),
        _ => None,
    });
    sent.flatten().any(|n| matches!(n, AgentNews::RunsOver(_)))
}

// Guards against a batch that starts elsewhere while a run of it goes on: the run is known from the target's
// list alone, and may be of the entry whose runs are reported as over.
#[test]
fn test_handle_announced_batch_is_not_over_while_a_run_without_owner_goes_on() {
    let (mut agent, _) = agent_with_owned_run(Vec::new());
    agent.handle(ms(20), packet_on(LINK, vec![Order::Stop(vec![key(0)])]));
    let mut number = 0;
    for step in 0..30 {
        number = waiting_renewal(&mut agent, ms(30 + 10 * step), &[key(0)]).max(number);
    }
    let rows = listed(&[key(0), key(1)], &[]);
    let actions = agent.handle(
        ms(331),
        AgentEvent::RenewalAnswered {
            number,
            answer: rows,
        },
    );
    let number = renewals(&actions)[0];
    let rows = listed(&[key(1)], &[(1, key(0), RunEnd::Stopped)]);
    let actions = agent.handle(
        ms(332),
        AgentEvent::RenewalAnswered {
            number,
            answer: rows,
        },
    );
    assert_eq!(agent.gauges().runs, 1);
    assert!(!reports_runs_over(&actions), "{actions:?}");
    let number = renewals(&actions)[0];
    let rows = listed(&[], &[(2, key(1), RunEnd::Stopped)]);
    let actions = agent.handle(
        ms(333),
        AgentEvent::RenewalAnswered {
            number,
            answer: rows,
        },
    );
    assert!(reports_runs_over(&actions), "{actions:?}");
}
