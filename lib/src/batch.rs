//! A batch as its caller describes it.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::run::BatchId;

/// Most tasks of one batch.
pub const MOST_TASKS: u32 = 1_100;

/// A step: tasks that are alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each needs.
    pub size: Resources,
    /// The caller's guess of how long each takes.
    pub estimate: Duration,
    /// Steps that must be done first.
    pub after: Vec<u16>,
    /// Label that the target must have.
    pub required_label: Option<String>,
    /// Rack label where the work goes faster.
    pub preferred_rack: Option<String>,
    /// Most tasks of the step that one target may run at a time.
    pub most_per_target: Option<u32>,
}

/// What a caller may ask for that is not carried yet; such a batch is refused before anything
/// runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsupported {
    /// A batch that must be kept beyond its request.
    Kept,
    /// Tasks that work only together.
    Gang,
    /// Tasks that run until they are cancelled.
    Persistent,
    /// Batches that repeat at given times.
    Repeated,
    /// Queues whose targets are picked by the platform's advice.
    Advice,
}

/// A whole batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchSpec {
    /// Its id.
    pub id: BatchId,
    /// What every task is given.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// The first thing in it that is not carried, if any.
    pub unsupported: Option<Unsupported>,
}

/// Why a batch makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum BatchError {
    /// It has no task.
    #[snafu(display("steps: a batch needs at least one task"))]
    Empty,
    /// It has too many.
    #[snafu(display("steps: {tasks} tasks, expected at most {MOST_TASKS}"))]
    TooManyTasks {
        /// How many.
        tasks: u64,
    },
    /// A step waits for one that does not come before it.
    #[snafu(display("steps[{step}].after: {after} is no earlier step"))]
    After {
        /// The step.
        step: usize,
        /// What it names.
        after: u16,
    },
}

impl BatchSpec {
    /// Refuses a batch that makes no sense.
    pub fn check(&self) -> Result<(), BatchError> {
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if tasks == 0 {
            return EmptySnafu.fail();
        }
        if tasks > u64::from(MOST_TASKS) {
            return TooManyTasksSnafu { tasks }.fail();
        }
        for (step, spec) in self.steps.iter().enumerate() {
            if let Some(&after) = spec.after.iter().find(|a| usize::from(**a) >= step) {
                return AfterSnafu { step, after }.fail();
            }
        }
        Ok(())
    }

    /// The longest chain of estimated work.
    pub fn longest_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|a| ends.get(usize::from(*a)));
            let begin = before.max().copied().unwrap_or_default();
            ends.push(begin + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
