//! Timelines of recent jobs for `explain`. The history is bounded; the oldest jobs are evicted
//! first.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{JobSeq, Now, TaskIndex, TeamName};

/// Maximum number of jobs in the history.
const MAX_JOBS: usize = 1_000;
/// Maximum number of steps per job.
const MAX_STEPS: usize = 200;

/// A step in the timeline of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the job arrived.
    pub at_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub what: StepKind,
}

/// Kinds of steps in the timeline of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum StepKind {
    /// The job was admitted.
    Admitted {
        /// Number of tasks.
        tasks: u32,
        /// Estimated response time in milliseconds.
        estimate_ms: u64,
    },
    /// The registrar granted the job's permit.
    PermitGranted,
    /// A task was dispatched to a target.
    Dispatched {
        /// Position of the task.
        task: TaskIndex,
        /// Name of the target.
        target: Arc<str>,
    },
    /// An agent did not start a task, so it waits again.
    NotStarted {
        /// Position of the task.
        task: TaskIndex,
        /// Name of the target.
        target: Arc<str>,
        /// Why the agent did not start it.
        reason: String,
    },
    /// A task ended.
    Ended {
        /// Position of the task.
        task: TaskIndex,
        /// Name of the target.
        target: Arc<str>,
        /// Outcome of the task.
        outcome: String,
    },
    /// The caller was answered.
    Answered {
        /// The status of the answer.
        status: String,
    },
}

/// The recorded steps of one job.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct JobTimeline {
    /// Team of the job.
    pub team: Arc<str>,
    /// The steps in order.
    pub steps: Vec<Step>,
    /// Number of steps dropped because the timeline was full.
    pub left_out: u32,
}

/// Timelines of the most recent jobs.
#[derive(Debug, Default)]
pub struct JobHistory {
    recorded: HashMap<JobSeq, RecordedJob>,
    order: VecDeque<JobSeq>,
}

#[derive(Debug)]
struct RecordedJob {
    arrived: Now,
    timeline: JobTimeline,
}

impl JobHistory {
    /// Starts the timeline of a job that arrives at `now`.
    pub fn begin(&mut self, job: JobSeq, team: &TeamName, now: Now) {
        if self.order.len() >= MAX_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.recorded.remove(&oldest);
        }
        let timeline = JobTimeline {
            team: team.clone(),
            ..JobTimeline::default()
        };
        self.order.push_back(job);
        self.recorded.insert(
            job,
            RecordedJob {
                arrived: now,
                timeline,
            },
        );
    }

    /// Adds a step to the timeline of a job, if the history still holds it.
    pub fn add(&mut self, job: JobSeq, now: Now, what: impl FnOnce() -> StepKind) {
        let Some(recorded) = self.recorded.get_mut(&job) else {
            return;
        };
        if recorded.timeline.steps.len() >= MAX_STEPS {
            recorded.timeline.left_out += 1;
            return;
        }
        let at_ms = now.saturating_sub(recorded.arrived).as_millis() as u64;
        let what = what();
        recorded.timeline.steps.push(Step { at_ms, what });
    }

    /// The timeline of a job, if the history still holds it.
    pub fn timeline(&self, job: JobSeq) -> Option<&JobTimeline> {
        self.recorded.get(&job).map(|r| &r.timeline)
    }
}
