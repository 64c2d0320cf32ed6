//! The agent's core: a deterministic state machine, `(now, event) -> actions`.
//!
//! The agent alone decides the fate of each dispatch and keeps the exact count of the target's
//! slots.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::config_chain::ConfigStamp;
use crate::counters::{Counters, MessageKind as _};
use crate::events::{EventCode, LogEvent};
use crate::ids::{DispatchSeq, HallName, Incarnation, JobId, NodeName, Now, SessionId, TaskIndex};
use crate::job::{TaskOutcome, TaskSpec};
use crate::ledger::DispatchLedger;
use crate::message::{AgentMessage, Capacity, EntryMessage, Frame};
use crate::outbox::Outboxes;
use crate::permit::Registrar;
use crate::slot_table::SlotTable;

/// Parameters of an agent's core.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name from the settings.
    pub name: NodeName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Data hall.
    pub hall: HallName,
    /// Capacity of the target.
    pub capacity: Capacity,
    /// Addresses of the entries listed in the settings.
    pub entries: Vec<String>,
    /// Time after which a drain ends even if tasks still run.
    pub drain_limit: Duration,
}

/// Number of a run on the target, unique within one agent incarnation.
pub type RunId = u64;

/// An input of the agent's core.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// Time has passed.
    Tick,
    /// A connection to an entry is open; the hello may be sent.
    EntryConnected(SessionId),
    /// A frame from an entry has arrived.
    EntryFrame {
        session: SessionId,
        frame: Frame<EntryMessage>,
    },
    /// An entry's session has closed.
    EntryClosed(SessionId),
    /// A run has ended on the target.
    RunEnded {
        run: RunId,
        /// How it ended.
        end: RunEnd,
    },
    /// The VM is to be shut down: finish the running tasks and accept no new ones.
    Drain,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The target refused the connection, which proves that the task never started.
    NotStarted,
    /// The target answered, or the task may have started.
    Ended(TaskOutcome),
}

/// An action that the agent's core requests.
#[derive(Debug, Clone)]
pub enum AgentAction {
    /// Connect to the entry at this address and reconnect whenever the connection is lost.
    KnowEntry(String),
    /// Send a frame to an entry.
    SendEntry {
        session: SessionId,
        frame: Frame<AgentMessage>,
    },
    /// Close an entry's session; no [`AgentEvent::EntryClosed`] is expected for it.
    CloseEntry(SessionId),
    /// Start a task on the target under a lease.
    Start(Start),
    /// Renew the leases of these runs.
    Renew(Renewal),
    StopRun(RunId),
    /// Write a line to the log.
    Log(LogEvent),
    /// The drain has ended: stop the process.
    Stop,
}

/// A task to start.
#[derive(Debug, Clone)]
pub struct Start {
    /// Number of the run.
    pub run: RunId,
    /// Job of the task.
    pub job: JobId,
    /// Position in the job.
    pub task: TaskIndex,
    /// The task's specification.
    pub spec: TaskSpec,
    /// Length of the lease.
    pub lease: Duration,
    /// Trace context.
    pub trace: Option<Arc<str>>,
}

/// Leases to renew.
#[derive(Debug, Clone)]
pub struct Renewal {
    pub runs: Vec<RunId>,
    /// Length of the lease from now.
    pub lease: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct EntryLink {
    pub(crate) entry: Option<Incarnation>,
    pub(crate) name: Option<NodeName>,
    pub(crate) heartbeat_every: Duration,
    /// The entry has released this draining agent: it awaits nothing more from it.
    pub(crate) released: bool,
    pub(crate) last_sent: Now,
}

#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) entry: Incarnation,
    pub(crate) seq: DispatchSeq,
    pub(crate) accelerators: u32,
    pub(crate) memory_mib: u32,
    pub(crate) started: Now,
    pub(crate) stopping: bool,
}

/// Longest stall of the process that leaves its sessions open. Entries may declare the agent lost
/// during a longer one.
const MAX_STALL: Duration = Duration::from_secs(2);
/// Length of a lease before the first configuration arrives.
const DEFAULT_LEASE: Duration = Duration::from_secs(3);
/// Time after which the tasks of a disconnected entry are stopped.
pub(crate) const ORPHAN_GRACE: Duration = Duration::from_secs(10);
/// Initial backoff after the target refused a connection. It doubles at each refusal.
pub(crate) const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// State of an agent.
pub struct AgentCore {
    pub(crate) options: AgentOptions,
    pub(crate) now: Now,
    pub(crate) actions: Vec<AgentAction>,
    pub(crate) links: Outboxes<AgentMessage, EntryLink>,
    pub(crate) sessions: BTreeMap<Incarnation, SessionId>,
    pub(crate) ledger: DispatchLedger,
    pub(crate) slots: SlotTable,
    pub(crate) registrar: Registrar,
    pub(crate) runs: BTreeMap<RunId, Run>,
    pub(crate) by_dispatch: HashMap<DispatchKey, RunId>,
    pub(crate) next_run: RunId,
    pub(crate) lease: Duration,
    pub(crate) renewed_at: Now,
    pub(crate) config: ConfigStamp,
    pub(crate) down_until: Option<Now>,
    pub(crate) backoff: Duration,
    pub(crate) draining_since: Option<Now>,
    pub(crate) counters: Counters,
    pub(crate) stopped: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct DispatchKey {
    pub(crate) entry: Incarnation,
    pub(crate) seq: DispatchSeq,
}

impl AgentCore {
    /// Creates the core of a new agent incarnation.
    pub fn new(options: AgentOptions) -> Self {
        Self {
            slots: SlotTable::new(options.capacity.slots),
            now: Now::ZERO,
            actions: Vec::new(),
            links: Outboxes::default(),
            sessions: BTreeMap::new(),
            ledger: DispatchLedger::default(),
            registrar: Registrar::default(),
            runs: BTreeMap::new(),
            by_dispatch: HashMap::new(),
            next_run: 1,
            lease: DEFAULT_LEASE,
            renewed_at: Now::ZERO,
            config: ConfigStamp::default(),
            down_until: None,
            backoff: INITIAL_BACKOFF,
            draining_since: None,
            counters: Counters::default(),
            stopped: false,
            options,
        }
    }

    /// Processes an event and returns the resulting actions in order. `now` must not decrease.
    pub fn handle(&mut self, now: Now, event: AgentEvent) -> Vec<AgentAction> {
        self.close_sessions_after_stall(now);
        if self.stopped {
            return Vec::new();
        }
        match event {
            AgentEvent::Tick => self.tick(),
            AgentEvent::EntryConnected(session) => self.entry_connected(session),
            AgentEvent::EntryFrame { session, frame } => self.entry_frame(session, frame),
            AgentEvent::EntryClosed(session) => self.entry_closed(session),
            AgentEvent::RunEnded { run, end } => self.run_ended(run, end),
            AgentEvent::Drain => self.drain(),
        }
        self.balance_slots();
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// Closes all sessions after a stall of the process that is longer than [`MAX_STALL`]. The
    /// messages queued meanwhile are stale, and no dispatch among them may start. The next session
    /// reconciles these dispatches as never seen.
    fn close_sessions_after_stall(&mut self, now: Now) {
        let stalled = now.saturating_sub(self.now) > MAX_STALL;
        self.now = self.now.max(now);
        if !stalled {
            return;
        }
        for session in self.links.sessions() {
            self.actions.push(AgentAction::CloseEntry(session));
            self.entry_closed(session);
        }
    }

    /// The actions to run at start.
    pub fn start(&mut self) -> Vec<AgentAction> {
        let entries = self.options.entries.iter().cloned();
        entries.map(AgentAction::KnowEntry).collect()
    }

    fn flush(&mut self) {
        for (session, frame) in self.links.flush() {
            self.actions.push(AgentAction::SendEntry { session, frame });
        }
    }

    pub(crate) fn log(&mut self, code: EventCode, detail: impl Into<String>) {
        self.actions
            .push(AgentAction::Log(LogEvent::new(code, detail)));
    }

    pub(crate) fn send(&mut self, session: SessionId, message: AgentMessage) {
        self.counters.message(message.kind());
        if let Some(link) = self.links.get_mut(session) {
            link.last_sent = self.now;
        }
        self.links.push(session, message);
    }

    pub(crate) fn send_entry(&mut self, entry: Incarnation, message: AgentMessage) {
        if let Some(session) = self.sessions.get(&entry).copied() {
            self.send(session, message);
        }
    }

    pub(crate) fn uptime_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    fn tick(&mut self) {
        for session in self.links.silent(self.now) {
            self.actions.push(AgentAction::CloseEntry(session));
            self.entry_closed(session);
        }
        self.send_heartbeats();
        self.renew_leases();
        self.stop_orphans();
        self.registrar.expire(self.uptime_ms());
        if self.down_until.is_some_and(|until| until <= self.now) {
            self.slots.set_usable(self.draining_since.is_none());
        }
        self.tick_drain();
    }

    fn drain(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.now);
        self.slots.set_usable(false);
        self.log(
            EventCode::Draining,
            format!("{} tasks running", self.runs.len()),
        );
        for session in self.links.sessions() {
            self.send(session, AgentMessage::Leaving);
        }
    }

    /// Ends the drain when no task runs, every result has reached its entry, and every entry has
    /// released this agent or been disconnected for [`ORPHAN_GRACE`]. Ends it at the drain limit
    /// in any case.
    fn tick_drain(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let timed_out = self.now.saturating_sub(since) >= self.options.drain_limit;
        let cutoff = self.now.saturating_sub(ORPHAN_GRACE);
        let running = self.runs.len();
        let unsettled = self.ledger.awaited_results(cutoff);
        let clean = running + unsettled == 0;
        let unreleased = self.links.states().filter(|l| !l.released).count();
        let awaited = self.ledger.count_lost_since(cutoff) + unreleased;
        if (!clean || awaited > 0) && !timed_out {
            return;
        }
        if !clean {
            let detail = format!("{running} tasks running, {unsettled} results not settled");
            self.log(EventCode::DrainCut, detail);
        }
        for session in self.links.sessions() {
            self.send(session, AgentMessage::Goodbye { clean });
        }
        self.log(EventCode::Drained, &*self.options.name.clone());
        self.flush();
        self.actions.push(AgentAction::Stop);
        self.stopped = true;
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Number of slots of the target.
    pub fn slots(&self) -> u32 {
        self.options.capacity.slots
    }

    /// Newest configuration that the agent knows of.
    pub fn config(&self) -> ConfigStamp {
        self.config
    }
}
