//! Load of an entry: samples, hysteresis and age.

use std::time::Duration;

use trestleknot_lib::entry_load::{EntryLoad, LoopLoad, StarvationChange};
use trestleknot_lib::ids::Now;
use trestleknot_lib::loop_sampler::LoopSampler;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn load(busy_share: f64, lag_ms: u64) -> LoopLoad {
    LoopLoad {
        busy_share,
        lag: ms(lag_ms),
    }
}

#[test]
fn test_record_without_a_limited_share_leaves_the_load_unknown() {
    let mut entry = EntryLoad::new(None);
    assert_eq!(
        entry.record(ms(0), load(1.0, 900)),
        StarvationChange::Unchanged
    );
    assert_eq!(entry.utilization(ms(0)), None);
    assert!(!entry.is_starved(ms(0)));
}

#[test]
fn test_record_high_utilization_starves_after_200_ms_and_ends_after_500_ms() {
    let mut entry = EntryLoad::new(Some(0.12));
    assert_eq!(
        entry.record(ms(0), load(0.9, 0)),
        StarvationChange::Unchanged
    );
    assert_eq!(
        entry.record(ms(150), load(0.9, 0)),
        StarvationChange::Unchanged
    );
    assert_eq!(
        entry.record(ms(200), load(0.9, 0)),
        StarvationChange::Starved
    );
    // Between the two limits the state stays.
    assert_eq!(
        entry.record(ms(400), load(0.7, 0)),
        StarvationChange::Unchanged
    );
    assert_eq!(
        entry.record(ms(600), load(0.5, 0)),
        StarvationChange::Unchanged
    );
    assert!(entry.is_starved(ms(1_050)));
    assert_eq!(
        entry.record(ms(1_100), load(0.5, 0)),
        StarvationChange::Recovered
    );
}

#[test]
fn test_record_lag_starves_at_once() {
    let mut entry = EntryLoad::new(Some(0.12));
    assert_eq!(
        entry.record(ms(0), load(0.1, 51)),
        StarvationChange::Starved
    );
    assert!(entry.reads_late(ms(400)));
    assert!(!entry.reads_late(ms(500)));
}

#[test]
fn test_utilization_old_sample_counts_as_unknown() {
    let mut entry = EntryLoad::new(Some(0.12));
    entry.record(ms(0), load(0.1, 60));
    assert_eq!(entry.utilization(ms(999)), Some(0.1));
    assert_eq!(entry.utilization(ms(1_000)), None);
    assert!(!entry.is_starved(ms(1_000)));
    assert_eq!(entry.report(ms(1_000), 0.5), None);
}

#[test]
fn test_record_gap_between_samples_does_not_count_as_high_utilization() {
    let mut entry = EntryLoad::new(Some(0.12));
    entry.record(ms(0), load(0.9, 0));
    assert_eq!(
        entry.record(ms(2_000), load(0.9, 0)),
        StarvationChange::Unchanged
    );
}

#[test]
fn test_sample_averages_over_200_ms() {
    let mut sampler = LoopSampler::default();
    assert_eq!(sampler.sample(ms(0), ms(0)), None);
    assert!(!sampler.is_due(ms(49)));
    sampler.note_lag(ms(7));
    sampler.note_lag(ms(3));
    assert_eq!(sampler.sample(ms(100), ms(100)), Some(load(1.0, 7)));
    assert_eq!(sampler.sample(ms(200), ms(100)), Some(load(0.5, 0)));
    assert_eq!(sampler.sample(ms(400), ms(100)), Some(load(0.0, 0)));
}
