//! Requests under a permit that come again at another entry, while their answer is on its way to the
//! permit's registrar.

use std::time::Duration;

use testutils::faults::{Fault, PlannedFault, Step};
use testutils::virtual_fleet::{VirtualFleet, VirtualPlan};
use trestleknot_lib::entry_targets::{HEARTBEAT_EVERY, SILENT_HEARTBEATS};
use trestleknot_lib::ids::RequestId;
use trestleknot_lib::job::{Answer, RefusalReason};
use trestleknot_lib::placement::PlacementMode;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time for the processes to find each other and the configuration.
const SETTLED: Duration = ms(3_000);

/// Two entries and one agent, which is the registrar, with a permit.
fn fleet_with_permit(faults: Vec<PlannedFault>) -> (VirtualFleet, String) {
    let mut fleet = VirtualFleet::new(VirtualPlan {
        entries: 2,
        agents: 1,
        placement: PlacementMode::SlotGrants,
        seed: 1,
        faults,
    });
    fleet.run_for(SETTLED);
    fleet.ask_permit(0);
    fleet.run_for(ms(1));
    let permit = fleet.permits.last().cloned().expect("a permit");
    (fleet, permit)
}

fn answer(fleet: &VirtualFleet, request: RequestId) -> Option<&Answer> {
    let answers = &fleet.requests[&request].answers;
    assert!(answers.len() <= 1, "{answers:?}");
    answers.first().map(|a| &a.answer)
}

fn wait_for_answer(fleet: &mut VirtualFleet, request: RequestId, longest: Duration) {
    let mut waited = Duration::ZERO;
    while answer(fleet, request).is_none() && waited < longest {
        fleet.run_for(ms(1));
        waited += ms(1);
    }
}

// Guards against an answer that the caller has and that another entry doesn't give: it is still on
// its way to the registrar when the request comes again.
#[test]
fn test_run_for_answer_on_its_way_to_the_registrar_is_waited_for() {
    let late = PlannedFault::at(Step::Answered, SETTLED, Fault::FrameLate);
    let (mut fleet, permit) = fleet_with_permit(vec![late]);
    let first = fleet.submit_with("charge", 0, 1, ms(20), Some(permit.clone()));
    wait_for_answer(&mut fleet, first, ms(2_000));
    assert_eq!(
        fleet.injected, 1,
        "the answer's frame to the registrar is late"
    );
    let second = fleet.submit_with("charge", 1, 1, ms(20), Some(permit));
    wait_for_answer(&mut fleet, second, ms(5_000));
    let expected = answer(&fleet, first);
    assert!(
        matches!(expected, Some(Answer::Complete { .. })),
        "{expected:?}"
    );
    assert_eq!(answer(&fleet, second), expected);
    assert_eq!(fleet.starts.len(), 1);
}

// Guards against the same for a request that comes again shortly before the first one ends.
#[test]
fn test_run_for_request_that_comes_again_gets_the_answer_of_one_that_ends_soon() {
    let (mut fleet, permit) = fleet_with_permit(Vec::new());
    let first = fleet.submit_with("charge", 0, 1, ms(1_000), Some(permit.clone()));
    fleet.run_for(ms(100));
    let second = fleet.submit_with("charge", 1, 1, ms(1_000), Some(permit));
    wait_for_answer(&mut fleet, second, ms(5_000));
    let expected = answer(&fleet, first);
    assert!(
        matches!(expected, Some(Answer::Complete { .. })),
        "{expected:?}"
    );
    assert_eq!(answer(&fleet, second), expected);
    assert_eq!(fleet.starts.len(), 1);
}

// Guards against a request that waits for the end of an earlier one without a bound.
#[test]
fn test_run_for_request_that_comes_again_does_not_wait_for_a_long_one() {
    let (mut fleet, permit) = fleet_with_permit(Vec::new());
    let first = fleet.submit_with("charge", 0, 1, ms(15_000), Some(permit.clone()));
    fleet.run_for(ms(100));
    let second = fleet.submit_with("charge", 1, 1, ms(15_000), Some(permit));
    let bound = HEARTBEAT_EVERY.mul_f64(SILENT_HEARTBEATS) + ms(50);
    wait_for_answer(&mut fleet, second, bound);
    let found = answer(&fleet, second);
    let is_running = matches!(
        found,
        Some(Answer::Refused { refusal })
            if refusal.reason == RefusalReason::EarlierSubmissionRunning
    );
    assert!(is_running, "{found:?}");
    fleet.run_for(ms(18_000));
    assert!(matches!(
        answer(&fleet, first),
        Some(Answer::Complete { .. })
    ));
    assert_eq!(fleet.starts.len(), 1);
}
