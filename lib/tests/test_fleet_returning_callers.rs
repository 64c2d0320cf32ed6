//! Callers whose connections break, and who return while runs of their earlier attempts may go on.

use std::time::Duration;

use testutils::run_fleet::{Caller, FleetConfig, FleetFault, RunFleet};
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
