//! The fault matrix: runs one scenario that covers every step and injects faults at given steps.

use std::time::Duration;

use trestleknot_lib::config_chain::ConfigStamp;
use trestleknot_lib::job::Answer;
use trestleknot_lib::placement::PlacementMode;

use crate::faults::{Fault, PlannedFault, Step};
use crate::invariants;
use crate::virtual_fleet::{FaultSite, VirtualFleet, VirtualPlan};

/// Number of entries in the scenario.
const ENTRIES: usize = 2;
/// Number of agents in the scenario.
const AGENTS: usize = 3;
/// When all processes have connected; faults are injected from here on.
pub const SETTLED: Duration = Duration::from_secs(2);
/// Idle time at the end: longer than every deadline, drain and outage.
const IDLE_TIME: Duration = Duration::from_secs(90);

/// Result of one cell of the matrix.
#[derive(Debug, Clone)]
pub struct Cell {
    /// Whether all its faults were injected.
    pub struck: bool,
    /// Violated invariants.
    pub violations: Vec<String>,
}

/// Runs the scenario with these faults.
pub fn run_cell(planned: &[FaultAtStep], seed: u64, placement: PlacementMode) -> Cell {
    let faults: Vec<PlannedFault> = planned
        .iter()
        .map(|p| PlannedFault::at(p.step, SETTLED, p.fault))
        .collect();
    let expected = faults.len();
    let mut fleet = VirtualFleet::new(VirtualPlan {
        entries: ENTRIES,
        agents: AGENTS,
        placement,
        seed,
        faults,
    });
    run_workload(&mut fleet);
    let mut violations = invariants::violations(&fleet, ENTRIES, AGENTS);
    violations.extend(last_request_failed(&fleet));
    if planned.iter().all(|p| is_recoverable(p.fault)) {
        violations.extend(failed_requests(&fleet));
    }
    Cell {
        struck: fleet.injected == expected,
        violations,
    }
}

#[derive(Debug, Clone, Copy)]
pub struct FaultAtStep {
    pub step: Step,
    pub fault: Fault,
}

/// Submits jobs and a permitted request with two resubmissions; meanwhile two configurations race,
/// a session breaks, a target leaves and an entry stops. Ends with a job after all faults are over.
fn run_workload(fleet: &mut VirtualFleet) {
    let ms = Duration::from_millis;
    fleet.ask_permit(0);
    fleet.run_for(SETTLED + ms(1));
    fleet.ask_permit(0);
    fleet.run_for(ms(1));
    fleet.submit("job-a", 0, 6, ms(200));
    fleet.submit("job-b", 1, 3, ms(150));
    fleet.run_for(ms(20));
    if let Some(permit) = fleet.permits.last().cloned() {
        fleet.submit_with("once", 0, 1, ms(300), Some(permit.clone()));
        fleet.run_for(ms(80));
        race_config(fleet);
        fleet.run_for(ms(100));
        fleet.submit_with("once", 1, 1, ms(300), Some(permit.clone()));
        fleet.run_for(ms(50));
        break_session(fleet);
        fleet.run_for(ms(400));
        fleet.submit_with("once", 0, 1, ms(300), Some(permit));
    }
    fleet.submit("job-c", 0, 10, ms(100));
    fleet.drain_agent(2);
    fleet.run_for(ms(300));
    fleet.submit("job-d", 1, 8, ms(250));
    fleet.run_for(ms(30));
    fleet.drain_entry(1);
    fleet.run_for(Duration::from_secs(12));
    fleet.submit("job-last", 0, 5, ms(50));
    fleet.run_for(IDLE_TIME);
}

/// Two operators race to replace the same version.
fn race_config(fleet: &mut VirtualFleet) {
    let head = fleet.entry(0).or(fleet.entry(1));
    let head = head.map_or(ConfigStamp::default(), |core| core.config().stamp());
    fleet.change_config(2, head, 2_000);
    fleet.change_config(3, head, 3_000);
}

fn break_session(fleet: &mut VirtualFleet) {
    fleet.inject(Fault::SessionBreaks, FaultSite { entry: 0, agent: 0 });
}

/// Describes the answer to the last job if it did not complete after all faults were over.
fn last_request_failed(fleet: &VirtualFleet) -> Option<String> {
    let last = fleet.requests.values().next_back()?;
    let answer = last.answers.first().map(|timed| &timed.answer);
    match answer {
        Some(Answer::Complete { .. }) => None,
        other => Some(format!("the last job was not completed: {other:?}")),
    }
}

/// Whether a fault ends no process and lapses no lease, and so should fail no job.
fn is_recoverable(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::TargetRefuses
            | Fault::CutBothWays
            | Fault::CutToAgent
            | Fault::CutToEntry
            | Fault::SessionBreaks
            | Fault::FrameLost
            | Fault::FrameDoubled
            | Fault::FrameLate
            | Fault::FramesReordered
            | Fault::LogDown
            | Fault::LogSlow
            | Fault::LogRepliesLost
            | Fault::LogExpires
            | Fault::ListStale
            | Fault::ListDown
    )
}

/// Describes jobs that failed although no process was lost: drains must not fail them.
fn failed_requests(fleet: &VirtualFleet) -> Vec<String> {
    let answers = fleet
        .requests
        .values()
        .filter_map(|r| r.answers.first().map(|a| (&r.name, &a.answer)));
    answers
        .filter(|(_, answer)| matches!(answer, Answer::Failed { .. }))
        .map(|(name, answer)| {
            format!("{name} failed although the fault ended no process: {answer:?}")
        })
        .collect()
}
