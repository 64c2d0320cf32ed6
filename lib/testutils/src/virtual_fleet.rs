//! Runs production entry and agent cores on a virtual clock and injects faults.
//!
//! A driver for focused failure tests: all links have the same latency, all targets the same speed,
//! and a seeded queue orders all events.

mod fault_injection;
mod links;
mod targets;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use trestleknot_lib::agent::{AgentAction, AgentCore, AgentEvent, AgentOptions, RunEnd, RunId};
use trestleknot_lib::config_chain::{ConfigStamp, LogRecord};
use trestleknot_lib::config_document::{Document, Team};
use trestleknot_lib::entry::{
    EntryAction, EntryCore, EntryEvent, EntryOptions, PermitRequest, Reply, Submission,
};
use trestleknot_lib::http_api::hash_key;
use trestleknot_lib::ids::{JobId, RequestId, SessionId};
use trestleknot_lib::job::{Answer, TaskOutcome, TaskSpec};
use trestleknot_lib::memory_platform::{LogFaults, MemoryLog, MemoryVmList};
use trestleknot_lib::message::{
    AgentMessage, Capacity, EntryMessage, Frame, PROTOCOL_VERSION, PeerHello, PeerMessage,
};
use trestleknot_lib::permit::FleetSecret;
use trestleknot_lib::placement::PlacementMode;
use trestleknot_lib::vm_list::{VmRecord, VmRole, VmState};

use crate::faults::{Fault, PlannedFault, Step};

/// One-way latency of a link.
const LATENCY: Duration = Duration::from_micros(500);
/// Time between ticks; longer than the daemons', to shorten the tests.
const TICK: Duration = Duration::from_millis(20);
/// Mean delay before a lost session is dialled again.
const REDIAL: Duration = Duration::from_millis(200);
/// Time from the end of a process to its restart.
const RESTART: Duration = Duration::from_millis(800);
/// Length of partitions, pauses and outages: longer than a lease and than the session timeout.
pub const FAULT_LENGTH: Duration = Duration::from_secs(5);
/// Extra latency of a delayed frame.
const LATE_BY: Duration = Duration::from_millis(700);
/// Size of a clock step.
const CLOCK_STEP: Duration = Duration::from_secs(3_600);
/// How long a leaving target may still get new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Interval at which entries write a snapshot of the configuration to the log.
const SNAPSHOT_EVERY: Duration = Duration::from_secs(1);
const LOG_RETENTION: Duration = Duration::from_millis(2_500);
/// Delay until a stopped target leaves the VM list.
const LIST_LAG: Duration = Duration::from_secs(2);
/// API key of the only team.
pub const KEY: &str = "team-key";
/// Slots of each target.
const SLOTS: u32 = 4;

/// A scheduled event.
#[derive(Debug, Clone)]
enum Event {
    TickEntry(ProcessId),
    TickAgent(ProcessId),
    ToEntry(ProcessId, Box<EntryEvent>),
    ToAgent(ProcessId, Box<AgentEvent>),
    Dial { entry: usize, agent: usize },
    DialPeer { from: usize, to: usize },
    RunEnds { agent: usize, run: RunKey },
    LeaseEnds { agent: usize, run: RunKey },
    StartEntry(usize),
    StartAgent(usize),
    EndFault(Fault, FaultSite),
    Submit(usize),
    Unlist(usize),
}

/// An incarnation of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ProcessId {
    index: usize,
    incarnation: u64,
}

/// A run on a target: the agent's incarnation and the run's number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RunKey {
    incarnation: u64,
    run: RunId,
}

/// The processes that a fault affects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultSite {
    pub entry: usize,
    pub agent: usize,
}

struct Process<C> {
    core: Option<C>,
    incarnation: u64,
    /// Offset of its clock from the common clock.
    clock_offset: Duration,
    paused_until: Duration,
}

impl<C> Process<C> {
    fn new() -> Self {
        Self {
            core: None,
            incarnation: 0,
            clock_offset: Duration::ZERO,
            paused_until: Duration::ZERO,
        }
    }
}

struct Run {
    job: JobId,
    task: u16,
    payload: Arc<str>,
    lease_until: Duration,
    ends_at: Duration,
    stopped: bool,
}

#[derive(Default)]
struct Target {
    runs: BTreeMap<RunKey, Run>,
    down: bool,
    fail_all: bool,
}

#[derive(Default)]
struct Link {
    session: Option<SessionId>,
    opened_before: bool,
    cut_to_agent: bool,
    cut_to_entry: bool,
    /// Numbers of coming frames that a fault affects.
    frames_to_lose: u32,
    frames_to_duplicate: u32,
    frames_to_delay: u32,
    frames_to_reorder: u32,
    /// Latest arrival at the entry and at the agent.
    last_arrival: [Duration; 2],
}

/// A request and its answers.
#[derive(Debug, Clone)]
pub struct Request {
    /// Prefix of its tasks' payloads; resubmissions share it.
    pub name: String,
    /// Number of its tasks.
    pub tasks: usize,
    /// Run time of each task.
    pub run: Duration,
    pub deadline: Duration,
    /// The entry that it is sent to.
    pub entry: usize,
    /// Its permit; none if the request may be repeated.
    pub permit: Option<String>,
    /// When it was submitted.
    pub submitted: Duration,
    /// Answers received.
    pub answers: Vec<TimedAnswer>,
    /// Incarnation of the entry that received it.
    pub entry_incarnation: u64,
}

/// An answer and the time of its arrival.
#[derive(Debug, Clone)]
pub struct TimedAnswer {
    /// Time of arrival.
    pub at: Duration,
    pub answer: Answer,
}

/// A start of a task on a target.
#[derive(Debug, Clone)]
pub struct StartedTask {
    /// Time of the start.
    pub at: Duration,
    /// Agent of the target.
    pub agent: usize,
    /// Job of the task.
    pub job: JobId,
    /// Index of the task in the job.
    pub task: u16,
    /// Payload, which names the request.
    pub payload: Arc<str>,
}

/// Size, placement, seed and faults of a fleet.
#[derive(Debug, Clone)]
pub struct VirtualPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Placement mode.
    pub placement: PlacementMode,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Faults and the steps at which they are injected.
    pub faults: Vec<PlannedFault>,
}

/// A simulated fleet: cores, targets, links, stores and the clock.
pub struct VirtualFleet {
    plan: VirtualPlan,
    now: Duration,
    rng: ChaCha8Rng,
    queue: BTreeMap<QueueKey, Event>,
    sequence: u64,
    entries: Vec<Process<EntryCore>>,
    agents: Vec<Process<AgentCore>>,
    targets: Vec<Target>,
    links: HashMap<LinkKey, Link>,
    peers: HashMap<LinkKey, SessionId>,
    peer_by_session: HashMap<SessionId, LinkKey>,
    agent_by_session: HashMap<SessionId, LinkKey>,
    next_session: SessionId,
    /// The configuration log.
    pub log: MemoryLog,
    /// The VM list.
    pub vms: MemoryVmList,
    stale_list: Option<Vec<VmRecord>>,
    log_ends: BTreeMap<Duration, u64>,
    log_delay: Duration,
    /// Requests by number.
    pub requests: BTreeMap<RequestId, Request>,
    /// Task starts in order.
    pub starts: Vec<StartedTask>,
    /// Permits that entries issued.
    pub permits: Vec<String>,
    /// Steps reached.
    pub reached: HashSet<Step>,
    /// Number of planned faults that were injected.
    pub injected: usize,
    /// Whether no incarnation of an entry went back to an older configuration.
    pub versions_monotonic: bool,
    /// Configuration version of each incarnation of an entry.
    versions: HashMap<ProcessId, u64>,
    leaving_since: HashMap<usize, Duration>,
    /// Number of starts on leaving targets after the grace period.
    pub starts_while_leaving: usize,
    drained_entries: HashSet<ProcessId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    at: Duration,
    sequence: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct LinkKey {
    entry: usize,
    /// The agent, or the other entry.
    other: usize,
}

impl VirtualFleet {
    /// A fleet with one configuration in the log; all processes start at time zero.
    pub fn new(plan: VirtualPlan) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            queue: BTreeMap::new(),
            sequence: 0,
            entries: (0..plan.entries).map(|_| Process::new()).collect(),
            agents: (0..plan.agents).map(|_| Process::new()).collect(),
            targets: (0..plan.agents).map(|_| Target::default()).collect(),
            links: HashMap::new(),
            peers: HashMap::new(),
            peer_by_session: HashMap::new(),
            agent_by_session: HashMap::new(),
            next_session: 1,
            log: MemoryLog::default(),
            vms: MemoryVmList::default(),
            stale_list: None,
            log_ends: BTreeMap::new(),
            log_delay: LATENCY,
            requests: BTreeMap::new(),
            starts: Vec::new(),
            permits: Vec::new(),
            reached: HashSet::new(),
            injected: 0,
            versions_monotonic: true,
            versions: HashMap::new(),
            leaving_since: HashMap::new(),
            starts_while_leaving: 0,
            drained_entries: HashSet::new(),
            plan,
        };
        fleet.change_config(1, ConfigStamp::default(), 1_000);
        for index in 0..fleet.plan.entries {
            fleet.schedule_at(Duration::ZERO, Event::StartEntry(index));
        }
        for index in 0..fleet.plan.agents {
            fleet.schedule_at(Duration::ZERO, Event::StartAgent(index));
        }
        fleet
    }

    /// Time on the common clock.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// An entry's core, if it runs.
    pub fn entry(&self, index: usize) -> Option<&EntryCore> {
        self.entries[index].core.as_ref()
    }

    /// An agent's core, if it runs.
    pub fn agent(&self, index: usize) -> Option<&AgentCore> {
        self.agents[index].core.as_ref()
    }

    /// Whether the entry incarnation that received a request still runs.
    pub fn entry_still_runs(&self, request: &Request) -> bool {
        let entry = &self.entries[request.entry];
        entry.incarnation == request.entry_incarnation && entry.core.is_some()
    }

    /// Sets whether a target fails all tasks.
    pub fn set_fail_all(&mut self, agent: usize, fail_all: bool) {
        self.targets[agent].fail_all = fail_all;
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.queue.insert(QueueKey { at, sequence }, event);
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    /// Appends a configuration change to the log, as an operator does.
    pub fn change_config(&mut self, nonce: u64, replaces: ConfigStamp, quota: u32) {
        let team = Team {
            key_sha256: hash_key(KEY),
            quota,
        };
        let document = Document {
            teams: [(Arc::from("team"), team)].into(),
            ..Document::default()
        };
        let text = document
            .canonical()
            .expect("the document can be serialized");
        // Readers find out whether the append took effect; its reply does not tell.
        let _ = self.log.append_now(LogRecord::Change {
            nonce,
            replaces,
            text: text.into(),
            author: "test".to_owned(),
        });
        self.note_log_end();
        self.reach_step(Step::ConfigAppended, FaultSite::default());
    }

    /// Submits a repeatable request now. Returns its number.
    pub fn submit(&mut self, name: &str, entry: usize, tasks: usize, run: Duration) -> RequestId {
        self.submit_with(name, entry, tasks, run, None)
    }

    /// Submits a request, under a permit if it must not be repeated. Returns its number.
    pub fn submit_with(
        &mut self,
        name: &str,
        entry: usize,
        tasks: usize,
        run: Duration,
        permit: Option<String>,
    ) -> RequestId {
        let number = self.requests.len() as RequestId + 1;
        let request = Request {
            name: name.to_owned(),
            tasks,
            run,
            deadline: Duration::from_secs(20),
            entry,
            permit,
            submitted: self.now,
            answers: Vec::new(),
            entry_incarnation: self.entries[entry].incarnation,
        };
        self.requests.insert(number, request);
        self.reach_step(Step::Submitted, FaultSite { entry, agent: 0 });
        self.schedule_after(LATENCY, Event::Submit(number as usize));
        number
    }

    /// Requests a permit from an entry, which is added to [`Self::permits`].
    pub fn ask_permit(&mut self, entry: usize) {
        let event = EntryEvent::MintPermits(PermitRequest {
            request: u64::MAX,
            key_sha256: hash_key(KEY),
            count: 1,
        });
        self.tell_entry(entry, event);
    }

    /// Cancels a request by closing the caller's connection.
    pub fn disconnect_caller(&mut self, request: RequestId) {
        let entry = self.requests[&request].entry;
        self.tell_entry(entry, EntryEvent::CallerGone(request));
    }

    pub fn drain_entry(&mut self, entry: usize) {
        self.reach_step(Step::DrainBegun, FaultSite { entry, agent: 0 });
        self.tell_entry(entry, EntryEvent::Drain);
    }

    /// Drains an agent; the VM list shows its target as leaving at once.
    pub fn drain_agent(&mut self, agent: usize) {
        self.vms.put(target_vm(agent, VmState::Leaving));
        self.leaving_since.insert(agent, self.now);
        self.reach_step(Step::DrainBegun, FaultSite { entry: 0, agent });
        let process_id = self.agent_process_id(agent);
        self.schedule_after(
            Duration::ZERO,
            Event::ToAgent(process_id, Box::new(AgentEvent::Drain)),
        );
    }

    /// Whether the current incarnation of an entry has finished draining.
    pub fn has_drained_entry(&self, entry: usize) -> bool {
        self.drained_entries.contains(&self.entry_process_id(entry))
    }

    fn tell_entry(&mut self, entry: usize, event: EntryEvent) {
        let process_id = self.entry_process_id(entry);
        self.schedule_after(Duration::ZERO, Event::ToEntry(process_id, Box::new(event)));
    }

    fn entry_process_id(&self, index: usize) -> ProcessId {
        let incarnation = self.entries[index].incarnation;
        ProcessId { index, incarnation }
    }

    fn agent_process_id(&self, index: usize) -> ProcessId {
        let incarnation = self.agents[index].incarnation;
        ProcessId { index, incarnation }
    }

    /// Processes all events of the next `length` of time.
    pub fn run_for(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some((key, _)) = self.queue.first_key_value() {
            if key.at > end {
                break;
            }
            let Some((key, event)) = self.queue.pop_first() else {
                break;
            };
            self.now = self.now.max(key.at);
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::StartEntry(index) => self.start_entry(index),
            Event::StartAgent(index) => self.start_agent(index),
            Event::TickEntry(process_id) => {
                if self.entry_process_id(process_id.index) == process_id {
                    self.schedule_after(TICK, Event::TickEntry(process_id));
                    self.entry_event(process_id, EntryEvent::Tick);
                }
            }
            Event::TickAgent(process_id) => {
                if self.agent_process_id(process_id.index) == process_id {
                    self.schedule_after(TICK, Event::TickAgent(process_id));
                    self.agent_event(process_id, AgentEvent::Tick);
                }
            }
            Event::ToEntry(process_id, event) => self.entry_event(process_id, *event),
            Event::ToAgent(process_id, event) => self.agent_event(process_id, *event),
            Event::Dial { entry, agent } => self.dial(entry, agent),
            Event::DialPeer { from, to } => self.dial_peer(from, to),
            Event::RunEnds { agent, run } => self.end_run_if_due(agent, run),
            Event::LeaseEnds { agent, run } => self.lapse_lease_if_due(agent, run),
            Event::EndFault(fault, site) => self.end_fault(fault, site),
            Event::Unlist(agent) => {
                if self.agents[agent].core.is_none() {
                    self.vms.remove(&format!("target-{agent}"));
                }
            }
            Event::Submit(number) => self.deliver_submission(number as RequestId),
        }
    }

    fn start_entry(&mut self, index: usize) {
        let incarnation = self.entries[index].incarnation + 1;
        let options = EntryOptions {
            name: format!("entry-{index}").into(),
            incarnation: ((index as u64 + 1) << 32) | incarnation,
            agent_address: format!("entry-{index}"),
            secret: FleetSecret::new("a virtual fleet's secret"),
            placement: Some(self.plan.placement),
            permit_life: Duration::from_secs(300),
            drain_limit: Duration::from_secs(30),
            snapshot_every: SNAPSHOT_EVERY,
            seed: self.plan.seed,
        };
        let process = &mut self.entries[index];
        process.core = Some(EntryCore::new(options));
        process.incarnation = incarnation;
        process.clock_offset = Duration::ZERO;
        process.paused_until = Duration::ZERO;
        let process_id = ProcessId { index, incarnation };
        self.schedule_after(Duration::ZERO, Event::TickEntry(process_id));
        for agent in 0..self.plan.agents {
            let entry = index;
            self.schedule_after(REDIAL, Event::Dial { entry, agent });
        }
        for other in (0..self.plan.entries).filter(|o| *o != index) {
            let (from, to) = (index.min(other), index.max(other));
            self.schedule_after(REDIAL, Event::DialPeer { from, to });
        }
    }

    fn start_agent(&mut self, index: usize) {
        let incarnation = self.agents[index].incarnation + 1;
        let options = AgentOptions {
            name: format!("target-{index}").into(),
            incarnation: ((index as u64 + 1_000) << 32) | incarnation,
            hall: "hall".into(),
            capacity: Capacity {
                slots: SLOTS,
                memory_mib: 1_024,
                accelerators: 0,
            },
            entries: Vec::new(),
            drain_limit: Duration::from_secs(30),
        };
        let process = &mut self.agents[index];
        process.core = Some(AgentCore::new(options));
        process.incarnation = incarnation;
        process.clock_offset = Duration::ZERO;
        process.paused_until = Duration::ZERO;
        self.targets[index].down = false;
        self.leaving_since.remove(&index);
        let process_id = ProcessId { index, incarnation };
        self.vms.put(target_vm(index, VmState::Live));
        self.schedule_after(Duration::ZERO, Event::TickAgent(process_id));
        for entry in 0..self.plan.entries {
            let agent = index;
            self.schedule_after(REDIAL, Event::Dial { entry, agent });
        }
    }

    fn entry_event(&mut self, process_id: ProcessId, event: EntryEvent) {
        let now = self.now;
        let process = &mut self.entries[process_id.index];
        if process.incarnation != process_id.incarnation || process.core.is_none() {
            return;
        }
        if process.paused_until > now {
            let at = process.paused_until;
            self.schedule_at(at, Event::ToEntry(process_id, Box::new(event)));
            return;
        }
        if let EntryEvent::LogRead(Some(batch)) = &event
            && !batch.records.is_empty()
        {
            let entry = process_id.index;
            self.reach_step(Step::ConfigRead, FaultSite { entry, agent: 0 });
        }
        // A fault injected at the step may have ended the entry.
        let process = &mut self.entries[process_id.index];
        let clock = now + process.clock_offset;
        let Some(core) = &mut process.core else {
            return;
        };
        let actions = core.handle(clock, event);
        self.apply_entry_actions(process_id, actions);
    }

    fn apply_entry_actions(&mut self, process_id: ProcessId, actions: Vec<EntryAction>) {
        let Some(core) = &self.entries[process_id.index].core else {
            return;
        };
        let version = core.config().stamp().version;
        let before = self.versions.insert(process_id, version).unwrap_or(0);
        self.versions_monotonic &= version >= before;
        if version > before {
            let entry = process_id.index;
            self.reach_step(Step::ConfigInForce, FaultSite { entry, agent: 0 });
        }
        for action in actions {
            if self.entry_process_id(process_id.index) != process_id {
                return;
            }
            self.entry_action(process_id, action);
        }
    }

    fn entry_action(&mut self, process_id: ProcessId, action: EntryAction) {
        let entry = process_id.index;
        match action {
            EntryAction::Reply { request, reply } => self.replied(process_id, request, reply),
            EntryAction::SendAgent { session, frame } => self.send_to_agent(session, frame),
            EntryAction::CloseAgent(session) => self.close_link(session),
            EntryAction::SendPeer { session, frame } => self.send_to_peer(entry, session, frame),
            EntryAction::ClosePeer(session) => self.close_peer(session),
            EntryAction::ReadLog(from) => {
                let batch = self.log.read_now(from).ok();
                let event = Box::new(EntryEvent::LogRead(batch));
                self.schedule_after(self.log_delay, Event::ToEntry(process_id, event));
            }
            EntryAction::AppendLog(record) => {
                // Entries read the log to see whether the append took effect.
                let _ = self.log.append_now(record);
                self.note_log_end();
            }
            EntryAction::ReadVmList => {
                let list = match &self.stale_list {
                    Some(stale) => Some(stale.clone()),
                    None => self.vms.list_now().ok(),
                };
                let event = Box::new(EntryEvent::VmList(list));
                self.schedule_after(LATENCY, Event::ToEntry(process_id, event));
            }
            EntryAction::Stop => {
                self.drained_entries.insert(process_id);
                self.reach_step(Step::DrainEnded, FaultSite { entry, agent: 0 });
                self.kill_entry(entry);
            }
            EntryAction::KnowPeer(_) | EntryAction::Log(_) | EntryAction::Measured(_) => {}
        }
    }

    fn replied(&mut self, process_id: ProcessId, request: RequestId, reply: Reply) {
        match reply {
            Reply::Answer { answer, .. } => {
                let at = self.now;
                if let Some(request) = self.requests.get_mut(&request) {
                    request.answers.push(TimedAnswer { at, answer });
                }
                let entry = process_id.index;
                self.reach_step(Step::Answered, FaultSite { entry, agent: 0 });
            }
            Reply::Permits(permits) => self.permits.extend(permits),
            _ => {}
        }
    }

    fn deliver_submission(&mut self, number: RequestId) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let entry = request.entry;
        request.entry_incarnation = self.entries[entry].incarnation;
        let tasks = (0..request.tasks).map(|task| TaskSpec {
            kind: "work".into(),
            payload: format!("{}/{task}/{}", request.name, request.run.as_millis()).into(),
            expected_ms: request.run.as_millis() as u32,
            memory_mib: 0,
            accelerators: 0,
        });
        let submission = Submission {
            request: number,
            key_sha256: hash_key(KEY),
            tasks: tasks.collect(),
            deadline: request.deadline,
            repeatable: request.permit.is_none(),
            permit: request.permit.clone(),
            trace: None,
        };
        let process_id = self.entry_process_id(entry);
        self.entry_event(process_id, EntryEvent::Submit(submission));
        self.reach_step(Step::Admitted, FaultSite { entry, agent: 0 });
    }

    fn agent_event(&mut self, process_id: ProcessId, event: AgentEvent) {
        let now = self.now;
        let process = &mut self.agents[process_id.index];
        if process.incarnation != process_id.incarnation || process.core.is_none() {
            return;
        }
        if process.paused_until > now {
            let at = process.paused_until;
            self.schedule_at(at, Event::ToAgent(process_id, Box::new(event)));
            return;
        }
        let clock = now + process.clock_offset;
        let Some(core) = &mut process.core else {
            return;
        };
        let actions = core.handle(clock, event);
        for action in actions {
            if self.agent_process_id(process_id.index) != process_id {
                return;
            }
            self.agent_action(process_id, action);
        }
    }

    fn agent_action(&mut self, process_id: ProcessId, action: AgentAction) {
        match action {
            AgentAction::SendEntry { session, frame } => self.send_to_entry(session, frame),
            AgentAction::CloseEntry(session) => self.close_link(session),
            AgentAction::Start(start) => self.start_run(process_id, start),
            AgentAction::Renew(renewal) => {
                for run in renewal.runs {
                    let key = RunKey {
                        incarnation: process_id.incarnation,
                        run,
                    };
                    let until = self.now + renewal.lease;
                    if let Some(run) = self.targets[process_id.index].runs.get_mut(&key) {
                        run.lease_until = until;
                        let agent = process_id.index;
                        self.schedule_at(until, Event::LeaseEnds { agent, run: key });
                    }
                }
            }
            AgentAction::StopRun(run) => {
                let key = RunKey {
                    incarnation: process_id.incarnation,
                    run,
                };
                if let Some(run) = self.targets[process_id.index].runs.get_mut(&key) {
                    run.stopped = true;
                }
                self.end_run_if_due(process_id.index, key);
            }
            AgentAction::Stop => {
                let agent = process_id.index;
                self.reach_step(Step::DrainEnded, FaultSite { entry: 0, agent });
                self.kill_agent(agent);
                self.schedule_after(LIST_LAG, Event::Unlist(agent));
            }
            AgentAction::KnowEntry(_) | AgentAction::Log(_) => {}
        }
    }

    fn kill_entry(&mut self, index: usize) {
        self.entries[index].core = None;
        for session in self.sessions_of(|key| key.entry == index) {
            self.close_link(session);
        }
        let peers: Vec<SessionId> = self
            .peer_by_session
            .iter()
            .filter(|(_, key)| key.entry == index || key.other == index)
            .map(|(session, _)| *session)
            .collect();
        for session in peers {
            self.close_peer(session);
        }
    }

    fn kill_agent(&mut self, index: usize) {
        self.agents[index].core = None;
        for session in self.sessions_of(|key| key.other == index) {
            self.close_link(session);
        }
    }
}

fn target_vm(index: usize, state: VmState) -> VmRecord {
    VmRecord {
        name: format!("target-{index}").into(),
        role: VmRole::Target,
        state,
        agent_address: None,
    }
}
