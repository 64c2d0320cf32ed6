//! The promises of the brief, checked on what a virtual fleet did.

use std::collections::HashMap;
use std::time::Duration;

use trestleknot_lib::job::Answer;

use crate::virtual_fleet::{FAULT_LENGTH, Request, VirtualFleet};

/// How much later than its deadline an answer may come: a tick, or the pause of its entry.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// The promises that were broken, in words. Call after a long quiet time.
pub fn violations(fleet: &VirtualFleet, entries: usize, agents: usize) -> Vec<String> {
    let mut violations = Vec::new();
    check_starts(fleet, &mut violations);
    for request in fleet.requests.values() {
        check_answer(fleet, request, &mut violations);
    }
    check_configuration(fleet, entries, &mut violations);
    check_quiet(fleet, entries, agents, &mut violations);
    if fleet.starts_while_leaving > 0 {
        violations.push(format!(
            "{} tasks started on a leaving target",
            fleet.starts_while_leaving
        ));
    }
    violations
}

/// No task of a submission starts twice; no permitted request runs twice at all.
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
            violations.push(format!("{} must run once and ran {n} times", request.name));
        }
    }
}

fn payload_of(request: &Request, task: usize) -> String {
    format!("{}/{task}/{}", request.name, request.run.as_millis())
}

/// One answer, whole or failed or refused, true, and in time.
fn check_answer(fleet: &VirtualFleet, request: &Request, violations: &mut Vec<String>) {
    let name = &request.name;
    if request.answers.len() > 1 {
        violations.push(format!(
            "{name} was answered {} times",
            request.answers.len()
        ));
    }
    let Some(timed) = request.answers.first() else {
        if fleet.entry_lives_on(request) {
            violations.push(format!("{name} was never answered"));
        }
        return;
    };
    let latest = request.submitted + request.deadline + FAULT_LENGTH + DEADLINE_GRACE;
    if timed.at > latest {
        violations.push(format!("{name} was answered at {:?}", timed.at));
    }
    let shared = fleet.requests.values().filter(|r| r.name == *name).count() > 1;
    let started = (0..request.tasks).filter(|task| {
        let payload = payload_of(request, *task);
        fleet.starts.iter().any(|s| *s.payload == *payload)
    });
    let started = started.count();
    match &timed.answer {
        Answer::Complete { results, .. } => {
            let own = |(task, result): (usize, &std::sync::Arc<str>)| {
                **result == *payload_of(request, task)
            };
            let whole = results.len() == request.tasks && results.iter().enumerate().all(own);
            if !whole {
                violations.push(format!("{name} got an answer that is not whole or its own"));
            }
        }
        // A resubmission shares its tasks' payloads with the first try, so only a request of
        // its own shows by them that nothing of it ran.
        Answer::Refused { .. }
        | Answer::Failed {
            may_have_run: false,
            ..
        } if !shared && started > 0 => {
            violations.push(format!(
                "{name} was told that nothing ran, but {started} tasks did"
            ));
        }
        _ => {}
    }
}

/// The same newest configuration everywhere, and none went back.
fn check_configuration(fleet: &VirtualFleet, entries: usize, violations: &mut Vec<String>) {
    if !fleet.versions_rose {
        violations.push("a configuration went back".to_owned());
    }
    let stamps: Vec<_> = (0..entries)
        .filter_map(|index| fleet.entry(index))
        .map(|core| core.config().stamp())
        .collect();
    if stamps.windows(2).any(|pair| pair[0] != pair[1]) {
        violations.push(format!("entries hold different configurations: {stamps:?}"));
    }
    let ready = |index: usize| {
        fleet
            .entry(index)
            .is_none_or(|core| core.config().is_current())
    };
    if !(0..entries).all(ready) {
        violations.push("an entry still does not hold the configuration in force".to_owned());
    }
}

/// When all is over nothing is left open.
fn check_quiet(fleet: &VirtualFleet, entries: usize, agents: usize, violations: &mut Vec<String>) {
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
