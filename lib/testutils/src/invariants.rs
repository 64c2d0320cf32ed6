//! Checks the invariants of a simulated fleet after a run.

use std::collections::HashMap;
use std::time::Duration;

use trestleknot_lib::job::Answer;

use crate::virtual_fleet::{FAULT_LENGTH, Request, VirtualFleet};

/// How much later than the deadline and a pause of the entry an answer may arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// Describes every violated invariant. Call once the fleet has been idle for a long time.
pub fn violations(fleet: &VirtualFleet, entries: usize, agents: usize) -> Vec<String> {
    let mut violations = Vec::new();
    check_starts(fleet, &mut violations);
    for request in fleet.requests.values() {
        check_answer(fleet, request, &mut violations);
    }
    check_configuration(fleet, entries, &mut violations);
    check_idle(fleet, entries, agents, &mut violations);
    if fleet.starts_while_leaving > 0 {
        violations.push(format!(
            "{} tasks started on a leaving target",
            fleet.starts_while_leaving
        ));
    }
    violations
}

/// Checks that no task of a job starts twice, and that no request with a permit runs twice.
fn check_starts(fleet: &VirtualFleet, violations: &mut Vec<String>) {
    let mut by_task = HashMap::new();
    let mut by_payload: HashMap<&str, u32> = HashMap::new();
    for start in &fleet.starts {
        *by_task.entry((start.job, start.task)).or_insert(0) += 1;
        *by_payload.entry(&start.payload).or_default() += 1;
    }
    for ((job, task), n) in by_task {
        if n > 1 {
            violations.push(format!("task {task} of {job} started {n} times"));
        }
    }
    for request in fleet.requests.values().filter(|r| r.permit.is_some()) {
        let payload = payload_of(request, 0);
        let n = by_payload.get(&*payload).copied().unwrap_or(0);
        if n > 1 {
            violations.push(format!(
                "{} must run at most once but ran {n} times",
                request.name
            ));
        }
    }
}

fn payload_of(request: &Request, task: usize) -> String {
    format!("{}/{task}/{}", request.name, request.run.as_millis())
}

/// Checks that a request got one answer, in time and consistent with the tasks that started.
fn check_answer(fleet: &VirtualFleet, request: &Request, violations: &mut Vec<String>) {
    let name = &request.name;
    if request.answers.len() > 1 {
        violations.push(format!(
            "{name} was answered {} times",
            request.answers.len()
        ));
    }
    let Some(timed) = request.answers.first() else {
        if fleet.entry_still_runs(request) {
            violations.push(format!("{name} was never answered"));
        }
        return;
    };
    let latest = request.submitted + request.deadline + FAULT_LENGTH + DEADLINE_GRACE;
    if timed.at > latest {
        violations.push(format!("{name} was answered at {:?}", timed.at));
    }
    let is_resubmitted = fleet.requests.values().filter(|r| r.name == *name).count() > 1;
    let started = (0..request.tasks).filter(|task| {
        let payload = payload_of(request, *task);
        fleet.starts.iter().any(|s| *s.payload == *payload)
    });
    let started = started.count();
    match &timed.answer {
        Answer::Complete { results, .. } => {
            let is_own_result = |(task, result): (usize, &std::sync::Arc<str>)| {
                **result == *payload_of(request, task)
            };
            let is_complete =
                results.len() == request.tasks && results.iter().enumerate().all(is_own_result);
            if !is_complete {
                violations.push(format!(
                    "{name} got an incomplete answer or another request's results"
                ));
            }
        }
        // A resubmission shares payloads with the first attempt, so starts can't be told apart.
        Answer::Refused { .. }
        | Answer::Failed {
            may_have_run: false,
            ..
        } if !is_resubmitted && started > 0 => {
            violations.push(format!(
                "{name} was told that nothing ran, but {started} tasks did"
            ));
        }
        _ => {}
    }
}

/// Checks that all entries hold the current configuration and never went back to an older one.
fn check_configuration(fleet: &VirtualFleet, entries: usize, violations: &mut Vec<String>) {
    if !fleet.versions_monotonic {
        violations.push("an entry went back to an older configuration".to_owned());
    }
    let stamps: Vec<_> = (0..entries)
        .filter_map(|index| fleet.entry(index))
        .map(|core| core.config().stamp())
        .collect();
    if stamps.windows(2).any(|pair| pair[0] != pair[1]) {
        violations.push(format!("entries hold different configurations: {stamps:?}"));
    }
    let is_current = |index: usize| {
        fleet
            .entry(index)
            .is_none_or(|core| core.config().is_current())
    };
    if !(0..entries).all(is_current) {
        violations.push("an entry does not hold the configuration in force".to_owned());
    }
}

/// Checks that no jobs, dispatches or tasks remain.
fn check_idle(fleet: &VirtualFleet, entries: usize, agents: usize, violations: &mut Vec<String>) {
    for core in (0..entries).filter_map(|index| fleet.entry(index)) {
        let open = core.targets().outstanding();
        if open > 0 || core.jobs_held() > 0 || core.waiting_tasks() > 0 {
            let held = core.jobs_held();
            violations.push(format!("an entry still has {held} jobs, {open} dispatches"));
        }
    }
    for core in (0..agents).filter_map(|index| fleet.agent(index)) {
        if core.running() > 0 {
            violations.push(format!("an agent still runs {} tasks", core.running()));
        }
    }
}
