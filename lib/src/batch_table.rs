//! Batches that an entry holds, and where each of their tasks is.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::batch::{BatchSpec, StepSpec};
use crate::ids::{NodeName, Now, RequestId};
use crate::queue::Queue;
use crate::run::{BatchId, RunKey, RunNumber, TaskKey};

/// A task's run numbers jump by this when a target has seen a higher one: more than the attempts
/// that one entry makes as a rule.
const RUN_NUMBER_JUMP: RunNumber = 8;

/// Where a task is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// It is to be placed.
    Waiting,
    /// An order to start it has been sent, and nothing proves that it is over.
    Out {
        /// Agent that has the order.
        agent: NodeName,
        /// When it was sent.
        sent: Now,
        /// Whether it is being stopped.
        stopping: bool,
    },
    /// It has ended well.
    Done,
}

/// A task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Where it is.
    pub state: TaskState,
    /// Number of its present or next run.
    pub run: RunNumber,
    /// Runs that ended `failed`.
    pub failures: u32,
    /// Agent that served it badly last.
    pub avoid: Option<NodeName>,
}

/// A step and its tasks.
#[derive(Debug)]
pub struct Step {
    /// What was asked for.
    pub spec: StepSpec,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub left: u32,
    /// Agent on whose target a task of the step was first found slow.
    slow_at: Option<NodeName>,
    /// Whether tasks of the step have been found slow at two agents.
    is_estimate_wrong: bool,
}

impl Step {
    /// Notes that a task of the step is slow at an agent; says whether tasks have been slow at two
    /// agents by now. Then it is the estimate that is wrong, not the targets, and moving on would
    /// go on for ever.
    pub fn is_slow_everywhere(&mut self, agent: &NodeName) -> bool {
        let first = self.slow_at.get_or_insert_with(|| agent.clone());
        self.is_estimate_wrong |= *first != *agent;
        self.is_estimate_wrong
    }
}

/// Whether a batch is still wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchState {
    /// It is.
    Open,
    /// It is not: what runs is being stopped, and the rest never starts.
    Closing(CloseReason),
}

/// Why a batch is not wanted any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Its caller has gone.
    CallerGone,
    /// Its caller's time is up.
    Deadline,
    /// It was cancelled.
    Cancelled,
    /// It was answered as failed.
    Failed,
    /// The entry stops.
    Draining,
}

/// A batch.
#[derive(Debug)]
pub struct Batch {
    /// Whom to answer; none once answered or gone.
    pub request: Option<RequestId>,
    /// Its queue, as configured when it came.
    pub queue: Arc<Queue>,
    /// What every task is given.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// When it came.
    pub arrived: Now,
    /// When it should be done.
    pub due: Now,
    /// Whether it can't be in time: its caller has been elsewhere before, or no target was there
    /// while it had time.
    pub is_overdue: bool,
    /// When its caller's time is up.
    pub give_up: Now,
    /// When it can't be in time any more if nothing of it has been placed by then.
    pub in_time_until: Now,
    /// When it is refused if nothing of it has been placed by then.
    pub place_by: Now,
    /// Whether any order to start was ever sent for it.
    pub is_tried: bool,
    /// Tasks out.
    pub out: u32,
    /// Whether it is still wanted.
    pub state: BatchState,
}

impl Batch {
    /// A batch that has just come.
    pub fn new(spec: &BatchSpec, queue: Arc<Queue>, request: RequestId, times: BatchTimes) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            run: 1,
            failures: 0,
            avoid: None,
        };
        let steps = spec.steps.iter().map(|spec| Step {
            spec: spec.clone(),
            tasks: vec![task.clone(); spec.count as usize],
            left: spec.count,
            slow_at: None,
            is_estimate_wrong: false,
        });
        Self {
            request: Some(request),
            queue,
            payload: spec.payload.clone(),
            steps: steps.collect(),
            arrived: times.arrived,
            due: times.due,
            is_overdue: times.is_overdue,
            give_up: times.give_up,
            in_time_until: times.in_time_until,
            place_by: times.place_by,
            is_tried: false,
            out: 0,
            state: BatchState::Open,
        }
    }

    fn turn(&self) -> Turn {
        Turn {
            is_overdue: self.is_overdue,
            due: self.due,
        }
    }

    /// Whether all steps that a step waits for are done.
    pub fn is_ready(&self, step: usize) -> bool {
        let after = &self.steps[step].spec.after;
        after.iter().all(|a| self.steps[usize::from(*a)].left == 0)
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|s| s.left == 0)
    }

    /// Whether a task waits whose turn has come.
    pub fn has_waiting(&self) -> bool {
        self.state == BatchState::Open
            && (0..self.steps.len()).any(|step| {
                let waits = |t: &Task| t.state == TaskState::Waiting;
                self.is_ready(step) && self.steps[step].tasks.iter().any(waits)
            })
    }

    /// The task behind a key, if it is at that run.
    pub fn task_mut(&mut self, key: RunKey) -> Option<&mut Task> {
        let step = self.steps.get_mut(usize::from(key.task.step))?;
        let task = step.tasks.get_mut(usize::from(key.task.index))?;
        (task.run == key.run).then_some(task)
    }

    /// Runs that are out, with their agents; those that are not being stopped if `live_only`.
    pub fn outs(&self, id: BatchId, live_only: bool) -> Vec<(RunKey, NodeName)> {
        let mut outs = Vec::new();
        for (step_index, step) in self.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                let TaskState::Out {
                    agent, stopping, ..
                } = &task.state
                else {
                    continue;
                };
                if *stopping && live_only {
                    continue;
                }
                let key = RunKey {
                    task: TaskKey {
                        batch: id,
                        time: 0,
                        step: step_index as u16,
                        index: index as u16,
                    },
                    run: task.run,
                };
                outs.push((key, agent.clone()));
            }
        }
        outs
    }
}

/// The times of a new batch.
#[derive(Debug, Clone, Copy)]
pub struct BatchTimes {
    /// See [`Batch`].
    pub arrived: Now,
    /// See [`Batch`].
    pub due: Now,
    /// See [`Batch`].
    pub is_overdue: bool,
    /// See [`Batch`].
    pub give_up: Now,
    /// See [`Batch`].
    pub in_time_until: Now,
    /// See [`Batch`].
    pub place_by: Now,
}

/// How a run is over, as it matters to its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOver {
    /// It ended well.
    Done,
    /// It failed: one of the task's attempts is used up.
    Failed,
    /// It ended otherwise, or never began.
    Again {
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
    /// A task has used up its attempts.
    Failed,
    /// A batch that is not wanted has nothing out any more.
    Closed,
}

/// Place of a batch among those that wait. Those whose objective was past before they came go last:
/// they can't be in time any more, and would make others late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    is_overdue: bool,
    due: Now,
}

/// All batches of an entry.
#[derive(Debug, Default)]
pub struct BatchTable {
    batches: BTreeMap<BatchId, Batch>,
    waiting: BTreeSet<(Turn, BatchId)>,
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
        self.waiting.insert((batch.turn(), id));
        self.wakes.insert((batch.in_time_until, id));
        self.wakes.insert((batch.place_by, id));
        self.wakes.insert((batch.give_up, id));
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
            .filter(|b| &*b.queue.name == queue_name && !b.is_tried)
            .count()
    }

    /// Tasks that wait in batches whose turn has come, counted up to `most`.
    pub fn waiting_tasks(&self, most: u32) -> u32 {
        let mut tasks = 0;
        for (_, id) in &self.waiting {
            let Some(batch) = self.batches.get(id) else {
                continue;
            };
            let steps = batch.steps.iter();
            tasks += steps.map(|s| s.left).sum::<u32>().saturating_sub(batch.out);
            if tasks >= most {
                return most;
            }
        }
        tasks
    }

    /// Takes a batch out.
    pub fn remove(&mut self, id: BatchId) -> Option<Batch> {
        let batch = self.batches.remove(&id)?;
        if let Some(request) = batch.request {
            self.by_request.remove(&request);
        }
        self.waiting.remove(&(batch.turn(), id));
        self.wakes.remove(&(batch.in_time_until, id));
        self.wakes.remove(&(batch.place_by, id));
        self.wakes.remove(&(batch.give_up, id));
        for (key, agent) in batch.outs(id, false) {
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
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        self.waiting.remove(&(batch.turn(), id));
        self.wakes.remove(&(batch.in_time_until, id));
        self.wakes.remove(&(batch.place_by, id));
        self.wakes.remove(&(batch.give_up, id));
        batch.request = Some(request);
        batch.state = BatchState::Open;
        batch.arrived = times.arrived;
        batch.due = times.due;
        batch.is_overdue = times.is_overdue;
        batch.give_up = times.give_up;
        batch.in_time_until = times.in_time_until;
        batch.place_by = times.place_by;
        self.by_request.insert(request, id);
        self.wakes.insert((times.in_time_until, id));
        self.wakes.insert((times.place_by, id));
        self.wakes.insert((times.give_up, id));
        self.note_waiting(id);
    }

    /// Puts a batch behind those that can still be in time.
    pub fn note_overdue(&mut self, id: BatchId) {
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        let before = batch.turn();
        batch.is_overdue = true;
        self.waiting.remove(&(before, id));
        self.note_waiting(id);
    }

    /// Keeps the list of waiting batches in step with one of them.
    pub fn note_waiting(&mut self, id: BatchId) {
        let Some(batch) = self.batches.get(&id) else {
            return;
        };
        if batch.has_waiting() {
            self.waiting.insert((batch.turn(), id));
        } else {
            self.waiting.remove(&(batch.turn(), id));
        }
    }

    /// Batches with tasks that wait, in the order in which they are placed.
    pub fn in_order(&self) -> impl Iterator<Item = BatchId> {
        self.waiting.iter().map(|(_, id)| *id)
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
    pub fn note_out(&mut self, now: Now, key: RunKey, agent: &NodeName) {
        let Some(batch) = self.batches.get_mut(&key.task.batch) else {
            return;
        };
        let Some(task) = batch.task_mut(key) else {
            return;
        };
        task.state = TaskState::Out {
            agent: agent.clone(),
            sent: now,
            stopping: false,
        };
        batch.out += 1;
        batch.is_tried = true;
        self.by_agent.entry(agent.clone()).or_default().insert(key);
    }

    fn forget_out(&mut self, agent: &NodeName, key: RunKey) {
        if let Some(keys) = self.by_agent.get_mut(agent) {
            keys.remove(&key);
        }
    }

    /// Runs that are out at an agent.
    pub fn outs_at(&self, agent: &str) -> Vec<RunKey> {
        let keys = self.by_agent.get(agent);
        keys.map(|k| k.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Whether anything is out at an agent.
    pub fn has_outs_at(&self, agent: &str) -> bool {
        self.by_agent.get(agent).is_some_and(|k| !k.is_empty())
    }

    /// Tasks of a step that are out at an agent.
    pub fn step_outs_at(&self, agent: &str, batch: BatchId, step: u16) -> u32 {
        let keys = self.by_agent.get(agent);
        let of_step = |k: &&RunKey| k.task.batch == batch && k.task.step == step;
        keys.map_or(0, |k| k.iter().filter(of_step).count() as u32)
    }

    /// Takes in that a run is over, on proof.
    pub fn run_over(&mut self, key: RunKey, over: RunOver) -> BatchNews {
        let id = key.task.batch;
        let Some(batch) = self.batches.get_mut(&id) else {
            return BatchNews::None;
        };
        let most_attempts = batch.queue.max_attempts;
        let Some(task) = batch.task_mut(key) else {
            return BatchNews::None;
        };
        let TaskState::Out { agent, .. } = task.state.clone() else {
            return BatchNews::None;
        };
        task.run += 1;
        task.state = TaskState::Waiting;
        let mut failed = false;
        match over {
            RunOver::Done => task.state = TaskState::Done,
            RunOver::Failed => {
                task.failures += 1;
                task.avoid = Some(agent.clone());
                failed = task.failures >= most_attempts;
            }
            RunOver::Again { superseded: true } => task.run += RUN_NUMBER_JUMP,
            RunOver::Again { superseded: false } => {}
        }
        batch.out -= 1;
        if over == RunOver::Done {
            batch.steps[usize::from(key.task.step)].left -= 1;
        }
        let news = match batch.state {
            BatchState::Open if batch.is_done() => BatchNews::Done,
            BatchState::Open if failed => BatchNews::Failed,
            BatchState::Closing(_) if batch.out == 0 => BatchNews::Closed,
            _ => BatchNews::None,
        };
        self.forget_out(&agent, key);
        self.note_waiting(id);
        news
    }

    /// Whether a run is being stopped.
    pub fn is_stopping(&self, key: RunKey) -> bool {
        let step = usize::from(key.task.step);
        let index = usize::from(key.task.index);
        let batch = self.batches.get(&key.task.batch);
        let task = batch.and_then(|b| b.steps.get(step)?.tasks.get(index));
        matches!(
            task,
            Some(Task {
                state: TaskState::Out { stopping: true, .. },
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
        let TaskState::Out {
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
        let live = batch.outs(id, true);
        self.note_waiting(id);
        for (key, _) in &live {
            self.note_stopping(*key);
        }
        live
    }

    /// How long a batch has been here.
    pub fn age(&self, now: Now, id: BatchId) -> Duration {
        let arrived = self.batches.get(&id).map_or(now, |b| b.arrived);
        now.saturating_sub(arrived)
    }
}
