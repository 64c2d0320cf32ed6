//! Batches that an entry holds, found by id, request, agent and time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::active_batch::{
    Batch, BatchState, BatchTimes, CloseReason, PlacementOrder, Task, TaskState,
};
use crate::ids::{NodeName, Now, RequestId, SessionId};
use crate::run::{BatchId, RunKey, RunNumber};

/// A task's run numbers jump by this when a target has seen a higher one: more than the attempts
/// that one entry makes as a rule.
const RUN_NUMBER_JUMP: RunNumber = 8;

/// How a run is over, as it matters to its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ended well.
    Done,
    /// It failed: one of the task's attempts is used up.
    Failed,
    /// The target crashed while it had the run.
    Crashed {
        /// Whether it had no other run.
        alone: bool,
    },
    /// It ended otherwise, or never began.
    Retry {
        /// Whether the target has seen a higher run number.
        superseded: bool,
    },
}

/// What a run's end means for its batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchNews {
    /// Nothing: the run is not this entry's, or more is to come.
    None,
    /// Every task is done.
    Done,
    /// A task has used up its attempts, or targets crash under it.
    Failed,
    /// A batch that is not wanted has nothing out any more.
    Closed,
}

/// All batches of an entry.
#[derive(Debug, Default)]
pub struct BatchTable {
    batches: BTreeMap<BatchId, Batch>,
    /// Batches with tasks that wait, in the order in which they are placed, and how many.
    waiting: BTreeMap<(PlacementOrder, BatchId), u32>,
    waiting_tasks: u32,
    wakes: BTreeSet<(Now, BatchId)>,
    by_request: BTreeMap<RequestId, BatchId>,
    by_agent: BTreeMap<NodeName, BTreeSet<RunKey>>,
}

impl BatchTable {
    /// Takes a batch in.
    pub fn insert(&mut self, id: BatchId, batch: Batch) {
        if let Some(request) = batch.request {
            self.by_request.insert(request, id);
        }
        self.set_waiting(batch.turn(), id, batch.waiting_tasks());
        self.wakes.insert((batch.in_time_until, id));
        self.wakes.insert((batch.placement_deadline, id));
        self.wakes.insert((batch.caller_deadline, id));
        self.batches.insert(id, batch);
    }

    /// A batch.
    pub fn get(&self, id: BatchId) -> Option<&Batch> {
        self.batches.get(&id)
    }

    /// A batch.
    pub fn get_mut(&mut self, id: BatchId) -> Option<&mut Batch> {
        self.batches.get_mut(&id)
    }

    /// Ids of all batches.
    pub fn ids(&self) -> Vec<BatchId> {
        self.batches.keys().copied().collect()
    }

    /// Number of batches.
    pub fn len(&self) -> usize {
        self.batches.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Batches of a queue of which nothing has been placed.
    pub fn pending(&self, queue_name: &str) -> usize {
        let batches = self.batches.values();
        batches
            .filter(|b| &*b.queue.name == queue_name && !b.was_dispatched)
            .count()
    }

    /// Tasks that wait in batches whose turn has come.
    pub fn waiting_tasks(&self) -> u32 {
        self.waiting_tasks
    }

    /// Tasks that wait in batches whose turn is before this one.
    pub fn waiting_before(&self, turn: PlacementOrder) -> u32 {
        let before = self.waiting.range(..(turn, BatchId::MIN));
        before.map(|(_, tasks)| *tasks).sum()
    }

    fn set_waiting(&mut self, turn: PlacementOrder, id: BatchId, tasks: u32) {
        let before = if tasks > 0 {
            self.waiting.insert((turn, id), tasks)
        } else {
            self.waiting.remove(&(turn, id))
        };
        self.waiting_tasks += tasks;
        self.waiting_tasks -= before.unwrap_or(0);
    }

    /// Takes a batch out.
    pub fn remove(&mut self, id: BatchId) -> Option<Batch> {
        let batch = self.batches.remove(&id)?;
        if let Some(request) = batch.request {
            self.by_request.remove(&request);
        }
        self.set_waiting(batch.turn(), id, 0);
        self.wakes.remove(&(batch.in_time_until, id));
        self.wakes.remove(&(batch.placement_deadline, id));
        self.wakes.remove(&(batch.caller_deadline, id));
        for (key, agent) in batch.open_runs(id, false) {
            self.forget_out(&agent, key);
        }
        Some(batch)
    }

    /// The batch that a request asked for.
    pub fn of_request(&self, request: RequestId) -> Option<BatchId> {
        self.by_request.get(&request).copied()
    }

    /// Takes the request off a batch, for it is answered or gone.
    pub fn take_request(&mut self, id: BatchId) -> Option<RequestId> {
        let request = self.batches.get_mut(&id)?.request.take()?;
        self.by_request.remove(&request);
        Some(request)
    }

    /// Opens a batch that was being closed again, for a new request of its caller.
    pub fn reopen(&mut self, id: BatchId, request: RequestId, times: BatchTimes) {
        self.take_request(id);
        let Some(turn) = self.batches.get(&id).map(Batch::turn) else {
            return;
        };
        self.set_waiting(turn, id, 0);
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        self.wakes.remove(&(batch.in_time_until, id));
        self.wakes.remove(&(batch.placement_deadline, id));
        self.wakes.remove(&(batch.caller_deadline, id));
        batch.request = Some(request);
        batch.state = BatchState::Open;
        batch.arrived = times.arrived;
        batch.due = times.due;
        batch.is_overdue = times.is_overdue;
        batch.caller_deadline = times.caller_deadline;
        batch.in_time_until = times.in_time_until;
        batch.placement_deadline = times.placement_deadline;
        self.by_request.insert(request, id);
        self.wakes.insert((times.in_time_until, id));
        self.wakes.insert((times.placement_deadline, id));
        self.wakes.insert((times.caller_deadline, id));
        self.note_waiting(id);
    }

    /// Lets a batch of which nothing has been placed wait for longer.
    pub fn postpone(&mut self, id: BatchId, placement_deadline: Now) {
        if let Some(batch) = self.batches.get_mut(&id) {
            self.wakes.remove(&(batch.placement_deadline, id));
            batch.placement_deadline = placement_deadline;
            self.wakes.insert((placement_deadline, id));
        }
    }

    /// Puts a batch behind those that can still be in time.
    pub fn note_overdue(&mut self, id: BatchId) {
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        let before = batch.turn();
        batch.is_overdue = true;
        self.set_waiting(before, id, 0);
        self.note_waiting(id);
    }

    /// Keeps the list of waiting batches in step with one of them.
    pub fn note_waiting(&mut self, id: BatchId) {
        let Some(batch) = self.batches.get(&id) else {
            return;
        };
        let (turn, tasks) = (batch.turn(), batch.waiting_tasks());
        self.set_waiting(turn, id, tasks);
    }

    /// Batches with tasks that wait, in the order in which they are placed.
    pub fn in_order(&self) -> impl Iterator<Item = BatchId> {
        self.waiting.keys().map(|(_, id)| *id)
    }

    /// Whether any task waits.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Batches whose next time has come.
    pub fn take_woken(&mut self, now: Now) -> Vec<BatchId> {
        let mut woken = Vec::new();
        while let Some(&(at, id)) = self.wakes.first() {
            if at > now {
                break;
            }
            self.wakes.pop_first();
            woken.push(id);
        }
        woken
    }

    /// When a batch's next time comes.
    pub fn next_wake(&self) -> Option<Now> {
        self.wakes.first().map(|(at, _)| *at)
    }

    /// Notes that a task is out.
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

    fn forget_out(&mut self, agent: &NodeName, key: RunKey) {
        if let Some(keys) = self.by_agent.get_mut(agent) {
            keys.remove(&key);
        }
    }

    /// Runs that are out at an agent.
    pub fn runs_at(&self, agent: &str) -> Vec<RunKey> {
        let keys = self.by_agent.get(agent);
        keys.map(|k| k.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Whether anything is out at an agent.
    pub fn has_runs_at(&self, agent: &str) -> bool {
        self.by_agent.get(agent).is_some_and(|k| !k.is_empty())
    }

    /// Tasks of a step that are out at an agent.
    pub fn step_runs_at(&self, agent: &str, batch: BatchId, step: u16) -> u32 {
        let keys = self.by_agent.get(agent);
        let of_step = |k: &&RunKey| k.task.batch == batch && k.task.step == step;
        keys.map_or(0, |k| k.iter().filter(of_step).count() as u32)
    }

    /// Takes in that a run is over, on proof.
    pub fn run_over(&mut self, key: RunKey, over: RunOutcome) -> BatchNews {
        let id = key.task.batch;
        let Some(batch) = self.batches.get_mut(&id) else {
            return BatchNews::None;
        };
        let most_attempts = batch.queue.max_attempts;
        let Some(task) = batch.task_mut(key) else {
            return BatchNews::None;
        };
        let TaskState::Assigned { agent, .. } = task.state.clone() else {
            return BatchNews::None;
        };
        task.run += 1;
        task.state = TaskState::Waiting;
        let mut failed = false;
        match over {
            RunOutcome::Done => task.state = TaskState::Done,
            RunOutcome::Failed => {
                task.failures += 1;
                task.avoid = Some(agent.clone());
                failed = task.failures >= most_attempts;
            }
            RunOutcome::Crashed { alone } => {
                task.avoid = Some(agent.clone());
                failed = task.crashes.note(alone);
            }
            RunOutcome::Retry { superseded: true } => task.run += RUN_NUMBER_JUMP,
            RunOutcome::Retry { superseded: false } => {}
        }
        batch.open_runs -= 1;
        if over == RunOutcome::Done {
            batch.steps[usize::from(key.task.step)].left -= 1;
        }
        let news = match batch.state {
            BatchState::Open if batch.is_done() => BatchNews::Done,
            BatchState::Open if failed => BatchNews::Failed,
            BatchState::Closing(_) if batch.open_runs == 0 => BatchNews::Closed,
            _ => BatchNews::None,
        };
        self.forget_out(&agent, key);
        self.note_waiting(id);
        news
    }

    /// A task at the present run.
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

    /// Whether a task that is suspected of crashing targets is out at an agent.
    pub fn has_suspect_at(&self, agent: &str) -> bool {
        let keys = self.by_agent.get(agent);
        let is_suspect = |key: &RunKey| self.task(*key).is_some_and(|t| t.crashes.is_suspect());
        keys.is_some_and(|keys| keys.iter().any(is_suspect))
    }

    /// Whether a run is being stopped.
    pub fn is_stopping(&self, key: RunKey) -> bool {
        matches!(
            self.task(key),
            Some(Task {
                state: TaskState::Assigned { stopping: true, .. },
                ..
            })
        )
    }

    /// Notes that a run is being stopped so that its task goes on elsewhere; gives the agent that
    /// has it, unless it is being stopped already. Without the note, the task may go back to the
    /// target that it is moved away from, again and again.
    pub fn note_moving(&mut self, key: RunKey) -> Option<NodeName> {
        let agent = self.note_stopping(key)?;
        let task = self.batches.get_mut(&key.task.batch)?.task_mut(key)?;
        task.avoid = Some(agent.clone());
        Some(agent)
    }

    /// Notes that a run is being stopped; says at which agent, if it is out and was not before.
    pub fn note_stopping(&mut self, key: RunKey) -> Option<NodeName> {
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

    /// Closes a batch: nothing more of it starts. Gives the runs to be stopped.
    pub fn close(&mut self, id: BatchId, reason: CloseReason) -> Vec<(RunKey, NodeName)> {
        let Some(batch) = self.batches.get_mut(&id) else {
            return Vec::new();
        };
        batch.state = BatchState::Closing(reason);
        let live = batch.open_runs(id, true);
        self.note_waiting(id);
        for (key, _) in &live {
            self.note_stopping(*key);
        }
        live
    }

    /// Notes that an agent has forgotten a batch's payload.
    pub fn forget_payload(&mut self, id: BatchId, link: SessionId) {
        if let Some(batch) = self.batches.get_mut(&id) {
            batch.payload_sent_to.remove(&link);
        }
    }

    /// How long a batch has been here.
    pub fn age(&self, now: Now, id: BatchId) -> Duration {
        let arrived = self.batches.get(&id).map_or(now, |b| b.arrived);
        now.saturating_sub(arrived)
    }
}
