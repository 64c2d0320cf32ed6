//! Fleets whose targets restart as something else: with a clock of their own and less capacity under their
//! old names, or as another kind. Callers and entries have not heard of it yet.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::run_fleet::{AGENTS, Caller, ENTRIES, FleetConfig, FleetFault, Node, RunFleet};
use testutils::run_target::TargetKind;
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::timings::PlatformBounds;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// Batches of short tasks a second. Targets are idle at times: a busy one's restart is noticed at once.
const LOAD: u32 = 8;
const SHORT_WORK_MS: u64 = 40;
const END: Now = ms(30_000);
/// Work of the long tasks; longer than the leases that agents ask for.
const LONG_WORK_MS: u64 = 3_000;
const SIZE: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};

/// A fleet whose targets grant leases that are much longer than those that agents ask for.
fn fleet_with_long_leases(seed: u64, rng: &mut ChaCha8Rng) -> RunFleet {
    let fleet_config = FleetConfig {
        entries_meet: true,
        bounds: PlatformBounds {
            longest_lease: ms(15_000),
            ..PlatformBounds::default()
        },
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    let latest_clock = rng.random_range(0..20_000);
    fleet.reshape_targets(|_, target| target.with_clock_start(latest_clock));
    fleet.load(ms(500), ms(12_000), LOAD);
    for caller in fleet.callers.values_mut() {
        caller.work_ms = SHORT_WORK_MS;
    }
    fleet
}

/// Restarts one or two targets.
fn restart_targets(fleet: &mut RunFleet, rng: &mut ChaCha8Rng, at: u64) {
    for _ in 0..rng.random_range(1..=2) {
        let target = rng.random_range(0..AGENTS);
        let percent = [100, 60, 30][rng.random_range(0..3)];
        let unreported = ms(rng.random_range(0..1_500));
        let fault = FleetFault::RestartUnreported(target, percent, unreported);
        fleet.inject(ms(at + rng.random_range(0..300)), fault);
    }
}

/// Kills all processes just after long tasks began. Agents start again before their callers return, or
/// later.
fn kill_all(fleet: &mut RunFleet, rng: &mut ChaCha8Rng, at: Now) {
    for _ in 0..4 {
        let sent = at - ms(rng.random_range(30..200));
        let mut caller = Caller::new(sent, 4, LONG_WORK_MS, SIZE);
        caller.reply_timeout = ms(9_000);
        fleet.add_caller(rng.random(), caller);
    }
    for entry in (0..ENTRIES).map(Node::Entry) {
        fleet.inject(at, FleetFault::Kill(entry));
    }
    for agent in (0..AGENTS).map(Node::Agent) {
        let down_for = ms(rng.random_range(300..3_000));
        fleet.inject(at, FleetFault::PowerOffFor(agent, down_for));
    }
}

// Guards against two runs of a task at once: a start that is meant for a target's former incarnation reaches
// the next one under its name, which grants it the longest lease, and no process waits for its end after all
// have been killed. The same start may exceed the capacity of the next one.
#[test]
fn test_run_until_targets_restarted_under_their_names_keep_invariants() {
    for seed in 0..120 {
        let mut rng = ChaCha8Rng::seed_from_u64(90_000 + seed);
        let mut fleet = fleet_with_long_leases(seed, &mut rng);
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(1_000..8_000);
            restart_targets(&mut fleet, &mut rng, at);
            if rng.random_bool(0.7) {
                let killed_at = ms(at + rng.random_range(800..4_000));
                kill_all(&mut fleet, &mut rng, killed_at);
            }
        }
        fleet.run_until(END);
        let violations = fleet.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert!(fleet.still_running().is_empty(), "seed {seed}");
    }
}

// Guards against a task on a target that lacks its label: an entry that stood still orders it from an agent
// whose target was meanwhile replaced by one of another kind.
#[test]
fn test_run_until_targets_change_kind_beside_frozen_entries_keeps_labels() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(70_000 + seed);
        let mut fleet = RunFleet::new(seed);
        fleet.reshape_targets(|index, mut target| {
            if index % 2 == 0 {
                target.kind = TargetKind::Special;
            }
            target
        });
        fleet.load(ms(500), ms(9_000), 5 * LOAD);
        for caller in fleet.callers.values_mut() {
            caller.work_ms = SHORT_WORK_MS;
            let kind = TargetKind::Special.label();
            caller.required_label = rng.random_bool(0.5).then(|| kind.to_owned());
        }
        for _ in 0..rng.random_range(8..16) {
            let at = rng.random_range(1_000..7_000);
            let entry = Node::Entry(rng.random_range(0..ENTRIES));
            let frozen_for = ms(rng.random_range(60..450));
            fleet.inject(ms(at), FleetFault::Freeze(entry, frozen_for));
            let target = rng.random_range(0..AGENTS);
            let changed_at = ms(at + rng.random_range(0..250));
            fleet.inject(changed_at, FleetFault::ChangeKind(target));
        }
        fleet.run_until(END);
        let violations = fleet.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
