//! The fault matrix: one scenario that passes every step, struck by faults at steps.

use std::time::Duration;

use trestleknot_lib::config_chain::ConfigStamp;
use trestleknot_lib::job::Answer;
use trestleknot_lib::placement::PlacementMode;

use crate::faults::{Fault, PlannedFault, Step};
use crate::invariants;
use crate::virtual_fleet::{VirtualFleet, VirtualPlan, Where};

/// Entries of the scenario.
const ENTRIES: usize = 2;
/// Agents of the scenario.
const AGENTS: usize = 3;
/// When the fleet has found itself; faults strike from here on.
pub const SETTLED: Duration = Duration::from_secs(2);
/// Quiet time at the end: longer than every deadline, drain and outage.
const QUIET: Duration = Duration::from_secs(90);

/// What one cell of the matrix came to.
#[derive(Debug, Clone)]
pub struct Cell {
    /// Whether all its faults struck.
    pub struck: bool,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

/// Runs the scenario with faults at steps.
pub fn run_cell(strikes: &[FaultAtStep], seed: u64, placement: PlacementMode) -> Cell {
    let faults: Vec<PlannedFault> = strikes
        .iter()
        .map(|s| PlannedFault::at(s.step, SETTLED, s.fault))
        .collect();
    let expected = faults.len();
    let mut fleet = VirtualFleet::new(VirtualPlan {
        entries: ENTRIES,
        agents: AGENTS,
        placement,
        seed,
        faults,
    });
    play(&mut fleet);
    let mut violations = invariants::violations(&fleet, ENTRIES, AGENTS);
    violations.extend(last_request_failed(&fleet));
    if strikes.iter().all(|s| is_gentle(s.fault)) {
        violations.extend(failed_requests(&fleet));
    }
    Cell {
        struck: fleet.struck == expected,
        violations,
    }
}

/// A fault at a step.
#[derive(Debug, Clone, Copy)]
pub struct FaultAtStep {
    /// The step.
    pub step: Step,
    /// The fault.
    pub fault: Fault,
}

/// A job, a permitted request with two resubmissions, a configuration race, a lost session, a
/// leaving target and a stopping entry; and a last job when all is well again.
fn play(fleet: &mut VirtualFleet) {
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
    fleet.run_for(QUIET);
}

/// Two operators race to replace version 1.
fn race_config(fleet: &mut VirtualFleet) {
    let head = fleet.entry(0).or(fleet.entry(1));
    let head = head.map_or(ConfigStamp::default(), |core| core.config().stamp());
    fleet.change_config(2, head, 2_000);
    fleet.change_config(3, head, 3_000);
}

fn break_session(fleet: &mut VirtualFleet) {
    fleet.inject(Fault::SessionBreaks, Where { entry: 0, agent: 0 });
}

/// When all faults are over, work goes through again.
fn last_request_failed(fleet: &VirtualFleet) -> Option<String> {
    let last = fleet.requests.values().next_back()?;
    let answer = last.answers.first().map(|a| &a.answer);
    match answer {
        Some(Answer::Complete { .. }) => None,
        other => Some(format!("the last job was not completed: {other:?}")),
    }
}

/// Whether a fault ends no process, stops no lease and so should fail no job.
fn is_gentle(fault: Fault) -> bool {
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

/// Jobs that failed although nothing was lost: the drains must not have cut them off.
fn failed_requests(fleet: &VirtualFleet) -> Vec<String> {
    let answers = fleet
        .requests
        .values()
        .filter_map(|r| r.answers.first().map(|a| (&r.name, &a.answer)));
    answers
        .filter(|(_, answer)| matches!(answer, Answer::Failed { .. }))
        .map(|(name, answer)| format!("{name} failed under a gentle fault: {answer:?}"))
        .collect()
}
