//! Every fault at every step: the real cores on a virtual clock keep every promise.

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::faults::{FAULTS, STEPS};
use testutils::matrix::{FaultAtStep, run_cell};
use trestleknot_lib::placement::PlacementMode;

const PLACEMENTS: [PlacementMode; 4] = [
    PlacementMode::LeastLoaded,
    PlacementMode::LateBinding,
    PlacementMode::SlotGrants,
    PlacementMode::SlotGrantsAhead,
];
/// Seeds for each cell.
const SEEDS: u64 = 2;

#[test]
fn test_run_cell_no_fault() {
    for placement in PLACEMENTS {
        let cell = run_cell(&[], 1, placement);
        assert_eq!(cell.violations, Vec::<String>::new(), "{placement}");
    }
}

#[test]
fn test_run_cell_every_fault_at_every_step() {
    let mut broken = Vec::new();
    for step in STEPS {
        for fault in FAULTS {
            for seed in 0..SEEDS {
                let cell = run_cell(
                    &[FaultAtStep { step, fault }],
                    seed,
                    PlacementMode::SlotGrants,
                );
                if !cell.struck {
                    broken.push(format!("{step:?} x {fault:?} seed {seed}: not struck"));
                }
                for promise in cell.violations {
                    broken.push(format!("{step:?} x {fault:?} seed {seed}: {promise}"));
                }
            }
        }
    }
    assert!(broken.is_empty(), "{}\n{}", broken.len(), broken.join("\n"));
}

/// Random pairs tried for each placement.
const PAIRS: u64 = 150;

#[test]
fn test_run_cell_random_pairs() {
    let mut broken = Vec::new();
    for placement in PLACEMENTS {
        for seed in 0..PAIRS {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let strikes = [random_strike(&mut rng), random_strike(&mut rng)];
            for promise in run_cell(&strikes, seed, placement).violations {
                broken.push(format!("{placement} {strikes:?} seed {seed}: {promise}"));
            }
        }
    }
    assert!(broken.is_empty(), "{}\n{}", broken.len(), broken.join("\n"));
}

fn random_strike(rng: &mut ChaCha8Rng) -> FaultAtStep {
    FaultAtStep {
        step: STEPS[rng.random_range(0..STEPS.len())],
        fault: FAULTS[rng.random_range(0..FAULTS.len())],
    }
}
