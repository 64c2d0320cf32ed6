//! The agent's core: a deterministic state machine, `(now, event) -> actions`.
//!
//! It alone decides the fate of a dispatch, and it alone knows the target's slots exactly.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::config_chain::ConfigStamp;
use crate::counters::{Counters, Kind as _};
use crate::entry_targets::{HEARTBEAT_EVERY, SILENT_HEARTBEATS};
use crate::events::{EventCode, LogEvent};
use crate::frame_order::FrameOrder;
use crate::ids::{DispatchSeq, HallName, Incarnation, JobId, NodeName, Now, SessionId, TaskIndex};
use crate::job::{TaskOutcome, TaskSpec};
use crate::ledger::{DispatchLedger, Offer, Resume};
use crate::message::{
    AgentHello, AgentMessage, Capacity, Dispatch, DispatchFate, DispatchRefusal, EntryMessage,
    Frame, PROTOCOL_VERSION, Welcome,
};
use crate::outbox::{Links, Passed};
use crate::permit::Registrar;
use crate::slot_book::{SlotBook, SlotNotice};

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
struct EntryLink {
    entry: Option<Incarnation>,
    name: Option<NodeName>,
    heartbeat_every: Duration,
    /// The entry has said that it waits for nothing of a leaving agent.
    released: bool,
    last_sent: Now,
}

#[derive(Debug)]
struct Run {
    entry: Incarnation,
    seq: DispatchSeq,
    accelerators: u32,
    memory_mib: u32,
    started: Now,
    stopping: bool,
}

/// A process that has not run for longer has missed heartbeats: others may have given it up.
const LONGEST_STANDSTILL: Duration = Duration::from_secs(2);
/// Lease until a configuration says otherwise.
const FIRST_LEASE: Duration = Duration::from_secs(3);
/// Tasks of an entry that has been gone for this are stopped: nobody waits for them.
const ORPHAN_GRACE: Duration = Duration::from_secs(10);
/// What is known of an entry's dispatches is dropped when it has been gone for this.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// First pause after the target refused a connection; it doubles.
const FIRST_DOWN: Duration = Duration::from_millis(200);
/// Longest such pause.
const MOST_DOWN: Duration = Duration::from_secs(5);

/// State of an agent.
pub struct AgentCore {
    options: AgentOptions,
    now: Now,
    out: Vec<AgentAction>,
    links: Links<AgentMessage, EntryLink>,
    sessions: BTreeMap<Incarnation, SessionId>,
    ledger: DispatchLedger,
    slots: SlotBook,
    registrar: Registrar,
    runs: BTreeMap<RunId, Run>,
    by_dispatch: HashMap<DispatchKey, RunId>,
    next_run: RunId,
    lease: Duration,
    renewed_at: Now,
    config: ConfigStamp,
    down_until: Option<Now>,
    down_pause: Duration,
    draining_since: Option<Now>,
    counters: Counters,
    stopped: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct DispatchKey {
    entry: Incarnation,
    seq: DispatchSeq,
}

impl AgentCore {
    /// A new life of an agent.
    pub fn new(options: AgentOptions) -> Self {
        Self {
            slots: SlotBook::new(options.capacity.slots),
            now: Now::ZERO,
            out: Vec::new(),
            links: Links::default(),
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

    fn log(&mut self, code: EventCode, detail: impl Into<String>) {
        self.out.push(AgentAction::Log(LogEvent::new(code, detail)));
    }

    fn send(&mut self, session: SessionId, message: AgentMessage) {
        self.counters.message(message.kind());
        if let Some(link) = self.links.get_mut(session) {
            link.last_sent = self.now;
        }
        self.links.push(session, message);
    }

    fn send_entry(&mut self, entry: Incarnation, message: AgentMessage) {
        if let Some(session) = self.sessions.get(&entry).copied() {
            self.send(session, message);
        }
    }

    fn uptime_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    fn entry_connected(&mut self, session: SessionId) {
        let passed = Passed::default();
        self.links
            .open(session, EntryLink::default(), passed, self.now);
        let hello = AgentHello {
            protocol: PROTOCOL_VERSION,
            name: self.options.name.clone(),
            incarnation: self.options.incarnation,
            hall: self.options.hall.clone(),
            capacity: self.options.capacity,
            uptime_ms: self.uptime_ms(),
            config: self.config,
            leaving: self.draining_since.is_some(),
        };
        self.send(session, AgentMessage::Hello(hello));
    }

    fn entry_frame(&mut self, session: SessionId, frame: Frame<EntryMessage>) {
        match self.links.accept(session, frame.n, self.now) {
            Some(FrameOrder::Next) => {}
            Some(FrameOrder::Gap) => {
                self.log(EventCode::SessionGap, format!("entry session {session}"));
                self.out.push(AgentAction::CloseEntry(session));
                self.entry_closed(session);
                return;
            }
            Some(FrameOrder::Copy) | None => return,
        }
        for message in frame.messages {
            if !self.links.is_open(session) {
                return;
            }
            self.counters.message(message.kind());
            self.entry_message(session, message);
        }
    }

    fn entry_message(&mut self, session: SessionId, message: EntryMessage) {
        if let EntryMessage::Welcome(welcome) = message {
            self.welcomed(session, welcome);
            return;
        }
        let Some(entry) = self.links.get_mut(session).and_then(|l| l.entry) else {
            return;
        };
        match message {
            EntryMessage::Welcome(_) => {}
            EntryMessage::Dispatch(dispatch) => self.dispatched(session, entry, dispatch),
            EntryMessage::Revoke(seqs) => self.revoked(entry, &seqs),
            EntryMessage::Demand(n) => self.slots.set_demand(session, n),
            EntryMessage::Reserve(n) => self.slots.reserve(session, n),
            EntryMessage::GiveBack(n) => self.slots.give_back(session, n),
            EntryMessage::Heartbeat { settled_below } => {
                self.ledger.settle(entry, settled_below);
            }
            EntryMessage::Released { settled_below } => {
                self.ledger.settle(entry, settled_below);
                if let Some(link) = self.links.get_mut(session) {
                    link.released = true;
                }
            }
            EntryMessage::Config(config) => {
                if config.stamp.version >= self.config.version {
                    self.config = config.stamp;
                    self.lease = Duration::from_millis(u64::from(config.lease_ms));
                }
            }
            EntryMessage::Claim(claim) => {
                let answer = self.registrar.claim(&claim, self.uptime_ms());
                self.send(session, AgentMessage::Claimed { claim, answer });
            }
            EntryMessage::Release(claim) => self.registrar.release(&claim),
            EntryMessage::Settle { claim, answer } => self.registrar.settle(&claim, answer),
            EntryMessage::Goodbye => self.entry_gone(session, entry),
        }
    }

    /// Resumes with an entry: answers for all that it waits for.
    fn welcomed(&mut self, session: SessionId, welcome: Welcome) {
        let entry = welcome.incarnation;
        if let Some(old) = self.sessions.insert(entry, session)
            && old != session
        {
            self.out.push(AgentAction::CloseEntry(old));
            self.drop_session(old);
        }
        self.end_former_lives(&welcome);
        if let Some(link) = self.links.get_mut(session) {
            link.entry = Some(entry);
            link.name = Some(welcome.name.clone());
            link.heartbeat_every = Duration::from_millis(u64::from(welcome.heartbeat_ms));
            let silence = link.heartbeat_every.mul_f64(SILENT_HEARTBEATS);
            self.links.set_silence(session, silence);
        }
        let resume = self.ledger.open(entry, welcome.resume);
        if resume == Resume::Known {
            self.ledger.settle(entry, welcome.settled_below);
        }
        let fates = self.ledger.reconcile(entry, resume, &welcome.outstanding);
        if !fates.is_empty() {
            self.send(session, AgentMessage::Reconciled(fates));
        }
        self.slots.open(session, welcome.placement);
        if welcome.config.version > self.config.version {
            self.config = welcome.config;
        }
        for address in welcome.entries {
            self.out.push(AgentAction::KnowEntry(address));
        }
        self.log(
            EventCode::EntryJoined,
            format!("{} {entry:016x}", welcome.name),
        );
    }

    /// A new life of an entry is proof that its former one is over.
    fn end_former_lives(&mut self, welcome: &Welcome) {
        let former: Vec<Incarnation> = self
            .sessions
            .iter()
            .filter(|(life, session)| {
                let same_name = self
                    .links
                    .state(**session)
                    .is_some_and(|l| l.name.as_ref() == Some(&welcome.name));
                **life != welcome.incarnation && same_name
            })
            .map(|(life, _)| *life)
            .collect();
        for life in former {
            self.registrar.abandon(life);
        }
    }

    /// Decides the fate of a dispatch.
    fn dispatched(&mut self, session: SessionId, entry: Incarnation, dispatch: Dispatch) {
        self.ledger.settle(entry, dispatch.settled_below);
        if self.ledger.offer(entry, dispatch.seq) == Offer::Duplicate {
            return;
        }
        self.slots.limit_demand(session, dispatch.waiting);
        match self.reason_to_refuse(&dispatch.spec) {
            Some(reason) => self.refuse(session, entry, dispatch.seq, reason),
            None if self.slots.take(session) => self.start_run(entry, dispatch),
            None => self.refuse(session, entry, dispatch.seq, DispatchRefusal::Full),
        }
    }

    fn reason_to_refuse(&self, spec: &TaskSpec) -> Option<DispatchRefusal> {
        if self.draining_since.is_some() {
            return Some(DispatchRefusal::Leaving);
        }
        if self.down_until.is_some_and(|until| until > self.now) {
            return Some(DispatchRefusal::TargetDown);
        }
        let used: u32 = self.runs.values().map(|r| r.accelerators).sum();
        let memory: u32 = self.runs.values().map(|r| r.memory_mib).sum();
        let capacity = self.options.capacity;
        let fits = used + spec.accelerators <= capacity.accelerators
            && memory + spec.memory_mib <= capacity.memory_mib;
        (!fits).then_some(DispatchRefusal::Resources)
    }

    fn refuse(
        &mut self,
        session: SessionId,
        entry: Incarnation,
        seq: DispatchSeq,
        reason: DispatchRefusal,
    ) {
        self.ledger
            .decide(entry, seq, DispatchFate::Refused(reason));
        self.slots.give_back(session, 1);
        let free = self.slots.spare();
        self.send(session, AgentMessage::Refused { seq, reason, free });
    }

    fn start_run(&mut self, entry: Incarnation, dispatch: Dispatch) {
        let run = self.next_run;
        self.next_run += 1;
        let seq = dispatch.seq;
        self.ledger.decide(entry, seq, DispatchFate::Running);
        let record = Run {
            entry,
            seq,
            accelerators: dispatch.spec.accelerators,
            memory_mib: dispatch.spec.memory_mib,
            started: self.now,
            stopping: false,
        };
        self.runs.insert(run, record);
        self.by_dispatch.insert(DispatchKey { entry, seq }, run);
        self.out.push(AgentAction::Start(Start {
            run,
            job: dispatch.job,
            task: dispatch.task,
            spec: dispatch.spec,
            lease: self.lease,
            trace: dispatch.trace,
        }));
    }

    /// Takes in how a run ended and tells the entry that asked for it.
    fn run_ended(&mut self, run: RunId, end: RunEnd) {
        let Some(record) = self.runs.remove(&run) else {
            return;
        };
        let Run { entry, seq, .. } = record;
        self.by_dispatch.remove(&DispatchKey { entry, seq });
        self.slots.release();
        match end {
            RunEnd::NotStarted => {
                self.target_is_down();
                let reason = DispatchRefusal::TargetDown;
                self.ledger
                    .decide(entry, seq, DispatchFate::Refused(reason));
                let free = self.slots.spare();
                self.send_entry(entry, AgentMessage::Refused { seq, reason, free });
            }
            RunEnd::Ended(outcome) => {
                self.target_is_up();
                self.ledger.finish(entry, seq, outcome.clone());
                let took = self.now.saturating_sub(record.started);
                let message = AgentMessage::Finished {
                    seq,
                    outcome,
                    run_ms: took.as_millis() as u32,
                    free: self.slots.spare(),
                };
                self.send_entry(entry, message);
            }
        }
    }

    /// Lends nothing for a while after the target has refused a connection.
    fn target_is_down(&mut self) {
        if self.down_until.is_none() {
            self.log(EventCode::TargetDown, &*self.options.name.clone());
        }
        self.down_until = Some(self.now + self.down_pause);
        self.down_pause = (self.down_pause * 2).min(MOST_DOWN);
        self.slots.set_usable(false);
        for notice in self.slots.recall_all() {
            self.send_notice(notice);
        }
    }

    fn target_is_up(&mut self) {
        self.down_pause = FIRST_DOWN;
        if self.down_until.take().is_some() {
            self.log(EventCode::TargetUp, &*self.options.name.clone());
            self.slots.set_usable(self.draining_since.is_none());
        }
    }

    /// Refuses for good what has not started, and stops what runs.
    fn revoked(&mut self, entry: Incarnation, seqs: &[DispatchSeq]) {
        for &seq in seqs {
            match self.ledger.revoke(entry, seq) {
                Some(DispatchFate::Running) => self.stop_dispatch(entry, seq),
                Some(DispatchFate::Refused(reason)) => {
                    let free = self.slots.spare();
                    self.send_entry(entry, AgentMessage::Refused { seq, reason, free });
                }
                _ => {}
            }
        }
    }

    fn stop_dispatch(&mut self, entry: Incarnation, seq: DispatchSeq) {
        if let Some(run) = self.by_dispatch.get(&DispatchKey { entry, seq }).copied() {
            self.stop_run(run);
        }
    }

    fn stop_run(&mut self, run: RunId) {
        if let Some(record) = self.runs.get_mut(&run)
            && !record.stopping
        {
            record.stopping = true;
            self.out.push(AgentAction::StopRun(run));
        }
    }

    /// An entry's life is over by its own word.
    fn entry_gone(&mut self, session: SessionId, entry: Incarnation) {
        self.registrar.abandon(entry);
        self.out.push(AgentAction::CloseEntry(session));
        self.entry_closed(session);
        self.ledger.remove(entry);
    }

    fn entry_closed(&mut self, session: SessionId) {
        let entry = self.links.get_mut(session).and_then(|l| l.entry);
        self.drop_session(session);
        let Some(entry) = entry else {
            return;
        };
        if self.sessions.get(&entry) == Some(&session) {
            self.sessions.remove(&entry);
            self.ledger.lost(entry, self.now);
            self.log(EventCode::EntryLost, format!("{entry:016x}"));
        }
    }

    fn drop_session(&mut self, session: SessionId) {
        self.links.close(session);
        self.slots.close(session);
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

    fn send_heartbeats(&mut self) {
        for session in self.links.sessions() {
            let is_quiet = |l: &EntryLink| {
                let every = l.heartbeat_every.max(HEARTBEAT_EVERY);
                self.now.saturating_sub(l.last_sent) >= every
            };
            let quiet = self.links.state(session).is_some_and(is_quiet);
            if quiet {
                let message = AgentMessage::Heartbeat {
                    uptime_ms: self.uptime_ms(),
                    free: self.slots.spare(),
                    config: self.config,
                };
                self.send(session, message);
            }
        }
    }

    /// Renews all leases three times a lease.
    fn renew_leases(&mut self) {
        if self.now.saturating_sub(self.renewed_at) < self.lease / 3 {
            return;
        }
        self.renewed_at = self.now;
        let live = self.runs.iter().filter(|(_, r)| !r.stopping);
        let runs: Vec<RunId> = live.map(|(run, _)| *run).collect();
        if !runs.is_empty() {
            let lease = self.lease;
            self.out.push(AgentAction::Renew(Renewal { runs, lease }));
        }
    }

    /// Stops tasks that nobody waits for any more, and forgets entries that are long gone.
    fn stop_orphans(&mut self) {
        let lost: Vec<Incarnation> = self
            .ledger
            .lost_before(self.now.saturating_sub(ORPHAN_GRACE))
            .collect();
        for entry in lost {
            let of_entry = self.runs.iter().filter(|(_, r)| r.entry == entry);
            let runs: Vec<RunId> = of_entry.map(|(run, _)| *run).collect();
            for run in runs {
                self.stop_run(run);
            }
            self.registrar.abandon(entry);
        }
        let cutoff = self.now.saturating_sub(FORGET_AFTER);
        if self.ledger.lost_before(cutoff).next().is_some() {
            self.log(EventCode::EntryForgotten, "gone for long");
            self.ledger.forget_lost_before(cutoff);
        }
    }

    fn balance_slots(&mut self) {
        for notice in self.slots.balance() {
            self.send_notice(notice);
        }
    }

    fn send_notice(&mut self, notice: SlotNotice) {
        match notice {
            SlotNotice::Lend(session, n) => self.send(session, AgentMessage::Lend(n)),
            SlotNotice::Recall(session, n) => self.send(session, AgentMessage::Recall(n)),
        }
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
