//! Choice of targets by the health reports of their agents.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use trestleknot_lib::evacuations::EvacuatedHalls;
use trestleknot_lib::ids::{HallName, Now};
use trestleknot_lib::queue::Queue;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run_message::TargetInfo;
use trestleknot_lib::target_health::HealthReport;
use trestleknot_lib::target_incarnation::TargetIncarnation;
use trestleknot_lib::target_registry::{
    EjectionChange, LoadReport, TargetRegistry, TaskRequirements,
};

const FAILING: u64 = 1;
const HEALTHY: u64 = 2;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

const ALL: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 1_024,
    accelerators: 0,
};
const TASK: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};

fn load_report(health: HealthReport) -> LoadReport {
    LoadReport {
        clock: 0,
        free: ALL,
        starts_seen: 1_000,
        health,
    }
}

fn failing() -> HealthReport {
    HealthReport {
        pace_percent: 100,
        failed_percent: 60,
    }
}

/// A registry with a failing target and a healthy one without free capacity.
fn registry() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    for link in [FAILING, HEALTHY] {
        registry.join(ms(1), link, format!("agent-{link}").into(), "hall".into());
        let view = registry.get_mut(link).expect("it has joined");
        view.info = Some(TargetInfo {
            life: TargetIncarnation {
                name: "life".into(),
                born: None,
            },
            service: "service".into(),
            capacity: ALL,
            labels: Vec::new(),
            leaving: false,
        });
    }
    let full = LoadReport {
        free: Resources::NONE,
        ..load_report(HealthReport::default())
    };
    registry.heard(ms(1), HEALTHY, full);
    registry
}

fn queue() -> Queue {
    Queue {
        name: "queue".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        service: Arc::from("service"),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: ms(60),
        needs_advice: false,
    }
}

/// Counts the tasks that the failing target gets in 6 s with a placement every 10 ms.
fn probes(registry: &mut TargetRegistry) -> u32 {
    let queue = queue();
    let hall: HallName = "hall".into();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut probes = 0;
    for step in 0..600 {
        let now = ms(10 + 10 * step);
        registry.heard(now, FAILING, load_report(failing()));
        let need = TaskRequirements {
            size: TASK,
            queue: &queue,
            required_label: None,
            preferred_rack: None,
            avoid: None,
            payload_sent_to: &BTreeSet::new(),
            payload_cost: 0.0,
            is_idle: false,
            time_left: f64::INFINITY,
        };
        if let Some(link) = registry.choose(now, &need, &hall, |_| false, &mut rng).link {
            assert_eq!(link, FAILING);
            registry.sent_start(now, link, TASK);
            probes += 1;
        }
    }
    probes
}

#[test]
fn test_heard_ejection_change_by_health() {
    let mut registry = registry();
    assert_eq!(
        registry.heard(ms(2), FAILING, load_report(failing())),
        EjectionChange::Ejected
    );
    assert_eq!(
        registry.heard(ms(3), FAILING, load_report(failing())),
        EjectionChange::Unchanged
    );
    let healthy = load_report(HealthReport::default());
    assert_eq!(
        registry.heard(ms(4), FAILING, healthy),
        EjectionChange::Readmitted
    );
}

#[test]
fn test_choose_ejected_gets_probes_only() {
    assert_eq!(probes(&mut registry()), 9);
}

#[test]
fn test_choose_many_entries_share_the_probes() {
    let mut registry = registry();
    registry.note_entries(12);
    assert_eq!(probes(&mut registry), 3);
}

#[test]
fn test_choose_evacuated_target_gets_nothing_and_is_no_reference() {
    let mut registry = registry();
    registry.join(ms(1), 3, "agent-3".into(), "maadi".into());
    let info = registry.get(HEALTHY).and_then(|v| v.info.clone());
    registry.get_mut(3).expect("it has joined").info = info;
    let with_pace = |pace_percent| {
        load_report(HealthReport {
            pace_percent,
            failed_percent: 0,
        })
    };
    // Compared with the target in the evacuated hall, both others would count as too slow.
    registry.heard(ms(10), FAILING, with_pace(300));
    registry.heard(ms(10), HEALTHY, with_pace(300));
    registry.heard(ms(10), 3, with_pace(100));
    registry.note_evacuations(&Arc::new(EvacuatedHalls {
        position: 1,
        halls: [HallName::from("maadi")].into(),
    }));
    assert!(!registry.is_ejected(ms(11), HEALTHY));
    assert_eq!(
        (registry.usable(ms(11)), registry.reachable(ms(11))),
        (2, 3)
    );
    let queue = queue();
    let hall: HallName = "hall".into();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..50 {
        let need = TaskRequirements {
            size: TASK,
            queue: &queue,
            required_label: None,
            preferred_rack: None,
            avoid: None,
            payload_sent_to: &BTreeSet::new(),
            payload_cost: 0.0,
            is_idle: false,
            time_left: f64::INFINITY,
        };
        let chosen = registry
            .choose(ms(11), &need, &hall, |_| false, &mut rng)
            .link;
        assert!(matches!(chosen, Some(FAILING | HEALTHY)), "{chosen:?}");
    }
}
