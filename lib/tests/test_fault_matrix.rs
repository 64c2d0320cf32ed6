//! Every fault at every step: the real cores on a virtual clock keep every promise.

use testutils::faults::{FAULTS, STEPS};
use testutils::matrix::{Strike, run_cell};
use trestleknot_lib::placement::PlacementMode;

/// Seeds for each cell.
const SEEDS: u64 = 2;

#[test]
fn test_run_cell_no_fault() {
    for placement in [
        PlacementMode::LeastLoaded,
        PlacementMode::LateBinding,
        PlacementMode::SlotGrants,
    ] {
        let cell = run_cell(&[], 1, placement);
        assert_eq!(cell.broken, Vec::<String>::new(), "{placement}");
    }
}

#[test]
fn test_run_cell_every_fault_at_every_step() {
    let mut broken = Vec::new();
    for step in STEPS {
        for fault in FAULTS {
            for seed in 0..SEEDS {
                let cell = run_cell(&[Strike { step, fault }], seed, PlacementMode::SlotGrants);
                if !cell.struck {
                    broken.push(format!("{step:?} x {fault:?} seed {seed}: not struck"));
                }
                for promise in cell.broken {
                    broken.push(format!("{step:?} x {fault:?} seed {seed}: {promise}"));
                }
            }
        }
    }
    assert!(broken.is_empty(), "{}\n{}", broken.len(), broken.join("\n"));
}
