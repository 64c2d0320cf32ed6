//! The share of batches that a loaded entry hands over, and the choice of their receivers.

use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use trestleknot_lib::entry_load::EntryLoadReport;
use trestleknot_lib::handover_share::{HandoverShare, UnreportedWork};
use trestleknot_lib::ids::Now;
use trestleknot_lib::peer_table::NeighbourLoad;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn neighbour(name: &str, millis: u32, processor: u16, link: u16) -> NeighbourLoad {
    NeighbourLoad {
        link: 1,
        name: name.into(),
        hall: "other".into(),
        protocol: 1,
        processor_millis: millis,
        load: EntryLoadReport {
            processor_percent: processor,
            link_percent: link,
        },
        age: Duration::ZERO,
    }
}

/// Names of the receivers that are chosen for 200 batches at one time.
fn chosen(neighbours: &[NeighbourLoad], unreported: &mut UnreportedWork) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut names = Vec::new();
    for _ in 0..200 {
        let hall = "own".into();
        if let Some(receiver) = unreported.choose(ms(1_000), neighbours, &hall, &mut rng) {
            names.push(receiver.name.to_string());
        }
    }
    names
}

#[test]
fn test_adjust_brings_the_utilization_to_its_target() {
    // Handing everything over saves 80% of the work; the entry gets 1.6 times what it can do.
    let mut share = HandoverShare::default();
    let mut utilization: f64 = 1.0;
    let mut last = Vec::new();
    for step in 1..200 {
        let part = share.adjust(ms(100 * step), Some(utilization));
        utilization = (1.6 * (1.0 - 0.8 * part)).min(1.0);
        last.push(utilization);
    }
    let settled = &last[100..];
    assert!(
        settled.iter().all(|u| (0.68..0.72).contains(u)),
        "{settled:?}"
    );
}

#[test]
fn test_adjust_hands_nothing_over_at_low_or_unknown_utilization() {
    let mut share = HandoverShare::default();
    for step in 1..50 {
        share.adjust(ms(100 * step), Some(1.0));
    }
    assert_eq!(share.adjust(ms(5_100), None), 0.0);
    for step in 52..80 {
        assert_eq!(share.adjust(ms(100 * step), Some(0.69)), 0.0);
    }
}

#[test]
fn test_choose_takes_the_neighbour_with_more_spare_capacity() {
    let neighbours = [
        neighbour("small", 120, 0, 0),
        neighbour("large", 500, 50, 0),
    ];
    let names = chosen(&neighbours, &mut UnreportedWork::default());
    assert!(names.iter().all(|n| n == "large"));
}

#[test]
fn test_choose_passes_over_loaded_and_unlimited_neighbours() {
    let neighbours = [
        neighbour("busy", 500, 60, 0),
        neighbour("narrow", 500, 10, 60),
        neighbour("unknown", 0, 10, 0),
    ];
    assert!(chosen(&neighbours, &mut UnreportedWork::default()).is_empty());
}

#[test]
fn test_choose_prefers_the_own_hall_among_equals() {
    let mut own = neighbour("own", 500, 10, 0);
    own.hall = "own".into();
    let neighbours = [own, neighbour("other", 500, 10, 0)];
    let names = chosen(&neighbours, &mut UnreportedWork::default());
    assert!(names.iter().all(|n| n == "own"));
}

#[test]
fn test_choose_counts_work_that_reports_do_not_show() {
    // An idle neighbour with a small processor is full after some tens of batches.
    let neighbours = [neighbour("idle", 120, 0, 0)];
    let mut unreported = UnreportedWork::default();
    for _ in 0..60 {
        unreported.add(ms(1_000), &"idle".into());
    }
    assert!(chosen(&neighbours, &mut unreported).is_empty());
    // The next report shows that work.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let receiver = unreported.choose(ms(1_100), &neighbours, &"own".into(), &mut rng);
    assert!(receiver.is_some());
}
