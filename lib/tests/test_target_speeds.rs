//! Choice among targets of different speed and distance.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use trestleknot_lib::ids::{HallName, Now, SessionId};
use trestleknot_lib::queue::Queue;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run_message::TargetInfo;
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::target_registry::{
    LoadReport, TargetChoice, TargetRegistry, TaskRequirements,
};
use trestleknot_lib::target_speeds::expected_slowdown;

const NOW: Now = Duration::from_millis(100);
const LARGE: u64 = 24_000;
const SMALL: u64 = 16_000;

const fn cpu(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib: 1_024,
        accelerators: 0,
    }
}

fn info(cpu_millis: u64, rack: &str) -> TargetInfo {
    TargetInfo {
        life: TargetIncarnation {
            name: "life".into(),
            born: None,
        },
        service: "service".into(),
        capacity: cpu(cpu_millis),
        labels: vec![rack.to_owned()],
        leaving: false,
    }
}

fn join(registry: &mut TargetRegistry, link: SessionId, target: TargetInfo) {
    registry.join(NOW, link, format!("agent-{link}").into(), "hall".into());
    registry.note_target(link, Some(target));
}

fn hear(registry: &mut TargetRegistry, link: SessionId, pace_percent: u16, free: Resources) {
    let health = HealthReport {
        pace_percent,
        failed_percent: 0,
    };
    let report = LoadReport {
        clock: 0,
        free,
        starts_seen: 0,
        health,
    };
    registry.heard(NOW, link, report);
}

/// Targets 0 to 5: speeds 0.7, 0.7 and 1.7 in turn, half of them in each of two racks.
fn uneven() -> TargetRegistry {
    let mut registry = TargetRegistry::with_far_factor(Some(2.0));
    for link in 0..6 {
        let rack = if link < 3 { "rack-1" } else { "rack-2" };
        let (pace, size) = if link % 3 == 2 {
            (59, LARGE)
        } else {
            (143, SMALL)
        };
        join(&mut registry, link, info(size, rack));
        hear(&mut registry, link, pace, cpu(size));
    }
    registry.compare_speeds(NOW);
    registry
}

fn choose(registry: &TargetRegistry, rack: Option<&str>, time_left: f64) -> TargetChoice {
    let queue = Queue {
        name: "q".into(),
        host: "host".to_owned(),
        path_prefix: "/q/".to_owned(),
        service: "service".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: Duration::from_millis(60),
        needs_advice: false,
    };
    let hall: HallName = "hall".into();
    let need = TaskRequirements {
        size: cpu(1_300),
        queue: &queue,
        required_label: None,
        preferred_rack: rack,
        time_left,
        avoid: None,
        payload_sent_to: &BTreeSet::new(),
        payload_cost: 0.0,
        is_idle: false,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    registry.choose(NOW, &need, &hall, |_| false, &mut rng)
}

#[test]
fn test_is_ejected_sound_slow_target_beside_fast_ones() {
    let mut registry = uneven();
    // Errors of estimates raise one slow target and lower one fast one.
    hear(&mut registry, 0, 165, cpu(SMALL));
    hear(&mut registry, 2, 52, cpu(LARGE));
    assert!(!registry.is_ejected(NOW, 0));
}

#[test]
fn test_is_ejected_target_that_turned_four_times_slower() {
    let mut registry = uneven();
    hear(&mut registry, 0, 572, cpu(SMALL));
    assert!(registry.is_ejected(NOW, 0));
    // The same for a fast one, although it is then not much slower than the slow ones.
    hear(&mut registry, 2, 236, cpu(LARGE));
    assert!(registry.is_ejected(NOW, 2));
}

#[test]
fn test_is_ejected_most_targets_turned_slow() {
    let mut registry = uneven();
    for link in [0, 1, 3, 4] {
        hear(&mut registry, link, 572, cpu(SMALL));
    }
    registry.compare_speeds(NOW + Duration::from_secs(1));
    assert!(registry.is_ejected(NOW, 0));
}

#[test]
fn test_choose_distance_counts_with_the_factor_of_the_platform() {
    let mut registry = uneven();
    for link in [2, 5] {
        hear(&mut registry, link, 59, Resources::NONE);
    }
    let chosen = choose(&registry, Some("rack-2"), 10.0).link;
    assert!(matches!(chosen, Some(3 | 4)), "{chosen:?}");
    assert_eq!(registry.distance_factor(0, Some("rack-2")), 2.0);
    assert_eq!(registry.distance_factor(3, Some("rack-2")), 1.0);
    assert_eq!(registry.distance_factor(0, None), 1.0);
}

#[test]
fn test_choose_late_at_a_far_slow_target_waits_for_a_faster_one() {
    let mut registry = uneven();
    for link in [2, 3, 4, 5] {
        hear(&mut registry, link, 100, Resources::NONE);
    }
    for (link, pace) in [(2, 59), (3, 143), (4, 143), (5, 59)] {
        hear(&mut registry, link, pace, Resources::NONE);
    }
    let choice = choose(&registry, Some("rack-2"), 2.0);
    assert_eq!((choice.link, choice.has_declined), (None, true));
    // With more time, or if it would be late on any target, it takes the far one.
    for time_left in [5.0, 0.3] {
        let choice = choose(&registry, Some("rack-2"), time_left);
        assert!(matches!(choice.link, Some(0 | 1)), "{choice:?}");
    }
}

#[test]
fn test_choose_hot_rack_without_capacity_spills_to_a_fast_target() {
    let mut registry = uneven();
    for (link, pace) in [(3, 143), (4, 143), (5, 59)] {
        hear(&mut registry, link, pace, Resources::NONE);
    }
    assert_eq!(choose(&registry, Some("rack-2"), 2.0).link, Some(2));
}

#[test]
fn test_choose_alike_targets_never_decline() {
    let mut registry = TargetRegistry::default();
    for link in 0..6 {
        join(&mut registry, link, info(SMALL, "rack-1"));
        hear(&mut registry, link, 95 + 2 * link as u16, cpu(SMALL));
    }
    registry.compare_speeds(NOW);
    for time_left in [0.1, 1.0, 1.2, 2.0] {
        let choice = choose(&registry, None, time_left);
        assert!(choice.link.is_some() && !choice.has_declined, "{choice:?}");
    }
}

#[test]
fn test_note_target_unknown_speed_is_the_median_of_alike_targets() {
    let mut registry = uneven();
    join(&mut registry, 6, info(SMALL, "rack-1"));
    join(&mut registry, 7, info(LARGE, "rack-1"));
    join(&mut registry, 8, info(LARGE, "rack-9"));
    let slowdown = |link| registry.get(link).expect("it has joined").slowdown();
    assert_eq!((slowdown(6), slowdown(7), slowdown(8)), (1.43, 0.59, 1.0));
}

#[test]
fn test_slowdown_is_learnt_after_the_first_run() {
    let mut registry = uneven();
    join(&mut registry, 6, info(SMALL, "rack-1"));
    hear(&mut registry, 6, 100, cpu(SMALL));
    assert_eq!(registry.get(6).expect("it has joined").slowdown(), 1.43);
    hear(&mut registry, 6, 80, cpu(SMALL));
    assert_eq!(registry.get(6).expect("it has joined").slowdown(), 0.8);
}

#[test]
fn test_expected_slowdown_is_bounded() {
    assert_eq!(expected_slowdown(Vec::new()), 1.0);
    assert_eq!(expected_slowdown(vec![9.0, 8.0]), 2.0);
    assert_eq!(expected_slowdown(vec![0.1]), 0.5);
}

#[test]
fn test_choose_fault_of_a_minority_does_not_count_as_uneven() {
    let mut registry = TargetRegistry::default();
    for link in 0..8 {
        join(&mut registry, link, info(SMALL, "rack-1"));
        // A pace of exactly 100 would mean that the target has not run anything.
        let (pace, free) = if link < 2 {
            (210, cpu(SMALL))
        } else {
            (101, Resources::NONE)
        };
        hear(&mut registry, link, pace, free);
    }
    registry.compare_speeds(NOW);
    let choice = choose(&registry, None, 1.5);
    assert!(choice.link.is_some() && !choice.has_declined, "{choice:?}");
}
