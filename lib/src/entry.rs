//! The entry's core: a deterministic state machine, `(now, event) -> actions`.
//!
//! No sockets, clocks, threads or unseeded randomness in here; any driver can run it.
//! docs/DESIGN.md ("Driving the cores") states the contract: events may come in any order that
//! one process can see, a session's frames may be lost, doubled or late, and every action may
//! fail without an answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::admission::{AdmissionFilter, filter_chain};
use crate::config_chain::{ConfigChain, LogBatch, LogRecord};
use crate::counters::Counters;
use crate::events::{EventCode, LogEvent};
use crate::health::HealthController;
use crate::ids::{Incarnation, JobId, JobSeq, NodeName, Now, RequestId, SessionId, TeamName};
use crate::job::{Answer, TaskSpec};
use crate::job_history::{JobHistory, JobTimeline};
use crate::job_table::JobTable;
use crate::message::{AgentHello, AgentMessage, EntryMessage, Frame, PeerHello, PeerMessage};
use crate::outbox::{AgentOutboxes, PeerOutboxes};
use crate::permit::{FleetSecret, PermitId};
use crate::placement::{Placement, PlacementMode};
use crate::quota::Quotas;
use crate::run_time::RunTimes;
use crate::status::EntryStatus;
use crate::target_table::TargetTable;
use crate::vm_list::VmRecord;

/// What an entry's core is told at start.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name from the settings.
    pub name: NodeName,
    /// This life.
    pub incarnation: Incarnation,
    /// Address for agents, for peers and agents to pass on.
    pub agent_address: String,
    /// Secret of the fleet.
    pub secret: FleetSecret,
    /// Overrides the configuration's placement, for measuring.
    pub placement: Option<PlacementMode>,
    /// Life of a permit.
    pub permit_life: Duration,
    /// Longest drain.
    pub drain_limit: Duration,
    /// How often the head is written to the log again; well under the log's retention.
    pub snapshot_every: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A job as it arrives.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Whom to answer.
    pub request: RequestId,
    /// SHA-256 of the caller's key, in hexadecimal.
    pub key_sha256: String,
    /// The tasks.
    pub tasks: Arc<[TaskSpec]>,
    /// How long the caller waits.
    pub deadline: Duration,
    /// False for a request that must run at most once.
    pub repeatable: bool,
    /// Its permit.
    pub permit: Option<String>,
    /// Trace context.
    pub trace: Option<Arc<str>>,
}

/// What an entry is told.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// Time has passed.
    Tick,
    /// A caller submits.
    Submit(Submission),
    /// A caller's connection is gone.
    CallerGone(RequestId),
    /// A caller asks to cancel.
    Cancel(JobRequest),
    /// A caller asks how far a job is.
    JobState(JobRequest),
    /// A caller asks for permits.
    MintPermits(PermitRequest),
    /// An operator asks for the status.
    Status(RequestId),
    /// An operator asks what happened to a job.
    Explain {
        /// Whom to answer.
        request: RequestId,
        /// The job.
        job: JobId,
    },
    /// An agent has connected and said hello.
    AgentOpened {
        /// The session.
        session: SessionId,
        /// Its hello.
        hello: AgentHello,
    },
    /// A frame of an agent.
    AgentFrame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Frame<AgentMessage>,
    },
    /// An agent's session is gone.
    AgentClosed(SessionId),
    /// A peer has connected, or has been connected to, and said hello.
    PeerOpened {
        /// The session.
        session: SessionId,
        /// Its hello.
        hello: PeerHello,
    },
    /// A frame of a peer.
    PeerFrame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Frame<PeerMessage>,
    },
    /// A peer's session is gone.
    PeerClosed(SessionId),
    /// Answer to [`EntryAction::ReadLog`]; none if the log did not answer.
    LogRead(Option<LogBatch>),
    /// Answer to [`EntryAction::ReadVmList`]; none if the list did not answer.
    VmList(Option<Vec<VmRecord>>),
    /// Stop in an orderly way.
    Drain,
}

/// A caller's question about a job.
#[derive(Debug, Clone)]
pub struct JobRequest {
    /// Whom to answer.
    pub request: RequestId,
    /// SHA-256 of the caller's key.
    pub key_sha256: String,
    /// The job.
    pub job: JobId,
}

/// A caller's wish for permits.
#[derive(Debug, Clone)]
pub struct PermitRequest {
    /// Whom to answer.
    pub request: RequestId,
    /// SHA-256 of the caller's key.
    pub key_sha256: String,
    /// How many.
    pub count: u32,
}

/// What is said to a caller or an operator.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The answer to a submission, with a fresh permit if it used one.
    Answer {
        /// The answer.
        answer: Answer,
        /// A permit for the next request.
        next_permit: Option<String>,
    },
    /// Whether a cancellation was passed on.
    Cancelled(bool),
    /// How far a job is; none if it is not known here.
    Progress(Option<Progress>),
    /// Permits.
    Permits(Vec<String>),
    /// The status.
    Status(Box<EntryStatus>),
    /// The story of a job; none if it is not told any more.
    Story(Option<JobTimeline>),
}

/// How far a job is.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Progress {
    /// Tasks of the job.
    pub tasks: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks handed out.
    pub in_flight: u32,
    /// Tasks ended.
    pub ended: u32,
}

/// What an entry wants done.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Answer a caller or operator.
    Reply {
        /// Whom.
        request: RequestId,
        /// What.
        reply: Reply,
    },
    /// Send a frame to an agent.
    SendAgent {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Frame<EntryMessage>,
    },
    /// Close an agent's session; no [`EntryEvent::AgentClosed`] is expected for it.
    CloseAgent(SessionId),
    /// Send a frame to a peer.
    SendPeer {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Frame<PeerMessage>,
    },
    /// Close a peer's session; no [`EntryEvent::PeerClosed`] is expected for it.
    ClosePeer(SessionId),
    /// Connect to the entry at this address for agents, if not connected.
    KnowPeer(String),
    /// Read the log from an offset.
    ReadLog(u64),
    /// Append to the log. No answer is expected.
    AppendLog(LogRecord),
    /// Read the list of VMs.
    ReadVmList,
    /// Write a line to the log.
    Log(LogEvent),
    /// A job was answered `complete`: how long it took.
    Measured(Measure),
    /// The drain has ended: stop the process.
    Stop,
}

/// How long a job took, against the ideal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Measure {
    /// From arrival to answer.
    pub response: Duration,
    /// The larger of the longest task and the work over all open slots.
    pub ideal: Duration,
}

/// How often time has to be told to a core at the least.
pub const TICK: Duration = Duration::from_millis(5);

/// A stopping entry goes on refusing for this, so that the balancer sees its health answer and
/// a request that was already on its way hears a refusal in place of a closed port.
const DRAIN_LINGER: Duration = Duration::from_secs(1);

/// State of an entry.
pub struct EntryCore {
    pub(crate) options: EntryOptions,
    pub(crate) now: Now,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) out: Vec<EntryAction>,
    pub(crate) agents: AgentOutboxes,
    pub(crate) peers: PeerOutboxes,
    pub(crate) targets: TargetTable,
    pub(crate) jobs: JobTable,
    pub(crate) next_job: JobSeq,
    pub(crate) next_permit: u64,
    pub(crate) filters: Vec<Box<dyn AdmissionFilter>>,
    pub(crate) placement: Box<dyn Placement>,
    pub(crate) config: ConfigChain,
    pub(crate) keys: BTreeMap<String, TeamName>,
    pub(crate) quotas: Quotas,
    pub(crate) run_times: RunTimes,
    pub(crate) health: HealthController,
    pub(crate) journal: JobHistory,
    pub(crate) counters: Counters,
    pub(crate) platform: crate::entry_platform::PlatformState,
    pub(crate) unreleased: BTreeMap<Incarnation, Vec<crate::message::Claim>>,
    pub(crate) draining_since: Option<Now>,
    pub(crate) stopped: bool,
}

impl EntryCore {
    /// A new life of an entry.
    pub fn new(options: EntryOptions) -> Self {
        let placement = options.placement.unwrap_or_default().build();
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed ^ options.incarnation),
            now: Now::ZERO,
            out: Vec::new(),
            agents: AgentOutboxes::default(),
            peers: PeerOutboxes::default(),
            targets: TargetTable::default(),
            jobs: JobTable::default(),
            next_job: 1,
            next_permit: 1,
            filters: filter_chain(),
            placement,
            config: ConfigChain::default(),
            keys: BTreeMap::new(),
            quotas: Quotas::default(),
            run_times: RunTimes::default(),
            health: HealthController::default(),
            journal: JobHistory::default(),
            counters: Counters::default(),
            platform: crate::entry_platform::PlatformState::default(),
            unreleased: BTreeMap::new(),
            draining_since: None,
            stopped: false,
            options,
        }
    }

    /// Takes in an event and returns what is to be done, in order. `now` never goes back.
    pub fn handle(&mut self, now: Now, event: EntryEvent) -> Vec<EntryAction> {
        self.now = self.now.max(now);
        if self.stopped {
            return Vec::new();
        }
        self.dispatch_event(event);
        self.pump();
        self.flush();
        std::mem::take(&mut self.out)
    }

    fn dispatch_event(&mut self, event: EntryEvent) {
        match event {
            EntryEvent::Tick => self.tick(),
            EntryEvent::Submit(submission) => self.submit(submission),
            EntryEvent::CallerGone(request) => self.caller_gone(request),
            EntryEvent::Cancel(request) => self.cancel(request),
            EntryEvent::JobState(request) => self.job_state(request),
            EntryEvent::MintPermits(request) => self.mint_permits(request),
            EntryEvent::Status(request) => self.report_status(request),
            EntryEvent::Explain { request, job } => self.explain(request, job),
            EntryEvent::AgentOpened { session, hello } => self.agent_opened(session, hello),
            EntryEvent::AgentFrame { session, frame } => self.agent_frame(session, frame),
            EntryEvent::AgentClosed(session) => self.agent_closed(session),
            EntryEvent::PeerOpened { session, hello } => self.peer_opened(session, hello),
            EntryEvent::PeerFrame { session, frame } => self.peer_frame(session, frame),
            EntryEvent::PeerClosed(session) => self.peer_closed(session),
            EntryEvent::LogRead(batch) => self.log_read(batch),
            EntryEvent::VmList(list) => self.vm_list(list),
            EntryEvent::Drain => self.drain(),
        }
    }

    fn tick(&mut self) {
        self.end_due_jobs();
        self.tick_targets();
        self.tick_peers();
        self.tick_platform();
        self.tick_drain();
    }

    fn flush(&mut self) {
        for (session, frame) in self.agents.flush() {
            self.out.push(EntryAction::SendAgent { session, frame });
        }
        for (session, frame) in self.peers.flush() {
            self.out.push(EntryAction::SendPeer { session, frame });
        }
    }

    pub(crate) fn log(&mut self, code: EventCode, detail: impl Into<String>) {
        let event = LogEvent::new(code, detail);
        self.out.push(EntryAction::Log(event));
    }

    pub(crate) fn reply(&mut self, request: RequestId, reply: Reply) {
        self.out.push(EntryAction::Reply { request, reply });
    }

    pub(crate) fn send_agent(&mut self, target: Incarnation, message: EntryMessage) {
        let now = self.now;
        let session = self.targets.update(target, |t| {
            t.last_sent = now;
            t.session
        });
        if let Some(Some(session)) = session {
            self.counters.message(crate::counters::Kind::kind(&message));
            self.agents.push(session, message);
        }
    }

    pub(crate) fn send_peer(&mut self, session: SessionId, message: PeerMessage) {
        self.counters.message(crate::counters::Kind::kind(&message));
        self.peers.push(session, message);
    }

    /// The team behind a key, by its hash.
    pub(crate) fn team_of(&self, key_sha256: &str) -> Option<TeamName> {
        self.keys.get(key_sha256).cloned()
    }

    pub(crate) fn new_permit_id(&mut self) -> PermitId {
        let number = self.next_permit;
        self.next_permit += 1;
        PermitId {
            maker: self.options.incarnation,
            number,
        }
    }

    fn drain(&mut self) {
        if self.draining_since.is_none() {
            self.draining_since = Some(self.now);
            self.log(
                EventCode::Draining,
                format!("{} jobs in flight", self.jobs.len()),
            );
        }
    }

    /// Ends the drain when nothing is in flight, or at its limit.
    fn tick_drain(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let length = self.now.saturating_sub(since);
        let late = length >= self.options.drain_limit;
        if late && !self.jobs.is_empty() {
            self.log(
                EventCode::DrainCut,
                format!("{} jobs cut off", self.jobs.len()),
            );
            self.fail_all_for_stop();
        }
        if !self.jobs.is_empty() || (length < DRAIN_LINGER && !late) {
            return;
        }
        self.say_goodbye();
        self.log(EventCode::Drained, "nothing in flight");
        self.flush();
        self.out.push(EntryAction::Stop);
        self.stopped = true;
    }

    fn say_goodbye(&mut self) {
        for target in self.targets.sorted_ids() {
            self.send_agent(target, EntryMessage::Goodbye);
        }
        for session in self.peers.sessions() {
            self.send_peer(session, PeerMessage::Goodbye);
        }
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Targets, for tests and measuring programs.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Tasks that wait.
    pub fn waiting_tasks(&self) -> u32 {
        self.jobs.waiting().tasks
    }

    /// Jobs between admission and answer.
    pub fn jobs_held(&self) -> usize {
        self.jobs.len()
    }

    /// Configuration, for tests and measuring programs.
    pub fn config(&self) -> &ConfigChain {
        &self.config
    }
}
