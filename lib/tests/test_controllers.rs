//! Frame order, slot lending, target health, quotas and run time estimates.

use std::sync::Arc;
use std::time::Duration;

use trestleknot_lib::frame_order::{FrameOrder, FrameReceiver};
use trestleknot_lib::health::{Ending, HealthChange, HealthController};
use trestleknot_lib::ids::TeamName;
use trestleknot_lib::job::TaskSpec;
use trestleknot_lib::message::TeamDemand;
use trestleknot_lib::placement::PlacementMode;
use trestleknot_lib::quota::Quotas;
use trestleknot_lib::run_time::RunTimes;
use trestleknot_lib::slot_table::{SlotNotice, SlotTable};

#[test]
fn test_accept_frames_by_case() {
    use FrameOrder::{Copy, Gap, Next};
    let cases: [(&[u64], &[FrameOrder]); 4] = [
        (&[1, 2, 3], &[Next, Next, Next]),
        (&[1, 1, 2, 1], &[Next, Copy, Next, Copy]),
        (&[1, 3], &[Next, Gap]),
        (&[2], &[Gap]),
    ];
    for (frames, expected) in cases {
        let mut receiver = FrameReceiver::default();
        let found: Vec<FrameOrder> = frames.iter().map(|n| receiver.accept(*n)).collect();
        assert_eq!(found, expected, "{frames:?}");
    }
}

fn table(slots: u32) -> SlotTable {
    let mut table = SlotTable::new(slots);
    table.open(1, PlacementMode::SlotGrants);
    table.open(2, PlacementMode::SlotGrants);
    table
}

#[test]
fn test_balance_lends_only_on_demand() {
    let mut table = table(4);
    assert_eq!(table.balance(), []);
    table.set_demand(1, 3);
    assert_eq!(table.balance(), [SlotNotice::Lend(1, 3)]);
    assert_eq!(table.free(), 1);
}

#[test]
fn test_balance_shares_evenly() {
    let mut table = table(4);
    table.set_demand(1, 4);
    table.set_demand(2, 4);
    assert_eq!(
        table.balance(),
        [SlotNotice::Lend(1, 2), SlotNotice::Lend(2, 2)]
    );
}

#[test]
fn test_balance_recalls_idle_slots_on_demand() {
    let mut table = table(2);
    table.set_demand(1, 2);
    table.balance();
    table.set_demand(2, 1);
    assert_eq!(
        table.balance(),
        [SlotNotice::Recall(1, 1), SlotNotice::Lend(2, 1)]
    );
    // A dispatch that was sent before the recall arrived is refused, not queued.
    assert!(table.take(1));
    assert!(!table.take(1));
}

#[test]
fn test_close_frees_lent_slots() {
    let mut table = table(2);
    table.set_demand(1, 2);
    table.balance();
    table.close(1);
    assert_eq!(table.free(), 2);
}

const NOW: Duration = Duration::from_secs(10);

fn healthy_targets(targets: u64) -> HealthController {
    let mut health = HealthController::default();
    for target in 0..targets {
        health.add(target);
        for job in 0..5 {
            health.observe(target, job, Ending::Good, NOW);
        }
    }
    health
}

#[test]
fn test_observe_failing_target_is_set_aside_and_probed() {
    let mut health = healthy_targets(10);
    let mut change = None;
    for job in 100..103 {
        change = health.observe(3, job, Ending::Bad, NOW);
    }
    assert_eq!(change, Some(HealthChange::SetAside(3)));
    assert_eq!(health.tick(NOW), []);
    let later = NOW + Duration::from_secs(3);
    assert_eq!(health.tick(later), [HealthChange::Probe(3)]);
    let failed = health.observe(3, 200, Ending::Bad, later);
    assert_eq!(failed, Some(HealthChange::SetAside(3)));
    assert_eq!(
        health.tick(later + Duration::from_secs(3)),
        [],
        "it waits longer now"
    );
}

#[test]
fn test_observe_failing_job_sets_no_target_aside() {
    let mut health = healthy_targets(10);
    let changes: Vec<_> = (0..10)
        .filter_map(|_| health.observe(3, 100, Ending::Bad, NOW))
        .collect();
    assert_eq!(changes, []);
}

#[test]
fn test_observe_failures_everywhere_set_few_targets_aside() {
    let mut health = healthy_targets(9);
    for job in 100..200 {
        for target in 0..9 {
            health.observe(target, job, Ending::Bad, NOW);
        }
    }
    assert!(health.set_aside().len() <= 3, "{:?}", health.set_aside());
}

#[test]
fn test_share_follows_demand() {
    let team: TeamName = "team".into();
    let mut quotas = Quotas::default();
    assert_eq!(
        quotas.share(&team, 100, 10, NOW),
        100,
        "nobody else uses it"
    );
    let tasks = 30;
    let team_demand = TeamDemand {
        team: team.clone(),
        tasks,
    };
    quotas.peer_report(7, &[team_demand]);
    assert_eq!(quotas.share(&team, 100, 10, NOW), 25);
    quotas.peer_gone(7);
    assert_eq!(quotas.share(&team, 100, 10, NOW), 100);
}

#[test]
fn test_estimate_learns_and_clips() {
    let team: TeamName = "team".into();
    let kind: Arc<str> = "unlock".into();
    let task = TaskSpec {
        kind: kind.clone(),
        payload: "".into(),
        expected_ms: 9_000,
        memory_mib: 0,
        accelerators: 0,
    };
    let mut times = RunTimes::default();
    assert_eq!(times.estimate(&team, &task).mean, Duration::from_secs(9));
    for _ in 0..20 {
        times.observe(&team, &kind, Duration::from_millis(100));
    }
    assert_eq!(
        times.estimate(&team, &task).mean,
        Duration::from_millis(100)
    );
    times.observe(&team, &kind, Duration::from_secs(3_600));
    assert!(times.estimate(&team, &task).mean < Duration::from_millis(250));
}
