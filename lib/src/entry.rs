//! The entry's core: a deterministic state machine, `(now, event) -> actions`.
//!
//! It uses no sockets, clocks, threads or unseeded randomness. Drivers must follow the contract in
//! docs/DESIGN.md ("Driving the cores"): events may come in any order that one process can see,
//! frames of a session may be lost, duplicated or late, and every action may fail without an
//! answer.

use std::collections::{BTreeMap, BTreeSet};
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

/// Start-up options of an entry's core.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name from the settings.
    pub name: NodeName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Address where agents connect; peers and agents pass it on.
    pub agent_address: String,
    /// Secret shared by the fleet.
    pub secret: FleetSecret,
    /// Overrides the configuration's placement mode in measurements.
    pub placement: Option<PlacementMode>,
    /// How long a permit is valid.
    pub permit_life: Duration,
    /// Maximum length of a drain.
    pub drain_limit: Duration,
    /// Interval between snapshots of the configuration in the log. Must be well under the log's
    /// retention.
    pub snapshot_every: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A job as a caller submits it.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The request to answer.
    pub request: RequestId,
    /// SHA-256 of the caller's key, in hexadecimal.
    pub key_sha256: String,
    pub tasks: Arc<[TaskSpec]>,
    /// How long the caller waits, counted from arrival.
    pub deadline: Duration,
    /// False if the request must run at most once.
    pub repeatable: bool,
    /// The permit text, for a request that is not repeatable.
    pub permit: Option<String>,
    /// W3C trace context of the caller's span.
    pub trace: Option<Arc<str>>,
}

/// An input of an entry's core.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// Time has passed.
    Tick,
    /// A caller submits a job.
    Submit(Submission),
    /// A caller's connection has closed.
    CallerGone(RequestId),
    /// A caller cancels a job.
    Cancel(JobRequest),
    /// A caller asks for the progress of a job.
    JobState(JobRequest),
    /// A caller asks for permits.
    MintPermits(PermitRequest),
    /// An operator asks for the status.
    Status(RequestId),
    /// An operator asks for the timeline of a job.
    Explain {
        /// The request to answer.
        request: RequestId,
        job: JobId,
    },
    /// An agent has connected and sent its hello.
    AgentOpened {
        session: SessionId,
        hello: AgentHello,
    },
    /// An agent has sent a frame.
    AgentFrame {
        session: SessionId,
        frame: Frame<AgentMessage>,
    },
    /// An agent's session has closed.
    AgentClosed(SessionId),
    /// A session with a peer has opened, from either side, and the peer has sent its hello.
    PeerOpened {
        session: SessionId,
        hello: PeerHello,
    },
    /// A peer has sent a frame.
    PeerFrame {
        session: SessionId,
        frame: Frame<PeerMessage>,
    },
    /// A peer's session has closed.
    PeerClosed(SessionId),
    /// Result of [`EntryAction::ReadLog`]; none if the log did not answer.
    LogRead(Option<LogBatch>),
    /// Result of [`EntryAction::ReadVmList`]; none if the list did not answer.
    VmList(Option<Vec<VmRecord>>),
    /// Begin an orderly stop.
    Drain,
}

/// A caller's request about a job.
#[derive(Debug, Clone)]
pub struct JobRequest {
    /// The request to answer.
    pub request: RequestId,
    /// SHA-256 of the caller's key.
    pub key_sha256: String,
    pub job: JobId,
}

/// A caller's request for permits.
#[derive(Debug, Clone)]
pub struct PermitRequest {
    /// The request to answer.
    pub request: RequestId,
    /// SHA-256 of the caller's key.
    pub key_sha256: String,
    /// How many permits the caller wants.
    pub count: u32,
}

/// A reply to a caller or an operator.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The answer to a submission, with a new permit if the submission used one.
    Answer {
        answer: Answer,
        /// A permit for the next request.
        next_permit: Option<String>,
    },
    /// Whether the job was cancelled here or the request was forwarded to its entry.
    Cancelled(bool),
    /// Progress of a job; none if this entry does not know it.
    Progress(Option<Progress>),
    /// New permits; fewer than requested if there is no registrar.
    Permits(Vec<String>),
    /// The status of the entry.
    Status(Box<EntryStatus>),
    /// The timeline of a job; none if the history no longer holds it.
    Story(Option<JobTimeline>),
}

/// Progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Progress {
    /// Tasks of the job.
    pub tasks: u32,
    /// Tasks that wait to be dispatched.
    pub waiting: u32,
    /// Tasks dispatched without a known end.
    pub in_flight: u32,
    /// Tasks that have ended.
    pub ended: u32,
}

/// An output of an entry's core, carried out by its driver.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Answer a caller or operator.
    Reply {
        /// The request to answer.
        request: RequestId,
        reply: Reply,
    },
    /// Send a frame to an agent.
    SendAgent {
        session: SessionId,
        frame: Frame<EntryMessage>,
    },
    /// Close an agent's session; no [`EntryEvent::AgentClosed`] is expected for it.
    CloseAgent(SessionId),
    /// Send a frame to a peer.
    SendPeer {
        session: SessionId,
        frame: Frame<PeerMessage>,
    },
    /// Close a peer's session; no [`EntryEvent::PeerClosed`] is expected for it.
    ClosePeer(SessionId),
    /// Connect to the entry that agents reach at this address, unless a session exists.
    KnowPeer(String),
    /// Read the log from an offset.
    ReadLog(u64),
    /// Append to the log. No answer is expected.
    AppendLog(LogRecord),
    /// Read the list of VMs.
    ReadVmList,
    /// Write a line to the log.
    Log(LogEvent),
    /// Record the response time of a job that was answered `complete`.
    Measured(ResponseMeasurement),
    /// Stop the process: the drain has ended.
    Stop,
}

/// Measured and ideal response time of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseMeasurement {
    /// From arrival to answer.
    pub response: Duration,
    /// The larger of the longest run time and the total run time divided by the open slots.
    pub ideal: Duration,
}

/// Maximum time between two ticks of a core.
pub const TICK: Duration = Duration::from_millis(5);

/// Minimum length of a drain, unless the drain limit is shorter. Meanwhile the load balancer sees
/// the health answer, and requests already sent get a refusal instead of a closed port.
const DRAIN_LINGER: Duration = Duration::from_secs(1);

/// State of an entry and its transitions.
pub struct EntryCore {
    pub(crate) options: EntryOptions,
    pub(crate) now: Now,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) actions: Vec<EntryAction>,
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
    pub(crate) history: JobHistory,
    pub(crate) counters: Counters,
    pub(crate) platform: crate::entry_platform::PlatformState,
    pub(crate) deferred_releases: BTreeMap<Incarnation, Vec<crate::message::Claim>>,
    /// Jobs whose claims are to be repeated, by time.
    pub(crate) claim_repeats: BTreeSet<(Now, JobSeq)>,
    pub(crate) draining_since: Option<Now>,
    pub(crate) stopped: bool,
}

impl EntryCore {
    /// Creates the core of a new incarnation.
    pub fn new(options: EntryOptions) -> Self {
        let placement = options.placement.unwrap_or_default().build();
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed ^ options.incarnation),
            now: Now::ZERO,
            actions: Vec::new(),
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
            history: JobHistory::default(),
            counters: Counters::default(),
            platform: crate::entry_platform::PlatformState::default(),
            deferred_releases: BTreeMap::new(),
            claim_repeats: BTreeSet::new(),
            draining_since: None,
            stopped: false,
            options,
        }
    }

    /// Handles an event and returns the resulting actions in order. An earlier `now` than before
    /// has no effect on the core's time.
    pub fn handle(&mut self, now: Now, event: EntryEvent) -> Vec<EntryAction> {
        self.now = self.now.max(now);
        if self.stopped {
            return Vec::new();
        }
        self.dispatch_event(event);
        self.place_waiting_tasks();
        self.flush();
        std::mem::take(&mut self.actions)
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
        self.fail_expired_jobs();
        self.repeat_claims();
        self.tick_targets();
        self.tick_peers();
        self.tick_platform();
        self.tick_drain();
    }

    fn flush(&mut self) {
        for (session, frame) in self.agents.flush() {
            self.actions.push(EntryAction::SendAgent { session, frame });
        }
        for (session, frame) in self.peers.flush() {
            self.actions.push(EntryAction::SendPeer { session, frame });
        }
    }

    pub(crate) fn log(&mut self, code: EventCode, detail: impl Into<String>) {
        let event = LogEvent::new(code, detail);
        self.actions.push(EntryAction::Log(event));
    }

    pub(crate) fn reply(&mut self, request: RequestId, reply: Reply) {
        self.actions.push(EntryAction::Reply { request, reply });
    }

    pub(crate) fn send_agent(&mut self, target: Incarnation, message: EntryMessage) {
        let now = self.now;
        let session = self.targets.update(target, |t| {
            t.last_sent = now;
            t.session
        });
        if let Some(Some(session)) = session {
            self.counters
                .message(crate::counters::MessageKind::kind(&message));
            self.agents.push(session, message);
        }
    }

    pub(crate) fn send_peer(&mut self, session: SessionId, message: PeerMessage) {
        self.counters
            .message(crate::counters::MessageKind::kind(&message));
        self.peers.push(session, message);
    }

    /// The team whose key has this SHA-256.
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

    /// Ends the drain when no job is in flight, or at its limit.
    fn tick_drain(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let length = self.now.saturating_sub(since);
        let late = length >= self.options.drain_limit;
        if late && !self.jobs.is_empty() {
            self.log(
                EventCode::DrainCut,
                format!("drain limit reached, {} jobs ended early", self.jobs.len()),
            );
            self.fail_all_for_stop();
        }
        if !self.jobs.is_empty() || (length < DRAIN_LINGER && !late) {
            return;
        }
        self.send_goodbyes();
        self.log(EventCode::Drained, "no jobs in flight");
        self.flush();
        self.actions.push(EntryAction::Stop);
        self.stopped = true;
    }

    fn send_goodbyes(&mut self) {
        for target in self.targets.sorted_ids() {
            self.send_agent(target, EntryMessage::Goodbye);
        }
        for session in self.peers.sessions() {
            self.send_peer(session, PeerMessage::Goodbye);
        }
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Targets that the entry knows.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Number of tasks that wait to be dispatched.
    pub fn waiting_tasks(&self) -> u32 {
        self.jobs.waiting().tasks
    }

    /// Number of jobs between admission and answer.
    pub fn jobs_held(&self) -> usize {
        self.jobs.len()
    }

    /// Configuration that the entry holds.
    pub fn config(&self) -> &ConfigChain {
        &self.config
    }
}
