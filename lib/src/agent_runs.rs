//! The agent's dispatches and runs: their acceptance, slots and leases.

use std::time::Duration;

use crate::agent::{
    AgentAction, AgentCore, DispatchKey, INITIAL_BACKOFF, ORPHAN_GRACE, Renewal, Run, RunEnd,
    RunId, Start,
};
use crate::events::EventCode;
use crate::ids::{DispatchSeq, Incarnation, SessionId};
use crate::job::TaskSpec;
use crate::ledger::Offer;
use crate::message::{AgentMessage, Dispatch, DispatchFate, DispatchRefusal};
use crate::slot_table::SlotNotice;

/// Time after which the record of a disconnected entry's dispatches is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// Longest backoff after the target refused a connection.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

impl AgentCore {
    /// Starts or refuses a dispatch. Ignores a copy of an earlier one.
    pub(crate) fn dispatched(
        &mut self,
        session: SessionId,
        entry: Incarnation,
        dispatch: Dispatch,
    ) {
        // The ledger records the outcome of each dispatch until the entry has settled it.
        self.ledger.settle(entry, dispatch.settled_below);
        if self.ledger.offer(entry, dispatch.seq) == Offer::Duplicate {
            return;
        }
        self.slots.limit_demand(session, dispatch.waiting);
        match self.refusal_reason(&dispatch.spec) {
            Some(reason) => self.refuse(session, entry, dispatch.seq, reason),
            None if self.slots.take(session) => self.start_run(entry, dispatch),
            None => self.refuse(session, entry, dispatch.seq, DispatchRefusal::Full),
        }
    }

    pub(crate) fn refusal_reason(&self, spec: &TaskSpec) -> Option<DispatchRefusal> {
        if self.draining_since.is_some() {
            return Some(DispatchRefusal::Leaving);
        }
        if self.down_until.is_some_and(|until| until > self.now) {
            return Some(DispatchRefusal::TargetDown);
        }
        let accelerators: u32 = self.runs.values().map(|r| r.accelerators).sum();
        let memory: u32 = self.runs.values().map(|r| r.memory_mib).sum();
        let capacity = self.options.capacity;
        let fits = accelerators + spec.accelerators <= capacity.accelerators
            && memory + spec.memory_mib <= capacity.memory_mib;
        (!fits).then_some(DispatchRefusal::Resources)
    }

    pub(crate) fn refuse(
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

    pub(crate) fn start_run(&mut self, entry: Incarnation, dispatch: Dispatch) {
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
        self.actions.push(AgentAction::Start(Start {
            run,
            job: dispatch.job,
            task: dispatch.task,
            spec: dispatch.spec,
            lease: self.lease,
            trace: dispatch.trace,
        }));
    }

    /// Records how a run ended and reports it to the entry that dispatched the task.
    pub(crate) fn run_ended(&mut self, run: RunId, end: RunEnd) {
        let Some(record) = self.runs.remove(&run) else {
            return;
        };
        let Run { entry, seq, .. } = record;
        self.by_dispatch.remove(&DispatchKey { entry, seq });
        self.slots.release();
        match end {
            RunEnd::NotStarted => {
                self.mark_target_down();
                let reason = DispatchRefusal::TargetDown;
                self.ledger
                    .decide(entry, seq, DispatchFate::Refused(reason));
                let free = self.slots.spare();
                self.send_entry(entry, AgentMessage::Refused { seq, reason, free });
            }
            RunEnd::Ended(outcome) => {
                self.mark_target_up();
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

    /// Stops lending slots until the backoff ends, after the target refused a connection.
    pub(crate) fn mark_target_down(&mut self) {
        if self.down_until.is_none() {
            self.log(EventCode::TargetDown, &*self.options.name.clone());
        }
        self.down_until = Some(self.now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.slots.set_usable(false);
        for notice in self.slots.recall_all() {
            self.send_notice(notice);
        }
    }

    pub(crate) fn mark_target_up(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        if self.down_until.take().is_some() {
            self.log(EventCode::TargetUp, &*self.options.name.clone());
            self.slots.set_usable(self.draining_since.is_none());
        }
    }

    /// Revokes dispatches: those not yet started are refused permanently, running ones are stopped.
    pub(crate) fn revoked(&mut self, entry: Incarnation, seqs: &[DispatchSeq]) {
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

    pub(crate) fn stop_dispatch(&mut self, entry: Incarnation, seq: DispatchSeq) {
        if let Some(run) = self.by_dispatch.get(&DispatchKey { entry, seq }).copied() {
            self.stop_run(run);
        }
    }

    pub(crate) fn stop_run(&mut self, run: RunId) {
        if let Some(record) = self.runs.get_mut(&run)
            && !record.stopping
        {
            record.stopping = true;
            self.actions.push(AgentAction::StopRun(run));
        }
    }

    /// Renews the leases of all runs that aren't being stopped, every third of the lease.
    pub(crate) fn renew_leases(&mut self) {
        if self.now.saturating_sub(self.renewed_at) < self.lease / 3 {
            return;
        }
        self.renewed_at = self.now;
        let live = self.runs.iter().filter(|(_, r)| !r.stopping);
        let runs: Vec<RunId> = live.map(|(run, _)| *run).collect();
        if !runs.is_empty() {
            let lease = self.lease;
            self.actions
                .push(AgentAction::Renew(Renewal { runs, lease }));
        }
    }

    /// Stops the tasks of entries disconnected for [`ORPHAN_GRACE`] and abandons their permit
    /// claims: whether those requests ran is then unknown. Forgets entries disconnected for
    /// [`FORGET_AFTER`].
    pub(crate) fn stop_orphans(&mut self) {
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
            self.log(EventCode::EntryForgotten, "disconnected for too long");
            self.ledger.forget_lost_before(cutoff);
        }
    }

    pub(crate) fn balance_slots(&mut self) {
        for notice in self.slots.balance() {
            self.send_notice(notice);
        }
    }

    pub(crate) fn send_notice(&mut self, notice: SlotNotice) {
        match notice {
            SlotNotice::Lend(session, n) => self.send(session, AgentMessage::Lend(n)),
            SlotNotice::Recall(session, n) => self.send(session, AgentMessage::Recall(n)),
        }
    }
}
