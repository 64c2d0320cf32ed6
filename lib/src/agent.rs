//! The agent's core: a deterministic state machine, `(now, event) -> actions`.
//!
//! It alone decides the fate of a dispatch, and it alone knows the target's slots exactly.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::config_chain::ConfigStamp;
use crate::counters::{Counters, Kind as _};
use crate::events::{EventCode, LogEvent};
use crate::ids::{DispatchSeq, HallName, Incarnation, JobId, NodeName, Now, SessionId, TaskIndex};
use crate::job::{TaskOutcome, TaskSpec};
use crate::ledger::DispatchLedger;
use crate::message::{AgentMessage, Capacity, EntryMessage, Frame};
use crate::outbox::Outboxes;
use crate::permit::Registrar;
use crate::slot_table::SlotTable;

/// What an agent's core is told at start.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name from the settings.
    pub name: NodeName,
    /// This life.
    pub incarnation: Incarnation,
    /// Data hall.
    pub hall: HallName,
    /// What the target has.
    pub capacity: Capacity,
    /// Addresses of entries from the settings.
    pub entries: Vec<String>,
    /// Longest drain.
    pub drain_limit: Duration,
}

/// Number of a run on the target, never used twice in one life.
pub type RunId = u64;

/// What an agent is told.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// Time has passed.
    Tick,
    /// A connection to an entry stands and the hello may be sent.
    EntryConnected(SessionId),
    /// A frame of an entry.
    EntryFrame {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Frame<EntryMessage>,
    },
    /// An entry's session is gone.
    EntryClosed(SessionId),
    /// A run has ended on the target.
    RunEnded {
        /// Which.
        run: RunId,
        /// How.
        end: RunEnd,
    },
    /// The VM is to be given up: finish what runs, take nothing new.
    Drain,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The target refused the connection: proof that the task never started.
    NotStarted,
    /// The target answered, or may have begun.
    Ended(TaskOutcome),
}

/// What an agent wants done.
#[derive(Debug, Clone)]
pub enum AgentAction {
    /// Connect to the entry at this address, now and whenever the connection is lost.
    KnowEntry(String),
    /// Send a frame to an entry.
    SendEntry {
        /// The session.
        session: SessionId,
        /// The frame.
        frame: Frame<AgentMessage>,
    },
    /// Close an entry's session; no [`AgentEvent::EntryClosed`] is expected for it.
    CloseEntry(SessionId),
    /// Start a task on the target under a lease.
    Start(Start),
    /// Renew the leases of these runs.
    Renew(Renewal),
    /// Stop a run.
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
    /// The work.
    pub spec: TaskSpec,
    /// Length of the lease.
    pub lease: Duration,
    /// Trace context.
    pub trace: Option<Arc<str>>,
}

/// Leases to renew.
#[derive(Debug, Clone)]
pub struct Renewal {
    /// The runs.
    pub runs: Vec<RunId>,
    /// Length of the lease from now.
    pub lease: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct EntryLink {
    pub(crate) entry: Option<Incarnation>,
    pub(crate) name: Option<NodeName>,
    pub(crate) heartbeat_every: Duration,
    /// The entry has said that it waits for nothing of a leaving agent.
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

/// A process that has not run for longer has missed heartbeats: others may have given it up.
const LONGEST_STANDSTILL: Duration = Duration::from_secs(2);
/// Lease until a configuration says otherwise.
const FIRST_LEASE: Duration = Duration::from_secs(3);
/// Tasks of an entry that has been gone for this are stopped: nobody waits for them.
pub(crate) const ORPHAN_GRACE: Duration = Duration::from_secs(10);
/// First pause after the target refused a connection; it doubles.
pub(crate) const FIRST_DOWN: Duration = Duration::from_millis(200);

/// State of an agent.
pub struct AgentCore {
    pub(crate) options: AgentOptions,
    pub(crate) now: Now,
    pub(crate) out: Vec<AgentAction>,
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
    pub(crate) down_pause: Duration,
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
    /// A new life of an agent.
    pub fn new(options: AgentOptions) -> Self {
        Self {
            slots: SlotTable::new(options.capacity.slots),
            now: Now::ZERO,
            out: Vec::new(),
            links: Outboxes::default(),
            sessions: BTreeMap::new(),
            ledger: DispatchLedger::default(),
            registrar: Registrar::default(),
            runs: BTreeMap::new(),
            by_dispatch: HashMap::new(),
            next_run: 1,
            lease: FIRST_LEASE,
            renewed_at: Now::ZERO,
            config: ConfigStamp::default(),
            down_until: None,
            down_pause: FIRST_DOWN,
            draining_since: None,
            counters: Counters::default(),
            stopped: false,
            options,
        }
    }

    /// Takes in an event and returns what is to be done, in order. `now` never goes back.
    pub fn handle(&mut self, now: Now, event: AgentEvent) -> Vec<AgentAction> {
        self.note_pause(now);
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
        std::mem::take(&mut self.out)
    }

    /// After standing still for longer than a silent session, what has queued up meanwhile is
    /// stale: the sessions are closed before any of it is looked at, so that no dispatch of
    /// then starts now. On the next session each is reconciled as never seen.
    fn note_pause(&mut self, now: Now) {
        let stood_still = now.saturating_sub(self.now) > LONGEST_STANDSTILL;
        self.now = self.now.max(now);
        if !stood_still {
            return;
        }
        for session in self.links.sessions() {
            self.out.push(AgentAction::CloseEntry(session));
            self.entry_closed(session);
        }
    }

    /// The first actions of this life.
    pub fn start(&mut self) -> Vec<AgentAction> {
        let entries = self.options.entries.iter().cloned();
        entries.map(AgentAction::KnowEntry).collect()
    }

    fn flush(&mut self) {
        for (session, frame) in self.links.flush() {
            self.out.push(AgentAction::SendEntry { session, frame });
        }
    }

    pub(crate) fn log(&mut self, code: EventCode, detail: impl Into<String>) {
        self.out.push(AgentAction::Log(LogEvent::new(code, detail)));
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
            self.out.push(AgentAction::CloseEntry(session));
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
            format!("{} tasks run", self.runs.len()),
        );
        for session in self.links.sessions() {
            self.send(session, AgentMessage::Leaving);
        }
    }

    /// Ends the drain when nothing runs, every result has reached its entry, and every entry has
    /// released this agent or has been cut off for long; or at its limit.
    fn tick_drain(&mut self) {
        let Some(since) = self.draining_since else {
            return;
        };
        let late = self.now.saturating_sub(since) >= self.options.drain_limit;
        let cutoff = self.now.saturating_sub(ORPHAN_GRACE);
        let running = self.runs.len();
        let unsettled = self.ledger.awaited_results(cutoff);
        let clean = running + unsettled == 0;
        let unreleased = self.links.states().filter(|l| !l.released).count();
        let awaited = self.ledger.lost_since(cutoff) + unreleased;
        if (!clean || awaited > 0) && !late {
            return;
        }
        if !clean {
            let detail = format!("{running} tasks run, {unsettled} results not settled");
            self.log(EventCode::DrainCut, detail);
        }
        for session in self.links.sessions() {
            self.send(session, AgentMessage::Goodbye { clean });
        }
        self.log(EventCode::Drained, &*self.options.name.clone());
        self.flush();
        self.out.push(AgentAction::Stop);
        self.stopped = true;
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Tasks running.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Slots of the target.
    pub fn slots(&self) -> u32 {
        self.options.capacity.slots
    }

    /// Configuration that the agent has heard of.
    pub fn config(&self) -> ConfigStamp {
        self.config
    }
}
