//! Callers whose connections break, and who return while runs of their earlier attempts may go on.

use std::time::Duration;

use testutils::run_fleet::{Caller, FleetConfig, FleetFault, Node, RunFleet};
use testutils::run_target::RunTarget;
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::BatchId;
use trestleknot_lib::timings::Timings;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

const BATCH: BatchId = 0x5c0e;
/// The batch arrives once the processes have found each other.
const ARRIVAL: Now = ms(2_000);
/// Time from an attempt's arrival until its connection breaks.
const CONNECTED: Duration = ms(400);
/// Longer than callers wait before they return.
const LATE_STOPS: Duration = ms(1_600);

const AGENTS: usize = 3;
/// Work of the task; longer than any lease.
const WORK_MS: u64 = 4_000;

/// Two entries, targets with room for one task each, and a batch of one long task. A second run of
/// the task can't start on the target of the first one.
fn fleet_with_batch() -> RunFleet {
    let size = Resources {
        cpu_millis: 2_000,
        memory_mib: 64,
        accelerators: 0,
    };
    let fleet_config = FleetConfig {
        entries: 2,
        agents: AGENTS,
        capacity: size,
        entries_meet: true,
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(1, fleet_config, testutils::run_fleet::config());
    let mut caller = Caller::new(ARRIVAL, 1, WORK_MS, size);
    caller.guess = Some(1.0);
    caller.max_requests = 5;
    caller.reply_timeout = ms(9_000);
    fleet.add_caller(BATCH, caller);
    fleet
}

fn delay_stops(fleet: &mut RunFleet, at: Now, length: Duration) {
    for agent in 0..AGENTS {
        fleet.inject(at, FleetFault::LateStops(agent, length));
    }
}

/// Lets the caller's next request go to `entry`, and breaks its connection after [`CONNECTED`].
fn submit_and_disconnect(fleet: &mut RunFleet, entry: usize, arrival: Now) {
    let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
    caller.entry = Some(entry);
    fleet.add_disconnect(arrival + CONNECTED, BATCH);
    fleet.run_until(arrival + CONNECTED + ms(10));
}

// Guards against a task that runs twice at once: an entry closes a batch a second time, and the
// other entries take its notice for a copy of the first one.
#[test]
fn test_run_until_batch_closed_twice_by_one_entry_is_held_each_time() {
    let attempt = CONNECTED + Timings::default().caller_retry_interval;
    let mut fleet = fleet_with_batch();
    let arrivals = [ARRIVAL, ARRIVAL + attempt, ARRIVAL + attempt * 2];
    // The stops after the first break are late, so that the other entries are told of the closing.
    delay_stops(&mut fleet, arrivals[0] + CONNECTED - ms(20), ms(300));
    submit_and_disconnect(&mut fleet, 0, arrivals[0]);
    submit_and_disconnect(&mut fleet, 1, arrivals[1]);
    delay_stops(&mut fleet, arrivals[2] + CONNECTED - ms(20), LATE_STOPS);
    submit_and_disconnect(&mut fleet, 0, arrivals[2]);
    let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
    caller.entry = Some(1);
    fleet.run_until(ms(15_000));
    let violations = fleet.violations();
    assert!(violations.is_empty(), "{violations:#?}\n{:#?}", fleet.log);
    assert!(fleet.callers[&BATCH].succeeded.is_some());
}

/// When the first entry is lost, some time after it has started the task.
const LOST_AT: Now = ms(2_500);

/// Faults by which the first entry is lost to its caller.
fn losses() -> Vec<FleetFault> {
    let entry = Node::Entry(0);
    let length = ms(2_000);
    vec![
        FleetFault::Freeze(entry, length),
        FleetFault::Suspend(entry, length),
        FleetFault::Kill(entry),
        FleetFault::PowerOffFor(entry, length),
        FleetFault::Cut(entry, length),
        FleetFault::Freeze(entry, ms(850)),
        FleetFault::Freeze(entry, ms(1_250)),
        FleetFault::Reset(entry),
    ]
}

/// Runs the batch at the first entry, which is lost while its caller's connection breaks. The caller
/// returns to the second entry. `more` returns further faults for the agent that has the run.
fn lose_entry(loss: FleetFault, more: impl Fn(usize) -> Vec<(Now, FleetFault)>) -> RunFleet {
    let mut fleet = fleet_with_batch();
    let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
    caller.entry = Some(0);
    fleet.run_until(LOST_AT - ms(110));
    let has_run = |target: &RunTarget| target.running() > 0;
    let agent = fleet.targets().position(has_run).expect("the task runs");
    let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
    caller.entry = Some(1);
    fleet.inject(LOST_AT, loss);
    fleet.add_disconnect(LOST_AT, BATCH);
    for (at, fault) in more(agent) {
        fleet.inject(at, fault);
    }
    fleet.run_until(ms(20_000));
    fleet
}

fn assert_no_overlap(fleet: &RunFleet, scenario: &str) {
    let violations = fleet.violations();
    assert!(
        violations.is_empty(),
        "{scenario}: {violations:#?}\n{:#?}",
        fleet.log
    );
}

fn late_stops(agent: usize) -> Vec<(Now, FleetFault)> {
    vec![(LOST_AT - ms(100), FleetFault::LateStops(agent, ms(2_200)))]
}

// Guards against a task that runs twice at once: its entry is lost, the agent's stops are lost too,
// and the lease of its run is renewed until after the caller has reached another entry.
#[test]
fn test_run_until_entry_is_lost_while_stops_are_late() {
    for loss in losses() {
        let fleet = lose_entry(loss, late_stops);
        assert_no_overlap(&fleet, &format!("{loss:?}"));
        assert!(fleet.callers[&BATCH].succeeded.is_some(), "{loss:?}");
    }
}

// Guards against the same overlap if the agent is lost too, at any moment before the caller returns:
// it can then neither stop the run nor tell the other entry of it.
#[test]
fn test_run_until_entry_and_agent_are_lost_one_after_the_other() {
    let offsets = (0..1_400).step_by(25).map(ms);
    for (offset, loss) in offsets.flat_map(|o| losses().into_iter().map(move |l| (o, l))) {
        for agent_fault in [
            |n| FleetFault::Freeze(n, ms(3_000)),
            |n| FleetFault::PowerOffFor(n, ms(3_000)),
            |n| FleetFault::Cut(n, ms(3_000)),
            FleetFault::Kill,
        ] {
            let fleet = lose_entry(loss, |agent| {
                let mut faults = late_stops(agent);
                faults.push((LOST_AT + offset, agent_fault(Node::Agent(agent))));
                faults
            });
            let fault = agent_fault(Node::Agent(0));
            let scenario = format!("{loss:?}, then {fault:?} {offset:?} later");
            assert_no_overlap(&fleet, &scenario);
        }
    }
}
