//! Simulates entries, agents, targets, links and callers on a virtual clock.
//!
//! One event queue drives the production cores, so a seed determines the whole run. Faults are
//! injected at given times; [`invariants`] checks what callers and targets observed.

mod caller_path;
mod callers;
mod entry_traffic;
mod fault;
mod fault_injection;
mod fleet_config;
mod forced_load;
pub mod invariants;
mod links;
mod operators;
mod process;
mod processor;
mod targets;

pub use callers::Caller;
pub use entry_traffic::Traffic;
pub use fault::{FleetFault, Silence};
pub use fault_injection::POWER_OFF;
pub use fleet_config::{FleetConfig, Node};
pub use processor::ProcessorModel;

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
use trestleknot_lib::run::{BatchId, RunKey};
use trestleknot_lib::run_agent::RunAgentCore;
use trestleknot_lib::run_event::{AgentAction, AgentEvent, AgentOptions, TargetReport};
use trestleknot_lib::run_message::{AgentNews, Packet};
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::timings::{PlatformBounds, Timings};

use crate::run_target::{RunTarget, SERVICE};
use caller_path::CallerPath;
use entry_traffic::EntryTraffic;
use links::Links;
use operators::Operators;
use process::Process;
use processor::Processor;

/// Default number of entries.
pub const ENTRIES: usize = 3;
/// Default number of agents, each with one target.
pub const AGENTS: usize = 4;
/// Interval between a target's reports to its agent.
const REPORT_EVERY: Duration = Duration::from_millis(1_500);
/// Default capacity of a target: room for eight tasks of size [`TASK`].
const CAPACITY: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 65_536,
    accelerators: 0,
};
/// Default resources of a task.
const TASK: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};

enum Event {
    Wake(Node, u64),
    Deliver(Node, SessionId, Packet),
    /// A link was established; true if this process dialled it.
    LinkUp(Node, SessionId, bool),
    LinkDown(Node, SessionId),
    Dial(Node, SocketAddr),
    /// An entry receives a configuration from the store.
    Configured(usize, Arc<QueueTable>),
    /// The store answers an entry.
    StoreAnswer(usize, u64, Arc<EvacuatedHalls>),
    /// An entry reads the store again.
    StoreRead(usize, u64),
    /// An event for an agent, dropped if that incarnation has ended.
    ToAgent(usize, u64, AgentEvent),
    /// An agent's VM resumes after a suspension.
    Resumed(usize),
    /// A delayed order to a target, and the incarnation that accepted it.
    LateOrder(usize, TargetIncarnation, targets::LateOrder),
    CheckTarget(usize),
    /// A target reports to its agent; true if it schedules the next report.
    Report(usize, bool),
    LateReport(usize, TargetReport),
    Submit(BatchId),
    /// A caller's connection breaks.
    Disconnect(BatchId),
    /// A caller's request, sent at this time, reached an entry.
    RequestArrived(usize, u64, Now, Submission),
    /// An entry's reply reached the caller.
    ReplyArrived(usize, RequestId, Reply),
    /// A caller has waited for the reply to a request as long as it does.
    ReplyTimedOut(BatchId, RequestId),
    Cancel(BatchId),
    /// A caller's cancel of a batch reaches this entry.
    CancelAt(BatchId, usize),
    /// An entry notices that a caller closed its connection.
    CallerGone(usize, u64, RequestId),
    /// An entry begins to look how far it has read its input.
    MarkInput(usize, u64),
    /// An entry has handled all events that had arrived by this time on its clock.
    InputRead(usize, u64, Now),
    /// An entry's processor has processed the event with this number.
    Processed(usize, u64),
    Start(Node),
    Fault(FleetFault),
    EndFault(targets::TimedFault),
}

struct ScheduledEvent {
    at: Now,
    number: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A simulated fleet with its callers, faults and records.
pub struct RunFleet {
    now: Now,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    next_number: u64,
    rng: ChaCha8Rng,
    entries: Vec<Process<BatchEntryCore>>,
    agents: Vec<Process<RunAgentCore>>,
    processors: Vec<Processor>,
    links: Links,
    /// The network between each entry and its callers.
    caller_paths: Vec<CallerPath>,
    targets: Vec<targets::SimulatedTarget>,
    /// Callers by batch.
    pub callers: BTreeMap<BatchId, Caller>,
    by_request: BTreeMap<RequestId, BatchId>,
    next_request: RequestId,
    token_base: u64,
    timings: Timings,
    fleet_config: FleetConfig,
    config: Arc<QueueTable>,
    /// Addresses that each process keeps dialling.
    dialled: BTreeMap<Node, BTreeSet<SocketAddr>>,
    operators: Operators,
    /// Traffic on the entries' links.
    pub traffic: EntryTraffic,
    /// Log lines of all processes, for failure reports.
    pub log: Vec<String>,
    /// Whether processes' log events are added to `log`.
    pub keeps_log: bool,
    /// Runs that agents reported as over or not started, and when.
    reported_ends: Vec<(Now, RunKey)>,
    /// Number of starts that entries ordered.
    pub orders: u64,
    /// Number of those starts that targets rejected as full.
    pub full: u64,
    /// Number of packets sent between processes.
    pub packets: u64,
}

impl RunFleet {
    /// Starts a fleet with the default platform bounds.
    pub fn new(seed: u64) -> Self {
        Self::with_bounds(seed, PlatformBounds::default())
    }

    /// Starts a fleet with these platform bounds.
    pub fn with_bounds(seed: u64, bounds: PlatformBounds) -> Self {
        let fleet_config = FleetConfig {
            bounds,
            ..FleetConfig::default()
        };
        Self::with_config(seed, fleet_config, config())
    }

    /// Starts a fleet of this size with this queue configuration.
    pub fn with_config(seed: u64, fleet_config: FleetConfig, config: QueueTable) -> Self {
        let bounds = fleet_config.bounds;
        let mut fleet = Self {
            now: Now::ZERO,
            queue: BinaryHeap::new(),
            next_number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..fleet_config.entries).map(|_| Process::new()).collect(),
            agents: (0..fleet_config.agents).map(|_| Process::new()).collect(),
            processors: (0..fleet_config.entries)
                .map(|_| Processor::default())
                .collect(),
            links: Links::default(),
            caller_paths: vec![CallerPath::default(); fleet_config.entries],
            targets: Vec::new(),
            callers: BTreeMap::new(),
            by_request: BTreeMap::new(),
            next_request: 1,
            token_base: 10_000_000,
            timings: Timings::new(bounds).expect("platform bounds are consistent"),
            fleet_config,
            config: Arc::new(config),
            dialled: BTreeMap::new(),
            operators: Operators::default(),
            traffic: EntryTraffic::new(fleet_config.entry_link_mbps),
            log: Vec::new(),
            keeps_log: true,
            reported_ends: Vec::new(),
            orders: 0,
            full: 0,
            packets: 0,
        };
        for index in 0..fleet_config.agents {
            // Every second target's clock is 2% slow.
            let rate = if index % 2 == 0 { 1.0 } else { 0.98 };
            let target = RunTarget::new(&format!("target-{index}"), fleet_config.capacity, rate)
                .with_lease(bounds.longest_lease);
            fleet.targets.push(targets::SimulatedTarget::new(target));
            fleet.schedule_at(Duration::from_millis(20), Event::Report(index, true));
            fleet.start(Node::Agent(index));
        }
        for index in 0..fleet_config.entries {
            fleet.start(Node::Entry(index));
        }
        fleet
    }

    /// Schedules about `per_second` batches a second from `from` to `until`.
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

    /// Replaces the targets of a new fleet, before its first event.
    pub fn reshape_targets(&mut self, reshape: impl Fn(usize, RunTarget) -> RunTarget) {
        let targets = std::mem::take(&mut self.targets).into_iter().enumerate();
        self.targets = targets
            .map(|(index, old)| targets::SimulatedTarget::new(reshape(index, old.target)))
            .collect();
    }

    /// Schedules a batch.
    pub fn add_caller(&mut self, id: BatchId, caller: Caller) {
        self.schedule_at(caller.sent, Event::Submit(id));
        self.callers.insert(id, caller);
    }

    /// Schedules the cancellation of a batch at the entry where its caller waits.
    pub fn add_cancel(&mut self, at: Now, id: BatchId) {
        self.schedule_at(at, Event::Cancel(id));
    }

    /// Schedules the cancellation of a batch at this entry, whether or not the entry holds it.
    pub fn add_cancel_at(&mut self, at: Now, id: BatchId, entry: usize) {
        self.schedule_at(at, Event::CancelAt(id, entry));
    }

    /// Schedules the break of a caller's connection; the caller retries afterwards.
    pub fn add_disconnect(&mut self, at: Now, id: BatchId) {
        self.schedule_at(at, Event::Disconnect(id));
    }

    /// Removes a process that has just started, and starts it again at `at`.
    pub fn start_later(&mut self, node: Node, at: Now) {
        self.reset_links(node);
        self.remove_process(node);
        self.schedule_at(at, Event::Start(node));
    }

    /// Schedules the delivery of a configuration from the store to these entries.
    pub fn configure(&mut self, at: Now, table: &Arc<QueueTable>, entries: std::ops::Range<usize>) {
        for entry in entries {
            self.schedule_at(at, Event::Configured(entry, table.clone()));
        }
    }

    /// Configuration versions in force at running entries.
    pub fn config_versions(&self) -> Vec<u64> {
        let alive = self.entries.iter().filter_map(|e| e.core.as_ref());
        alive.map(|core| core.gauges().config_version).collect()
    }

    /// Schedules a fault.
    pub fn inject(&mut self, at: Now, fault: FleetFault) {
        self.schedule_at(at, Event::Fault(fault));
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &RunTarget> {
        self.targets.iter().map(|t| &t.target)
    }

    /// Current virtual time.
    pub fn now(&self) -> Now {
        self.now
    }

    /// Processes all events up to `until`.
    pub fn run_until(&mut self, until: Now) {
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at > until {
                self.queue.push(Reverse(scheduled));
                break;
            }
            self.now = self.now.max(scheduled.at);
            self.handle_or_defer(scheduled.event);
        }
        self.now = until;
        for simulated_target in &mut self.targets {
            simulated_target.target.advance(until);
        }
    }

    fn schedule_at(&mut self, at: Now, event: Event) {
        let number = self.next_number;
        self.next_number += 1;
        self.queue
            .push(Reverse(ScheduledEvent { at, number, event }));
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn stalled_until(&self, node: Node) -> Now {
        match node {
            Node::Entry(i) => self.entries[i].stalled_until,
            Node::Agent(i) => self.agents[i].stalled_until,
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
        format!("hall-{}", index % self.fleet_config.halls).into()
    }

    fn handle_or_defer(&mut self, event: Event) {
        let node = match &event {
            Event::Wake(node, _)
            | Event::Deliver(node, ..)
            | Event::LinkUp(node, ..)
            | Event::LinkDown(node, _) => Some(*node),
            Event::ToAgent(i, ..) | Event::LateReport(i, _) | Event::Resumed(i) => {
                Some(Node::Agent(*i))
            }
            Event::CallerGone(i, ..)
            | Event::StoreAnswer(i, ..)
            | Event::Configured(i, _)
            | Event::Processed(i, _)
            | Event::MarkInput(i, _)
            | Event::InputRead(i, ..)
            | Event::RequestArrived(i, ..) => Some(Node::Entry(*i)),
            _ => None,
        };
        if let Event::LateOrder(i, ..)
        | Event::CheckTarget(i)
        | Event::Report(i, _)
        | Event::Start(Node::Agent(i)) = &event
        {
            let resumes_at = self.targets[*i].suspended_until;
            if resumes_at > self.now {
                self.schedule_at(resumes_at, event);
                return;
            }
        }
        if let Some(node) = node {
            let resumes_at = self.stalled_until(node);
            if resumes_at > self.now {
                // Events for a stalled process are delivered in order once it resumes.
                self.schedule_at(resumes_at, event);
                return;
            }
        }
        let event = match (node, event) {
            (_, event @ (Event::Processed(..) | Event::MarkInput(..))) => Some(event),
            (Some(Node::Entry(i)), event) => self.queue_at_processor(i, event),
            (_, event) => Some(event),
        };
        if let Some(event) = event {
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Wake(node, incarnation) => self.wake(node, incarnation),
            Event::Deliver(node, link, packet) => self.deliver(node, link, packet),
            Event::LinkUp(Node::Entry(i), link, dialled) => {
                self.entry_linked(i, link, dialled);
            }
            Event::LinkUp(Node::Agent(i), link, _) => self.agent_linked(i, link),
            Event::LinkDown(node, link) => self.side_down(node, link),
            Event::Dial(node, address) => self.dial(node, address),
            Event::Configured(i, table) => self.tell_entry(i, EntryEvent::Config(table)),
            Event::StoreAnswer(i, incarnation, state) => {
                if self.entries[i].incarnation == incarnation {
                    self.tell_entry(i, EntryEvent::Evacuations(state));
                }
            }
            Event::StoreRead(i, incarnation) => self.read_store(i, incarnation),
            Event::ToAgent(i, incarnation, event) => {
                if self.agents[i].incarnation == incarnation {
                    if let AgentEvent::Report(report) = &event {
                        let target = &mut self.targets[i].target;
                        target.record_report(self.now, &report.info, report.sequence);
                    }
                    self.tell_agent(i, event);
                }
            }
            Event::Resumed(i) => self.tell_suspension(i),
            Event::LateOrder(i, accepted_by, order) => {
                self.handle_late_order(i, &accepted_by, order)
            }
            Event::CheckTarget(i) => self.check_target(i),
            Event::Report(i, repeats) => self.report(i, repeats),
            Event::LateReport(i, report) => {
                let target = &mut self.targets[i].target;
                target.record_report(self.now, &report.info, report.sequence);
                self.tell_agent(i, AgentEvent::Report(report));
            }
            Event::Submit(id) => self.submit(id),
            Event::Disconnect(id) => self.disconnect_caller(id),
            Event::RequestArrived(entry, incarnation, sent, submission) => {
                self.request_arrived(entry, incarnation, sent, submission)
            }
            Event::ReplyArrived(entry, request, reply) => self.reply_arrived(entry, request, reply),
            Event::ReplyTimedOut(id, request) => self.reply_timed_out(id, request),
            Event::Cancel(id) => self.cancel(id),
            Event::CancelAt(id, entry) => self.cancel_at(id, entry),
            Event::CallerGone(i, incarnation, request) => {
                if self.entries[i].incarnation == incarnation {
                    self.tell_entry(i, EntryEvent::CallerGone(request));
                }
            }
            Event::Processed(entry, number) => self.processed(entry, number),
            Event::MarkInput(entry, incarnation) => self.mark_input(entry, incarnation),
            Event::InputRead(entry, incarnation, until) => {
                self.input_read(entry, incarnation, until);
            }
            Event::Start(node) => self.start(node),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::EndFault(fault) => self.end_fault(fault),
        }
    }

    fn address(entry: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, (entry / 200) as u8, (entry % 200) as u8 + 1], 7300))
    }

    fn start(&mut self, node: Node) {
        if self.is_alive(node) {
            return;
        }
        let incarnation = self.rng.random();
        let seed_count = self.fleet_config.seeds.unwrap_or(self.fleet_config.entries);
        let seeds: Vec<SocketAddr> = (0..seed_count).map(Self::address).collect();
        match node {
            Node::Entry(i) => {
                let options = EntryOptions {
                    name: format!("entry-{i}").into(),
                    incarnation,
                    hall: self.hall_of(i),
                    address: Self::address(i),
                    seeds,
                    seed: incarnation,
                    timings: self.timings,
                    link_rate: self
                        .fleet_config
                        .entry_link_mbps
                        .map(|mbps| mbps * 1e6 / 8.0),
                    processor_share: self.forced_share(i),
                    far_factor: self.fleet_config.far_factor,
                };
                self.processors[i].reset();
                let process = &mut self.entries[i];
                process.core = Some(BatchEntryCore::new(options));
                process.incarnation = incarnation;
                process.born = self.now;
                process.uncounted = Duration::ZERO;
                process.wake = None;
                self.tell_entry(i, EntryEvent::InputRead(Now::ZERO));
                self.mark_input(i, incarnation);
                self.tell_entry(i, EntryEvent::Wake);
                self.tell_entry(i, EntryEvent::Config(self.config.clone()));
                if self.fleet_config.evacuation_bound.is_some() {
                    self.schedule_after(operators::FIRST_READ, Event::StoreRead(i, incarnation));
                }
            }
            Node::Agent(i) => {
                let options = AgentOptions {
                    name: format!("agent-{i}").into(),
                    incarnation,
                    hall: self.hall_of(i),
                    timings: self.timings,
                    token: self.token_base + self.now.as_millis() as u64,
                    seeds,
                    evacuation_bound: self.fleet_config.evacuation_bound,
                };
                let process = &mut self.agents[i];
                process.core = Some(RunAgentCore::new(Now::ZERO, options));
                process.unreported_suspension = Duration::ZERO;
                process.incarnation = incarnation;
                process.born = self.now;
                process.uncounted = Duration::ZERO;
                process.wake = None;
                self.tell_agent(i, AgentEvent::Wake);
                self.schedule_after(Duration::from_millis(100), Event::Report(i, false));
            }
        }
    }

    fn wake(&mut self, node: Node, incarnation: u64) {
        match node {
            Node::Entry(i) if self.entries[i].incarnation == incarnation => {
                self.entries[i].wake = None;
                self.tell_entry(i, EntryEvent::Wake);
            }
            Node::Agent(i) if self.agents[i].incarnation == incarnation => {
                self.agents[i].wake = None;
                self.tell_agent(i, AgentEvent::Wake);
            }
            _ => {}
        }
    }

    fn tell_entry(&mut self, i: usize, event: EntryEvent) {
        let sample = self.forced_load(i);
        let process = &mut self.entries[i];
        let local = process.clock(self.now);
        let Some(core) = &mut process.core else {
            return;
        };
        let mut actions = Vec::new();
        if let Some(load) = sample {
            actions = core.handle(local, EntryEvent::LoopLoad(load));
        }
        actions.extend(core.handle(local, event));
        let incarnation = process.incarnation;
        if let Some(at) = process.plan_sooner_wake() {
            self.schedule_at(at, Event::Wake(Node::Entry(i), incarnation));
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
            EntryAction::Log(event) => self.log_event(Node::Entry(i), &event),
            EntryAction::Exit => self.stop(Node::Entry(i), Duration::from_millis(300)),
            EntryAction::Dial(address) => {
                if self.fleet_config.entries_meet {
                    self.keep_dialled(Node::Entry(i), address);
                }
            }
            EntryAction::Disconnect(address) => self.disconnect(Node::Entry(i), address),
            EntryAction::Measured(..) => {}
        }
    }

    fn log_event(&mut self, node: Node, event: &LogEvent) {
        if self.keeps_log {
            let line = format!("{:?} {node:?} {:?} {}", self.now, event.code, event.detail);
            self.log.push(line);
        }
    }

    /// Tells an agent of suspensions that have ended.
    fn tell_suspension(&mut self, i: usize) {
        let process = &mut self.agents[i];
        if process.suspended_until > self.now || process.unreported_suspension.is_zero() {
            return;
        }
        let suspended = std::mem::take(&mut process.unreported_suspension);
        self.pass_to_agent(i, AgentEvent::Resumed(suspended));
    }

    /// Passes an event to an agent. Like the agent's program, it passes a suspension first.
    fn tell_agent(&mut self, i: usize, event: AgentEvent) {
        self.tell_suspension(i);
        self.pass_to_agent(i, event);
    }

    fn pass_to_agent(&mut self, i: usize, event: AgentEvent) {
        let process = &mut self.agents[i];
        let local = process.clock(self.now);
        let Some(core) = &mut process.core else {
            return;
        };
        let actions = core.handle(local, event);
        let incarnation = process.incarnation;
        if let Some(at) = process.plan_sooner_wake() {
            self.schedule_at(at, Event::Wake(Node::Agent(i), incarnation));
        }
        for action in actions {
            self.agent_action(i, action);
        }
    }

    fn record_reported_ends(&mut self, news: &[AgentNews]) {
        for item in news {
            if let AgentNews::Ended { key, .. } | AgentNews::NotStarted { key, .. } = item {
                self.reported_ends.push((self.now, *key));
            }
        }
    }

    fn agent_action(&mut self, i: usize, action: AgentAction) {
        match action {
            AgentAction::Send(link, packet) => {
                self.record_reported_ends(&packet.news);
                self.send(Node::Agent(i), link, Packet::FromAgent(packet));
            }
            AgentAction::Close(link) => self.close(Node::Agent(i), link),
            AgentAction::Dial(address) => self.keep_dialled(Node::Agent(i), address),
            AgentAction::Disconnect(address) => self.disconnect(Node::Agent(i), address),
            AgentAction::AskEvacuations => self.query_store(i),
            AgentAction::AskEntries => self.query_registry(i),
            AgentAction::Start(call) => self.order_start(i, call),
            AgentAction::Stop {
                key,
                token,
                target_name,
            } => self.order_stop(i, key, token, target_name),
            AgentAction::Renew {
                renewal,
                target_name,
            } => self.order_renewal(i, renewal, target_name),
            AgentAction::CheckIncarnation { query, target_name } => {
                self.check_incarnation(i, query, &target_name)
            }
            AgentAction::Log(event) => self.log_event(Node::Agent(i), &event),
            AgentAction::Exit => self.stop(Node::Agent(i), Duration::from_millis(200)),
        }
    }
}

/// A configuration with one queue.
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
