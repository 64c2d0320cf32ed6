//! The chain of filters that a submission passes before it becomes a job.
//!
//! Each filter checks one condition and accepts or refuses the submission. No task of a refused
//! submission has run. Cheap filters come first, and filters that check the request come before
//! those that check the current state.

use std::time::Duration;

use crate::config_document::{Document, Team};
use crate::ids::{Now, TeamName};
use crate::job::{Answer, JobSpec, MAX_TASKS_PER_JOB, RefusalReason};
use crate::job_table::need_of;
use crate::quota::Quotas;
use crate::target_table::TargetTable;

/// Share of the deadline that the estimate may fill. The rest absorbs estimation errors.
const MAX_DEADLINE_SHARE: f64 = 0.8;
/// Shortest retry delay given to a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry delay after a refusal whose cause has no known end.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// HTTP path for requesting permits.
pub const PERMITS_PATH: &str = "/v1/permits";

/// State that the filters read.
pub struct AdmissionContext<'a> {
    /// Current time.
    pub now: Now,
    /// Configuration in force, if any.
    pub document: Option<&'a Document>,
    /// Whether the configuration is the newest known.
    pub config_current: bool,
    /// Whether the entry is draining.
    pub draining: bool,
    pub targets: &'a TargetTable,
    /// Quota use of the teams.
    pub quotas: &'a Quotas,
    /// Number of tasks that wait at this entry.
    pub waiting_tasks: u32,
    /// Expected duration of the job.
    pub estimate: Estimate,
}

/// Expected duration of a job from now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Time until its last task gets a slot, given the tasks that already wait.
    pub wait: Duration,
    /// Time from then to the end of the job.
    pub run: Duration,
}

impl Estimate {
    /// Expected response time.
    pub fn response(&self) -> Duration {
        self.wait + self.run
    }
}

/// A check of one condition.
pub trait AdmissionFilter: Send {
    /// Accepts a submission, or returns the refusal as an error.
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer>;
}

/// Creates the filters in the order in which they apply.
pub fn filter_chain() -> Vec<Box<dyn AdmissionFilter>> {
    vec![
        Box::new(TaskCount),
        Box::new(NotDraining),
        Box::new(ConfigurationCurrent),
        Box::new(DeadlineInRange),
        Box::new(PermitPresence),
        Box::new(Feasible),
        Box::new(QuotaAvailable),
        Box::new(QueueCapacity),
        Box::new(DeadlineReachable),
    ]
}

struct TaskCount;

impl AdmissionFilter for TaskCount {
    fn check(&self, job: &JobSpec, _: &AdmissionContext<'_>) -> Result<(), Answer> {
        if job.tasks.is_empty() {
            let message = "`tasks` is empty: expected at least one task".to_owned();
            return Err(Answer::refused(RefusalReason::Malformed { message }));
        }
        if job.tasks.len() > MAX_TASKS_PER_JOB {
            let limit = MAX_TASKS_PER_JOB as u64;
            return Err(Answer::refused(RefusalReason::TooLarge { limit }));
        }
        Ok(())
    }
}

struct NotDraining;

impl AdmissionFilter for NotDraining {
    fn check(&self, _: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        if cx.draining {
            return Err(Answer::refused_until(
                RefusalReason::Stopping,
                MIN_RETRY_DELAY,
            ));
        }
        Ok(())
    }
}

struct ConfigurationCurrent;

impl AdmissionFilter for ConfigurationCurrent {
    fn check(&self, _: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        if cx.document.is_none() || !cx.config_current {
            let reason = RefusalReason::ConfigurationBehind;
            return Err(Answer::refused_until(reason, DEFAULT_RETRY_DELAY));
        }
        Ok(())
    }
}

struct DeadlineInRange;

impl AdmissionFilter for DeadlineInRange {
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        let max_ms = cx.document.map_or(0, |d| d.max_deadline_ms);
        let deadline_ms = job.deadline.as_millis() as u64;
        if deadline_ms == 0 || deadline_ms > max_ms {
            let message = format!("`deadline_ms` is {deadline_ms}: expected 1 to {max_ms}");
            return Err(Answer::refused(RefusalReason::Malformed { message }));
        }
        Ok(())
    }
}

struct PermitPresence;

impl AdmissionFilter for PermitPresence {
    fn check(&self, job: &JobSpec, _: &AdmissionContext<'_>) -> Result<(), Answer> {
        if !job.repeatable && job.permit.is_none() {
            let path = PERMITS_PATH.to_owned();
            return Err(Answer::refused(RefusalReason::PermitNeeded { path }));
        }
        if job.repeatable && job.permit.is_some() {
            let message = "`permit` is for requests with `\"repeatable\": false`".to_owned();
            return Err(Answer::refused(RefusalReason::Malformed { message }));
        }
        Ok(())
    }
}

struct Feasible;

impl AdmissionFilter for Feasible {
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        if !cx.targets.iter().any(|(_, t)| t.is_open()) {
            return Err(Answer::refused_until(
                RefusalReason::NoTargets,
                DEFAULT_RETRY_DELAY,
            ));
        }
        let mut checked = None;
        for (index, task) in job.tasks.iter().enumerate() {
            let need = need_of(task);
            if checked == Some(need) {
                continue;
            }
            if !cx.targets.iter().any(|(_, t)| need.fits(t)) {
                let (accelerators, memory) = (need.accelerators, need.memory_mib);
                return Err(Answer::refused(RefusalReason::Impossible {
                    task: index as u16,
                    need: format!("{accelerators} accelerators and {memory} MiB"),
                }));
            }
            checked = Some(need);
        }
        Ok(())
    }
}

struct QuotaAvailable;

impl AdmissionFilter for QuotaAvailable {
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        let Some(quota) = team_of(cx, &job.team).map(|t| t.quota) else {
            return Err(Answer::refused(RefusalReason::UnknownTeam));
        };
        let tasks = job.tasks.len() as u32;
        if tasks > quota {
            return Err(Answer::refused(RefusalReason::OverQuota { share: quota }));
        }
        let share = cx.quotas.share(&job.team, quota, tasks, cx.now);
        let used = cx.quotas.in_flight(&job.team);
        if used + tasks > share {
            let reason = RefusalReason::OverQuota { share };
            return Err(Answer::refused_until(reason, DEFAULT_RETRY_DELAY));
        }
        Ok(())
    }
}

fn team_of<'a>(cx: &AdmissionContext<'a>, team: &TeamName) -> Option<&'a Team> {
    cx.document?.teams.get(team)
}

struct QueueCapacity;

impl AdmissionFilter for QueueCapacity {
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        let limit = cx.document.map_or(0, |d| d.max_waiting_tasks);
        if cx.waiting_tasks + job.tasks.len() as u32 > limit {
            let wait = cx.estimate.wait.max(MIN_RETRY_DELAY);
            return Err(Answer::refused_until(RefusalReason::Busy, wait));
        }
        Ok(())
    }
}

struct DeadlineReachable;

impl AdmissionFilter for DeadlineReachable {
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        let response = cx.estimate.response();
        let limit = job.deadline.mul_f64(MAX_DEADLINE_SHARE);
        if response > limit {
            let estimate_ms = response.as_millis() as u64;
            let reason = RefusalReason::WouldMissDeadline { estimate_ms };
            if cx.estimate.run > limit {
                return Err(Answer::refused(reason));
            }
            let retry = (response - limit).max(MIN_RETRY_DELAY);
            return Err(Answer::refused_until(reason, retry));
        }
        Ok(())
    }
}
