//! A few real cores on a virtual clock, with faults between and around them.
//!
//! A driver for focused failure tests, not a cluster simulator: links have one latency, targets
//! one speed, and everything happens in the order of a seeded queue.

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

/// One way over a link.
const LATENCY: Duration = Duration::from_micros(500);
/// Time between ticks; rarer than the daemons', to save the tests' time.
const TICK: Duration = Duration::from_millis(20);
/// Pause before a lost session is tried again.
const REDIAL: Duration = Duration::from_millis(200);
/// How long a process is gone before its next life begins.
const RESTART: Duration = Duration::from_millis(800);
/// How long cuts, pauses and outages last: longer than a lease and than a silent session.
pub const FAULT_LENGTH: Duration = Duration::from_secs(5);
/// How late a late frame is.
const LATE_BY: Duration = Duration::from_millis(700);
/// How far a clock steps.
const CLOCK_STEP: Duration = Duration::from_secs(3_600);
/// The few seconds after which a leaving target gets no new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// How often entries write the head to the log again.
const SNAPSHOT_EVERY: Duration = Duration::from_secs(1);
/// How long the log keeps records when they expire.
const LOG_RETENTION: Duration = Duration::from_millis(2_500);
/// How far the VM list lags.
const LIST_LAG: Duration = Duration::from_secs(2);
/// Key of the one team.
pub const KEY: &str = "team-key";
/// Slots of each target.
const SLOTS: u32 = 4;

/// What is to happen.
#[derive(Debug, Clone)]
enum Happening {
    TickEntry(Place),
    TickAgent(Place),
    ToEntry(Place, Box<EntryEvent>),
    ToAgent(Place, Box<AgentEvent>),
    Dial { entry: usize, agent: usize },
    DialPeer { from: usize, to: usize },
    RunOver { agent: usize, run: RunKey },
    LeaseOver { agent: usize, run: RunKey },
    StartEntry(usize),
    StartAgent(usize),
    EndFault(Fault, Where),
    Submit(usize),
    Unlist(usize),
}

/// A life of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Place {
    index: usize,
    life: u64,
}

/// A run on a target: the agent's life and its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RunKey {
    life: u64,
    run: RunId,
}

/// Whom a fault strikes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Where {
    /// The entry.
    pub entry: usize,
    /// The agent.
    pub agent: usize,
}

struct Process<C> {
    core: Option<C>,
    life: u64,
    /// Added to the common clock.
    clock: Duration,
    paused_until: Duration,
}

impl<C> Process<C> {
    fn new() -> Self {
        Self {
            core: None,
            life: 0,
            clock: Duration::ZERO,
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
    lose: u32,
    double: u32,
    late: u32,
    reorder: u32,
    last_arrival: [Duration; 2],
}

/// A request and all that was heard of it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Names its tasks' payloads; resubmissions share it.
    pub name: String,
    /// Number of its tasks.
    pub tasks: usize,
    /// Run time of each task.
    pub run: Duration,
    /// Deadline.
    pub deadline: Duration,
    /// The entry it goes to.
    pub entry: usize,
    /// Its permit, for one that must not be repeated.
    pub permit: Option<String>,
    /// When it was submitted.
    pub submitted: Duration,
    /// Answers and when they came.
    pub answers: Vec<TimedAnswer>,
    /// Life of the entry that it went to.
    pub entry_life: u64,
}

/// An answer and when it came.
#[derive(Debug, Clone)]
pub struct TimedAnswer {
    /// When.
    pub at: Duration,
    /// What.
    pub answer: Answer,
}

/// A start of a task on a target.
#[derive(Debug, Clone)]
pub struct StartedTask {
    /// When.
    pub at: Duration,
    /// Where.
    pub agent: usize,
    /// Job of the task.
    pub job: JobId,
    /// Position.
    pub task: u16,
    /// Payload, which names the request.
    pub payload: Arc<str>,
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct VirtualPlan {
    /// Entries.
    pub entries: usize,
    /// Agents.
    pub agents: usize,
    /// Placement.
    pub placement: PlacementMode,
    /// Seed.
    pub seed: u64,
    /// Faults and the steps at which they strike.
    pub faults: Vec<PlannedFault>,
}

/// Cores, targets, links and the clock.
pub struct VirtualFleet {
    plan: VirtualPlan,
    now: Duration,
    rng: ChaCha8Rng,
    queue: BTreeMap<QueueKey, Happening>,
    order: u64,
    entries: Vec<Process<EntryCore>>,
    agents: Vec<Process<AgentCore>>,
    targets: Vec<Target>,
    links: HashMap<LinkKey, Link>,
    peers: HashMap<LinkKey, SessionId>,
    peer_by_session: HashMap<SessionId, LinkKey>,
    agent_by_session: HashMap<SessionId, LinkKey>,
    next_session: SessionId,
    /// The log.
    pub log: MemoryLog,
    /// The VM list.
    pub vms: MemoryVmList,
    stale_list: Option<Vec<VmRecord>>,
    log_ends: BTreeMap<Duration, u64>,
    log_delay: Duration,
    /// Requests by number.
    pub requests: BTreeMap<RequestId, Request>,
    /// Starts in order.
    pub starts: Vec<StartedTask>,
    /// Permits that were made.
    pub permits: Vec<String>,
    /// Steps that were reached.
    pub reached: HashSet<Step>,
    /// Faults that struck.
    pub struck: usize,
    /// Highest version seen at each life of an entry; false if one went back.
    pub versions_rose: bool,
    versions: HashMap<Place, u64>,
    drained_agents: HashMap<usize, Duration>,
    /// Starts on a target after it was told to leave.
    pub starts_while_leaving: usize,
    drained: HashSet<Place>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    at: Duration,
    order: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct LinkKey {
    entry: usize,
    /// The agent, or the other entry.
    other: usize,
}

impl VirtualFleet {
    /// A fleet with one configuration in the log, nothing started yet.
    pub fn new(plan: VirtualPlan) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            queue: BTreeMap::new(),
            order: 0,
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
            struck: 0,
            versions_rose: true,
            versions: HashMap::new(),
            drained_agents: HashMap::new(),
            starts_while_leaving: 0,
            drained: HashSet::new(),
            plan,
        };
        fleet.change_config(1, ConfigStamp::default(), 1_000);
        for index in 0..fleet.plan.entries {
            fleet.at(Duration::ZERO, Happening::StartEntry(index));
        }
        for index in 0..fleet.plan.agents {
            fleet.at(Duration::ZERO, Happening::StartAgent(index));
        }
        fleet
    }

    /// The common clock.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// An entry's core, if it lives.
    pub fn entry(&self, index: usize) -> Option<&EntryCore> {
        self.entries[index].core.as_ref()
    }

    /// An agent's core, if it lives.
    pub fn agent(&self, index: usize) -> Option<&AgentCore> {
        self.agents[index].core.as_ref()
    }

    /// Whether the life of an entry that a request went to is still that entry's.
    pub fn entry_lives_on(&self, request: &Request) -> bool {
        let entry = &self.entries[request.entry];
        entry.life == request.entry_life && entry.core.is_some()
    }

    /// Sets whether a target fails everything.
    pub fn set_fail_all(&mut self, agent: usize, fail_all: bool) {
        self.targets[agent].fail_all = fail_all;
    }

    fn at(&mut self, at: Duration, happening: Happening) {
        self.order += 1;
        let order = self.order;
        self.queue.insert(QueueKey { at, order }, happening);
    }

    fn after(&mut self, wait: Duration, happening: Happening) {
        self.at(self.now + wait, happening);
    }

    /// Appends a change as an operator does.
    pub fn change_config(&mut self, nonce: u64, replaces: ConfigStamp, quota: u32) {
        let team = Team {
            key_sha256: hash_key(KEY),
            quota,
        };
        let document = Document {
            teams: [(Arc::from("team"), team)].into(),
            ..Document::default()
        };
        let text = document.canonical().expect("a document can be written");
        // The fate of an append is learned by reading, whatever is replied.
        let _ = self.log.append_now(LogRecord::Change {
            nonce,
            replaces,
            text: text.into(),
            author: "test".to_owned(),
        });
        self.note_log_end();
        self.step(Step::ConfigAppended, Where::default());
    }

    /// Submits a request at once. Returns its number.
    pub fn submit(&mut self, name: &str, entry: usize, tasks: usize, run: Duration) -> RequestId {
        self.submit_with(name, entry, tasks, run, None)
    }

    /// Submits a request that must not be repeated, under a permit.
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
            entry_life: self.entries[entry].life,
        };
        self.requests.insert(number, request);
        self.step(Step::Submitted, Where { entry, agent: 0 });
        self.after(LATENCY, Happening::Submit(number as usize));
        number
    }

    /// Asks an entry for a permit; it is found in [`Self::permits`] afterwards.
    pub fn ask_permit(&mut self, entry: usize) {
        let event = EntryEvent::MintPermits(PermitRequest {
            request: u64::MAX,
            key_sha256: hash_key(KEY),
            count: 1,
        });
        self.tell_entry(entry, event);
    }

    /// Cancels by going away.
    pub fn caller_goes(&mut self, request: RequestId) {
        let entry = self.requests[&request].entry;
        self.tell_entry(entry, EntryEvent::CallerGone(request));
    }

    /// Tells an entry to stop in order.
    pub fn drain_entry(&mut self, entry: usize) {
        self.step(Step::DrainBegun, Where { entry, agent: 0 });
        self.tell_entry(entry, EntryEvent::Drain);
    }

    /// Tells an agent to leave in order. The VM list shows it at once.
    pub fn drain_agent(&mut self, agent: usize) {
        self.vms.put(target_vm(agent, VmState::Leaving));
        self.drained_agents.insert(agent, self.now);
        self.step(Step::DrainBegun, Where { entry: 0, agent });
        let place = self.agent_place(agent);
        self.after(
            Duration::ZERO,
            Happening::ToAgent(place, Box::new(AgentEvent::Drain)),
        );
    }

    /// Whether a process has drained to its end.
    pub fn has_drained_entry(&self, entry: usize) -> bool {
        self.drained.contains(&self.entry_place(entry))
    }

    fn tell_entry(&mut self, entry: usize, event: EntryEvent) {
        let place = self.entry_place(entry);
        self.after(Duration::ZERO, Happening::ToEntry(place, Box::new(event)));
    }

    fn entry_place(&self, index: usize) -> Place {
        let life = self.entries[index].life;
        Place { index, life }
    }

    fn agent_place(&self, index: usize) -> Place {
        let life = self.agents[index].life;
        Place { index, life }
    }

    /// Lets time pass.
    pub fn run_for(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some((key, _)) = self.queue.first_key_value() {
            if key.at > end {
                break;
            }
            let Some((key, happening)) = self.queue.pop_first() else {
                break;
            };
            self.now = self.now.max(key.at);
            self.happen(happening);
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::StartEntry(index) => self.start_entry(index),
            Happening::StartAgent(index) => self.start_agent(index),
            Happening::TickEntry(place) => {
                if self.entry_place(place.index) == place {
                    self.after(TICK, Happening::TickEntry(place));
                    self.entry_event(place, EntryEvent::Tick);
                }
            }
            Happening::TickAgent(place) => {
                if self.agent_place(place.index) == place {
                    self.after(TICK, Happening::TickAgent(place));
                    self.agent_event(place, AgentEvent::Tick);
                }
            }
            Happening::ToEntry(place, event) => self.entry_event(place, *event),
            Happening::ToAgent(place, event) => self.agent_event(place, *event),
            Happening::Dial { entry, agent } => self.dial(entry, agent),
            Happening::DialPeer { from, to } => self.dial_peer(from, to),
            Happening::RunOver { agent, run } => self.run_over(agent, run),
            Happening::LeaseOver { agent, run } => self.lease_over(agent, run),
            Happening::EndFault(fault, at) => self.end_fault(fault, at),
            Happening::Unlist(agent) => {
                if self.agents[agent].core.is_none() {
                    self.vms.remove(&format!("target-{agent}"));
                }
            }
            Happening::Submit(number) => self.deliver_submission(number as RequestId),
        }
    }

    fn start_entry(&mut self, index: usize) {
        let life = self.entries[index].life + 1;
        let options = EntryOptions {
            name: format!("entry-{index}").into(),
            incarnation: ((index as u64 + 1) << 32) | life,
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
        process.life = life;
        process.clock = Duration::ZERO;
        process.paused_until = Duration::ZERO;
        let place = Place { index, life };
        self.after(Duration::ZERO, Happening::TickEntry(place));
        for agent in 0..self.plan.agents {
            let entry = index;
            self.after(REDIAL, Happening::Dial { entry, agent });
        }
        for other in (0..self.plan.entries).filter(|o| *o != index) {
            let (from, to) = (index.min(other), index.max(other));
            self.after(REDIAL, Happening::DialPeer { from, to });
        }
    }

    fn start_agent(&mut self, index: usize) {
        let life = self.agents[index].life + 1;
        let options = AgentOptions {
            name: format!("target-{index}").into(),
            incarnation: ((index as u64 + 1_000) << 32) | life,
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
        process.life = life;
        process.clock = Duration::ZERO;
        process.paused_until = Duration::ZERO;
        self.targets[index].down = false;
        self.drained_agents.remove(&index);
        let place = Place { index, life };
        self.vms.put(target_vm(index, VmState::Live));
        self.after(Duration::ZERO, Happening::TickAgent(place));
        for entry in 0..self.plan.entries {
            let agent = index;
            self.after(REDIAL, Happening::Dial { entry, agent });
        }
    }

    fn entry_event(&mut self, place: Place, event: EntryEvent) {
        let now = self.now;
        let process = &mut self.entries[place.index];
        if process.life != place.life || process.core.is_none() {
            return;
        }
        if process.paused_until > now {
            let at = process.paused_until;
            self.at(at, Happening::ToEntry(place, Box::new(event)));
            return;
        }
        if let EntryEvent::LogRead(Some(batch)) = &event
            && !batch.records.is_empty()
        {
            let entry = place.index;
            self.step(Step::ConfigRead, Where { entry, agent: 0 });
        }
        // The step may have been the entry's last.
        let process = &mut self.entries[place.index];
        let clock = now + process.clock;
        let Some(core) = &mut process.core else {
            return;
        };
        let actions = core.handle(clock, event);
        self.after_entry(place, actions);
    }

    fn after_entry(&mut self, place: Place, actions: Vec<EntryAction>) {
        let Some(core) = &self.entries[place.index].core else {
            return;
        };
        let version = core.config().stamp().version;
        let before = self.versions.insert(place, version).unwrap_or(0);
        self.versions_rose &= version >= before;
        if version > before {
            let entry = place.index;
            self.step(Step::ConfigInForce, Where { entry, agent: 0 });
        }
        for action in actions {
            if self.entry_place(place.index) != place {
                return;
            }
            self.entry_action(place, action);
        }
    }

    fn entry_action(&mut self, place: Place, action: EntryAction) {
        let entry = place.index;
        match action {
            EntryAction::Reply { request, reply } => self.replied(place, request, reply),
            EntryAction::SendAgent { session, frame } => self.send_to_agent(session, frame),
            EntryAction::CloseAgent(session) => self.close_link(session),
            EntryAction::SendPeer { session, frame } => self.send_to_peer(entry, session, frame),
            EntryAction::ClosePeer(session) => self.close_peer(session),
            EntryAction::ReadLog(from) => {
                let batch = self.log.read_now(from).ok();
                let event = Box::new(EntryEvent::LogRead(batch));
                self.after(self.log_delay, Happening::ToEntry(place, event));
            }
            EntryAction::AppendLog(record) => {
                // No answer is expected.
                let _ = self.log.append_now(record);
                self.note_log_end();
            }
            EntryAction::ReadVmList => {
                let list = match &self.stale_list {
                    Some(stale) => Some(stale.clone()),
                    None => self.vms.list_now().ok(),
                };
                let event = Box::new(EntryEvent::VmList(list));
                self.after(LATENCY, Happening::ToEntry(place, event));
            }
            EntryAction::Stop => {
                self.drained.insert(place);
                self.step(Step::DrainEnded, Where { entry, agent: 0 });
                self.kill_entry(entry);
            }
            EntryAction::KnowPeer(_) | EntryAction::Log(_) | EntryAction::Measured(_) => {}
        }
    }

    fn replied(&mut self, place: Place, request: RequestId, reply: Reply) {
        match reply {
            Reply::Answer { answer, .. } => {
                let at = self.now;
                if let Some(r) = self.requests.get_mut(&request) {
                    r.answers.push(TimedAnswer { at, answer });
                }
                let entry = place.index;
                self.step(Step::Answered, Where { entry, agent: 0 });
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
        request.entry_life = self.entries[entry].life;
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
        let place = self.entry_place(entry);
        self.entry_event(place, EntryEvent::Submit(submission));
        self.step(Step::Admitted, Where { entry, agent: 0 });
    }

    fn agent_event(&mut self, place: Place, event: AgentEvent) {
        let now = self.now;
        let process = &mut self.agents[place.index];
        if process.life != place.life || process.core.is_none() {
            return;
        }
        if process.paused_until > now {
            let at = process.paused_until;
            self.at(at, Happening::ToAgent(place, Box::new(event)));
            return;
        }
        let clock = now + process.clock;
        let Some(core) = &mut process.core else {
            return;
        };
        let actions = core.handle(clock, event);
        for action in actions {
            if self.agent_place(place.index) != place {
                return;
            }
            self.agent_action(place, action);
        }
    }

    fn agent_action(&mut self, place: Place, action: AgentAction) {
        match action {
            AgentAction::SendEntry { session, frame } => self.send_to_entry(session, frame),
            AgentAction::CloseEntry(session) => self.close_link(session),
            AgentAction::Start(start) => self.start_run(place, start),
            AgentAction::Renew(renewal) => {
                for run in renewal.runs {
                    let key = RunKey {
                        life: place.life,
                        run,
                    };
                    let until = self.now + renewal.lease;
                    if let Some(run) = self.targets[place.index].runs.get_mut(&key) {
                        run.lease_until = until;
                        let agent = place.index;
                        self.at(until, Happening::LeaseOver { agent, run: key });
                    }
                }
            }
            AgentAction::StopRun(run) => {
                let key = RunKey {
                    life: place.life,
                    run,
                };
                if let Some(run) = self.targets[place.index].runs.get_mut(&key) {
                    run.stopped = true;
                }
                self.run_over(place.index, key);
            }
            AgentAction::Stop => {
                let agent = place.index;
                self.step(Step::DrainEnded, Where { entry: 0, agent });
                self.kill_agent(agent);
                self.after(LIST_LAG, Happening::Unlist(agent));
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
