//! Agents as the entry sees them: sessions, dispatches and the outcomes of dispatches.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::counters::MessageKind as _;
use crate::entry::{EntryAction, EntryCore};
use crate::events::EventCode;
use crate::frame_order::FrameOrder;
use crate::health::{Ending, HealthChange};
use crate::ids::{DispatchSeq, Incarnation, JobSeq, SessionId, TaskIndex};
use crate::job::TaskOutcome;
use crate::job_history::StepKind;
use crate::job_table::{NextTask, WaitingTask};
use crate::message::{
    AgentConfig, AgentHello, AgentMessage, Dispatch, DispatchFate, DispatchRefusal, EntryMessage,
    Frame, PROTOCOL_VERSION, SettledDispatch, Welcome,
};
use crate::outbox::{AgentLink, ExchangedFrames};
use crate::placement::Signal;
use crate::target_table::{Outstanding, Target};

/// Minimum interval between heartbeats on an idle session.
pub const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);
/// Maximum interval between heartbeats on an idle session.
const MAX_HEARTBEAT_EVERY: Duration = Duration::from_secs(10);
/// A session is closed after this many heartbeat intervals without a frame.
pub const SILENT_HEARTBEATS: f64 = 3.5;
/// Bytes on the wire of a heartbeat and its counterpart; see docs/CAPACITY.md.
const HEARTBEAT_BYTES: f64 = 158.0;
/// Bytes per second for all heartbeats of an entry, both directions together.
const HEARTBEAT_BUDGET: f64 = 6_000.0;
/// An incarnation that left the VM list ends after this long without a session.
pub const ABSENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Weight of a new observation in the moving average of a target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Expected run times below this count as this when slowness is computed.
const MIN_EXPECTED: Duration = Duration::from_millis(5);

impl EntryCore {
    /// Handles an agent's hello. The welcome lists the dispatches that are still open.
    pub(crate) fn agent_opened(&mut self, session: SessionId, hello: AgentHello) {
        if hello.protocol != PROTOCOL_VERSION {
            let found = hello.protocol;
            let detail = format!("{}: protocol {found}, not {PROTOCOL_VERSION}", hello.name);
            self.log(EventCode::AgentRefused, detail);
            self.actions.push(EntryAction::CloseAgent(session));
            return;
        }
        self.end_former_incarnations(&hello);
        let id = hello.incarnation;
        let target = Target::new(hello.name.clone(), hello.hall.clone(), hello.capacity);
        self.targets.insert(id, target);
        self.health.add(id);
        if let Some(old) = self.targets.attach(id, session) {
            self.agents.close(old);
            self.actions.push(EntryAction::CloseAgent(old));
        }
        let passed = ExchangedFrames {
            sent: 0,
            received: 1,
        };
        self.agents.open(session, AgentLink, passed, self.now);
        self.record_clock_offset(id, hello.uptime_ms);
        self.config.note_known_version(hello.config);
        if hello.leaving {
            self.target_leaves(id);
        }
        self.log(EventCode::AgentJoined, format!("{} {id:016x}", hello.name));
        self.welcome(id);
        self.release_leaving(id);
        self.send_agent_config(id);
        self.send_deferred_releases(id);
    }

    /// Ends former incarnations under the agent's name; a new one proves that they are over.
    fn end_former_incarnations(&mut self, hello: &AgentHello) {
        let former = self.targets.iter();
        let former: Vec<Incarnation> = former
            .filter(|(id, t)| t.name == hello.name && *id != hello.incarnation)
            .map(|(id, _)| id)
            .collect();
        for id in former {
            self.end_incarnation(id);
        }
    }

    /// The heartbeat interval. It grows with the number of sessions to keep all heartbeats within
    /// their byte budget. A crashed process is still noticed at once by its closed connection.
    fn heartbeat_every(&self) -> Duration {
        let seconds = self.agents.len() as f64 * HEARTBEAT_BYTES / HEARTBEAT_BUDGET;
        Duration::from_secs_f64(seconds).clamp(HEARTBEAT_EVERY, MAX_HEARTBEAT_EVERY)
    }

    fn welcome(&mut self, id: Incarnation) {
        let heartbeat_every = self.heartbeat_every();
        let session = self.targets.update(id, |t| {
            t.heartbeat_every = heartbeat_every;
            t.session
        });
        if let Some(Some(session)) = session {
            let silence = heartbeat_every.mul_f64(SILENT_HEARTBEATS);
            self.agents.set_silence(session, silence);
        }
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let welcome = Welcome {
            name: self.options.name.clone(),
            incarnation: self.options.incarnation,
            placement: self.placement.mode(),
            resume: target.next_seq > 1,
            outstanding: target.outstanding.keys().copied().collect(),
            settled_below: target.settled_below(),
            config: self.config.stamp(),
            entries: self.known_entries(),
            heartbeat_ms: heartbeat_every.as_millis() as u32,
        };
        self.send_agent(id, EntryMessage::Welcome(welcome));
    }

    pub(crate) fn send_agent_config(&mut self, id: Incarnation) {
        if let Some(document) = self.config.document() {
            let config = AgentConfig {
                stamp: self.config.stamp(),
                lease_ms: document.lease_ms,
            };
            self.send_agent(id, EntryMessage::Config(config));
        }
    }

    fn record_clock_offset(&mut self, id: Incarnation, uptime_ms: u64) {
        let offset = uptime_ms as i64 - self.now.as_millis() as i64;
        self.targets.update(id, |t| t.clock_offset_ms = offset);
    }

    /// Handles a frame of an agent.
    pub(crate) fn agent_frame(&mut self, session: SessionId, frame: Frame<AgentMessage>) {
        match self.agents.accept(session, frame.n, self.now) {
            Some(FrameOrder::Next) => {}
            Some(FrameOrder::Gap) => {
                self.log(EventCode::SessionGap, format!("agent session {session}"));
                self.actions.push(EntryAction::CloseAgent(session));
                self.agent_closed(session);
                return;
            }
            Some(FrameOrder::Copy) | None => return,
        }
        for message in frame.messages {
            // A message may end the session or the incarnation that sent it.
            let Some(id) = self.targets.by_session(session) else {
                return;
            };
            self.counters.message(message.kind());
            self.agent_message(id, message);
        }
    }

    fn agent_message(&mut self, id: Incarnation, message: AgentMessage) {
        match message {
            AgentMessage::Hello(_) => {}
            AgentMessage::Reconciled(fates) => self.reconciled(id, fates),
            AgentMessage::Refused { seq, reason, free } => {
                self.record_free_slots(id, free);
                self.dispatch_refused(id, seq, reason);
            }
            AgentMessage::Finished {
                seq,
                outcome,
                run_ms,
                free,
            } => {
                self.record_free_slots(id, free);
                let took = Duration::from_millis(u64::from(run_ms));
                self.dispatch_finished(id, seq, outcome, Some(took));
            }
            AgentMessage::Lend(n) => self.slots_lent(id, n),
            AgentMessage::Recall(n) => self.slots_recalled(id, n),
            AgentMessage::Heartbeat {
                uptime_ms,
                free,
                config,
            } => {
                self.record_clock_offset(id, uptime_ms);
                self.record_free_slots(id, free);
                self.config.note_known_version(config);
            }
            AgentMessage::Claimed { claim, answer } => self.claimed(claim, answer),
            AgentMessage::Leaving => {
                self.target_leaves(id);
                self.release_leaving(id);
            }
            AgentMessage::Goodbye { clean } => self.goodbye(id, clean),
        }
    }

    /// Records the free slots that an agent reports. Some placement modes dispatch to them.
    fn record_free_slots(&mut self, id: Incarnation, free: u32) {
        self.targets.update(id, |t| t.free_seen = free);
        if self.placement.trusts_reports() {
            self.targets.set_credits(id, free);
        }
    }

    fn slots_lent(&mut self, id: Incarnation, n: u32) {
        self.targets.update(id, |t| {
            t.asked = t.asked.saturating_sub(n);
            t.reserved = t.reserved.saturating_sub(n);
        });
        self.targets.add_credits(id, n);
    }

    fn slots_recalled(&mut self, id: Incarnation, n: u32) {
        self.targets.take_credits(id, n);
        // Counts the recall and the lend message that it cancels.
        self.counters.wasted += 2;
    }

    /// Settles the dispatches that were open when the last session was lost.
    fn reconciled(&mut self, id: Incarnation, fates: Vec<SettledDispatch>) {
        for settled in fates {
            match settled.fate {
                DispatchFate::Running => {}
                DispatchFate::Refused(reason) => self.dispatch_refused(id, settled.seq, reason),
                DispatchFate::Finished(outcome) => {
                    self.dispatch_finished(id, settled.seq, outcome, None);
                }
                DispatchFate::Forgotten => {
                    self.dispatch_finished(id, settled.seq, TaskOutcome::Lost, None);
                }
            }
        }
    }

    fn settle_dispatch(&mut self, id: Incarnation, seq: DispatchSeq) -> Option<Outstanding> {
        let settled = self.targets.update(id, |t| t.outstanding.remove(&seq))??;
        self.release_leaving(id);
        Some(settled)
    }

    /// Sends a leaving agent its release as soon as none of its dispatches is open.
    fn release_leaving(&mut self, id: Incarnation) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        if target.leaving && target.outstanding.is_empty() {
            let settled_below = target.settled_below();
            self.send_agent(id, EntryMessage::Released { settled_below });
        }
    }

    /// Requeues the task of a dispatch that is proven never to have started.
    fn dispatch_refused(&mut self, id: Incarnation, seq: DispatchSeq, reason: DispatchRefusal) {
        let Some(outstanding) = self.settle_dispatch(id, seq) else {
            return;
        };
        self.counters.not_started += 1;
        self.counters.wasted += 2;
        if reason == DispatchRefusal::Leaving {
            self.target_leaves(id);
        }
        let Outstanding { job, task, .. } = outstanding;
        let target = self.target_name(id);
        self.history.add(job, self.now, || StepKind::NotStarted {
            task,
            target,
            reason: format!("{reason:?}"),
        });
        if let Some(waiting) = self.waiting_task(job, task) {
            self.jobs.requeue(job, waiting);
        }
    }

    fn waiting_task(&self, job: JobSeq, index: TaskIndex) -> Option<WaitingTask> {
        let job = self.jobs.get(job)?;
        let task = &job.spec.tasks[index as usize];
        let expected = self.run_times.estimate(&job.spec.team, task).mean;
        Some(WaitingTask { index, expected })
    }

    /// Settles a dispatch that has ended, or that may have run and whose outcome is lost.
    fn dispatch_finished(
        &mut self,
        id: Incarnation,
        seq: DispatchSeq,
        outcome: TaskOutcome,
        took: Option<Duration>,
    ) {
        let Some(outstanding) = self.settle_dispatch(id, seq) else {
            return;
        };
        let Outstanding { job, task, .. } = outstanding;
        // Caps the reported run time, which is wrong if the agent's clock was stepped.
        let since_sent = self.now.saturating_sub(outstanding.sent_at);
        let took = took.map(|t| t.min(since_sent));
        if !outstanding.revoked {
            self.observe_health(id, job, &outcome);
            if let (TaskOutcome::Succeeded(_), Some(took)) = (&outcome, took) {
                self.observe_run_time(id, job, task, took);
            }
        } else {
            self.counters.wasted += 2;
        }
        let target = self.target_name(id);
        self.task_ended(job, task, &target, outcome);
    }

    fn observe_run_time(&mut self, id: Incarnation, job: JobSeq, task: TaskIndex, took: Duration) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        job.longest_run = job.longest_run.max(took);
        job.total_run += took;
        let spec = &job.spec.tasks[task as usize];
        let expected = self.run_times.estimate(&job.spec.team, spec).mean;
        let ratio = took.as_secs_f64() / expected.max(MIN_EXPECTED).as_secs_f64();
        self.run_times.observe(&job.spec.team, &spec.kind, took);
        self.targets.update(id, |t| {
            t.slowness += SLOWNESS_WEIGHT * (ratio.min(10.0) - t.slowness);
        });
    }

    fn observe_health(&mut self, id: Incarnation, job: JobSeq, outcome: &TaskOutcome) {
        let ending = match outcome {
            TaskOutcome::Succeeded(_) => Ending::Good,
            TaskOutcome::Failed(_) | TaskOutcome::Lost => Ending::Bad,
        };
        if let Some(change) = self.health.observe(id, job, ending, self.now) {
            self.apply_health(change);
        }
    }

    pub(crate) fn apply_health(&mut self, change: HealthChange) {
        let (id, allowance, code) = match change {
            HealthChange::SetAside(id) => (id, 0, EventCode::TargetSetAside),
            HealthChange::Probe(id) => (id, 1, EventCode::TargetProbed),
            HealthChange::Allow(id, n) => (id, n, EventCode::TargetReturned),
        };
        self.targets.update(id, |t| t.allowance = allowance);
        let name = self.target_name(id);
        self.log(code, &*name);
        if allowance == 0 {
            let returned = self.targets.take_credits(id, u32::MAX);
            if returned > 0 {
                self.send_agent(id, EntryMessage::GiveBack(returned));
            }
        }
    }

    /// Excludes a target from new work for the rest of its incarnation.
    pub(crate) fn target_leaves(&mut self, id: Incarnation) {
        let was = self
            .targets
            .update(id, |t| std::mem::replace(&mut t.leaving, true));
        if was == Some(false) {
            let name = self.target_name(id);
            self.log(EventCode::AgentLeaving, &*name);
        }
    }

    /// Handles the end of a session. Open dispatches stay open until the agent reconnects or its
    /// incarnation is known to be over, because a lost session does not prove that nothing runs.
    pub(crate) fn agent_closed(&mut self, session: SessionId) {
        self.agents.close(session);
        let Some(id) = self.targets.detach(session, self.now) else {
            return;
        };
        let name = self.target_name(id);
        self.log(EventCode::AgentLost, format!("{name} {id:016x}"));
        self.refuse_claims_at(id);
    }

    /// Ends an agent that stops in an orderly way. If it has reported every task that started,
    /// the tasks of its open dispatches are requeued.
    fn goodbye(&mut self, id: Incarnation, clean: bool) {
        if clean {
            let open = self.targets.get(id).map(|t| t.outstanding.keys().copied());
            let open: Vec<DispatchSeq> = open.into_iter().flatten().collect();
            for seq in open {
                self.dispatch_refused(id, seq, DispatchRefusal::NeverSeen);
            }
        }
        self.end_incarnation(id);
    }

    /// Ends an incarnation. The tasks of its open dispatches may have run and count as lost.
    pub(crate) fn end_incarnation(&mut self, id: Incarnation) {
        let Some(target) = self.targets.retire(id) else {
            return;
        };
        self.health.remove(id);
        if let Some(session) = target.session {
            self.agents.close(session);
            self.actions.push(EntryAction::CloseAgent(session));
        }
        self.refuse_claims_at(id);
        self.deferred_releases.remove(&id);
        self.log(EventCode::AgentGone, format!("{} {id:016x}", target.name));
        for outstanding in target.outstanding.values() {
            let Outstanding { job, task, .. } = *outstanding;
            self.task_ended(job, task, &target.name, TaskOutcome::Lost);
        }
    }

    /// Dispatches waiting tasks while slots are free, then signals the remaining demand to agents.
    pub(crate) fn place_waiting_tasks(&mut self) {
        let mut blocked = BTreeSet::new();
        while self.targets.ready().next().is_some() {
            let Some(next) = self.jobs.next(&blocked) else {
                break;
            };
            match self.placement.choose(&next.need, &self.targets) {
                Some(target) => self.dispatch_task(next, target),
                None => {
                    blocked.insert(next.need);
                }
            }
        }
        let waiting = self.jobs.waiting();
        let signals = self
            .placement
            .signal(waiting, &mut self.targets, &mut self.rng);
        self.send_signals(signals);
    }

    /// Signals demand to more agents if tasks still wait at a tick.
    fn widen_demand(&mut self) {
        let waiting = self.jobs.waiting();
        if waiting.tasks > 0 {
            let signals = self
                .placement
                .remind(waiting, &mut self.targets, &mut self.rng);
            self.send_signals(signals);
        }
    }

    fn send_signals(&mut self, signals: Vec<Signal>) {
        for signal in signals {
            if matches!(signal.message, EntryMessage::GiveBack(_)) {
                self.counters.wasted += 3;
            }
            self.send_agent(signal.target, signal.message);
        }
    }

    fn dispatch_task(&mut self, next: NextTask, target: Incarnation) {
        let Some(task) = self.jobs.take_task(next.job) else {
            return;
        };
        let outstanding = Outstanding {
            job: next.job,
            task: task.index,
            sent_at: self.now,
            revoked: false,
        };
        self.targets.take_credits(target, 1);
        let waiting = self.jobs.waiting().tasks;
        let numbers = self.targets.update(target, |t| {
            let seq = t.next_seq;
            t.next_seq += 1;
            t.outstanding.insert(seq, outstanding);
            t.free_seen = t.free_seen.saturating_sub(1);
            // The agent lowers the demand that it has recorded in the same way.
            t.asked = t.asked.min(waiting);
            (seq, t.settled_below())
        });
        let (Some((seq, settled_below)), Some(job)) = (numbers, self.jobs.get(next.job)) else {
            return;
        };
        let dispatch = Dispatch {
            seq,
            settled_below,
            job: job.id,
            task: task.index,
            spec: job.spec.tasks[task.index as usize].clone(),
            waiting,
            trace: job.spec.trace.clone(),
        };
        self.counters.dispatched += 1;
        let name = self.target_name(target);
        self.history
            .add(next.job, self.now, || StepKind::Dispatched {
                task: task.index,
                target: name,
            });
        self.send_agent(target, EntryMessage::Dispatch(dispatch));
    }

    /// Revokes the open dispatches of an answered job, with one message per agent.
    pub(crate) fn revoke_job(&mut self, job: JobSeq) {
        let mut by_target: BTreeMap<Incarnation, Vec<DispatchSeq>> = BTreeMap::new();
        for (id, target) in self.targets.iter() {
            let of_job = target.outstanding.iter().filter(|(_, o)| o.job == job);
            let seqs: Vec<DispatchSeq> = of_job.map(|(seq, _)| *seq).collect();
            if !seqs.is_empty() {
                by_target.insert(id, seqs);
            }
        }
        for (id, seqs) in by_target {
            self.targets.update(id, |t| {
                for seq in &seqs {
                    if let Some(o) = t.outstanding.get_mut(seq) {
                        o.revoked = true;
                    }
                }
            });
            self.counters.wasted += 1;
            self.send_agent(id, EntryMessage::Revoke(seqs));
        }
    }

    /// Closes silent sessions, advances health probes and sends heartbeats and demand.
    pub(crate) fn tick_targets(&mut self) {
        for session in self.agents.silent(self.now) {
            self.actions.push(EntryAction::CloseAgent(session));
            self.agent_closed(session);
        }
        for change in self.health.tick(self.now) {
            self.apply_health(change);
        }
        self.send_heartbeats();
        self.widen_demand();
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        let is_idle = |t: &Target| now.saturating_sub(t.last_sent) >= t.heartbeat_every;
        let idle: Vec<Incarnation> = self
            .targets
            .iter()
            .filter(|(_, t)| t.session.is_some() && is_idle(t))
            .map(|(id, _)| id)
            .collect();
        for id in idle {
            let settled_below = self.targets.get(id).map_or(0, Target::settled_below);
            self.send_agent(id, EntryMessage::Heartbeat { settled_below });
        }
    }

    /// Known incarnations of the target with this name.
    pub(crate) fn incarnations_of(&self, name: &Arc<str>) -> Vec<Incarnation> {
        let incarnations = self.targets.iter().filter(|(_, t)| t.name == *name);
        incarnations.map(|(id, _)| id).collect()
    }
}
