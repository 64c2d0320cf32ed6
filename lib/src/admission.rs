//! The filter chain that a submission passes before it becomes a job.
//!
//! Each filter looks at one matter and either lets the submission on or refuses it; nothing has
//! run then. The order is from cheap to dear, and what is wrong with the request itself comes
//! before what is wrong with the moment.

use std::time::Duration;

use crate::config_document::{Document, Team};
use crate::ids::{Now, TeamName};
use crate::job::{Answer, JobSpec, MAX_TASKS_PER_JOB, RefusalReason};
use crate::job_table::need_of;
use crate::quota::Quotas;
use crate::target_table::TargetTable;

/// Part of the caller's time that the estimate may fill; the rest is for errors of the estimate.
const DEADLINE_PART: f64 = 0.8;
/// Shortest time after which a refused caller should come back.
const LEAST_RETRY: Duration = Duration::from_millis(100);
/// When to come back after a refusal whose cause has no known end.
const RETRY_SOON: Duration = Duration::from_secs(1);
/// Path where permits are made.
pub const PERMITS_PATH: &str = "/v1/permits";

/// What filters look at.
pub struct AdmissionContext<'a> {
    /// Now.
    pub now: Now,
    /// Configuration in force, if any, and whether it is the newest known.
    pub document: Option<&'a Document>,
    /// Whether the configuration is the newest known.
    pub config_current: bool,
    /// Whether the entry is being stopped.
    pub draining: bool,
    /// The targets.
    pub targets: &'a TargetTable,
    /// Use of teams.
    pub quotas: &'a Quotas,
    /// Tasks that wait here.
    pub waiting_tasks: u32,
    /// How long the job is expected to take.
    pub estimate: Estimate,
}

/// How long a job is expected to take from now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Until its last task gets a slot because of what waits already.
    pub wait: Duration,
    /// From then to its end.
    pub run: Duration,
}

impl Estimate {
    /// Expected response time.
    pub fn response(&self) -> Duration {
        self.wait + self.run
    }
}

/// One matter to look at.
pub trait AdmissionFilter: Send {
    /// Refuses a submission or lets it on.
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer>;
}

/// The filters in their order.
pub fn filter_chain() -> Vec<Box<dyn AdmissionFilter>> {
    vec![
        Box::new(Shape),
        Box::new(Stopping),
        Box::new(ConfigurationKnown),
        Box::new(Deadline),
        Box::new(PermitCarried),
        Box::new(Feasible),
        Box::new(QuotaLeft),
        Box::new(QueueRoom),
        Box::new(InTime),
    ]
}

struct Shape;

impl AdmissionFilter for Shape {
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

struct Stopping;

impl AdmissionFilter for Stopping {
    fn check(&self, _: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        if cx.draining {
            return Err(Answer::refused_until(RefusalReason::Stopping, LEAST_RETRY));
        }
        Ok(())
    }
}

struct ConfigurationKnown;

impl AdmissionFilter for ConfigurationKnown {
    fn check(&self, _: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        if cx.document.is_none() || !cx.config_current {
            let reason = RefusalReason::ConfigurationBehind;
            return Err(Answer::refused_until(reason, RETRY_SOON));
        }
        Ok(())
    }
}

struct Deadline;

impl AdmissionFilter for Deadline {
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        let most = cx.document.map_or(0, |d| d.max_deadline_ms);
        let asked = job.deadline.as_millis() as u64;
        if asked == 0 || asked > most {
            let message = format!("`deadline_ms` is {asked}: expected 1 to {most}");
            return Err(Answer::refused(RefusalReason::Malformed { message }));
        }
        Ok(())
    }
}

struct PermitCarried;

impl AdmissionFilter for PermitCarried {
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
            return Err(Answer::refused_until(RefusalReason::NoTargets, RETRY_SOON));
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

struct QuotaLeft;

impl AdmissionFilter for QuotaLeft {
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
            return Err(Answer::refused_until(reason, RETRY_SOON));
        }
        Ok(())
    }
}

fn team_of<'a>(cx: &AdmissionContext<'a>, team: &TeamName) -> Option<&'a Team> {
    cx.document?.teams.get(team)
}

struct QueueRoom;

impl AdmissionFilter for QueueRoom {
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        let room = cx.document.map_or(0, |d| d.max_waiting_tasks);
        if cx.waiting_tasks + job.tasks.len() as u32 > room {
            let wait = cx.estimate.wait.max(LEAST_RETRY);
            return Err(Answer::refused_until(RefusalReason::Busy, wait));
        }
        Ok(())
    }
}

struct InTime;

impl AdmissionFilter for InTime {
    fn check(&self, job: &JobSpec, cx: &AdmissionContext<'_>) -> Result<(), Answer> {
        let response = cx.estimate.response();
        let most = job.deadline.mul_f64(DEADLINE_PART);
        if response > most {
            let estimate_ms = response.as_millis() as u64;
            let reason = RefusalReason::WouldMissDeadline { estimate_ms };
            if cx.estimate.run > most {
                return Err(Answer::refused(reason));
            }
            let retry = (response - most).max(LEAST_RETRY);
            return Err(Answer::refused_until(reason, retry));
        }
        Ok(())
    }
}
