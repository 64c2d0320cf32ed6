//! Fleets whose targets lose capacity and regain it while they run.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::run_fleet::{AGENTS, ENTRIES, FleetFault, Node, RunFleet};
use testutils::run_target::{RunTarget, StartRequest};
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::{RunKey, TaskKey};

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// Batches a second: about half of the fleet's capacity.
const LOAD: u32 = 18;
const LOAD_FROM: Now = ms(500);
const LOAD_TO: Now = ms(9_000);
const END: Now = ms(18_000);

#[test]
fn test_run_until_shrinking_capacity_is_respected() {
    let mut served = Vec::new();
    for seed in 0..120 {
        let mut rng = ChaCha8Rng::seed_from_u64(60_000 + seed);
        let mut fleet = RunFleet::new(seed);
        fleet.load(LOAD_FROM, LOAD_TO, LOAD);
        for _ in 0..rng.random_range(1..4) {
            let target = rng.random_range(0..AGENTS);
            let percent = [0, 10, 30, 60][rng.random_range(0..4)];
            let length = ms(rng.random_range(500..4_000));
            let at = ms(rng.random_range(600..5_000));
            fleet.inject(at, FleetFault::Resize(target, percent, length));
        }
        for _ in 0..rng.random_range(0..4) {
            let target = rng.random_range(0..AGENTS);
            let fault = match rng.random_range(0..6) {
                0 => FleetFault::Kill(Node::Agent(target)),
                1 => FleetFault::Kill(Node::Entry(rng.random_range(0..ENTRIES))),
                2 => FleetFault::Restart(target),
                3 => FleetFault::LateOrders(target, ms(2_000)),
                4 => FleetFault::LateReports(target, ms(3_000)),
                _ => FleetFault::Leave(target),
            };
            fleet.inject(ms(rng.random_range(600..7_000)), fault);
        }
        fleet.run_until(END);
        let violations = fleet.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        served.push(fleet.served(ms(8_500), LOAD_TO));
    }
    let mean = served.iter().sum::<f64>() / served.len() as f64;
    assert!(mean > 0.9, "only {mean} served after it: {served:?}");
}

/// The room that the target records for a start at `now`.
fn room_of_start(target: &mut RunTarget, now: Now, run: u32) -> u64 {
    let task = TaskKey {
        batch: 5,
        time: 0,
        step: 0,
        index: 0,
    };
    let request = StartRequest {
        key: RunKey { task, run },
        payload: "1".into(),
        until: now.as_millis() as u64 + 500,
        token: 1,
        life: None,
        born: None,
        is_late: false,
    };
    target.start(now, &request);
    target.records.last().map_or(0, |r| r.room.cpu_millis)
}

// Guards against a violation that is none: an agent uses a capacity that has grown before its target reads the
// answer to the report. One that has shrunk counts from the answer on.
#[test]
fn test_record_report_sent_larger_capacity_counts_at_once() {
    let capacity = |cpu_millis| Resources {
        cpu_millis,
        memory_mib: 1_024,
        accelerators: 0,
    };
    let mut target = RunTarget::new("target", capacity(4_000), 1.0);
    target.capacity = capacity(16_000);
    assert_eq!(room_of_start(&mut target, ms(10), 1), 4_000);
    let (info, _) = target.report();
    target.record_report_sent(ms(20), &info);
    assert_eq!(room_of_start(&mut target, ms(30), 2), 16_000);
    target.capacity = capacity(2_000);
    let (info, sequence) = target.report();
    target.record_report_sent(ms(40), &info);
    assert_eq!(room_of_start(&mut target, ms(50), 3), 16_000);
    target.record_report(ms(60), &info, sequence);
    assert_eq!(room_of_start(&mut target, ms(70), 4), 2_000);
}
