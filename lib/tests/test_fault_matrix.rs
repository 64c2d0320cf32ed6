//! Injects every fault at every step into the real cores on a virtual clock and checks the
//! invariants.

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
/// Seeds per step and fault.
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
    let mut violations = Vec::new();
    for step in STEPS {
        for fault in FAULTS {
            for seed in 0..SEEDS {
                let cell = run_cell(
                    &[FaultAtStep { step, fault }],
                    seed,
                    PlacementMode::SlotGrants,
                );
                if !cell.struck {
                    violations.push(format!("{step:?} x {fault:?} seed {seed}: not injected"));
                }
                for violation in cell.violations {
                    violations.push(format!("{step:?} x {fault:?} seed {seed}: {violation}"));
                }
            }
        }
    }
    assert!(
        violations.is_empty(),
        "{}\n{}",
        violations.len(),
        violations.join("\n")
    );
}

/// Random pairs of faults per placement.
const PAIRS: u64 = 150;

#[test]
fn test_run_cell_random_pairs() {
    let mut violations = Vec::new();
    for placement in PLACEMENTS {
        for seed in 0..PAIRS {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let faults = [random_fault(&mut rng), random_fault(&mut rng)];
            for violation in run_cell(&faults, seed, placement).violations {
                violations.push(format!("{placement} {faults:?} seed {seed}: {violation}"));
            }
        }
    }
    assert!(
        violations.is_empty(),
        "{}\n{}",
        violations.len(),
        violations.join("\n")
    );
}

fn random_fault(rng: &mut ChaCha8Rng) -> FaultAtStep {
    FaultAtStep {
        step: STEPS[rng.random_range(0..STEPS.len())],
        fault: FAULTS[rng.random_range(0..FAULTS.len())],
    }
}
