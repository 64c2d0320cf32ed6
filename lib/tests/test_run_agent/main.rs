//! Decisions of the agent core for the platform, event by event.

mod announcements;
mod answers;
mod crashes;
mod ends;
mod evacuation;
mod guarantors;
mod incarnations;
mod leases;
mod owners;
mod proofs;
mod restarts;
mod room;
mod starts;
mod suspension;
mod tokens;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_bytes::ByteBuf;
use trestleknot_lib::evacuations::EvacuatedHalls;
use trestleknot_lib::ids::{Now, SessionId};
use trestleknot_lib::payload::Payload;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{NotStarted, RunEnd, RunKey, TaskKey};
use trestleknot_lib::run_agent::RunAgentCore;
use trestleknot_lib::run_event::{
    AgentAction, AgentEvent, AgentOptions, IncarnationAnswer, RenewalAnswer, StartAnswer,
    StartCall, TargetReport,
};
use trestleknot_lib::run_message::{
    AgentNews, EntryPacket, Order, StartOrder, TargetInfo, Welcome,
};
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::target_lease::{ListedRun, Renewal};
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

/// An incarnation of a target.
fn incarnation_of(name: &str, born: Option<u64>) -> TargetIncarnation {
    let name = Arc::from(name);
    TargetIncarnation { name, born }
}

fn info(target_name: &str, leaving: bool) -> TargetInfo {
    TargetInfo {
        life: incarnation_of(target_name, None),
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

fn report(target_name: &str, leaving: bool, sequence: u64) -> AgentEvent {
    let info = info(target_name, leaving);
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

/// Numbers and target names of the incarnation checks among the actions.
fn incarnation_checks(actions: &[AgentAction]) -> Vec<(u64, &str)> {
    let checks = actions.iter().filter_map(|a| match a {
        AgentAction::CheckIncarnation { query, target_name } => {
            Some((query.number, &**target_name))
        }
        _ => None,
    });
    checks.collect()
}

/// Answers an incarnation check.
fn incarnation_checked(number: u64, answer: IncarnationAnswer) -> AgentEvent {
    AgentEvent::IncarnationChecked { number, answer }
}

fn options() -> AgentOptions {
    AgentOptions {
        name: "agent".into(),
        incarnation: 7,
        hall: "hall".into(),
        timings: Timings::default(),
        token: 100,
        seeds: Vec::new(),
        evacuation_bound: Some(ms(5_000)),
    }
}

/// An agent that has read its target's lists and is linked to one entry.
fn ready_agent() -> RunAgentCore {
    let welcome = Welcome {
        name: "entry".into(),
        life: 9,
        entries: Vec::new(),
        claims: Vec::new(),
        guarantors: Vec::new(),
        evacuations: Arc::default(),
        protocol: 0,
    };
    ready_agent_of(packet(60_000, vec![Order::Welcome(welcome)]))
}

/// Like [`ready_agent`], with this first packet of the entry.
fn ready_agent_of(first_packet: AgentEvent) -> RunAgentCore {
    let mut agent = RunAgentCore::new(Now::ZERO, options());
    let actions = agent.handle(ms(1), report("life-1", false, 1));
    let (number, target_name) = incarnation_checks(&actions)[0];
    assert_eq!(target_name, "life-1");
    let actions = agent.handle(
        ms(1),
        incarnation_checked(number, IncarnationAnswer::Alive(None)),
    );
    let number = renewals(&actions)[0];
    let answer = lists();
    agent.handle(ms(2), AgentEvent::RenewalAnswered { number, answer });
    agent.handle(ms(3), AgentEvent::LinkUp(LINK, address(1)));
    agent.handle(ms(4), first_packet);
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
        alone: false,

        guarantor: None,
        target: None,
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

/// The reason of the first refused run among the actions.
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

/// The start calls among the actions.
fn start_calls(actions: &[AgentAction]) -> Vec<StartCall> {
    let calls = actions.iter().filter_map(|a| match a {
        AgentAction::Start(call) => Some(call.clone()),
        _ => None,
    });
    calls.collect()
}

/// The first renewal, which asks for the lists under a new token.
fn fence(actions: &[AgentAction]) -> Renewal {
    let found = actions.iter().find_map(|a| match a {
        AgentAction::Renew { renewal, .. } => Some(*renewal),
        _ => None,
    });
    found.expect("the lists are asked for")
}

fn start_unanswered(token: u64) -> AgentEvent {
    AgentEvent::StartAnswered {
        key: key(0),
        token,
        answer: StartAnswer::NoAnswer,
    }
}

/// Sends starts that the target answers within 2 ms each, until 192 ms.
fn answer_starts_quickly(agent: &mut RunAgentCore) {
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
fn test_next_wake_draining_agent_does_not_wait_for_preferred_entries() {
    // The agent knows more entries than it prefers, none answers, and it drains during a run.
    let mut agent = ready_agent();
    let entries = (10..40).map(address).collect();
    agent.handle(ms(5), AgentEvent::Entries(entries));
    agent.handle(ms(6), packet(60_000, vec![start(0, 500)]));
    agent.handle(ms(7), AgentEvent::Drain);
    // The dials time out at 305 ms, which needs no action while draining.
    let later = ms(400);
    agent.handle(later, AgentEvent::Wake);
    let wake = agent.next_wake().expect("a run goes on");
    assert!(wake > later + ms(1), "{wake:?}");
}
