//! Handles callers' requests: admits or refuses batches, and sends the replies.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;

use super::BatchEntryCore;
use super::starvation::UNREAD_INPUT_EXTENSION;
use crate::active_batch::{Batch, BatchState, BatchTimes, CloseReason, PlacementOrder};
use crate::batch::{BatchSpec, Unsupported};
use crate::batch_event::{BatchQuery, CallerWait, EntryAction, Refusal, Reply, Submission};
use crate::events::EventCode;
use crate::handover_receiver::is_giver;
use crate::ids::RequestId;
use crate::queue::Queue;
use crate::run::BatchId;
use crate::wait_forecast;

/// Run time on the slowest healthy targets, as a multiple of the estimate. The rest of the
/// objective is the batch's slack: a batch that waits longer is likely to be late.
const SLOWEST_HEALTHY_FACTOR: f64 = 1.25;
/// Shortest wait for placement while no target is usable. Agents find an entry that has just
/// started within this time.
const MIN_WAIT_WITHOUT_TARGETS: Duration = Duration::from_millis(500);
/// Extension of the placement deadline of a batch that waits only for this VM's own link. Such a
/// batch isn't refused, because targets are free.
const LINK_WAIT_EXTENSION: Duration = Duration::from_millis(50);
/// Default retry time. A configuration or a target is usually found by then.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry time if every target of the service is evacuated. Operators take a hall back after several
/// seconds at the soonest, and all entries know of it within a few hundred milliseconds.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(2);

impl BatchEntryCore {
    pub(super) fn find_queue(&self, host: &str, path: &str) -> Result<Arc<Queue>, Reply> {
        let Some(table) = self.directory.config().table() else {
            return Err(refusal(Refusal::NoConfig));
        };
        table.find(host, path).cloned().ok_or(Reply::NoQueue)
    }

    pub(super) fn submit(&mut self, submission: Submission) {
        let wait = CallerWait {
            deadline: self.caller_deadline(submission.caller_timeout),
            proven_until: self.proven_until(submission.max_age),
        };
        let has_config = self.directory.config().table().is_some();
        if !has_config && self.deferred.has_capacity() {
            self.deferred.hold(self.now, (submission, wait));
        } else {
            self.admit_or_refuse(submission, wait);
        }
    }

    /// Once there is a configuration, admits or refuses the batches that arrived before it. Until
    /// then, refuses those that have waited too long.
    pub(super) fn settle_deferred(&mut self) {
        let has_config = self.directory.config().table().is_some();
        let ready = if has_config {
            self.deferred.take_all()
        } else {
            self.deferred.take_expired(self.now)
        };
        for (submission, wait) in ready {
            self.admit_or_refuse(submission, wait);
        }
    }

    pub(super) fn admit_or_refuse(&mut self, submission: Submission, wait: CallerWait) {
        let request = submission.request;
        let id = submission.spec.id;
        let caller_request = submission.caller_request.clone();
        if self.is_outdated(id, wait) {
            self.log(
                EventCode::BatchRefused,
                format!("job={id:016x} request={caller_request} why=outdated"),
            );
            self.actions
                .push(EntryAction::Reply(request, Reply::GaveUp));
            return;
        }
        match self.admit(submission, wait) {
            Ok(()) => self.needs_placing = true,
            Err(reply) => {
                self.end_earlier_request(id);
                let version = self.directory.config().version();
                self.log(
                    EventCode::BatchRefused,
                    format!(
                        "job={id:016x} request={caller_request} config={version} answer={reply:?}"
                    ),
                );
                self.actions.push(EntryAction::Reply(request, reply));
            }
        }
    }

    /// Whether the caller has sent a later request for a batch, which waits here for its answer: that one is
    /// proven to be recent, and this one is not.
    fn is_outdated(&self, id: BatchId, wait: CallerWait) -> bool {
        let held = self.table.get(id).filter(|batch| batch.request.is_some());
        let held = held.map(|batch| batch.proven_until);
        let proven_until = held.or(self.giver.proven_until(id));
        wait.proven_until <= self.now && proven_until.is_some_and(|at| at > self.now)
    }

    /// Gives up a batch whose caller is back and is refused: it waits for no answer to its earlier
    /// request, and may go to another entry.
    fn end_earlier_request(&mut self, id: BatchId) {
        if let Some(before) = self.table.take_request(id) {
            self.actions.push(EntryAction::Reply(before, Reply::GaveUp));
            self.log(
                EventCode::BatchClosed,
                format!("job={id:016x} why=refused_again"),
            );
            self.close(id, CloseReason::CallerGone);
        } else {
            self.give_up_on(id, "refused_again");
        }
    }

    fn admit(&mut self, submission: Submission, wait: CallerWait) -> Result<(), Reply> {
        let Submission {
            request,
            host,
            path,
            spec,
            caller_timeout,
            max_age,
            caller_request,
        } = submission;
        let queue = self.find_queue(&host, &path)?;
        if let Some(unsupported) = spec.unsupported {
            return Err(refusal(Refusal::Unsupported(unsupported)));
        }
        if queue.needs_advice {
            return Err(refusal(Refusal::Unsupported(Unsupported::Advice)));
        }
        if self.directory.is_cancelled(self.now, spec.id) {
            return Err(Reply::Cancelled);
        }
        if self.targets.is_evacuated(self.now, &queue.service) {
            return Err(refusal(Refusal::Evacuated));
        }
        let critical_path = spec.critical_path();
        if self.drain.would_exceed_limit(self.now, critical_path) {
            return Err(refusal(Refusal::Draining));
        }
        if let Some(table) = self.directory.config().table() {
            self.retry_detector.forget_unconfigured(&table.queues);
        }
        let caller_return = self.options.timings.caller_retry_interval;
        let is_retry = self
            .retry_detector
            .is_retry(&queue.name, caller_timeout, caller_return);
        if wait.deadline <= self.now {
            // Its caller has left, and may be back at another entry.
            return Err(self.busy_reply());
        }
        let times = self.batch_times(&spec, &queue, wait, is_retry);
        if self.table.get(spec.id).is_some() {
            self.resubmit(&spec, request, &queue, times, &caller_request);
            return Ok(());
        }
        let submission = Submission {
            request,
            host,
            path,
            spec,
            caller_timeout,
            max_age,
            caller_request,
        };
        let Some(kept) = self.keep_or_hand_over(submission, &queue, wait, is_retry) else {
            return Ok(());
        };
        let (spec, caller_request) = (kept.spec, kept.caller_request);
        self.refuse_if_unplaceable(&spec, times)?;
        let tasks: u32 = spec.steps.iter().map(|s| s.count).sum();
        let due_ms = (times.due - times.arrived).as_millis();
        let usable = self.targets.usable(self.now);
        self.log(
            EventCode::BatchAdmitted,
            format!(
                "job={:016x} request={caller_request} queue={} tasks={tasks} due_ms={due_ms} \
                 patience_ms={} sent_ms_ago={} returning={is_retry} config={} targets={usable} held={}",
                spec.id,
                queue.name,
                caller_timeout.as_millis(),
                max_age.map_or("-".to_owned(), |age| age.as_millis().to_string()),
                self.directory.config().version(),
                self.table.len(),
            ),
        );
        if let Some(hold) = self.directory.longest_hold(self.now, spec.id) {
            self.log(
                EventCode::BatchHeld,
                format!("job={:016x} at_most_ms={}", spec.id, hold.as_millis()),
            );
        }
        let payload = self.packer.pack(&spec.payload);
        let mut batch = Batch::new(&spec, payload, queue, request, times);
        if self.add_known_crashes(spec.id, &mut batch, request) {
            self.table.insert(spec.id, batch);
            self.report_held(spec.id);
        }
        Ok(())
    }

    /// Refuses a batch if it would still wait for capacity at its latest useful start.
    pub(super) fn refuse_if_unplaceable(
        &mut self,
        spec: &BatchSpec,
        times: BatchTimes,
    ) -> Result<(), Reply> {
        let order = PlacementOrder {
            is_overdue: times.is_overdue,
            due: times.due,
        };
        let own_tasks: u32 = spec.steps.iter().map(|s| s.count).sum();
        let tasks_ahead = self.table.waiting_before(order);
        let Some(wait) = self.forecast.wait_for(self.now, tasks_ahead + own_tasks) else {
            return Ok(());
        };
        let latest_start = times.latest_on_time_start.min(times.caller_deadline);
        let max_wait = latest_start.saturating_sub(self.now);
        if wait <= max_wait {
            return Ok(());
        }
        Err(self.busy_reply_after(wait.saturating_sub(max_wait)))
    }

    /// Returns a busy reply with a retry time at which all waiting tasks should have been placed.
    fn busy_reply(&mut self) -> Reply {
        let waiting = self.table.waiting_tasks();
        let wait = self.forecast.wait_for(self.now, waiting);
        self.busy_reply_after(wait.unwrap_or(DEFAULT_RETRY_AFTER))
    }

    fn busy_reply_after(&mut self, pause: Duration) -> Reply {
        let chance = self.rng.random_range(0.0..1.0);
        Reply::Refused {
            why: Refusal::Busy,
            retry_after: Some(wait_forecast::retry_after(pause, chance)),
        }
    }

    /// Refuses batches that are neither dispatched nor overdue and whose tasks can't all be placed
    /// in time any more, even if they came next. They would be late and delay others.
    pub(super) fn refuse_unplaceable_batches(&mut self) {
        if self.entry_load.reads_late(self.now) || self.forecast.wait_for(self.now, 1).is_none() {
            return;
        }
        let mut unplaceable = Vec::new();
        for id in self.table.in_placement_order() {
            let Some(batch) = self
                .table
                .get(id)
                .filter(|b| !b.was_dispatched && !b.is_overdue)
            else {
                continue;
            };
            let left = batch.latest_on_time_start.saturating_sub(self.now);
            let own_tasks = batch.waiting_tasks();
            let wait = self.forecast.wait_for(self.now, own_tasks);
            if wait.is_some_and(|wait| wait > left) {
                unplaceable.push(id);
            }
        }
        for id in unplaceable {
            self.close(id, CloseReason::Deadline);
        }
    }

    /// Refuses undispatched batches whose targets are all evacuated.
    pub(super) fn refuse_evacuated(&mut self) {
        let waiting: Vec<BatchId> = self.table.in_placement_order().collect();
        for id in waiting {
            let Some(batch) = self.table.get(id).filter(|b| !b.was_dispatched) else {
                continue;
            };
            if self.targets.is_evacuated(self.now, &batch.queue.service) {
                self.close(id, CloseReason::Evacuated);
            }
        }
    }

    /// Attaches a resubmitted batch to its existing state: the caller's connection broke, and its
    /// runs may still be open. Its tasks keep their progress. If its queue has another service by now,
    /// that one runs the remaining tasks.
    fn resubmit(
        &mut self,
        spec: &BatchSpec,
        request: RequestId,
        queue: &Arc<Queue>,
        times: BatchTimes,
        caller_request: &str,
    ) {
        let id = spec.id;
        let before = self.table.take_request(id);
        if let Some(before) = before {
            self.actions.push(EntryAction::Reply(before, Reply::GaveUp));
        }
        self.log(
            EventCode::BatchAdmitted,
            format!("job={id:016x} request={caller_request} again=true"),
        );
        let before = self.table.reopen(id, request, queue.clone(), times);
        if before.is_some_and(|before| before.service != queue.service) {
            self.stop_open_runs(id);
        }
    }

    pub(super) fn batch_times(
        &self,
        spec: &BatchSpec,
        queue: &Queue,
        wait: CallerWait,
        is_retry: bool,
    ) -> BatchTimes {
        let arrived = self.now;
        let critical_path = spec.critical_path();
        let objective = queue.objective(critical_path);
        let slack = objective.saturating_sub(critical_path.mul_f64(SLOWEST_HEALTHY_FACTOR));
        let mut longest_wait = self.backlog.max_wait(arrived, slack);
        if self.targets.usable(self.now) == 0 {
            longest_wait = longest_wait.max(MIN_WAIT_WITHOUT_TARGETS);
        }
        let age = if is_retry {
            self.options.timings.caller_retry_interval
        } else {
            Duration::ZERO
        };
        // A batch that starts later can't be answered before the caller leaves.
        let last_start = wait.deadline.saturating_sub(arrived + critical_path);
        let left = objective.saturating_sub(age);
        let is_overdue = left.is_zero();
        BatchTimes {
            arrived,
            due: arrived + if is_overdue { objective } else { left },
            is_overdue,
            caller_deadline: wait.deadline,
            proven_until: wait.proven_until,
            latest_on_time_start: arrived + slack,
            placement_deadline: arrived + longest_wait.min(last_start),
        }
    }

    pub(super) fn handle_caller_gone(&mut self, request: RequestId) {
        if self.deferred.remove(request) {
            return;
        }
        let Some(id) = self.table.find_by_request(request) else {
            self.handle_handed_caller_gone(request);
            return;
        };
        self.table.take_request(id);
        let age_ms = self.table.age(self.now, id).as_millis();
        self.log(
            EventCode::BatchClosed,
            format!("job={id:016x} why=caller_gone age_ms={age_ms}"),
        );
        self.close(id, CloseReason::CallerGone);
    }

    pub(super) fn answer_query(&mut self, query: &BatchQuery) {
        let reply = match self.find_queue(&query.host, &query.path) {
            Err(reply) => reply,
            Ok(queue) => match query.batch {
                None => Reply::Pending(self.table.pending(&queue.name)),
                Some(id) => self.batch_state_reply(id),
            },
        };
        self.actions.push(EntryAction::Reply(query.request, reply));
    }

    pub(super) fn batch_state_reply(&self, id: BatchId) -> Reply {
        match self.table.get(id) {
            // The receiver may have started its tasks.
            None if self.giver.is_handed(id) => Reply::Running,
            None => Reply::NoBatch,
            Some(batch) if batch.was_dispatched => Reply::Running,
            Some(_) => Reply::Waiting,
        }
    }

    /// Closes a batch: stops its open runs and starts no others.
    pub(super) fn close(&mut self, id: BatchId, reason: CloseReason) {
        let stops = self.table.close(id, reason);
        for (key, agent) in stops {
            self.order_stop(key, &agent);
        }
        let Some(batch) = self.table.get(id) else {
            return;
        };
        if batch.open_runs == 0 {
            self.finish_closing(id);
        } else if batch.request.is_none() {
            // Its caller was answered or is gone, and may submit it to another entry.
            self.tell_runs_left(id);
        }
    }

    /// Removes a batch without open runs from the table.
    pub(super) fn remove_batch(&mut self, id: BatchId) -> Option<Batch> {
        let batch = self.table.remove(self.now, id)?;
        self.dispatch_reports.note_ended(self.now, id);
        self.claims.remove(id);
        // Runs that a receiver had of it may be left.
        if !self.giver.has_ended(id) {
            self.directory.tell_runs_over(self.now, id);
        }
        Some(batch)
    }

    /// Removes a closed batch without open runs and answers its request.
    pub(super) fn finish_closing(&mut self, id: BatchId) {
        let Some(batch) = self.remove_batch(id) else {
            return;
        };
        if let Some(request) = batch.request {
            let reply = if batch.is_given_up() {
                // The caller must not retry elsewhere: the batch would crash targets there too.
                Reply::Failed
            } else if batch.was_dispatched {
                Reply::GaveUp
            } else if batch.state == BatchState::Closing(CloseReason::Evacuated) {
                refusal(Refusal::Evacuated)
            } else {
                self.busy_reply()
            };
            self.answer(id, &batch, request, reply);
        }
    }

    pub(super) fn answer(&mut self, id: BatchId, batch: &Batch, request: RequestId, reply: Reply) {
        let took_ms = self.now.saturating_sub(batch.arrived).as_millis() as u64;
        let objective = batch.due.saturating_sub(batch.arrived).as_millis() as u64;
        let queue = &batch.queue.name;
        let usable = self.targets.usable(self.now);
        self.log(
            answer_event(request),
            format!(
                "job={id:016x} queue={queue} answer={reply:?} took_ms={took_ms} \
                 objective_ms={objective} tried={} targets={usable}",
                batch.was_dispatched
            ),
        );
        // The giver measures a batch that was taken over.
        if reply == Reply::Succeeded && !is_giver(request) {
            self.actions.push(EntryAction::Measured(took_ms, objective));
        }
        self.actions.push(EntryAction::Reply(request, reply));
    }

    /// Answers a failed batch at once, and stops its other runs.
    pub(super) fn fail_batch(&mut self, id: BatchId) {
        let request = self.table.take_request(id);
        if let (Some(request), Some(batch)) = (request, self.table.get(id)) {
            let took_ms = self.now.saturating_sub(batch.arrived).as_millis();
            let queue = batch.queue.name.clone();
            self.log(
                answer_event(request),
                format!("job={id:016x} queue={queue} answer=Failed took_ms={took_ms}"),
            );
            self.actions
                .push(EntryAction::Reply(request, Reply::Failed));
        }
        self.close(id, CloseReason::Failed);
    }

    pub(super) fn handle_batch_deadlines(&mut self) {
        for id in self.table.take_due(self.now) {
            let Some(batch) = self.table.get(id) else {
                continue;
            };
            if batch.state != BatchState::Open {
                continue;
            }
            if batch.caller_deadline <= self.now {
                let open_runs = batch.open_runs;
                self.log(
                    EventCode::BatchClosed,
                    format!("job={id:016x} why=deadline out={open_runs}"),
                );
                self.close(id, CloseReason::Deadline);
            } else if batch.placement_deadline <= self.now && !batch.was_dispatched {
                if batch.has_declined && !batch.takes_any_target {
                    self.place_on_any_target(id);
                } else if let Some(due) = self.claims.answer_due(id) {
                    self.table.postpone(id, due + LINK_WAIT_EXTENSION);
                } else if self.may_wait_for_unread_input(batch) {
                    self.table.postpone(id, self.now + UNREAD_INPUT_EXTENSION);
                } else if self.link_full_until.is_some() && !self.lacks_capacity() {
                    self.table.postpone(id, self.now + LINK_WAIT_EXTENSION);
                } else {
                    self.close(id, CloseReason::Deadline);
                }
            } else if batch.latest_on_time_start <= self.now && !batch.was_dispatched {
                self.table.mark_overdue(id);
            }
        }
    }

    /// Ends the wait of a batch's tasks for faster targets. They are likely to be late on the others,
    /// but a batch isn't refused while targets are free.
    fn place_on_any_target(&mut self, id: BatchId) {
        if let Some(batch) = self.table.get_mut(id) {
            batch.takes_any_target = true;
        }
        self.table.postpone(id, self.now + LINK_WAIT_EXTENSION);
        self.needs_placing = true;
    }

    /// Answers all open requests, so that no connection ends without a reply. Agents stop the open
    /// runs of a process that has exited and doesn't reconnect in time.
    pub(super) fn answer_open_requests(&mut self) {
        for (submission, wait) in self.deferred.take_all() {
            self.admit_or_refuse(submission, wait);
        }
        self.give_up_handed();
        for id in self.table.ids() {
            if let Some(request) = self.table.take_request(id) {
                self.actions
                    .push(EntryAction::Reply(request, Reply::GaveUp));
            }
        }
    }
}

/// The event to log for the answer to a request.
fn answer_event(request: RequestId) -> EventCode {
    if is_giver(request) {
        EventCode::HandOverAnswered
    } else {
        EventCode::BatchAnswered
    }
}

pub(super) fn refusal(why: Refusal) -> Reply {
    let retry_after = match why {
        Refusal::Unsupported(_) => None,
        Refusal::NoConfig | Refusal::Busy => Some(DEFAULT_RETRY_AFTER),
        Refusal::Evacuated => Some(EVACUATED_RETRY_AFTER),
        // The caller may retry at once: the balancer sends it to another entry.
        Refusal::Draining => Some(Duration::ZERO),
    };
    Reply::Refused { why, retry_after }
}
