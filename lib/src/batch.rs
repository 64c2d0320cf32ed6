//! A batch as submitted by its caller.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::run::BatchId;

/// Largest number of tasks in one batch.
pub const MAX_TASKS: u32 = 1_100;
/// Bound on the times that callers and configurations state. Sums with the present time then can't
/// overflow.
pub const MAX_STATED_TIME: Duration = Duration::from_secs(u32::MAX as u64);

/// A step of a batch: a number of identical tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub size: Resources,
    /// The caller's estimate of the run time of each task.
    pub estimate: Duration,
    /// Indexes of the steps that must be done first.
    pub after: Vec<u16>,
    /// Label that the target must have, if any.
    pub required_label: Option<String>,
    /// Label of the rack where the tasks run faster, if any.
    pub preferred_rack: Option<String>,
    /// Largest number of the step's tasks that one target may run at a time.
    pub most_per_target: Option<u32>,
}

/// Feature that a caller may request but that isn't supported yet. Such a batch is refused before
/// any of its tasks runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsupported {
    /// A batch that outlives its request.
    Kept,
    /// Tasks that must all run at the same time.
    Gang,
    /// Tasks that run until they are cancelled.
    Persistent,
    /// Batches that repeat on a schedule.
    Repeated,
    /// Queues whose targets are chosen by the platform's advice.
    Advice,
}

/// A complete batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchSpec {
    /// Id of the batch.
    pub id: BatchId,
    /// Payload passed to every task.
    pub payload: Arc<str>,
    /// Steps of the batch; each may depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// The first unsupported feature that it requests, if any.
    pub unsupported: Option<Unsupported>,
}

/// Reason why a batch is invalid.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
pub enum BatchError {
    /// The batch has no tasks.
    #[snafu(display("steps: a batch needs at least one task"))]
    Empty,
    /// The batch has more than [`MAX_TASKS`] tasks.
    #[snafu(display("steps: {tasks} tasks, expected at most {MAX_TASKS}"))]
    TooManyTasks {
        /// Number of tasks.
        tasks: u64,
    },
    /// A step depends on one that doesn't precede it.
    #[snafu(display("steps[{step}].after: {after} is no earlier step"))]
    After {
        /// Index of the step.
        step: usize,
        /// Index of the step that it depends on.
        after: u16,
    },
}

impl BatchSpec {
    /// Checks the number of tasks and the order of the steps.
    pub fn check(&self) -> Result<(), BatchError> {
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if tasks == 0 {
            return EmptySnafu.fail();
        }
        if tasks > u64::from(MAX_TASKS) {
            return TooManyTasksSnafu { tasks }.fail();
        }
        for (step, spec) in self.steps.iter().enumerate() {
            if let Some(&after) = spec.after.iter().find(|a| usize::from(**a) >= step) {
                return AfterSnafu { step, after }.fail();
            }
        }
        Ok(())
    }

    /// Returns the estimated duration of the critical path through the steps, at most
    /// [`MAX_STATED_TIME`].
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|a| ends.get(usize::from(*a)));
            let begin = before.max().copied().unwrap_or_default();
            ends.push(begin.saturating_add(step.estimate).min(MAX_STATED_TIME));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
