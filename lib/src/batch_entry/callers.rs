//! Callers: what is taken in, and what each of them hears.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;

use super::BatchEntryCore;
use crate::active_batch::{Batch, BatchState, BatchTimes, CloseReason, PlacementOrder};
use crate::batch::{BatchSpec, Unsupported};
use crate::batch_event::{EntryAction, Question, Refusal, Reply, Submission};
use crate::events::EventCode;
use crate::ids::RequestId;
use crate::queue::Queue;
use crate::run::BatchId;
use crate::wait_forecast;

/// How much longer than estimated work may take on the slowest sound targets. What the objective
/// leaves beyond that is a batch's slack; what waits longer would be late and make others late.
const SLOWEST_SOUND: f64 = 1.25;
/// The same while no target can be had: agents find an entry that has just started within this.
const WAIT_FOR_TARGETS: Duration = Duration::from_millis(500);
/// A batch that waits for this VM's own link, and not for room, is not refused when its slack is
/// spent, but asked again after this long: its targets are free, and it is served late.
const WAIT_FOR_LINK: Duration = Duration::from_millis(50);
/// When to come back if nothing better is known: a configuration or a target is found by then.
const RETRY_USUAL: Duration = Duration::from_millis(500);
/// When to come back if every target is evacuated: operators take a hall back after several seconds
/// at the soonest, and all entries know of it within a few hundred milliseconds.
const RETRY_EVACUATED: Duration = Duration::from_secs(2);

impl BatchEntryCore {
    pub(super) fn queue_of(&self, host: &str, path: &str) -> Result<Arc<Queue>, Reply> {
        let Some(table) = self.directory.config().table() else {
            return Err(refused(Refusal::NoConfig));
        };
        table.find(host, path).cloned().ok_or(Reply::NoQueue)
    }

    pub(super) fn submit(&mut self, submission: Submission) {
        let has_config = self.directory.config().table().is_some();
        if !has_config && self.early.has_room() {
            self.early.hold(self.now, submission);
        } else {
            self.admit_or_refuse(submission);
        }
    }

    /// Takes in what came before the first configuration, or refuses it after a moment.
    pub(super) fn settle_deferred(&mut self) {
        let has_config = self.directory.config().table().is_some();
        let settled = if has_config {
            self.early.take_all()
        } else {
            self.early.take_expired(self.now)
        };
        for submission in settled {
            self.admit_or_refuse(submission);
        }
    }

    pub(super) fn admit_or_refuse(&mut self, submission: Submission) {
        let request = submission.request;
        let id = submission.spec.id;
        let caller_request = submission.caller_request.clone();
        match self.admit(submission) {
            Ok(()) => self.needs_placing = true,
            Err(reply) => {
                let version = self.directory.config().version();
                self.log(
                    EventCode::BatchRefused,
                    format!(
                        "job={id:016x} request={caller_request} config={version} answer={reply:?}"
                    ),
                );
                self.out.push(EntryAction::Reply(request, reply));
            }
        }
    }

    pub(super) fn admit(&mut self, submission: Submission) -> Result<(), Reply> {
        let Submission {
            request,
            host,
            path,
            spec,
            patience,
            caller_request,
        } = submission;
        let queue = self.queue_of(&host, &path)?;
        if let Some(unsupported) = spec.unsupported {
            return Err(refused(Refusal::Unsupported(unsupported)));
        }
        if queue.needs_advice {
            return Err(refused(Refusal::Unsupported(Unsupported::Advice)));
        }
        if self.targets.is_evacuated(self.now, &queue.service) {
            return Err(refused(Refusal::Evacuated));
        }
        let chain = spec.longest_chain();
        if self.drain.would_be_outlasted(self.now, chain) {
            return Err(refused(Refusal::Draining));
        }
        if let Some(table) = self.directory.config().table() {
            self.retry_detector.forget_unconfigured(&table.queues);
        }
        let caller_return = self.options.timings.caller_return;
        let is_retry = self
            .retry_detector
            .is_retry(&queue.name, patience, caller_return);
        let times = self.times_of(&spec, &queue, patience, is_retry);
        if self.table.get(spec.id).is_some() {
            return self.admit_again(&spec, request, times, &caller_request);
        }
        self.refuse_hopeless(&spec, times)?;
        let tasks: u32 = spec.steps.iter().map(|s| s.count).sum();
        let due_ms = (times.due - times.arrived).as_millis();
        let usable = self.targets.usable(self.now);
        self.log(
            EventCode::BatchAdmitted,
            format!(
                "job={:016x} request={caller_request} queue={} tasks={tasks} due_ms={due_ms} \
                 patience_ms={} returning={is_retry} config={} targets={usable} held={}",
                spec.id,
                queue.name,
                patience.as_millis(),
                self.directory.config().version(),
                self.table.len(),
            ),
        );
        let payload = self.packer.pack(&spec.payload);
        let batch = Batch::new(&spec, payload, queue, request, times);
        self.table.insert(spec.id, batch);
        Ok(())
    }

    /// Refuses a batch that would still wait for room at its last useful moment.
    fn refuse_hopeless(&mut self, spec: &BatchSpec, times: BatchTimes) -> Result<(), Reply> {
        let turn = PlacementOrder {
            is_overdue: times.is_overdue,
            due: times.due,
        };
        let own: u32 = spec.steps.iter().map(|s| s.count).sum();
        let ahead = self.table.waiting_before(turn);
        let Some(wait) = self.forecast.wait_for(self.now, ahead + own) else {
            return Ok(());
        };
        let last_useful = times.in_time_until.min(times.caller_deadline);
        let allowance = last_useful.saturating_sub(self.now);
        if wait <= allowance {
            return Ok(());
        }
        Err(self.busy_for(wait.saturating_sub(allowance)))
    }

    /// Says that there is no room, and when there may be: once what waits now has been placed.
    fn busy(&mut self) -> Reply {
        let waiting = self.table.waiting_tasks();
        let wait = self.forecast.wait_for(self.now, waiting);
        self.busy_for(wait.unwrap_or(RETRY_USUAL))
    }

    fn busy_for(&mut self, pause: Duration) -> Reply {
        let chance = self.rng.random_range(0.0..1.0);
        Reply::Refused {
            why: Refusal::Busy,
            retry_after: Some(wait_forecast::return_after(pause, chance)),
        }
    }

    /// Refuses batches of which nothing has begun and whose own tasks can't all be placed in time
    /// any more, even if they were next. Begun, they would end late and make others late.
    pub(super) fn refuse_what_came_to_be_hopeless(&mut self) {
        if self.forecast.wait_for(self.now, 1).is_none() {
            return;
        }
        let mut hopeless = Vec::new();
        for id in self.table.in_order() {
            let Some(batch) = self
                .table
                .get(id)
                .filter(|b| !b.was_dispatched && !b.is_overdue)
            else {
                continue;
            };
            let left = batch.in_time_until.saturating_sub(self.now);
            let own = batch.waiting_tasks();
            let wait = self.forecast.wait_for(self.now, own);
            if wait.is_some_and(|wait| wait > left) {
                hopeless.push(id);
            }
        }
        for id in hopeless {
            self.close(id, CloseReason::Deadline);
        }
    }

    /// Refuses batches of which nothing has begun and whose targets are all evacuated.
    pub(super) fn refuse_evacuated(&mut self) {
        let waiting: Vec<BatchId> = self.table.in_order().collect();
        for id in waiting {
            let Some(batch) = self.table.get(id).filter(|b| !b.was_dispatched) else {
                continue;
            };
            if self.targets.is_evacuated(self.now, &batch.queue.service) {
                self.close(id, CloseReason::Evacuated);
            }
        }
    }

    /// The same batch again: the caller's connection broke, and what ran of it may not be over
    /// yet. Its tasks go on from where they are.
    pub(super) fn admit_again(
        &mut self,
        spec: &BatchSpec,
        request: RequestId,
        times: BatchTimes,
        caller_request: &str,
    ) -> Result<(), Reply> {
        let id = spec.id;
        let before = self.table.take_request(id);
        if let Some(before) = before {
            self.out.push(EntryAction::Reply(before, Reply::GaveUp));
        }
        self.log(
            EventCode::BatchAdmitted,
            format!("job={id:016x} request={caller_request} again=true"),
        );
        self.table.reopen(id, request, times);
        self.directory.reopened(id);
        Ok(())
    }

    pub(super) fn times_of(
        &self,
        spec: &BatchSpec,
        queue: &Queue,
        patience: Duration,
        is_retry: bool,
    ) -> BatchTimes {
        let arrived = self.now;
        let chain = spec.longest_chain();
        let objective = chain.mul_f64(queue.stretch) + queue.target_latency;
        let slack = objective.saturating_sub(chain.mul_f64(SLOWEST_SOUND));
        let mut wait = self.standing.allowance(arrived, slack);
        if self.targets.usable(self.now) == 0 {
            wait = wait.max(WAIT_FOR_TARGETS);
        }
        let age = if is_retry {
            self.options.timings.caller_return
        } else {
            Duration::ZERO
        };
        // What starts later than this can't be answered before the caller leaves.
        let last_start = patience.saturating_sub(chain);
        let left = objective.saturating_sub(age);
        let is_overdue = left.is_zero();
        BatchTimes {
            arrived,
            due: arrived + if is_overdue { objective } else { left },
            is_overdue,
            caller_deadline: arrived + patience,
            in_time_until: arrived + slack,
            placement_deadline: arrived + wait.min(last_start),
        }
    }

    pub(super) fn caller_gone(&mut self, request: RequestId) {
        if self.early.forget(request) {
            return;
        }
        let Some(id) = self.table.of_request(request) else {
            return;
        };
        self.table.take_request(id);
        let age_ms = self.table.age(self.now, id).as_millis();
        self.log(
            EventCode::BatchClosed,
            format!("job={id:016x} why=caller_gone age_ms={age_ms}"),
        );
        self.close(id, CloseReason::CallerGone);
        if self.table.get(id).is_some() {
            self.directory.tell_closing(self.now, id);
        }
    }

    pub(super) fn ask(&mut self, question: &Question) {
        let reply = match self.queue_of(&question.host, &question.path) {
            Err(reply) => reply,
            Ok(queue) => match question.batch {
                None => Reply::Pending(self.table.pending(&queue.name)),
                Some(id) => self.state_of(id),
            },
        };
        self.out.push(EntryAction::Reply(question.request, reply));
    }

    pub(super) fn state_of(&self, id: BatchId) -> Reply {
        match self.table.get(id) {
            None => Reply::NoBatch,
            Some(batch) if batch.was_dispatched => Reply::Running,
            Some(_) => Reply::Waiting,
        }
    }

    pub(super) fn cancel(&mut self, question: &Question) {
        let id = question.batch.filter(|id| self.table.get(*id).is_some());
        let Some(id) = id else {
            self.out
                .push(EntryAction::Reply(question.request, Reply::NoBatch));
            return;
        };
        self.log(
            EventCode::BatchClosed,
            format!("job={id:016x} why=cancelled"),
        );
        if let Some(request) = self.table.take_request(id) {
            self.out.push(EntryAction::Reply(request, Reply::Cancelled));
        }
        self.close(id, CloseReason::Cancelled);
        self.out
            .push(EntryAction::Reply(question.request, Reply::Cancelled));
    }

    /// Stops what runs of a batch and starts nothing more of it.
    pub(super) fn close(&mut self, id: BatchId, reason: CloseReason) {
        let stops = self.table.close(id, reason);
        for (key, agent) in stops {
            self.order_stop(key, &agent);
        }
        if self.table.get(id).is_some_and(|b| b.open_runs == 0) {
            self.closed(id);
        }
    }

    /// A batch that is not wanted has nothing out any more.
    pub(super) fn closed(&mut self, id: BatchId) {
        let Some(batch) = self.table.remove(id) else {
            return;
        };
        if batch.state == BatchState::Closing(CloseReason::CallerGone) && batch.was_dispatched {
            self.directory.tell_closed(self.now, id);
        }
        if let Some(request) = batch.request {
            let reply = if batch.crashes_targets() {
                // Not to be tried anew elsewhere: it would take targets along there.
                Reply::Failed
            } else if batch.was_dispatched {
                Reply::GaveUp
            } else if batch.state == BatchState::Closing(CloseReason::Evacuated) {
                refused(Refusal::Evacuated)
            } else {
                self.busy()
            };
            self.answer(id, &batch, request, reply);
        }
    }

    pub(super) fn answer(&mut self, id: BatchId, batch: &Batch, request: RequestId, reply: Reply) {
        let took = self.now.saturating_sub(batch.arrived).as_millis() as u64;
        let objective = batch.due.saturating_sub(batch.arrived).as_millis() as u64;
        let queue = &batch.queue.name;
        let usable = self.targets.usable(self.now);
        self.log(
            EventCode::BatchAnswered,
            format!(
                "job={id:016x} queue={queue} answer={reply:?} took_ms={took} \
                 objective_ms={objective} tried={} targets={usable}",
                batch.was_dispatched
            ),
        );
        if reply == Reply::Succeeded {
            self.out.push(EntryAction::Measured(took, objective));
        }
        self.out.push(EntryAction::Reply(request, reply));
    }

    /// A task has used up its attempts. The caller hears it at once; the rest is stopped.
    pub(super) fn failed(&mut self, id: BatchId) {
        let request = self.table.take_request(id);
        if let (Some(request), Some(batch)) = (request, self.table.get(id)) {
            let took = self.now.saturating_sub(batch.arrived).as_millis();
            let queue = batch.queue.name.clone();
            self.log(
                EventCode::BatchAnswered,
                format!("job={id:016x} queue={queue} answer=Failed took_ms={took}"),
            );
            self.out.push(EntryAction::Reply(request, Reply::Failed));
        }
        self.close(id, CloseReason::Failed);
    }

    pub(super) fn end_due_batches(&mut self) {
        for id in self.table.take_woken(self.now) {
            let Some(batch) = self.table.get(id) else {
                continue;
            };
            if batch.state != BatchState::Open {
                continue;
            }
            if batch.caller_deadline <= self.now {
                let out = batch.open_runs;
                self.log(
                    EventCode::BatchClosed,
                    format!("job={id:016x} why=deadline out={out}"),
                );
                self.close(id, CloseReason::Deadline);
            } else if batch.placement_deadline <= self.now && !batch.was_dispatched {
                if self.link_full_until.is_some() && !self.lacks_room() {
                    self.table.postpone(id, self.now + WAIT_FOR_LINK);
                } else {
                    self.close(id, CloseReason::Deadline);
                }
            } else if batch.in_time_until <= self.now && !batch.was_dispatched {
                self.table.note_overdue(id);
            }
        }
    }

    /// Answers whoever still waits, so that no connection ends without an answer. Agents stop what
    /// runs within half a second of this process's end.
    pub(super) fn give_up_all(&mut self) {
        for submission in self.early.take_all() {
            self.admit_or_refuse(submission);
        }
        for id in self.table.ids() {
            if let Some(request) = self.table.take_request(id) {
                self.out.push(EntryAction::Reply(request, Reply::GaveUp));
            }
        }
    }
}

fn refused(why: Refusal) -> Reply {
    let retry_after = match why {
        Refusal::Unsupported(_) => None,
        Refusal::NoConfig | Refusal::Busy => Some(RETRY_USUAL),
        Refusal::Evacuated => Some(RETRY_EVACUATED),
        // The balancer has other entries, which may be tried at once.
        Refusal::Draining => Some(Duration::ZERO),
    };
    Reply::Refused { why, retry_after }
}
