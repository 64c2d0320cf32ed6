//! Fleets whose targets lose capacity and regain it while they run.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::run_fleet::{AGENTS, ENTRIES, FleetFault, Node, RunFleet};
use trestleknot_lib::ids::Now;

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
