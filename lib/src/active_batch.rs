//! One batch that an entry holds, with its steps and tasks.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::batch::{BatchSpec, StepSpec};
use crate::crash_history::CrashHistory;
use crate::ids::{NodeName, Now, RequestId, SessionId};
use crate::payload::Payload;
use crate::queue::Queue;
use crate::run::{BatchId, RunKey, RunNumber, TaskKey};

/// Where a task is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskState {
    /// It is to be placed.
    Waiting,
    /// An order to start it has been sent, and nothing proves that it is over.
    Assigned {
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
    /// Crashes of targets that had a run of it.
    pub crashes: CrashHistory,
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
    /// Agent on whose target a task of the step was first found slow, and how long the shortest of
    /// its slow tasks would take.
    slow_at: Option<(NodeName, Duration)>,
    /// Whether tasks of the step have been found slow at two agents.
    is_estimate_wrong: bool,
}

impl Step {
    /// Notes that a task of the step is slow at an agent, where it would take so long; says whether
    /// tasks have been slow at two agents by now. Then it is the estimate that is wrong, not the
    /// targets, and moving on would go on for ever. The time that was seen takes its place: sent on
    /// with the next orders, the wrong one would make targets seem slow to all entries.
    pub fn is_slow_everywhere(&mut self, agent: &NodeName, takes: Duration) -> bool {
        let (first, shortest) = self.slow_at.get_or_insert_with(|| (agent.clone(), takes));
        *shortest = takes.min(*shortest);
        if *first != *agent {
            self.is_estimate_wrong = true;
            self.spec.estimate = *shortest;
        }
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
    /// Every target that could serve it is in an evacuated data hall.
    Evacuated,
}

/// A batch.
#[derive(Debug)]
pub struct Batch {
    /// Whom to answer; none once answered or gone.
    pub request: Option<RequestId>,
    /// Its queue, as configured when it came.
    pub queue: Arc<Queue>,
    /// What every task is given.
    pub payload: Payload,
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
    pub caller_deadline: Now,
    /// When it can't be in time any more if nothing of it has been placed by then.
    pub in_time_until: Now,
    /// When it is refused if nothing of it has been placed by then.
    pub placement_deadline: Now,
    /// Whether any order to start was ever sent for it.
    pub was_dispatched: bool,
    /// Links on which its payload was sent.
    pub payload_sent_to: BTreeSet<SessionId>,
    /// Tasks out.
    pub open_runs: u32,
    /// Whether it is still wanted.
    pub state: BatchState,
}

impl Batch {
    /// A batch that has just come.
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
            left: spec.count,
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
            in_time_until: times.in_time_until,
            placement_deadline: times.placement_deadline,
            was_dispatched: false,
            payload_sent_to: BTreeSet::new(),
            open_runs: 0,
            state: BatchState::Open,
        }
    }

    /// Its place among those that wait.
    pub fn turn(&self) -> PlacementOrder {
        PlacementOrder {
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

    /// Whether targets have crashed twice or more under one of its tasks.
    pub fn crashes_targets(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.any(|task| task.crashes.must_run_alone())
    }

    /// Tasks that wait and whose turn has come.
    pub fn waiting_tasks(&self) -> u32 {
        if self.state != BatchState::Open {
            return 0;
        }
        let ready = (0..self.steps.len()).filter(|step| self.is_ready(*step));
        let waits = |task: &&Task| task.state == TaskState::Waiting;
        let waiting = ready.map(|step| self.steps[step].tasks.iter().filter(waits).count());
        waiting.sum::<usize>() as u32
    }

    /// The task behind a key, if it is at that run.
    pub fn task_mut(&mut self, key: RunKey) -> Option<&mut Task> {
        let step = self.steps.get_mut(usize::from(key.task.step))?;
        let task = step.tasks.get_mut(usize::from(key.task.index))?;
        (task.run == key.run).then_some(task)
    }

    /// Runs that are out, with their agents; those that are not being stopped if `live_only`.
    pub fn open_runs(&self, id: BatchId, live_only: bool) -> Vec<(RunKey, NodeName)> {
        let mut outs = Vec::new();
        for (step_index, step) in self.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                let TaskState::Assigned {
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
    pub caller_deadline: Now,
    /// See [`Batch`].
    pub in_time_until: Now,
    /// See [`Batch`].
    pub placement_deadline: Now,
}

/// Place of a batch among those that wait. Those whose objective was past before they came go last:
/// they can't be in time any more, and would make others late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementOrder {
    /// See [`Batch`].
    pub is_overdue: bool,
    /// See [`Batch`].
    pub due: Now,
}
