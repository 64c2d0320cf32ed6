//! Single decisions of the platform's agent, event by event.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_bytes::ByteBuf;
use trestleknot_lib::evacuations::EvacuatedHalls;
use trestleknot_lib::ids::{Now, SessionId};
use trestleknot_lib::payload::Payload;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{NotStarted, RunEnd, RunKey, TaskKey};
use trestleknot_lib::run_agent::RunAgent;
use trestleknot_lib::run_event::{
    AgentAction, AgentEvent, AgentOptions, LifeAnswer, RenewalAnswer, StartAnswer, StartCall,
    TargetReport,
};
use trestleknot_lib::run_message::{
    AgentNews, EntryPacket, Order, StartOrder, TargetInfo, Welcome,
};
use trestleknot_lib::target_lease::{ListedRun, Renewal};
use trestleknot_lib::target_life::TargetLife;
use trestleknot_lib::timings::Timings;

const LINK: SessionId = 1;
const SIZE: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};

/// Address of an entry.
fn address(entry: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry], 7300))
}

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// A life of a target.
fn life_of(name: &str, born: Option<u64>) -> TargetLife {
    let name = Arc::from(name);
    TargetLife { name, born }
}

fn info(life: &str, leaving: bool) -> TargetInfo {
    TargetInfo {
        life: life_of(life, None),
        service: "service".into(),
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 0,
        },
        labels: Vec::new(),
        leaving,
    }
}

fn report(life: &str, leaving: bool, sequence: u64) -> AgentEvent {
    let info = info(life, leaving);
    AgentEvent::Report(TargetReport { info, sequence })
}

fn renewals(actions: &[AgentAction]) -> Vec<u64> {
    let numbers = actions.iter().filter_map(|a| match a {
        AgentAction::Renew { renewal, .. } => Some(renewal.number),
        _ => None,
    });
    numbers.collect()
}

fn lists() -> RenewalAnswer {
    RenewalAnswer::Lists {
        born: None,
        clock: 1_000,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

/// Numbers of the questions whether a life of the target lives, with the lives.
fn questions(actions: &[AgentAction]) -> Vec<(u64, &str)> {
    let asked = actions.iter().filter_map(|a| match a {
        AgentAction::AskLife { look, life } => Some((look.number, &**life)),
        _ => None,
    });
    asked.collect()
}

/// Answers a question whether a life lives.
fn life_answered(number: u64, answer: LifeAnswer) -> AgentEvent {
    AgentEvent::LifeAnswered { number, answer }
}

fn options() -> AgentOptions {
    AgentOptions {
        name: "agent".into(),
        life: 7,
        hall: "hall".into(),
        timings: Timings::default(),
        token: 100,
        seeds: Vec::new(),
        evacuation_bound: Some(ms(5_000)),
    }
}

/// An agent with a target whose lists it has read, and one entry.
fn ready_agent() -> RunAgent {
    let mut agent = RunAgent::new(Now::ZERO, options());
    let actions = agent.handle(ms(1), report("life-1", false, 1));
    let (number, life) = questions(&actions)[0];
    assert_eq!(life, "life-1");
    let actions = agent.handle(ms(1), life_answered(number, LifeAnswer::Lives(None)));
    let number = renewals(&actions)[0];
    let answer = lists();
    agent.handle(ms(2), AgentEvent::RenewalAnswered { number, answer });
    agent.handle(ms(3), AgentEvent::LinkUp(LINK, address(1)));
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: Vec::new(),
        evacuations: Arc::default(),
    };
    agent.handle(ms(4), packet(60_000, vec![Order::Welcome(welcome)]));
    agent
}

fn packet(lease_until: u64, orders: Vec<Order>) -> AgentEvent {
    let packet = EntryPacket {
        lease_until,
        store_heard: 0,
        waiting: 0,
        orders,
    };
    AgentEvent::Packet(LINK, packet)
}

fn start(index: u16, start_by: u64) -> Order {
    Order::Start(StartOrder {
        batch: 5,
        step: 0,
        service: "service".into(),
        payload: Some("work".into()),
        size: SIZE,
        estimate_ms: 60,
        start_by,
        runs: vec![(index, 1)],
    })
}

fn key(index: u16) -> RunKey {
    let task = TaskKey {
        batch: 5,
        time: 0,
        step: 0,
        index,
    };
    RunKey { task, run: 1 }
}

fn starts(actions: &[AgentAction]) -> usize {
    let is_start = |a: &&AgentAction| matches!(a, AgentAction::Start(_));
    actions.iter().filter(is_start).count()
}

/// Why the actions refuse a run, if they do.
fn refusal(actions: &[AgentAction]) -> Option<NotStarted> {
    let sent = actions.iter().filter_map(|a| match a {
        AgentAction::Send(_, packet) => Some(packet),
        _ => None,
    });
    sent.flat_map(|p| &p.news).find_map(|news| match news {
        AgentNews::NotStarted { reason, .. } => Some(*reason),
        _ => None,
    })
}

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
fn test_handle_late_report_of_ready_does_not_take_leaving_back() {
    let mut agent = ready_agent();
    agent.handle(ms(10), report("life-1", true, 3));
    agent.handle(ms(11), report("life-1", false, 2));
    let actions = agent.handle(ms(12), packet(60_000, vec![start(0, 500)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Leaving));
}

#[test]
fn test_handle_start_after_its_last_moment_is_refused() {
    // As after a freeze: the order lay in the socket past its last moment.
    let mut agent = ready_agent();
    let actions = agent.handle(ms(900), packet(60_000, vec![start(0, 500)]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Late));
}

#[test]
fn test_handle_start_of_entry_whose_word_ran_out_is_refused() {
    let mut agent = ready_agent();
    // The welcome held for long; a new life of the entry has a short word.
    let welcome = Welcome {
        name: "entry".into(),
        life: 10,
        entries: Vec::new(),
        claims: Vec::new(),
        evacuations: Arc::default(),
    };
    let orders = vec![Order::Welcome(welcome), start(0, 5_000)];
    let actions = agent.handle(ms(1_000), packet(900, orders));
    assert_eq!(refusal(&actions), Some(NotStarted::Late));
}

#[test]
fn test_handle_new_life_is_learnt_before_it_gets_work() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), report("life-2", false, 1));
    let (number, life) = questions(&actions)[0];
    assert_eq!(life, "life-2");
    let actions = agent.handle(ms(10), life_answered(number, LifeAnswer::Lives(None)));
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

#[test]
fn test_handle_silent_target_is_asked_until_it_answers() {
    let mut agent = ready_agent();
    let mut actions = agent.handle(ms(10), packet(600_000, vec![start(0, 500)]));
    let mut now = ms(10);
    // It answers nothing until its leases must have run out.
    while now < ms(3_000) {
        // The entry goes on talking, so its link stands.
        let mut events = vec![AgentEvent::Wake, packet(600_000, Vec::new())];
        for action in &actions {
            match action {
                AgentAction::Renew { renewal, .. } => {
                    let (number, answer) = (renewal.number, RenewalAnswer::Silent);
                    events.push(AgentEvent::RenewalAnswered { number, answer });
                }
                AgentAction::Start(call) => events.push(AgentEvent::StartAnswered {
                    key: call.key,
                    token: call.token,
                    answer: StartAnswer::Silent,
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
    assert_eq!(agent.levels().runs, 0, "what ran has lapsed");
    // It is asked on, and gets work again once it has answered.
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

/// The start calls among actions.
fn start_calls(actions: &[AgentAction]) -> Vec<StartCall> {
    let calls = actions.iter().filter_map(|a| match a {
        AgentAction::Start(call) => Some(call.clone()),
        _ => None,
    });
    calls.collect()
}

/// The renewal that asks for the lists under a new token.
fn fence(actions: &[AgentAction]) -> Renewal {
    let found = actions.iter().find_map(|a| match a {
        AgentAction::Renew { renewal, .. } => Some(*renewal),
        _ => None,
    });
    found.expect("the lists are asked for")
}

fn silent(token: u64) -> AgentEvent {
    AgentEvent::StartAnswered {
        key: key(0),
        token,
        answer: StartAnswer::Silent,
    }
}

#[test]
fn test_handle_unanswered_start_is_settled_by_a_higher_token() {
    let mut agent = ready_agent();
    agent.handle(ms(10), packet(60_000, vec![start(0, 500)]));
    let actions = agent.handle(ms(110), silent(100));
    assert_eq!(refusal(&actions), None, "nothing is proven yet");
    assert_eq!(starts(&actions), 0, "nothing is proven yet");
    let first = fence(&actions);
    assert!(first.token > 100, "{first:?}");

    // The lists prove that it never happened: it is sent once more, under the token that counts.
    let (number, answer) = (first.number, lists());
    let actions = agent.handle(ms(112), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(refusal(&actions), None);
    let again = start_calls(&actions);
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].key, again[0].token), (key(0), first.token));

    // The second loss is the entry's to mend.
    let actions = agent.handle(ms(212), silent(first.token));
    let second = fence(&actions);
    assert!(second.token > first.token, "{second:?}");
    let (number, answer) = (second.number, lists());
    let actions = agent.handle(ms(214), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(refusal(&actions), Some(NotStarted::Unanswered));
    assert_eq!(starts(&actions), 0);
}

/// Starts that the target answers within 2 ms each, until 192 ms.
fn teach_quick_answers(agent: &mut RunAgent) {
    for index in 1..20 {
        let at = ms(10 * u64::from(index));
        agent.handle(at, packet(60_000, vec![start(index, 5_000)]));
        let answered = AgentEvent::StartAnswered {
            key: key(index),
            token: 100,
            answer: StartAnswer::Full,
        };
        agent.handle(at + ms(2), answered);
    }
}

#[test]
fn test_handle_start_is_fenced_off_sooner_where_answers_come_quickly() {
    let mut agent = ready_agent();
    teach_quick_answers(&mut agent);
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

    // An answer that comes after all counts: it is the target's own word.
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
    assert_eq!(agent.levels().runs, 1);
}

#[test]
fn test_handle_answers_behind_a_pause_are_read_before_starts_are_fenced_off() {
    let mut agent = ready_agent();
    agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    // The process stands still past the limit, and the answer waits in its socket.
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
    assert_eq!(agent.levels().runs, 1);
}

#[test]
fn test_handle_lost_renewal_is_noticed_by_the_usual_time_of_answers() {
    let mut agent = ready_agent();
    teach_quick_answers(&mut agent);
    // What was asked for until now is answered; the next renewal is lost.
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

    // What the first one lists, should it come after all, still counts.
    let answer = RenewalAnswer::Lists {
        born: None,
        clock: 1_300,
        running: Vec::new(),
        ended: vec![(1, key(0), RunEnd::Done)],
    };
    let number = lost.number;
    agent.handle(now + ms(1), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(agent.levels().runs, 0);
}

#[test]
fn test_handle_idle_target_in_doubt_is_asked_until_it_answers() {
    let mut agent = ready_agent();
    // One run, and a renewal that is lost; the run's end is learnt from the start's refusal.
    let mut actions = agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let lost = fence(&actions).number;
    let refused = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Late,
    };
    agent.handle(ms(11), refused);
    let answer = RenewalAnswer::Silent;
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
    // Until it answers, nothing is started on it.
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
    // A second entry, which will answer for its runs throughout.
    let second: SessionId = 2;
    agent.handle(ms(5), AgentEvent::LinkUp(second, address(2)));
    let welcome = Welcome {
        name: "second".into(),
        life: 10,
        entries: Vec::new(),
        claims: Vec::new(),
        evacuations: Arc::default(),
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
    // The first entry's link breaks; its run is stopped, but the target lists it on and on.
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
    // A start would extend the lease of that run as well.
    let actions = agent.handle(ms(900), from_second(vec![start(1, 5_000)]));
    assert_eq!(starts(&actions), 0, "{actions:?}");
}

/// The ends of the leases that the renewals ask for.
fn leases(actions: &[AgentAction]) -> Vec<Option<u64>> {
    let renewals = actions.iter().filter_map(|a| match a {
        AgentAction::Renew { renewal, .. } => Some(renewal.until),
        _ => None,
    });
    renewals.collect()
}

/// A new life of an agent whose target runs something of an earlier life's, read at 2 ms. Gives
/// the actions with it.
fn agent_with_adopted_run() -> (RunAgent, Vec<AgentAction>) {
    let mut agent = RunAgent::new(Now::ZERO, options());
    let actions = agent.handle(ms(1), AgentEvent::Wake);
    let number = renewals(&actions)[0];
    let answer = running(&[key(0)]);
    let actions = agent.handle(ms(2), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(agent.levels().runs, 1, "it is adopted");
    (agent, actions)
}

fn running(keys: &[RunKey]) -> RenewalAnswer {
    let listed = keys.iter().map(|key| ListedRun {
        key: *key,
        percent: 1,
    });
    RenewalAnswer::Lists {
        born: None,
        clock: 1_000,
        running: listed.collect(),
        ended: Vec::new(),
    }
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
    let stopped_at = stopped_at.expect("nobody claims it, so it is stopped");
    assert!(stopped_at < ms(300), "{stopped_at:?}");
}

#[test]
fn test_handle_claimed_run_is_renewed() {
    let (mut agent, actions) = agent_with_adopted_run();
    let number = *renewals(&actions).last().expect("a look is on the way");
    agent.handle(ms(10), AgentEvent::LinkUp(LINK, address(1)));
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: vec![(key(0), SIZE)],
        evacuations: Arc::default(),
    };
    agent.handle(ms(11), packet(60_000, vec![Order::Welcome(welcome)]));
    let answer = running(&[key(0)]);
    let actions = agent.handle(ms(12), AgentEvent::RenewalAnswered { number, answer });
    assert!(leases(&actions).iter().any(Option::is_some), "{actions:?}");
}

/// An agent on whose target a run of its entry goes, started at 12 ms.
fn agent_with_run() -> RunAgent {
    let mut agent = ready_agent();
    agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let started = AgentEvent::StartAnswered {
        key: key(0),
        token: 100,
        answer: StartAnswer::Started { clock: 1_010 },
    };
    agent.handle(ms(12), started);
    assert_eq!(agent.levels().runs, 1);
    agent
}

#[test]
fn test_handle_late_report_of_a_dead_life_ends_nothing() {
    let mut agent = agent_with_run();
    // A cut held it back until its sender had crashed and the present life had reported.
    let actions = agent.handle(ms(20), report("life-0", false, 9));
    assert_eq!(agent.levels().runs, 1, "a report proves nothing");
    let (number, life) = questions(&actions)[0];
    assert_eq!(life, "life-0");
    agent.handle(ms(21), life_answered(number, LifeAnswer::OtherLife));
    assert_eq!(agent.levels().runs, 1);
    let actions = agent.handle(ms(22), packet(60_000, vec![start(1, 5_000)]));
    assert_eq!(starts(&actions), 1, "the living life gets work");
    // What is known to be dead is not asked again.
    let actions = agent.handle(ms(23), report("life-0", false, 10));
    assert_eq!(questions(&actions), []);
}

#[test]
fn test_handle_answer_of_a_new_life_ends_the_one_before() {
    let mut agent = agent_with_run();
    let actions = agent.handle(ms(20), report("life-2", false, 1));
    assert_eq!(agent.levels().runs, 1, "a report proves nothing");
    let (number, _) = questions(&actions)[0];
    agent.handle(ms(21), life_answered(number, LifeAnswer::Lives(None)));
    assert_eq!(agent.levels().runs, 0);
}

#[test]
fn test_handle_silent_life_is_asked_again_for_a_while() {
    let mut agent = agent_with_run();
    let mut actions = agent.handle(ms(20), report("life-2", false, 1));
    let mut asked = 0;
    for step in 3..1_000 {
        let now = ms(10 * step);
        let mut next = Vec::new();
        for (number, _) in questions(&actions) {
            asked += 1;
            next.extend(agent.handle(now, life_answered(number, LifeAnswer::Silent)));
        }
        next.extend(agent.handle(now, AgentEvent::Wake));
        actions = next;
    }
    assert!((10..60).contains(&asked), "asked {asked} times");
}

#[test]
fn test_handle_answer_from_before_the_present_life_does_not_end_it() {
    // An agent that has just started and knows nothing: the dead life's report comes first.
    let mut agent = ready_agent();
    let old = agent.handle(ms(20), report("life-2", false, 1));
    let (old_question, _) = questions(&old)[0];
    let new = agent.handle(ms(21), report("life-3", false, 1));
    let (new_question, _) = questions(&new)[0];
    let actions = agent.handle(ms(22), life_answered(new_question, LifeAnswer::Lives(None)));
    let (asked_anew, life) = questions(&actions)[0];
    assert_eq!(life, "life-2");
    // The dead life's answer was on its way for longer.
    let late = agent.handle(ms(23), life_answered(old_question, LifeAnswer::Lives(None)));
    assert_eq!(refusal(&late), None);
    agent.handle(ms(24), life_answered(asked_anew, LifeAnswer::OtherLife));
    let number = *renewals(&actions).last().expect("its lists are asked for");
    let answer = lists();
    agent.handle(ms(25), AgentEvent::RenewalAnswered { number, answer });
    let actions = agent.handle(ms(26), packet(60_000, vec![start(1, 5_000)]));
    let call = start_calls(&actions).pop().expect("it is started");
    assert_eq!(&*call.life, "life-3");
}

#[test]
fn test_handle_late_lists_of_a_dead_life_are_not_read() {
    let mut agent = ready_agent();
    let actions = agent.handle(ms(10), packet(60_000, vec![start(0, 5_000)]));
    let old = fence(&actions).number;
    let actions = agent.handle(ms(20), report("life-2", false, 1));
    let (number, _) = questions(&actions)[0];
    let actions = agent.handle(ms(21), life_answered(number, LifeAnswer::Lives(None)));
    let new = fence(&actions).number;
    let (number, answer) = (new, lists());
    agent.handle(ms(22), AgentEvent::RenewalAnswered { number, answer });
    // Its number of ends is far above those of the present life.
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
        "the dead life's clock: {}",
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
    assert_eq!(agent.levels().runs, 0, "its own end is news");
}

/// Ends that entries are told.
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
    // A new life of the agent, beside a target that still runs what an earlier life started.
    let key = key(0);
    let mut agent = RunAgent::new(Now::ZERO, options());
    agent.handle(ms(1), AgentEvent::LinkUp(LINK, address(1)));
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: vec![(key, SIZE)],
        evacuations: Arc::default(),
    };
    let orders = vec![Order::Welcome(welcome), Order::Stop(vec![key])];
    let actions = agent.handle(ms(2), packet(60_000, orders));
    assert_eq!(ends(&actions), [], "it may still run");
    let actions = agent.handle(ms(3), report("life-1", false, 1));
    let (number, _) = questions(&actions)[0];
    let actions = agent.handle(ms(4), life_answered(number, LifeAnswer::Lives(None)));
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

#[test]
fn test_next_wake_draining_agent_does_not_wait_for_homes() {
    // More entries than homes are known, none answers, and the agent stops while a run goes on.
    let mut agent = ready_agent();
    let entries = (10..40).map(address).collect();
    agent.handle(ms(5), AgentEvent::Entries(entries));
    agent.handle(ms(6), packet(60_000, vec![start(0, 500)]));
    agent.handle(ms(7), AgentEvent::Drain);
    // The dials count as missing at 305 ms, and nothing is done about it any more.
    let later = ms(400);
    agent.handle(later, AgentEvent::Wake);
    let wake = agent.next_wake().expect("a run goes on");
    assert!(wake > later + ms(1), "{wake:?}");
}

fn evacuated(place: u64, halls: &[&str]) -> Arc<EvacuatedHalls> {
    let halls = halls.iter().map(|hall| Arc::from(*hall));
    Arc::new(EvacuatedHalls {
        place,
        halls: halls.collect(),
    })
}

#[test]
fn test_handle_evacuated_hall_starts_nothing_and_ends_what_runs() {
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
    assert!(!stops, "what runs in an evacuated hall ends in peace");
    let actions = agent.handle(ms(8), packet(60_000, vec![start(1, 500)]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Evacuated));
    // An entry that does not know yet that it was withdrawn changes nothing; a later word does.
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
fn test_handle_asks_the_store_when_no_entry_hears_of_it() {
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
    // As long as its entry hears of the store, the agent has no question.
    assert_eq!(asks(&agent.handle(ms(1_400), heard_at(1_000))), 0);
    assert_eq!(asks(&agent.handle(ms(2_400), heard_at(1_000))), 0);
    assert_eq!(asks(&agent.handle(ms(2_500), heard_at(1_000))), 1);
    let answer = Some(evacuated(7, &["hall"]));
    agent.handle(ms(2_600), AgentEvent::Evacuations(answer));
    let actions = agent.handle(ms(2_700), packet(60_000, vec![start(0, 5_000)]));
    assert_eq!(refusal(&actions), Some(NotStarted::Evacuated));
    // What was answered was true when it was asked.
    assert_eq!(asks(&agent.handle(ms(3_900), heard_at(1_000))), 0);
    assert_eq!(asks(&agent.handle(ms(4_000), heard_at(1_000))), 1);
    // Without an answer it asks again.
    agent.handle(ms(4_800), AgentEvent::Evacuations(None));
    assert_eq!(asks(&agent.handle(ms(5_500), heard_at(1_000))), 1);
}

/// Targets that the actions tell of.
fn targets_told(actions: &[AgentAction]) -> Vec<Option<TargetInfo>> {
    let sent = actions.iter().filter_map(|a| match a {
        AgentAction::Send(_, packet) => Some(packet),
        _ => None,
    });
    let news = sent.flat_map(|p| p.news.clone());
    let told = news.filter_map(|n| match n {
        AgentNews::Target(target) => Some(target),
        _ => None,
    });
    told.collect()
}

#[test]
fn test_handle_target_is_offered_once_its_lists_are_read() {
    // An entry that is told of it sooner says that it is ready, and has no room for its first batches.
    let mut agent = RunAgent::new(Now::ZERO, options());
    let actions = agent.handle(ms(1), AgentEvent::LinkUp(LINK, address(1)));
    assert_eq!(targets_told(&actions), [None]);
    let actions = agent.handle(ms(2), report("life-1", false, 1));
    let number = questions(&actions)[0].0;
    let actions = agent.handle(ms(3), life_answered(number, LifeAnswer::Lives(None)));
    assert_eq!(targets_told(&actions), []);
    let number = renewals(&actions)[0];
    let answer = lists();
    let actions = agent.handle(ms(4), AgentEvent::RenewalAnswered { number, answer });
    assert_eq!(targets_told(&actions), [Some(info("life-1", false))]);
}

/// An order to start without a payload: it was sent on the link before.
fn start_known(index: u16, start_by: u64) -> Order {
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
    let actions = agent.handle(ms(5), packet(60_000, vec![start_known(0, 500)]));
    assert_eq!(refusal(&actions), Some(NotStarted::NoPayload));
    agent.handle(ms(6), packet(60_000, vec![start(1, 500)]));
    let actions = agent.handle(ms(7), packet(60_000, vec![start_known(2, 500)]));
    assert_eq!(&*start_calls(&actions)[0].payload, "work");
    // Another link of the same entry has to bring it again.
    agent.handle(ms(8), AgentEvent::LinkDown(LINK));
    agent.handle(ms(9), AgentEvent::LinkUp(LINK, address(1)));
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: Vec::new(),
        evacuations: Arc::default(),
    };
    agent.handle(ms(10), packet(60_000, vec![Order::Welcome(welcome)]));
    let actions = agent.handle(ms(11), packet(60_000, vec![start_known(3, 500)]));
    assert_eq!(refusal(&actions), Some(NotStarted::NoPayload));
}

#[test]
fn test_handle_malformed_payload_starts_nothing() {
    let mut agent = ready_agent();
    let nonsense = Payload::Packed(Arc::new(ByteBuf::from(b"nonsense".to_vec())));
    let order = match start(0, 500) {
        Order::Start(order) => Order::Start(StartOrder {
            payload: Some(nonsense),
            ..order
        }),
        other => other,
    };
    let actions = agent.handle(ms(5), packet(60_000, vec![order]));
    assert_eq!(starts(&actions), 0);
    assert_eq!(refusal(&actions), Some(NotStarted::Unreachable));
}
