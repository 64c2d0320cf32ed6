//! What callers submit and what they hear back.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, TeamName};

/// Most tasks in one job (the letter's target).
pub const MAX_TASKS_PER_JOB: usize = 1_100;

/// One short piece of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// What the target is to do, such as `unlock`. Run times are learned per kind.
    pub kind: Arc<str>,
    /// Handed to the target as it is.
    #[serde(default = "empty_text")]
    pub payload: Arc<str>,
    /// The caller's guess of the run time, in milliseconds. A hint only.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub expected_ms: u32,
    /// Memory needed, in MiB.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub memory_mib: u32,
    /// Accelerators needed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub accelerators: u32,
}

fn empty_text() -> Arc<str> {
    Arc::from("")
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// A batch of tasks that is answered as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// Who pays for it.
    pub team: TeamName,
    /// The tasks, at least one.
    pub tasks: Arc<[TaskSpec]>,
    /// How long the caller waits, counted from arrival.
    pub deadline: Duration,
    /// False for a request that must run at most once, across resubmissions.
    pub repeatable: bool,
    /// The permit text, for a request that is not repeatable.
    pub permit: Option<String>,
    /// W3C trace context of the caller's span.
    pub trace: Option<Arc<str>>,
}

/// The one answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum Answer {
    /// Every task ended well; results stand in the order of the tasks.
    Complete {
        /// The job.
        job: JobIdText,
        /// One result a task.
        results: Vec<Arc<str>>,
    },
    /// The job did not end well.
    Failed {
        /// The job.
        job: JobIdText,
        /// Why.
        reason: Failure,
        /// Whether any task may have started.
        may_have_run: bool,
    },
    /// Nothing of it ran, and nothing of it will.
    Refused {
        /// Why.
        #[serde(flatten)]
        refusal: Refusal,
    },
}

/// A job id as callers read it.
pub type JobIdText = String;

impl Answer {
    /// Builds the answer of a job that ended badly.
    pub fn failed(job: JobId, reason: Failure, may_have_run: bool) -> Self {
        Self::Failed {
            job: job.to_string(),
            reason,
            may_have_run,
        }
    }

    /// Builds a refusal.
    pub fn refused(reason: RefusalReason) -> Self {
        Self::Refused {
            refusal: Refusal {
                reason,
                retry_after_ms: None,
            },
        }
    }

    /// Builds a refusal that says when to come back.
    pub fn refused_until(reason: RefusalReason, retry_after: Duration) -> Self {
        Self::Refused {
            refusal: Refusal {
                reason,
                retry_after_ms: Some(retry_after.as_millis() as u64),
            },
        }
    }
}

/// Why an admitted job failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum Failure {
    /// A task ran and reported an error.
    TaskFailed {
        /// Position of the task.
        task: u16,
        /// What the target said.
        message: Arc<str>,
    },
    /// A task's target stopped it or was lost while it may have been running.
    TargetLost {
        /// Position of the task.
        task: u16,
        /// Name of the target.
        target: Arc<str>,
    },
    /// The caller's deadline passed, or it became certain that it would.
    DeadlinePassed,
    /// The caller cancelled the job or went away.
    Cancelled,
    /// The permit was used by an earlier submission whose fate is not known.
    EarlierSubmissionUnknown,
    /// The entry that held the job stopped before it ended.
    EntryStopped,
}

/// A refusal: nothing of the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    #[serde(flatten)]
    pub reason: RefusalReason,
    /// When it is worth coming back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Why a request was not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is not well formed.
    Malformed {
        /// The place and what was expected there.
        message: String,
    },
    /// The body or the number of tasks is over its limit.
    TooLarge {
        /// The largest that is accepted.
        limit: u64,
    },
    /// The key belongs to no team.
    UnknownTeam,
    /// The team's quota of tasks in flight is used up.
    OverQuota {
        /// The team's share at this entry, in tasks.
        share: u32,
    },
    /// No target could ever run one of the tasks.
    Impossible {
        /// Position of the task.
        task: u16,
        /// What it needs that no target has.
        need: String,
    },
    /// The job could not end before its deadline.
    WouldMissDeadline {
        /// Estimated response time in milliseconds.
        estimate_ms: u64,
    },
    /// Too much is waiting already.
    Busy,
    /// No target is connected.
    NoTargets,
    /// The deadline passed while nothing of the job had run.
    DeadlinePassed,
    /// Cancelled while nothing of the job had run.
    Cancelled,
    /// The entry is being stopped.
    Stopping,
    /// The entry has no configuration, or knows that it holds an old one.
    ConfigurationBehind,
    /// A request that is not repeatable needs a permit.
    PermitNeeded {
        /// Where to get one.
        path: String,
    },
    /// The permit is not one of ours, or belongs to another team or request.
    PermitInvalid,
    /// The permit can be used no more; take a new one only if the request is known not to have run.
    PermitVoid,
    /// The permit's registrar can't be reached now.
    PermitUnreachable,
    /// An earlier submission under the permit is still running.
    EarlierSubmissionRunning,
    /// No such job here, or not this team's.
    UnknownJob,
}

/// How one task ended on its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// Ended well, with its result.
    #[serde(rename = "ok")]
    Succeeded(Arc<str>),
    /// The target reported an error.
    #[serde(rename = "err")]
    Failed(Arc<str>),
    /// Stopped, or lost sight of, after it may have started.
    #[serde(rename = "lost")]
    Lost,
}
