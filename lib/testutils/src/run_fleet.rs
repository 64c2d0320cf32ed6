//! Entries and agents of the platform on a virtual clock, with targets, links and callers.
//!
//! The real cores, driven by one queue of events: every run of a seed is the same. Strikes hit at
//! given times; [`checks`] looks at what callers and targets saw.

mod callers;
mod entry_traffic;
mod fault;
mod fault_injection;
mod fleet_config;
pub mod invariants;
mod links;
mod operators;
mod process;
mod targets;

pub use callers::Caller;
pub use entry_traffic::Traffic;
pub use fault::FleetFault;
pub use fault_injection::POWER_OFF;
pub use fleet_config::{FleetConfig, Node};

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::batch_event::{EntryAction, EntryEvent, EntryOptions, Reply, Submission};
use trestleknot_lib::evacuations::EvacuatedHalls;
use trestleknot_lib::events::LogEvent;
use trestleknot_lib::ids::{HallName, Now, RequestId, SessionId};
use trestleknot_lib::queue::{Queue, QueueTable, RequestLimits};
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::BatchId;
use trestleknot_lib::run_agent::RunAgentCore;
use trestleknot_lib::run_event::{AgentAction, AgentEvent, AgentOptions, TargetReport};
use trestleknot_lib::run_message::Packet;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::timings::{PlatformBounds, Timings};

use crate::run_target::{RunTarget, SERVICE};
use entry_traffic::EntryTraffic;
use links::Links;
use operators::Operators;
use process::Process;

/// Entries of the fleet.
pub const ENTRIES: usize = 3;
/// Agents and targets of the fleet.
pub const AGENTS: usize = 4;
/// How often targets report on themselves.
const REPORT_EVERY: Duration = Duration::from_millis(1_500);
/// What a target has: eight tasks of the usual size.
const CAPACITY: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};
/// What a task takes.
const TASK: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};

enum Event {
    Wake(Node, u64),
    Deliver(Node, SessionId, Packet),
    Up(Node, SessionId, bool),
    Down(Node, SessionId),
    Dial(Node, SocketAddr),
    /// An entry hears of a configuration from the store.
    Configured(usize, Arc<QueueTable>),
    /// An answer of the store to an entry.
    StoreAnswer(usize, u64, Arc<EvacuatedHalls>),
    /// An entry's next read of the store.
    StoreRead(usize, u64),
    Agent(usize, u64, AgentEvent),
    /// An agent's VM goes on after a suspension.
    Awake(usize),
    /// A late order to a target, and the life that took it in.
    Order(usize, TargetIncarnation, targets::LateOrder),
    Look(usize),
    Report(usize, bool),
    LateReport(usize, TargetReport),
    Submit(BatchId),
    /// A caller's request has come through the entry's link.
    Submitted(usize, u64, Submission),
    /// An answer has gone through the entry's link.
    Answered(usize, RequestId, Reply),
    Cancel(BatchId),
    Gone(usize, u64, RequestId),
    Start(Node),
    Strike(FleetFault),
    End(targets::Ending),
}

struct Timed {
    at: Now,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// See the module.
pub struct RunFleet {
    now: Now,
    queue: BinaryHeap<Reverse<Timed>>,
    next_number: u64,
    rng: ChaCha8Rng,
    entries: Vec<Process<BatchEntryCore>>,
    agents: Vec<Process<RunAgentCore>>,
    links: Links,
    targets: Vec<targets::Served>,
    /// Callers by their batch.
    pub callers: BTreeMap<BatchId, Caller>,
    by_request: BTreeMap<RequestId, BatchId>,
    next_request: RequestId,
    token_base: u64,
    timings: Timings,
    shape: FleetConfig,
    config: Arc<QueueTable>,
    /// Addresses that each process keeps a connection to.
    dialled: BTreeMap<Node, BTreeSet<SocketAddr>>,
    operators: Operators,
    /// What entries' links carry.
    pub traffic: EntryTraffic,
    /// Lines of the log, for a failed check.
    pub log: Vec<String>,
    /// Whether the log is kept.
    pub keeps_log: bool,
    /// Starts that entries ordered.
    pub orders: u64,
    /// Of these, starts that found no room.
    pub full: u64,
    /// Packets sent between entries and agents.
    pub packets: u64,
}

impl RunFleet {
    /// A fleet that has just started, on a platform with the usual bounds.
    pub fn new(seed: u64) -> Self {
        Self::with_bounds(seed, PlatformBounds::default())
    }

    /// A fleet that has just started, on a platform with these bounds.
    pub fn with_bounds(seed: u64, bounds: PlatformBounds) -> Self {
        let shape = FleetConfig {
            bounds,
            ..FleetConfig::default()
        };
        Self::with_config(seed, shape, config())
    }

    /// A fleet of this shape that has just started, with this configuration.
    pub fn with_config(seed: u64, shape: FleetConfig, config: QueueTable) -> Self {
        let bounds = shape.bounds;
        let mut fleet = Self {
            now: Now::ZERO,
            queue: BinaryHeap::new(),
            next_number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..shape.entries).map(|_| Process::new()).collect(),
            agents: (0..shape.agents).map(|_| Process::new()).collect(),
            links: Links::default(),
            targets: Vec::new(),
            callers: BTreeMap::new(),
            by_request: BTreeMap::new(),
            next_request: 1,
            token_base: 10_000_000,
            timings: Timings::new(bounds).expect("bounds that the chain of times can hold"),
            shape,
            config: Arc::new(config),
            dialled: BTreeMap::new(),
            operators: Operators::default(),
            traffic: EntryTraffic::new(shape.entry_link_mbps),
            log: Vec::new(),
            keeps_log: true,
            orders: 0,
            full: 0,
            packets: 0,
        };
        for index in 0..shape.agents {
            // Half of the targets' clocks are 2% slow.
            let rate = if index % 2 == 0 { 1.0 } else { 0.98 };
            let target = RunTarget::new(&format!("target-{index}"), shape.capacity, rate)
                .with_lease(bounds.longest_lease);
            fleet.targets.push(targets::Served::new(target));
            fleet.at(Duration::from_millis(20), Event::Report(index, true));
            fleet.start(Node::Agent(index));
        }
        for index in 0..shape.entries {
            fleet.start(Node::Entry(index));
        }
        fleet
    }

    /// Plans batches at an even pace, `per_second` of them until `until`.
    pub fn load(&mut self, from: Now, until: Now, per_second: u32) {
        let mut at = from;
        while at < until {
            let id = self.rng.random();
            let tasks = self.rng.random_range(1..=6);
            let choice = self.rng.random_range(0..3);
            let work_ms = [40, 120, 500].get(choice).copied().unwrap_or(40);
            let caller = Caller::new(at, tasks, work_ms, TASK);
            self.add_caller(id, caller);
            let jitter = self.rng.random_range(0.5..1.5);
            at += Duration::from_secs_f64(jitter / f64::from(per_second));
        }
    }

    /// Plans a batch.
    pub fn add_caller(&mut self, id: BatchId, caller: Caller) {
        self.at(caller.sent, Event::Submit(id));
        self.callers.insert(id, caller);
    }

    /// Plans that a batch is cancelled where its caller waits.
    pub fn add_cancel(&mut self, at: Now, id: BatchId) {
        self.at(at, Event::Cancel(id));
    }

    /// Lets a process, which has just started, start at a later time instead.
    pub fn start_later(&mut self, node: Node, at: Now) {
        self.reset_links(node);
        self.forget_process(node);
        self.at(at, Event::Start(node));
    }

    /// Plans that these entries hear of a configuration from the store.
    pub fn configure(&mut self, at: Now, table: &Arc<QueueTable>, entries: std::ops::Range<usize>) {
        for entry in entries {
            self.at(at, Event::Configured(entry, table.clone()));
        }
    }

    /// Versions of the configuration in force at entries that live.
    pub fn config_versions(&self) -> Vec<u64> {
        let living = self.entries.iter().filter_map(|e| e.core.as_ref());
        living.map(|core| core.levels().config_version).collect()
    }

    /// Plans a strike.
    pub fn inject(&mut self, at: Now, strike: FleetFault) {
        self.at(at, Event::Strike(strike));
    }

    /// Targets, for the checks.
    pub fn targets(&self) -> impl Iterator<Item = &RunTarget> {
        self.targets.iter().map(|t| &t.target)
    }

    /// The fleet's time.
    pub fn now(&self) -> Now {
        self.now
    }

    /// Lets everything happen up to a time.
    pub fn run_until(&mut self, until: Now) {
        while let Some(Reverse(timed)) = self.queue.pop() {
            if timed.at > until {
                self.queue.push(Reverse(timed));
                break;
            }
            self.now = self.now.max(timed.at);
            self.happen(timed.event);
        }
        self.now = until;
        for served in &mut self.targets {
            served.target.advance(until);
        }
    }

    fn at(&mut self, at: Now, event: Event) {
        let number = self.next_number;
        self.next_number += 1;
        self.queue.push(Reverse(Timed { at, number, event }));
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.at(self.now + pause, event);
    }

    fn frozen_until(&self, node: Node) -> Now {
        match node {
            Node::Entry(i) => self.entries[i].frozen_until,
            Node::Agent(i) => self.agents[i].frozen_until,
        }
    }

    fn is_alive(&self, node: Node) -> bool {
        match node {
            Node::Entry(i) => self.entries[i].core.is_some(),
            Node::Agent(i) => self.agents[i].core.is_some(),
        }
    }

    fn cut_until(&self, node: Node) -> Now {
        match node {
            Node::Entry(i) => self.entries[i].cut_until,
            Node::Agent(i) => self.agents[i].cut_until,
        }
    }

    fn is_cut(&self, node: Node) -> bool {
        self.cut_until(node) > self.now
    }

    fn hall_of(&self, index: usize) -> HallName {
        format!("hall-{}", index % self.shape.halls).into()
    }

    fn happen(&mut self, event: Event) {
        let node = match &event {
            Event::Wake(node, _)
            | Event::Deliver(node, ..)
            | Event::Up(node, ..)
            | Event::Down(node, _) => Some(*node),
            Event::Agent(i, ..) | Event::Awake(i) => Some(Node::Agent(*i)),
            Event::Gone(i, ..)
            | Event::StoreAnswer(i, ..)
            | Event::Configured(i, _)
            | Event::Submitted(i, ..) => Some(Node::Entry(*i)),
            _ => None,
        };
        if let Event::Order(i, ..)
        | Event::Look(i)
        | Event::Report(i, _)
        | Event::Start(Node::Agent(i)) = &event
        {
            let awake = self.targets[*i].asleep_until;
            if awake > self.now {
                self.at(awake, event);
                return;
            }
        }
        if let Some(node) = node {
            let thaw = self.frozen_until(node);
            if thaw > self.now {
                // What reaches a process that stands still waits, in its order.
                self.at(thaw, event);
                return;
            }
        }
        self.happen_now(event);
    }

    fn happen_now(&mut self, event: Event) {
        match event {
            Event::Wake(node, life) => self.wake(node, life),
            Event::Deliver(node, link, packet) => self.deliver(node, link, packet),
            Event::Up(Node::Entry(i), link, dialled) => {
                self.entry_linked(i, link, dialled);
            }
            Event::Up(Node::Agent(i), link, _) => self.agent_linked(i, link),
            Event::Down(node, link) => self.side_down(node, link),
            Event::Dial(node, address) => self.dial(node, address),
            Event::Configured(i, table) => self.tell_entry(i, EntryEvent::Config(table)),
            Event::StoreAnswer(i, life, state) => {
                if self.entries[i].life == life {
                    self.tell_entry(i, EntryEvent::Evacuations(state));
                }
            }
            Event::StoreRead(i, life) => self.read_store(i, life),
            Event::Agent(i, life, event) => {
                if self.agents[i].life == life {
                    if let AgentEvent::Report(report) = &event {
                        let target = &mut self.targets[i].target;
                        target.note_report_heard(self.now, &report.info, report.sequence);
                    }
                    self.tell_agent(i, event);
                }
            }
            Event::Awake(i) => {
                let slept = std::mem::take(&mut self.agents[i].untold_sleep);
                if !slept.is_zero() {
                    self.tell_agent(i, AgentEvent::Resumed(slept));
                }
            }
            Event::Order(i, life, order) => self.late_order(i, &life, order),
            Event::Look(i) => self.look(i),
            Event::Report(i, again) => self.report(i, again),
            Event::LateReport(i, report) => {
                let target = &mut self.targets[i].target;
                target.note_report_heard(self.now, &report.info, report.sequence);
                self.tell_agent(i, AgentEvent::Report(report));
            }
            Event::Submit(id) => self.submit(id),
            Event::Submitted(entry, life, submission) => self.submitted(entry, life, submission),
            Event::Answered(entry, request, reply) => self.replied(entry, request, reply),
            Event::Cancel(id) => self.cancel(id),
            Event::Gone(i, life, request) => {
                if self.entries[i].life == life {
                    self.tell_entry(i, EntryEvent::CallerGone(request));
                }
            }
            Event::Start(node) => self.start(node),
            Event::Strike(strike) => self.apply_fault(strike),
            Event::End(ending) => self.end_trouble(ending),
        }
    }

    fn address(entry: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, (entry / 200) as u8, (entry % 200) as u8 + 1], 7300))
    }

    fn start(&mut self, node: Node) {
        if self.is_alive(node) {
            return;
        }
        let life = self.rng.random();
        let seeds = self.shape.seeds.unwrap_or(self.shape.entries);
        let seeds: Vec<SocketAddr> = (0..seeds).map(Self::address).collect();
        match node {
            Node::Entry(i) => {
                let options = EntryOptions {
                    name: format!("entry-{i}").into(),
                    incarnation: life,
                    hall: self.hall_of(i),
                    address: Self::address(i),
                    seeds,
                    seed: life,
                    timings: self.timings,
                    link_rate: self.shape.entry_link_mbps.map(|mbps| mbps * 1e6 / 8.0),
                };
                let process = &mut self.entries[i];
                process.core = Some(BatchEntryCore::new(options));
                process.life = life;
                process.born = self.now;
                process.uncounted = Duration::ZERO;
                process.wake = None;
                self.tell_entry(i, EntryEvent::Wake);
                self.tell_entry(i, EntryEvent::Config(self.config.clone()));
                if self.shape.evacuation_bound.is_some() {
                    self.after(operators::FIRST_READ, Event::StoreRead(i, life));
                }
            }
            Node::Agent(i) => {
                let options = AgentOptions {
                    name: format!("agent-{i}").into(),
                    incarnation: life,
                    hall: self.hall_of(i),
                    timings: self.timings,
                    token: self.token_base + self.now.as_millis() as u64,
                    seeds,
                    evacuation_bound: self.shape.evacuation_bound,
                };
                let process = &mut self.agents[i];
                process.core = Some(RunAgentCore::new(Now::ZERO, options));
                process.untold_sleep = Duration::ZERO;
                process.life = life;
                process.born = self.now;
                process.uncounted = Duration::ZERO;
                process.wake = None;
                self.tell_agent(i, AgentEvent::Wake);
                self.after(Duration::from_millis(100), Event::Report(i, false));
            }
        }
    }

    fn wake(&mut self, node: Node, life: u64) {
        match node {
            Node::Entry(i) if self.entries[i].life == life => {
                self.entries[i].wake = None;
                self.tell_entry(i, EntryEvent::Wake);
            }
            Node::Agent(i) if self.agents[i].life == life => {
                self.agents[i].wake = None;
                self.tell_agent(i, AgentEvent::Wake);
            }
            _ => {}
        }
    }

    fn tell_entry(&mut self, i: usize, event: EntryEvent) {
        let process = &mut self.entries[i];
        let local = process.clock(self.now);
        let Some(core) = &mut process.core else {
            return;
        };
        let actions = core.handle(local, event);
        let life = process.life;
        if let Some(at) = process.sooner_wake() {
            self.at(at, Event::Wake(Node::Entry(i), life));
        }
        for action in actions {
            self.entry_action(i, action);
        }
    }

    fn entry_action(&mut self, i: usize, action: EntryAction) {
        match action {
            EntryAction::Reply(request, reply) => self.send_answer(i, request, reply),
            EntryAction::Send(link, packet) => self.send(Node::Entry(i), link, packet),
            EntryAction::Close(link) => self.close(Node::Entry(i), link),
            EntryAction::Log(event) => self.note_log(Node::Entry(i), &event),
            EntryAction::Exit => self.stop(Node::Entry(i), Duration::from_millis(300)),
            EntryAction::Dial(address) => {
                if self.shape.entries_meet {
                    self.keep_dialled(Node::Entry(i), address);
                }
            }
            EntryAction::Disconnect(address) => self.disconnect(Node::Entry(i), address),
            EntryAction::Measured(..) => {}
        }
    }

    fn note_log(&mut self, node: Node, event: &LogEvent) {
        if self.keeps_log {
            let line = format!("{:?} {node:?} {:?} {}", self.now, event.code, event.detail);
            self.log.push(line);
        }
    }

    fn tell_agent(&mut self, i: usize, event: AgentEvent) {
        let process = &mut self.agents[i];
        let local = process.clock(self.now);
        let Some(core) = &mut process.core else {
            return;
        };
        let actions = core.handle(local, event);
        let life = process.life;
        if let Some(at) = process.sooner_wake() {
            self.at(at, Event::Wake(Node::Agent(i), life));
        }
        for action in actions {
            self.agent_action(i, action);
        }
    }

    fn agent_action(&mut self, i: usize, action: AgentAction) {
        match action {
            AgentAction::Send(link, packet) => {
                self.send(Node::Agent(i), link, Packet::FromAgent(packet));
            }
            AgentAction::Close(link) => self.close(Node::Agent(i), link),
            AgentAction::Dial(address) => self.keep_dialled(Node::Agent(i), address),
            AgentAction::Disconnect(address) => self.disconnect(Node::Agent(i), address),
            AgentAction::AskEvacuations => self.ask_store(i),
            AgentAction::AskEntries => self.ask_registry(i),
            AgentAction::Start(call) => self.order_start(i, call),
            AgentAction::Stop {
                key,
                token,
                target_name: life,
            } => self.order_stop(i, key, token, life),
            AgentAction::Renew {
                renewal,
                target_name: life,
            } => self.order_renewal(i, renewal, life),
            AgentAction::CheckIncarnation {
                look,
                target_name: life,
            } => self.ask_life(i, look, &life),
            AgentAction::Log(event) => self.note_log(Node::Agent(i), &event),
            AgentAction::Exit => self.stop(Node::Agent(i), Duration::from_millis(200)),
        }
    }
}

/// A configuration of one queue.
pub fn config() -> QueueTable {
    QueueTable {
        version: 1,
        queues: vec![Arc::new(Queue {
            name: "q".into(),
            host: "host".to_owned(),
            path_prefix: "/q/".to_owned(),
            service: SERVICE.into(),
            priority: 0,
            max_attempts: 3,
            stretch: 1.6,
            target_latency: Duration::from_millis(60),
            needs_advice: false,
        })],
        limits: RequestLimits {
            body_bytes: 262_144,
        },
    }
}
