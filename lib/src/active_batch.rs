//! State of a batch that an entry holds, with its steps and tasks.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::batch::{BatchSpec, StepSpec};
use crate::crash_history::CrashHistory;
use crate::crash_notices::{CrashNotices, KnownCrash};
use crate::ids::{NodeName, Now, RequestId, SessionId};
use crate::payload::Payload;
use crate::queue::Queue;
use crate::run::{BatchId, RunKey, RunNumber, TaskKey};

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// The task waits to be placed.
    Waiting,
    /// A start order was sent, and the run isn't proven over yet.
    Assigned {
        /// Agent that the order was sent to.
        agent: NodeName,
        /// When the order was sent.
        sent: Now,
        /// Whether a stop was ordered.
        stopping: bool,
    },
    /// The task has succeeded.
    Done,
}

/// A task and the history of its runs.
#[derive(Debug, Clone)]
pub struct Task {
    /// Whether the task waits, runs or is done.
    pub state: TaskState,
    /// Number of the current run, or of the next one.
    pub run: RunNumber,
    /// Number of runs that ended as failed.
    pub failures: u32,
    /// Agent to avoid in the next run: an earlier one failed, crashed or was stopped there.
    pub avoid: Option<NodeName>,
    /// Target crashes during its runs.
    pub crashes: CrashHistory,
}

/// A step and its tasks.
#[derive(Debug)]
pub struct Step {
    /// The step as submitted.
    pub spec: StepSpec,
    /// The step's tasks, by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that are not done.
    pub unfinished: u32,
    /// Agent where a task of the step was first reported slow, and the shortest projected run time
    /// of the step's slow tasks.
    slow_at: Option<(NodeName, Duration)>,
    /// Whether tasks of the step were reported slow at two agents.
    is_estimate_wrong: bool,
}

impl Step {
    /// Records a task that is slow at an agent, with its projected run time. Returns whether tasks
    /// have been slow at two agents. The estimate then counts as wrong: the shortest projected time
    /// replaces it in further orders, so that targets don't appear slow.
    pub fn record_slow_task(&mut self, agent: &NodeName, projected: Duration) -> bool {
        let (first, shortest) = self
            .slow_at
            .get_or_insert_with(|| (agent.clone(), projected));
        *shortest = projected.min(*shortest);
        if *first != *agent {
            self.is_estimate_wrong = true;
            self.spec.estimate = *shortest;
        }
        self.is_estimate_wrong
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchState {
    /// The batch is being run.
    Open,
    /// The batch is being closed: its open runs are stopped, and no other task starts.
    Closing(CloseReason),
}

/// Reason why a batch is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The caller disconnected.
    CallerGone,
    /// The caller deadline or the placement deadline has passed.
    Deadline,
    /// A cancel request for the batch arrived.
    Cancelled,
    /// The batch was answered as failed.
    Failed,
    /// The entry is shutting down.
    Draining,
    /// Every target that could serve it is in an evacuated data hall.
    Evacuated,
    /// The entry that had handed it over waits for no answer any more.
    GiverEnded,
}

/// A batch that an entry holds.
#[derive(Debug)]
pub struct Batch {
    /// Request to answer; `None` once it was answered or its caller disconnected.
    pub request: Option<RequestId>,
    /// Queue of the batch, as configured when its caller last submitted it here.
    pub queue: Arc<Queue>,
    /// Payload passed to every task.
    pub payload: Payload,
    /// Steps of the batch.
    pub steps: Vec<Step>,
    /// Time at which its caller last submitted it here.
    pub arrived: Now,
    /// Time by which it should be done according to its objective.
    pub due: Now,
    /// Whether it can no longer be done by `due`: that time had passed when its caller retried
    /// here, or it wasn't placed in time.
    pub is_overdue: bool,
    /// Time at which the caller stops waiting.
    pub caller_deadline: Now,
    /// Until when its caller can't have given it to another entry since it sent the request.
    pub proven_until: Now,
    /// Until when no other entry holds it, as its witnesses have granted.
    pub granted_until: Now,
    /// Latest first placement that still lets it finish by `due`.
    pub latest_on_time_start: Now,
    /// Time at which it is refused if none of its tasks has been placed.
    pub placement_deadline: Now,
    /// Whether a start order was ever sent for it.
    pub was_dispatched: bool,
    /// Links over which its payload was sent. A link is identified by its session.
    pub payload_sent_to: BTreeSet<SessionId>,
    /// Whether a task waited for a faster target although another one had free capacity.
    pub has_declined: bool,
    /// Whether its tasks no longer wait for faster targets.
    pub takes_any_target: bool,
    /// Number of open runs.
    pub open_runs: u32,
    /// Whether the batch is being run or closed.
    pub state: BatchState,
}

impl Batch {
    /// Creates a batch that has just arrived; all its tasks wait.
    pub fn new(
        spec: &BatchSpec,
        payload: Payload,
        queue: Arc<Queue>,
        request: RequestId,
        times: BatchTimes,
    ) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            run: 1,
            failures: 0,
            avoid: None,
            crashes: CrashHistory::default(),
        };
        let steps = spec.steps.iter().map(|spec| Step {
            spec: spec.clone(),
            tasks: vec![task.clone(); spec.count as usize],
            unfinished: spec.count,
            slow_at: None,
            is_estimate_wrong: false,
        });
        Self {
            request: Some(request),
            queue,
            payload,
            steps: steps.collect(),
            arrived: times.arrived,
            due: times.due,
            is_overdue: times.is_overdue,
            caller_deadline: times.caller_deadline,
            proven_until: times.proven_until,
            granted_until: Now::ZERO,
            latest_on_time_start: times.latest_on_time_start,
            placement_deadline: times.placement_deadline,
            was_dispatched: false,
            payload_sent_to: BTreeSet::new(),
            has_declined: false,
            takes_any_target: false,
            open_runs: 0,
            state: BatchState::Open,
        }
    }

    /// Whether tasks may start without asking whether another entry holds it.
    pub fn is_vouched_for(&self, now: Now) -> bool {
        self.proven_until.max(self.granted_until) > now
    }

    /// Returns the batch's current position in the placement order.
    pub fn placement_order(&self) -> PlacementOrder {
        PlacementOrder {
            is_overdue: self.is_overdue,
            due: self.due,
        }
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_ready(&self, step: usize) -> bool {
        let after = &self.steps[step].spec.after;
        after
            .iter()
            .all(|a| self.steps[usize::from(*a)].unfinished == 0)
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|s| s.unfinished == 0)
    }

    /// Records the crashes of runs that earlier attempts had elsewhere, and gives up the tasks at
    /// which they point. Run numbers continue after theirs, because a crash is identified by its run.
    /// Returns the tasks whose verdict is due later, with its time.
    pub fn add_known_crashes(
        &mut self,
        now: Now,
        crashes: &[KnownCrash],
        notices: &CrashNotices,
        lapse: Duration,
    ) -> BTreeSet<(Now, TaskKey)> {
        let mut verdicts = BTreeSet::new();
        for crash in crashes {
            let step = self.steps.get_mut(usize::from(crash.task.step));
            let task = step.and_then(|s| s.tasks.get_mut(usize::from(crash.task.index)));
            let Some(task) = task else {
                continue;
            };
            let verdict_at = notices.verdict_at(now, crash.task, lapse);
            task.crashes.record(crash.alone, verdict_at);
            task.crashes.settle(now, notices.is_disputed(crash.task));
            task.run = task.run.max(crash.run.saturating_add(1));
            if let Some(at) = task.crashes.verdict_at() {
                verdicts.insert((at, crash.task));
            }
        }
        verdicts
    }

    /// Numbers the next run of each task from `first` at least.
    pub fn raise_run_numbers(&mut self, first: RunNumber) {
        let tasks = self.steps.iter_mut().flat_map(|step| &mut step.tasks);
        for task in tasks {
            task.run = task.run.max(first);
        }
    }

    /// Returns the lowest number that no run of its tasks had.
    pub fn next_run_number(&self) -> RunNumber {
        let tasks = self.steps.iter().flat_map(|step| &step.tasks);
        let next = tasks.map(|task| match task.state {
            TaskState::Assigned { .. } => task.run + 1,
            TaskState::Waiting | TaskState::Done => task.run,
        });
        next.max().unwrap_or_default()
    }

    /// Returns whether one of its tasks is given up because targets crashed during its runs.
    pub fn is_given_up(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.any(|task| task.crashes.is_given_up())
    }

    /// Returns the number of waiting tasks in steps that are ready; 0 unless the batch is open.
    pub fn waiting_tasks(&self) -> u32 {
        if self.state != BatchState::Open {
            return 0;
        }
        let ready = (0..self.steps.len()).filter(|step| self.is_ready(*step));
        let waits = |task: &&Task| task.state == TaskState::Waiting;
        let waiting = ready.map(|step| self.steps[step].tasks.iter().filter(waits).count());
        waiting.sum::<usize>() as u32
    }

    /// Returns the task of a run, if that run is its current one.
    pub fn task_mut(&mut self, key: RunKey) -> Option<&mut Task> {
        let step = self.steps.get_mut(usize::from(key.task.step))?;
        let task = step.tasks.get_mut(usize::from(key.task.index))?;
        (task.run == key.run).then_some(task)
    }

    /// Returns the open runs with their agents. `skip_stopping` leaves out runs that are being
    /// stopped.
    pub fn open_runs(&self, id: BatchId, skip_stopping: bool) -> Vec<(RunKey, NodeName)> {
        let mut runs = Vec::new();
        for (step_index, step) in self.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                let TaskState::Assigned {
                    agent, stopping, ..
                } = &task.state
                else {
                    continue;
                };
                if *stopping && skip_stopping {
                    continue;
                }
                let key = RunKey {
                    task: TaskKey {
                        batch: id,
                        // Number of the repetition; batches are not repeated.
                        time: 0,
                        step: step_index as u16,
                        index: index as u16,
                    },
                    run: task.run,
                };
                runs.push((key, agent.clone()));
            }
        }
        runs
    }
}

/// Times of a new batch, and whether it is overdue already.
#[derive(Debug, Clone, Copy)]
pub struct BatchTimes {
    /// Same as [`Batch::arrived`].
    pub arrived: Now,
    /// Same as [`Batch::due`].
    pub due: Now,
    /// Same as [`Batch::is_overdue`].
    pub is_overdue: bool,
    /// Same as [`Batch::caller_deadline`].
    pub caller_deadline: Now,
    /// Same as [`Batch::proven_until`].
    pub proven_until: Now,
    /// Same as [`Batch::latest_on_time_start`].
    pub latest_on_time_start: Now,
    /// Same as [`Batch::placement_deadline`].
    pub placement_deadline: Now,
}

/// Position of a batch in the placement order: by due time, but overdue batches come last, because
/// they can't be in time any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementOrder {
    /// Same as [`Batch::is_overdue`].
    pub is_overdue: bool,
    /// Same as [`Batch::due`].
    pub due: Now,
}
