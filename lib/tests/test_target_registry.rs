//! Which target gets a task, as far as its agent's word on its health decides.

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
use trestleknot_lib::target_registry::{EjectionChange, LoadReport, Need, TargetRegistry};

const BAD: u64 = 1;
const SOUND: u64 = 2;

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

fn word(health: HealthReport) -> LoadReport {
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

/// A board of a target that fails and one that is sound but full.
fn board() -> TargetRegistry {
    let mut board = TargetRegistry::default();
    for link in [BAD, SOUND] {
        board.join(ms(1), link, format!("agent-{link}").into(), "hall".into());
        let view = board.get_mut(link).expect("it has joined");
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
        ..word(HealthReport::default())
    };
    board.heard(ms(1), SOUND, full);
    board
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

/// Tasks that the failing target gets in 6 s, if it is tried every 10 ms.
fn probes(board: &mut TargetRegistry) -> u32 {
    let queue = queue();
    let hall: HallName = "hall".into();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut probes = 0;
    for step in 0..600 {
        let now = ms(10 + 10 * step);
        board.heard(now, BAD, word(failing()));
        let need = Need {
            size: TASK,
            queue: &queue,
            required_label: None,
            preferred_rack: None,
            avoid: None,
            payload_sent_to: &BTreeSet::new(),
            payload_cost: 0.0,
            is_idle: false,
        };
        if let Some(link) = board.choose(now, &need, &hall, |_| false, &mut rng) {
            assert_eq!(link, BAD);
            board.sent_start(now, link, TASK);
            probes += 1;
        }
    }
    probes
}

#[test]
fn test_heard_ejection_change_by_health() {
    let mut board = board();
    assert_eq!(
        board.heard(ms(2), BAD, word(failing())),
        EjectionChange::Ejected
    );
    assert_eq!(
        board.heard(ms(3), BAD, word(failing())),
        EjectionChange::Unchanged
    );
    let sound = word(HealthReport::default());
    assert_eq!(board.heard(ms(4), BAD, sound), EjectionChange::Readmitted);
}

#[test]
fn test_choose_ejected_gets_probes_only() {
    assert_eq!(probes(&mut board()), 9);
}

#[test]
fn test_choose_many_entries_share_the_probes() {
    let mut board = board();
    board.note_entries(12);
    assert_eq!(probes(&mut board), 3);
}

#[test]
fn test_choose_evacuated_target_gets_nothing_and_is_no_yardstick() {
    let mut board = board();
    board.join(ms(1), 3, "agent-3".into(), "maadi".into());
    let info = board.get(SOUND).and_then(|v| v.info.clone());
    board.get_mut(3).expect("it has joined").info = info;
    let paced = |pace_percent| {
        word(HealthReport {
            pace_percent,
            failed_percent: 0,
        })
    };
    // Against the one in the evacuated hall, both others would be too slow.
    board.heard(ms(10), BAD, paced(300));
    board.heard(ms(10), SOUND, paced(300));
    board.heard(ms(10), 3, paced(100));
    board.note_evacuations(&Arc::new(EvacuatedHalls {
        place: 1,
        halls: [HallName::from("maadi")].into(),
    }));
    assert!(!board.is_ejected(ms(11), SOUND));
    assert_eq!((board.usable(ms(11)), board.reachable(ms(11))), (2, 3));
    let queue = queue();
    let hall: HallName = "hall".into();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..50 {
        let need = Need {
            size: TASK,
            queue: &queue,
            required_label: None,
            preferred_rack: None,
            avoid: None,
            payload_sent_to: &BTreeSet::new(),
            payload_cost: 0.0,
            is_idle: false,
        };
        let chosen = board.choose(ms(11), &need, &hall, |_| false, &mut rng);
        assert!(matches!(chosen, Some(BAD | SOUND)), "{chosen:?}");
    }
}
