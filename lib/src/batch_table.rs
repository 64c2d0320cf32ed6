//! The batches of an entry, indexed by id, request, agent and deadline.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::active_batch::{
    Batch, BatchState, BatchTimes, CloseReason, PlacementOrder, Task, TaskState,
};
use crate::crash_history::CrashHistory;
use crate::ids::{NodeName, Now, RequestId, SessionId};
use crate::queue::Queue;
use crate::run::{BatchId, RunKey, RunNumber, TaskKey};
use crate::run_numbers::RunNumbers;

/// Additional increment of a task's run number after a target has seen a higher one.
const RUN_NUMBER_JUMP: RunNumber = 8;

/// Outcome of a run for its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run succeeded.
    Done,
    /// The run failed, which uses up one of the task's attempts.
    Failed,
    /// The target crashed during the run. The crash is recorded in [`BatchTable::crash_history`].
    Crashed,
    /// The run ended otherwise or never started; the task waits again.
    Retry {
        /// Whether the target has seen a higher run number.
        superseded: bool,
    },
}

/// Effect of the end of a run on its batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchChange {
    /// No change, or the run is unknown.
    None,
    /// Every task is done.
    Done,
    /// A task used up its attempts, or must not run again because targets crashed during its runs.
    Failed,
    /// The last open run of a closing batch is over.
    Closed,
}

/// All batches of an entry.
#[derive(Debug, Default)]
pub struct BatchTable {
    batches: BTreeMap<BatchId, Batch>,
    /// Number of waiting tasks per batch, in placement order.
    waiting: BTreeMap<(PlacementOrder, BatchId), u32>,
    /// Sum of the values of `waiting`.
    waiting_tasks: u32,
    /// Deadlines that [`Self::take_due`] has not returned yet.
    deadlines: BTreeSet<(Now, BatchId)>,
    by_request: BTreeMap<RequestId, BatchId>,
    /// Open runs.
    by_agent: BTreeMap<NodeName, BTreeSet<RunKey>>,
    run_numbers: RunNumbers,
}

impl BatchTable {
    /// Adds a new batch, and its tasks to the waiting ones. Their run numbers continue after those of
    /// earlier attempts.
    pub fn insert(&mut self, id: BatchId, mut batch: Batch) {
        batch.raise_run_numbers(self.run_numbers.first_of(id));
        if let Some(request) = batch.request {
            self.by_request.insert(request, id);
        }
        self.set_waiting(batch.placement_order(), id, batch.waiting_tasks());
        self.deadlines.insert((batch.latest_on_time_start, id));
        self.deadlines.insert((batch.placement_deadline, id));
        self.deadlines.insert((batch.caller_deadline, id));
        self.batches.insert(id, batch);
    }

    /// Returns a batch.
    pub fn get(&self, id: BatchId) -> Option<&Batch> {
        self.batches.get(&id)
    }

    /// Returns a batch for modification.
    pub fn get_mut(&mut self, id: BatchId) -> Option<&mut Batch> {
        self.batches.get_mut(&id)
    }

    /// Returns the ids of all batches.
    pub fn ids(&self) -> Vec<BatchId> {
        self.batches.keys().copied().collect()
    }

    /// Returns the number of batches.
    pub fn len(&self) -> usize {
        self.batches.len()
    }

    /// Returns whether there are no batches.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Returns the number of a queue's batches that haven't been dispatched.
    pub fn pending(&self, queue_name: &str) -> usize {
        let batches = self.batches.values();
        batches
            .filter(|b| &*b.queue.name == queue_name && !b.was_dispatched)
            .count()
    }

    /// Returns the number of waiting tasks in all batches.
    pub fn waiting_tasks(&self) -> u32 {
        self.waiting_tasks
    }

    /// Returns the number of waiting tasks in batches that precede `order`.
    pub fn waiting_before(&self, order: PlacementOrder) -> u32 {
        let before = self.waiting.range(..(order, BatchId::MIN));
        before.map(|(_, tasks)| *tasks).sum()
    }

    fn set_waiting(&mut self, order: PlacementOrder, id: BatchId, tasks: u32) {
        let before = if tasks > 0 {
            self.waiting.insert((order, id), tasks)
        } else {
            self.waiting.remove(&(order, id))
        };
        self.waiting_tasks += tasks;
        self.waiting_tasks -= before.unwrap_or(0);
    }

    /// Removes and returns a batch.
    pub fn remove(&mut self, now: Now, id: BatchId) -> Option<Batch> {
        let batch = self.batches.remove(&id)?;
        self.run_numbers
            .note_ended(now, id, batch.next_run_number());
        if let Some(request) = batch.request {
            self.by_request.remove(&request);
        }
        self.set_waiting(batch.placement_order(), id, 0);
        self.deadlines.remove(&(batch.latest_on_time_start, id));
        self.deadlines.remove(&(batch.placement_deadline, id));
        self.deadlines.remove(&(batch.caller_deadline, id));
        for (key, agent) in batch.open_runs(id, false) {
            self.forget_run(&agent, key);
        }
        Some(batch)
    }

    /// Returns the batch that a request submitted.
    pub fn find_by_request(&self, request: RequestId) -> Option<BatchId> {
        self.by_request.get(&request).copied()
    }

    /// Detaches the request from a batch once it is answered or its caller has disconnected.
    pub fn take_request(&mut self, id: BatchId) -> Option<RequestId> {
        let request = self.batches.get_mut(&id)?.request.take()?;
        self.by_request.remove(&request);
        Some(request)
    }

    /// Reopens a batch for a new request of its caller, with its queue as configured now. Returns the
    /// queue that it had.
    pub fn reopen(
        &mut self,
        id: BatchId,
        request: RequestId,
        queue: Arc<Queue>,
        times: BatchTimes,
    ) -> Option<Arc<Queue>> {
        self.take_request(id);
        let order = self.batches.get(&id).map(Batch::placement_order)?;
        self.set_waiting(order, id, 0);
        let batch = self.batches.get_mut(&id)?;
        self.deadlines.remove(&(batch.latest_on_time_start, id));
        self.deadlines.remove(&(batch.placement_deadline, id));
        self.deadlines.remove(&(batch.caller_deadline, id));
        let queue_before = std::mem::replace(&mut batch.queue, queue);
        batch.request = Some(request);
        batch.state = BatchState::Open;
        batch.arrived = times.arrived;
        batch.due = times.due;
        batch.is_overdue = times.is_overdue;
        batch.caller_deadline = times.caller_deadline;
        batch.proven_until = times.proven_until;
        batch.latest_on_time_start = times.latest_on_time_start;
        batch.placement_deadline = times.placement_deadline;
        self.by_request.insert(request, id);
        self.deadlines.insert((times.latest_on_time_start, id));
        self.deadlines.insert((times.placement_deadline, id));
        self.deadlines.insert((times.caller_deadline, id));
        self.update_waiting(id);
        Some(queue_before)
    }

    /// Replaces a batch's placement deadline.
    pub fn postpone(&mut self, id: BatchId, placement_deadline: Now) {
        if let Some(batch) = self.batches.get_mut(&id) {
            self.deadlines.remove(&(batch.placement_deadline, id));
            batch.placement_deadline = placement_deadline;
            self.deadlines.insert((placement_deadline, id));
        }
    }

    /// Marks a batch as overdue, which moves it behind those that can still be in time.
    pub fn mark_overdue(&mut self, id: BatchId) {
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        let before = batch.placement_order();
        batch.is_overdue = true;
        self.set_waiting(before, id, 0);
        self.update_waiting(id);
    }

    /// Updates a batch's entry in the placement order.
    pub fn update_waiting(&mut self, id: BatchId) {
        let Some(batch) = self.batches.get(&id) else {
            return;
        };
        let (order, tasks) = (batch.placement_order(), batch.waiting_tasks());
        self.set_waiting(order, id, tasks);
    }

    /// Returns the batches with waiting tasks, in placement order.
    pub fn in_placement_order(&self) -> impl Iterator<Item = BatchId> {
        self.waiting.keys().map(|(_, id)| *id)
    }

    /// Returns whether any task is waiting.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Removes the deadlines that have passed and returns their batches.
    pub fn take_due(&mut self, now: Now) -> Vec<BatchId> {
        let mut due = Vec::new();
        while let Some(&(at, id)) = self.deadlines.first() {
            if at > now {
                break;
            }
            self.deadlines.pop_first();
            due.push(id);
        }
        due
    }

    /// Returns the earliest deadline of all batches.
    pub fn next_deadline(&self) -> Option<Now> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Records that a start order for a run is sent to an agent.
    pub fn record_run(&mut self, now: Now, key: RunKey, agent: &NodeName) {
        let Some(batch) = self.batches.get_mut(&key.task.batch) else {
            return;
        };
        let Some(task) = batch.task_mut(key) else {
            return;
        };
        task.state = TaskState::Assigned {
            agent: agent.clone(),
            sent: now,
            stopping: false,
        };
        batch.open_runs += 1;
        batch.was_dispatched = true;
        self.by_agent.entry(agent.clone()).or_default().insert(key);
    }

    fn forget_run(&mut self, agent: &NodeName, key: RunKey) {
        if let Some(keys) = self.by_agent.get_mut(agent) {
            keys.remove(&key);
        }
    }

    /// Returns the open runs at an agent.
    pub fn runs_at(&self, agent: &str) -> Vec<RunKey> {
        let keys = self.by_agent.get(agent);
        keys.map(|k| k.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Returns whether an agent has open runs.
    pub fn has_runs_at(&self, agent: &str) -> bool {
        self.by_agent.get(agent).is_some_and(|k| !k.is_empty())
    }

    /// Returns the number of a step's open runs at an agent.
    pub fn step_runs_at(&self, agent: &str, batch: BatchId, step: u16) -> u32 {
        let keys = self.by_agent.get(agent);
        let of_step = |k: &&RunKey| k.task.batch == batch && k.task.step == step;
        keys.map_or(0, |k| k.iter().filter(of_step).count() as u32)
    }

    /// Returns the crash history of a task; `None` if the task is not held or done.
    pub fn crash_history(&mut self, task: TaskKey) -> Option<&mut CrashHistory> {
        let batch = self.batches.get_mut(&task.batch)?;
        let step = batch.steps.get_mut(usize::from(task.step))?;
        let task = step.tasks.get_mut(usize::from(task.index))?;
        (task.state != TaskState::Done).then_some(&mut task.crashes)
    }

    /// Applies the outcome of a run that is proven over.
    pub fn end_run(&mut self, key: RunKey, outcome: RunOutcome) -> BatchChange {
        let id = key.task.batch;
        let Some(batch) = self.batches.get_mut(&id) else {
            return BatchChange::None;
        };
        let max_attempts = batch.queue.max_attempts;
        let Some(task) = batch.task_mut(key) else {
            return BatchChange::None;
        };
        let TaskState::Assigned { agent, .. } = task.state.clone() else {
            return BatchChange::None;
        };
        task.run += 1;
        task.state = TaskState::Waiting;
        let mut failed = false;
        match outcome {
            RunOutcome::Done => task.state = TaskState::Done,
            RunOutcome::Failed => {
                task.failures += 1;
                task.avoid = Some(agent.clone());
                failed = task.failures >= max_attempts;
            }
            RunOutcome::Crashed => {
                task.avoid = Some(agent.clone());
                failed = task.crashes.is_given_up();
            }
            RunOutcome::Retry { superseded: true } => task.run += RUN_NUMBER_JUMP,
            RunOutcome::Retry { superseded: false } => {}
        }
        batch.open_runs -= 1;
        if outcome == RunOutcome::Done {
            batch.steps[usize::from(key.task.step)].unfinished -= 1;
        }
        let change = match batch.state {
            BatchState::Open if batch.is_done() => BatchChange::Done,
            BatchState::Open if failed => BatchChange::Failed,
            BatchState::Closing(_) if batch.open_runs == 0 => BatchChange::Closed,
            _ => BatchChange::None,
        };
        self.forget_run(&agent, key);
        self.update_waiting(id);
        change
    }

    /// Returns the task of a run, if that run is its current one.
    pub fn task(&self, key: RunKey) -> Option<&Task> {
        let step = usize::from(key.task.step);
        let index = usize::from(key.task.index);
        let task = self
            .batches
            .get(&key.task.batch)?
            .steps
            .get(step)?
            .tasks
            .get(index)?;
        (task.run == key.run).then_some(task)
    }

    /// Returns whether a run is open at another agent than this one. Runs of several entries may have the
    /// same key.
    pub fn is_at_another(&self, key: RunKey, agent: Option<&str>) -> bool {
        match self.task(key).map(|task| &task.state) {
            Some(TaskState::Assigned { agent: at, .. }) => agent != Some(&**at),
            _ => false,
        }
    }

    /// Returns whether an agent has an open run of a task suspected of crashing targets.
    pub fn has_suspect_at(&self, agent: &str) -> bool {
        let keys = self.by_agent.get(agent);
        let is_suspect = |key: &RunKey| self.task(*key).is_some_and(|t| t.crashes.is_suspect());
        keys.is_some_and(|keys| keys.iter().any(is_suspect))
    }

    /// Returns whether a run is being stopped.
    pub fn is_stopping(&self, key: RunKey) -> bool {
        matches!(
            self.task(key),
            Some(Task {
                state: TaskState::Assigned { stopping: true, .. },
                ..
            })
        )
    }

    /// Like [`Self::mark_stopping`], for a run whose task is to move to another target.
    pub fn mark_moving(&mut self, key: RunKey) -> Option<NodeName> {
        let agent = self.mark_stopping(key)?;
        let task = self.batches.get_mut(&key.task.batch)?.task_mut(key)?;
        task.avoid = Some(agent.clone());
        Some(agent)
    }

    /// Marks an open run as being stopped, and makes its task avoid the run's agent. Returns the
    /// agent, or none if the run isn't open or was already being stopped.
    pub fn mark_stopping(&mut self, key: RunKey) -> Option<NodeName> {
        let batch = self.batches.get_mut(&key.task.batch)?;
        let task = batch.task_mut(key)?;
        let TaskState::Assigned {
            agent, stopping, ..
        } = &mut task.state
        else {
            return None;
        };
        if *stopping {
            return None;
        }
        *stopping = true;
        task.avoid = Some(agent.clone());
        Some(agent.clone())
    }

    /// Begins to close a batch: none of its tasks starts any more. Returns the runs to stop,
    /// without those already being stopped.
    pub fn close(&mut self, id: BatchId, reason: CloseReason) -> Vec<(RunKey, NodeName)> {
        let Some(batch) = self.batches.get_mut(&id) else {
            return Vec::new();
        };
        batch.state = BatchState::Closing(reason);
        let to_stop = batch.open_runs(id, true);
        self.update_waiting(id);
        for (key, _) in &to_stop {
            self.mark_stopping(*key);
        }
        to_stop
    }

    /// Records that an agent no longer has a batch's payload.
    pub fn forget_payload(&mut self, id: BatchId, link: SessionId) {
        if let Some(batch) = self.batches.get_mut(&id) {
            batch.payload_sent_to.remove(&link);
        }
    }

    /// Returns the time since a batch arrived; zero if it is unknown.
    pub fn age(&self, now: Now, id: BatchId) -> Duration {
        let arrived = self.batches.get(&id).map_or(now, |b| b.arrived);
        now.saturating_sub(arrived)
    }
}
