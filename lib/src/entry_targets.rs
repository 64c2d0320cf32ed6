//! The entry's side of agents: sessions, dispatches and their fates.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::counters::Kind as _;
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
use crate::outbox::{AgentLink, Passed};
use crate::placement::Signal;
use crate::target_table::{Outstanding, Target};

/// A quiet session gets a heartbeat after this, at the least.
pub const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);
/// A quiet session gets a heartbeat after this, at the most.
const MOST_HEARTBEAT_EVERY: Duration = Duration::from_secs(10);
/// A session is given up when nothing was heard for so many times its heartbeat interval.
pub const SILENT_HEARTBEATS: f64 = 3.5;
/// Bytes of a heartbeat and its counterpart on the wire (docs/CAPACITY.md).
const HEARTBEAT_BYTES: f64 = 158.0;
/// Bytes a second that the heartbeats of an entry may take, both ways.
const HEARTBEAT_BUDGET: f64 = 6_000.0;
/// A life that left the VM list is over when its session has been gone for this.
pub const GONE_AFTER: Duration = Duration::from_secs(3);
/// Weight of a new observation in a target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Shortest expected time that slowness is judged by.
const LEAST_JUDGED: Duration = Duration::from_millis(5);

impl EntryCore {
    /// Takes in an agent's hello: welcomes it with what is still open from before.
    pub(crate) fn agent_opened(&mut self, session: SessionId, hello: AgentHello) {
        if hello.protocol != PROTOCOL_VERSION {
            let found = hello.protocol;
            let detail = format!("{}: protocol {found}, not {PROTOCOL_VERSION}", hello.name);
            self.log(EventCode::AgentRefused, detail);
            self.out.push(EntryAction::CloseAgent(session));
            return;
        }
        self.end_former_lives(&hello);
        let id = hello.incarnation;
        let target = Target::new(hello.name.clone(), hello.hall.clone(), hello.capacity);
        self.targets.insert(id, target);
        self.health.add(id);
        if let Some(old) = self.targets.attach(id, session) {
            self.agents.close(old);
            self.out.push(EntryAction::CloseAgent(old));
        }
        let passed = Passed {
            sent: 0,
            received: 1,
        };
        self.agents.open(session, AgentLink, passed, self.now);
        self.note_clock(id, hello.uptime_ms);
        self.config.heard_of(hello.config);
        if hello.leaving {
            self.target_leaves(id);
        }
        self.log(EventCode::AgentJoined, format!("{} {id:016x}", hello.name));
        self.welcome(id);
        self.release_leaving(id);
        self.send_agent_config(id);
        self.release_leftover_claims(id);
    }

    /// A new life under a known name is proof that the former one is over.
    fn end_former_lives(&mut self, hello: &AgentHello) {
        let former = self.targets.iter();
        let former: Vec<Incarnation> = former
            .filter(|(id, t)| t.name == hello.name && *id != hello.incarnation)
            .map(|(id, _)| id)
            .collect();
        for id in former {
            self.life_over(id);
        }
    }

    /// With more sessions heartbeats get rarer, so that all together stay within their budget.
    /// The death of a process still shows at once, by its closed connection.
    fn heartbeat_every(&self) -> Duration {
        let seconds = self.agents.len() as f64 * HEARTBEAT_BYTES / HEARTBEAT_BUDGET;
        Duration::from_secs_f64(seconds).clamp(HEARTBEAT_EVERY, MOST_HEARTBEAT_EVERY)
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

    fn note_clock(&mut self, id: Incarnation, uptime_ms: u64) {
        let offset = uptime_ms as i64 - self.now.as_millis() as i64;
        self.targets.update(id, |t| t.clock_offset_ms = offset);
    }

    /// Takes in an agent's frame.
    pub(crate) fn agent_frame(&mut self, session: SessionId, frame: Frame<AgentMessage>) {
        match self.agents.accept(session, frame.n, self.now) {
            Some(FrameOrder::Next) => {}
            Some(FrameOrder::Gap) => {
                self.log(EventCode::SessionGap, format!("agent session {session}"));
                self.out.push(EntryAction::CloseAgent(session));
                self.agent_closed(session);
                return;
            }
            Some(FrameOrder::Copy) | None => return,
        }
        for message in frame.messages {
            // A message may end the session or the life that it came from.
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
                self.note_free(id, free);
                self.dispatch_refused(id, seq, reason);
            }
            AgentMessage::Finished {
                seq,
                outcome,
                run_ms,
                free,
            } => {
                self.note_free(id, free);
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
                self.note_clock(id, uptime_ms);
                self.note_free(id, free);
                self.config.heard_of(config);
            }
            AgentMessage::Claimed { claim, answer } => self.claimed(claim, answer),
            AgentMessage::Leaving => {
                self.target_leaves(id);
                self.release_leaving(id);
            }
            AgentMessage::Goodbye { clean } => self.goodbye(id, clean),
        }
    }

    /// Keeps a report of slots without a task; some placements take it for slots to dispatch to.
    fn note_free(&mut self, id: Incarnation, free: u32) {
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
        // The recall, and the loan that came to nothing.
        self.counters.wasted += 2;
    }

    /// Settles what was open when the session was lost.
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

    /// Tells a leaving agent at once that nothing of it is waited for any more.
    fn release_leaving(&mut self, id: Incarnation) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        if target.leaving && target.outstanding.is_empty() {
            let settled_below = target.settled_below();
            self.send_agent(id, EntryMessage::Released { settled_below });
        }
    }

    /// A dispatch is proven never to have started: its task may go elsewhere.
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
        self.journal.add(job, self.now, || StepKind::NotStarted {
            task,
            target,
            reason: format!("{reason:?}"),
        });
        if let Some(waiting) = self.waiting_task(job, task) {
            self.jobs.put_back(job, waiting);
        }
    }

    fn waiting_task(&self, job: JobSeq, index: TaskIndex) -> Option<WaitingTask> {
        let job = self.jobs.get(job)?;
        let task = &job.spec.tasks[index as usize];
        let expected = self.run_times.estimate(&job.spec.team, task).mean;
        Some(WaitingTask { index, expected })
    }

    /// A dispatch has ended, or may have run and will not be heard of again.
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
        // An agent whose clock stepped reports nonsense; it can't have taken longer than this.
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
        let ratio = took.as_secs_f64() / expected.max(LEAST_JUDGED).as_secs_f64();
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
            let back = self.targets.take_credits(id, u32::MAX);
            if back > 0 {
                self.send_agent(id, EntryMessage::GiveBack(back));
            }
        }
    }

    /// Gives a target no new work for the rest of this life.
    pub(crate) fn target_leaves(&mut self, id: Incarnation) {
        let was = self
            .targets
            .update(id, |t| std::mem::replace(&mut t.leaving, true));
        if was == Some(false) {
            let name = self.target_name(id);
            self.log(EventCode::AgentLeaving, &*name);
        }
    }

    /// A session is gone. Silence is no proof: what is out stays open until the agent comes
    /// back or its life is known to be over.
    pub(crate) fn agent_closed(&mut self, session: SessionId) {
        self.agents.close(session);
        let Some(id) = self.targets.detach(session, self.now) else {
            return;
        };
        let name = self.target_name(id);
        self.log(EventCode::AgentLost, format!("{name} {id:016x}"));
        self.refuse_claims_at(id);
    }

    /// An agent stops in order. If it has told of all that started, the rest may go elsewhere.
    fn goodbye(&mut self, id: Incarnation, clean: bool) {
        if clean {
            let open = self.targets.get(id).map(|t| t.outstanding.keys().copied());
            let open: Vec<DispatchSeq> = open.into_iter().flatten().collect();
            for seq in open {
                self.dispatch_refused(id, seq, DispatchRefusal::NeverSeen);
            }
        }
        self.life_over(id);
    }

    /// A life is over: what was out may have run, and will not be heard of again.
    pub(crate) fn life_over(&mut self, id: Incarnation) {
        let Some(target) = self.targets.retire(id) else {
            return;
        };
        self.health.remove(id);
        if let Some(session) = target.session {
            self.agents.close(session);
            self.out.push(EntryAction::CloseAgent(session));
        }
        self.refuse_claims_at(id);
        self.unreleased.remove(&id);
        self.log(EventCode::AgentGone, format!("{} {id:016x}", target.name));
        for outstanding in target.outstanding.values() {
            let Outstanding { job, task, .. } = *outstanding;
            self.task_ended(job, task, &target.name, TaskOutcome::Lost);
        }
    }

    /// Hands out waiting tasks while there are slots for them, then tells agents what is needed.
    pub(crate) fn pump(&mut self) {
        let mut blocked = BTreeSet::new();
        while self.targets.ready().next().is_some() {
            let Some(next) = self.jobs.next(&blocked) else {
                break;
            };
            match self.placement.choose(&next.need, &self.targets) {
                Some(target) => self.hand_out(next, target),
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

    /// Asks more widely for tasks that have waited since the last tick.
    fn remind(&mut self) {
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

    fn hand_out(&mut self, next: NextTask, target: Incarnation) {
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
            // The agent lowers its demand by the dispatch in the same way.
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
        self.journal
            .add(next.job, self.now, || StepKind::Dispatched {
                task: task.index,
                target: name,
            });
        self.send_agent(target, EntryMessage::Dispatch(dispatch));
    }

    /// Stops what still runs of a job that has been answered, in one message an agent.
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

    /// Heartbeats, silent sessions and probes.
    pub(crate) fn tick_targets(&mut self) {
        for session in self.agents.silent(self.now) {
            self.out.push(EntryAction::CloseAgent(session));
            self.agent_closed(session);
        }
        for change in self.health.tick(self.now) {
            self.apply_health(change);
        }
        self.send_heartbeats();
        self.remind();
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        let is_quiet = |t: &Target| now.saturating_sub(t.last_sent) >= t.heartbeat_every;
        let quiet: Vec<Incarnation> = self
            .targets
            .iter()
            .filter(|(_, t)| t.session.is_some() && is_quiet(t))
            .map(|(id, _)| id)
            .collect();
        for id in quiet {
            let settled_below = self.targets.get(id).map_or(0, Target::settled_below);
            self.send_agent(id, EntryMessage::Heartbeat { settled_below });
        }
    }

    /// Target by name, for the VM list.
    pub(crate) fn lives_of(&self, name: &Arc<str>) -> Vec<Incarnation> {
        let lives = self.targets.iter().filter(|(_, t)| t.name == *name);
        lives.map(|(id, _)| id).collect()
    }
}
