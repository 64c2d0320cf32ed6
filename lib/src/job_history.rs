//! What happened to recent jobs, for `explain`. Bounded; the oldest jobs drop out first.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{JobSeq, Now, TaskIndex, TeamName};

/// Jobs remembered.
const MOST_JOBS: usize = 1_000;
/// Steps remembered for one job.
const MOST_STEPS: usize = 200;

/// One thing that happened to a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds since the job arrived.
    pub at_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub what: StepKind,
}

/// The things that happen to a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum StepKind {
    /// Let in.
    Admitted {
        /// Its tasks.
        tasks: u32,
        /// Estimated response time in milliseconds.
        estimate_ms: u64,
    },
    /// The permit's registrar let it run.
    PermitGranted,
    /// A task was handed to a target.
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
        /// Why.
        reason: String,
    },
    /// A task ended.
    Ended {
        /// Position of the task.
        task: TaskIndex,
        /// Name of the target.
        target: Arc<str>,
        /// How.
        outcome: String,
    },
    /// The caller was answered.
    Answered {
        /// The status of the answer.
        status: String,
    },
}

/// The story of one job.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct JobTimeline {
    /// The team.
    pub team: Arc<str>,
    /// The steps in order.
    pub steps: Vec<Step>,
    /// Steps that did not fit.
    pub left_out: u32,
}

/// Stories of recent jobs.
#[derive(Debug, Default)]
pub struct JobHistory {
    stories: HashMap<JobSeq, Chapter>,
    order: VecDeque<JobSeq>,
}

#[derive(Debug)]
struct Chapter {
    began: Now,
    story: JobTimeline,
}

impl JobHistory {
    /// Starts the story of a job.
    pub fn begin(&mut self, job: JobSeq, team: &TeamName, now: Now) {
        if self.order.len() >= MOST_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.stories.remove(&oldest);
        }
        let story = JobTimeline {
            team: team.clone(),
            ..JobTimeline::default()
        };
        self.order.push_back(job);
        self.stories.insert(job, Chapter { began: now, story });
    }

    /// Adds a step to the story of a job, if it is still told.
    pub fn add(&mut self, job: JobSeq, now: Now, what: impl FnOnce() -> StepKind) {
        let Some(chapter) = self.stories.get_mut(&job) else {
            return;
        };
        if chapter.story.steps.len() >= MOST_STEPS {
            chapter.story.left_out += 1;
            return;
        }
        let at_ms = now.saturating_sub(chapter.began).as_millis() as u64;
        let what = what();
        chapter.story.steps.push(Step { at_ms, what });
    }

    /// The story of a job.
    pub fn story(&self, job: JobSeq) -> Option<&JobTimeline> {
        self.stories.get(&job).map(|c| &c.story)
    }
}
