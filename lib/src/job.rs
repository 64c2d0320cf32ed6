//! Jobs that callers submit, and the answers to them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, TeamName};

/// Maximum number of tasks in one job.
pub const MAX_TASKS_PER_JOB: usize = 1_100;

/// A single task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Operation that the target performs, such as `unlock`. Run times are learned per kind.
    pub kind: Arc<str>,
    /// Passed to the target unchanged.
    #[serde(default = "empty_text")]
    pub payload: Arc<str>,
    /// The caller's estimate of the run time, in milliseconds. It is only a hint.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub expected_ms: u32,
    /// Memory needed, in MiB.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub memory_mib: u32,
    /// Number of accelerators needed.
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
    /// The team whose quota the job counts against.
    pub team: TeamName,
    /// The tasks; never empty.
    pub tasks: Arc<[TaskSpec]>,
    /// How long the caller waits, counted from arrival.
    pub deadline: Duration,
    /// False if the request must run at most once, resubmissions included.
    pub repeatable: bool,
    /// The permit text, for a request that is not repeatable.
    pub permit: Option<String>,
    /// W3C trace context of the caller's span.
    pub trace: Option<Arc<str>>,
}

/// The answer to a submission; each submission gets exactly one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum Answer {
    /// All tasks succeeded.
    Complete {
        job: JobIdText,
        /// One result per task, in the order of the tasks.
        results: Vec<Arc<str>>,
    },
    /// The job was admitted and failed.
    Failed {
        job: JobIdText,
        /// Why the job failed.
        reason: Failure,
        /// Whether any task may have started.
        may_have_run: bool,
    },
    /// No task of the job ran or will run.
    Refused {
        /// Why the request was refused.
        #[serde(flatten)]
        refusal: Refusal,
    },
}

/// Text form of a job id, as callers see it.
pub type JobIdText = String;

impl Answer {
    /// Builds the answer to a failed job.
    pub fn failed(job: JobId, reason: Failure, may_have_run: bool) -> Self {
        Self::Failed {
            job: job.to_string(),
            reason,
            may_have_run,
        }
    }

    /// Builds a refusal without a retry time.
    pub fn refused(reason: RefusalReason) -> Self {
        Self::Refused {
            refusal: Refusal {
                reason,
                retry_after_ms: None,
            },
        }
    }

    /// Builds a refusal that says when to retry.
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
        /// Error message of the target.
        message: Arc<str>,
    },
    /// The target stopped the task, or was lost while the task may have been running.
    TargetLost {
        /// Position of the task.
        task: u16,
        /// Name of the target.
        target: Arc<str>,
    },
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The caller cancelled the job or disconnected.
    Cancelled,
    /// The permit was used by an earlier submission whose outcome is not known.
    EarlierSubmissionUnknown,
    /// The entry that held the job stopped before the job ended.
    EntryStopped,
}

/// Why a request was refused and when to retry it. No task of the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    #[serde(flatten)]
    pub reason: RefusalReason,
    /// Time until a retry is worthwhile, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Why a request was not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is not well formed.
    Malformed {
        /// Position of the error and what was expected there.
        message: String,
    },
    /// The body or the number of tasks is over its limit.
    TooLarge {
        /// Largest accepted value.
        limit: u64,
    },
    /// The key belongs to no team.
    UnknownTeam,
    /// The team's quota of tasks in flight is used up.
    OverQuota {
        /// The team's share at this entry, in tasks.
        share: u32,
    },
    /// No known target could ever run one of the tasks.
    Impossible {
        /// Position of the task.
        task: u16,
        /// Resource that the task needs and no target has.
        need: String,
    },
    /// The job is not expected to end before its deadline.
    WouldMissDeadline {
        /// Estimated response time in milliseconds.
        estimate_ms: u64,
    },
    /// Too many tasks wait already.
    Busy,
    /// No target is connected.
    NoTargets,
    /// The deadline passed before any task of the job ran.
    DeadlinePassed,
    /// The job was cancelled before any of its tasks ran.
    Cancelled,
    /// The entry is being stopped.
    Stopping,
    /// The entry has no configuration, or knows that a newer one exists.
    ConfigurationBehind,
    /// A request that is not repeatable needs a permit.
    PermitNeeded {
        /// URL path where callers get a permit.
        path: String,
    },
    /// The permit was not issued by this fleet, or belongs to another team or request.
    PermitInvalid,
    /// The permit can no longer be used. A caller may take a new one only if it knows that the
    /// request did not run.
    PermitVoid,
    /// The permit's registrar can't be reached at present.
    PermitUnreachable,
    /// An earlier submission under the permit is still running.
    EarlierSubmissionRunning,
    /// The entry has no such job, or the job belongs to another team.
    UnknownJob,
}

/// How one task ended on its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The task succeeded with this result.
    #[serde(rename = "ok")]
    Succeeded(Arc<str>),
    /// The target reported this error.
    #[serde(rename = "err")]
    Failed(Arc<str>),
    /// The task was stopped, or its target lost, after it may have started.
    #[serde(rename = "lost")]
    Lost,
}
