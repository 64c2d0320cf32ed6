//! Entries that read their input late, and are lost after the break of a caller's connection that
//! they have not read.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::run_fleet::{Caller, FleetConfig, FleetFault, Node, ProcessorModel, RunFleet};
use testutils::run_target::RunTarget;
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::BatchId;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

const BATCH: BatchId = 0x510e;
/// Time from the batch's arrival until its caller's connection breaks.
const CONNECTED: Duration = ms(400);
/// When the caller's connection breaks, once the processes have found each other.
const BROKEN_AT: Now = ms(2_500);
const AGENTS: usize = 3;
/// Work of the task; longer than any lease.
const WORK_MS: u64 = 4_000;

const TASK: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};

/// The first entry takes 5 ms for an event.
const SLOW_FIRST_ENTRY: ProcessorModel = ProcessorModel {
    event_cost: Duration::from_micros(500),
    share: 10.0,
    narrow_entries: 1,
    narrow_share: 0.1,
    narrow_pause: Duration::ZERO,
    pause_interval: Duration::from_millis(100),
};

/// Targets with room for one task each, and a batch of one long task at the first entry. A second run
/// of the task can't start on the target of the first one. Stops are lost.
fn fleet_with_batch(seed: u64, entries: usize) -> RunFleet {
    let fleet_config = FleetConfig {
        entries,
        agents: AGENTS,
        capacity: TASK,
        entries_meet: true,
        processor: Some(SLOW_FIRST_ENTRY),
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    let mut caller = Caller::new(BROKEN_AT - CONNECTED - ms(seed * 29), 1, WORK_MS, TASK);
    caller.guess = Some(1.0);
    caller.max_requests = 5;
    caller.reply_timeout = ms(9_000);
    caller.entry = Some(0);
    fleet.add_caller(BATCH, caller);
    for agent in 0..AGENTS {
        fleet.inject(ms(1_000), FleetFault::LateStops(agent, ms(4_000)));
    }
    fleet.run_until(BROKEN_AT - ms(390));
    fleet
}

fn agent_with_run(fleet: &RunFleet) -> usize {
    let has_run = |target: &RunTarget| target.running() > 0;
    fleet.targets().position(has_run).expect("the task runs")
}

/// Breaks the caller's connection; it returns to another entry.
fn break_connection(fleet: &mut RunFleet) {
    let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
    caller.entry = Some(1);
    fleet.add_disconnect(BROKEN_AT, BATCH);
}

fn assert_no_overlap(fleet: &RunFleet, scenario: &str) {
    let violations = fleet.violations();
    let log = &fleet.log;
    assert!(
        violations.is_empty(),
        "{scenario}: {violations:#?}\n{log:#?}"
    );
}

/// Freezes an entry several times from `from` on, each time for less than other processes notice.
/// Returns the end of the last stall.
fn stall(fleet: &mut RunFleet, rng: &mut ChaCha8Rng, from: Now) -> Now {
    let mut at = from;
    let mut end = from;
    for _ in 0..rng.random_range(1..4) {
        let length = ms(rng.random_range(60..490));
        fleet.inject(at, FleetFault::Freeze(Node::Entry(0), length));
        end = at + length;
        at = end + ms(rng.random_range(5..120));
    }
    end
}

fn between(rng: &mut ChaCha8Rng, from: Now, to: Now) -> Now {
    ms(rng.random_range(from.as_millis()..=to.as_millis()) as u64)
}

// Guards against a task that runs twice at once: its entry stands still while its caller's connection
// breaks, answers the packets that waited in its sockets, and is lost before it has read the break or
// told the other entry of it.
#[test]
fn test_run_until_entry_is_lost_after_stalls() {
    for seed in 0..4_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(70_000 + seed);
        let mut fleet = fleet_with_batch(seed % 16, 2);
        let agent = agent_with_run(&fleet);
        break_connection(&mut fleet);
        let from = BROKEN_AT - ms(rng.random_range(0..300));
        let stalled_until = stall(&mut fleet, &mut rng, from);
        let lost_at = stalled_until + ms(rng.random_range(1..60));
        fleet.inject(lost_at, FleetFault::PowerOffFor(Node::Entry(0), ms(3_000)));
        let agent_lost_at = lost_at + ms(rng.random_range(1..600));
        let agent_fault = FleetFault::Freeze(Node::Agent(agent), ms(3_000));
        fleet.inject(agent_lost_at, agent_fault);
        fleet.run_until(ms(9_000));
        assert_no_overlap(&fleet, &format!("seed {seed}"));
    }
}

/// Load that the first entry hands over in part.
const LOAD: u32 = 24;
const LOAD_FROM: Now = ms(1_000);

/// A fleet whose first entry gets batches of long tasks and hands most of them over.
fn fleet_with_giver(seed: u64) -> RunFleet {
    let fleet_config = FleetConfig {
        entries_meet: true,
        first_entry_starved: true,
        processor: Some(SLOW_FIRST_ENTRY),
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    fleet.load(LOAD_FROM, BROKEN_AT, LOAD);
    for caller in fleet.callers.values_mut() {
        caller.entry = Some(0);
        caller.guess = Some(1.0);
        caller.reply_timeout = ms(9_000);
        if caller.sent + ms(500) > BROKEN_AT {
            caller.work_ms = WORK_MS;
            caller.tasks = 1;
        }
    }
    for agent in 0..testutils::run_fleet::AGENTS {
        fleet.inject(ms(1_000), FleetFault::LateStops(agent, ms(4_000)));
    }
    fleet
}

// Guards against the same overlap of batches that were handed over: the giver stands still while its
// callers' connections break, and is lost at about the same time as a receiver and an agent.
#[test]
fn test_run_until_giver_is_lost_after_stalls() {
    let mut handed = 0;
    for seed in 0..600 {
        let mut rng = ChaCha8Rng::seed_from_u64(71_000 + seed);
        let mut fleet = fleet_with_giver(seed);
        let batches: Vec<BatchId> = fleet.callers.keys().copied().collect();
        let broken_at = BROKEN_AT + ms(20);
        for id in batches {
            fleet.add_disconnect(broken_at, id);
        }
        let from = broken_at - ms(rng.random_range(0..200));
        let stalled_until = stall(&mut fleet, &mut rng, from);
        let lost_at = stalled_until + ms(rng.random_range(1..60));
        fleet.inject(lost_at, FleetFault::PowerOffFor(Node::Entry(0), ms(3_000)));
        if rng.random_bool(0.7) {
            let at = between(&mut rng, stalled_until, lost_at + ms(300));
            fleet.inject(at, FleetFault::PowerOffFor(Node::Entry(1), ms(3_000)));
        }
        for agent in 0..testutils::run_fleet::AGENTS {
            let at = lost_at + ms(rng.random_range(1..600));
            if rng.random_bool(0.5) {
                fleet.inject(at, FleetFault::Freeze(Node::Agent(agent), ms(3_000)));
            }
        }
        fleet.run_until(ms(12_000));
        assert_no_overlap(&fleet, &format!("seed {seed}"));
        handed += fleet
            .log
            .iter()
            .filter(|l| l.contains(" HandedOver "))
            .count();
    }
    assert!(handed > 2_000, "only {handed} were handed over");
}

/// How long the caller of [`fleet_with_leaving_caller`] waits for a reply.
const PATIENCE: Duration = ms(1_000);
/// When it sends its first request.
const SENT_AT: Now = ms(2_000);

/// A fleet whose caller ends its request at the first entry by itself and returns to the second one. The
/// end of its connection never reaches the first entry. Stops are lost.
fn fleet_with_leaving_caller(seed: u64) -> RunFleet {
    let fleet_config = FleetConfig {
        entries: 2,
        agents: AGENTS,
        capacity: TASK,
        entries_meet: true,
        processor: Some(SLOW_FIRST_ENTRY),
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    let mut caller = Caller::new(SENT_AT, 1, WORK_MS, TASK);
    caller.guess = Some(0.1);
    caller.reply_timeout = PATIENCE;
    caller.entry = Some(0);
    caller.leaves_unnoticed = true;
    fleet.add_caller(BATCH, caller);
    for agent in 0..AGENTS {
        fleet.inject(ms(1_000), FleetFault::LateStops(agent, ms(6_000)));
    }
    fleet
}

// Guards against a task that runs twice at once: its entry reads the request late and wants the run for as
// long as the caller would wait from then on, while the caller is back at another entry.
#[test]
fn test_run_until_caller_times_out_before_its_late_entry_does() {
    let mut runs = 0;
    let mut overlaps = Vec::new();
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(72_000 + seed);
        let mut fleet = fleet_with_leaving_caller(seed);
        let from = SENT_AT - ms(rng.random_range(0..200));
        let late = ms(rng.random_range(100..900));
        fleet.inject(from, FleetFault::Freeze(Node::Entry(0), late));
        fleet.run_until(SENT_AT + ms(1));
        let caller = fleet.callers.get_mut(&BATCH).expect("the batch was added");
        caller.entry = Some(1);
        // The entry stops the run at some time before this; the agent announces it to nobody.
        let given_up_at = SENT_AT.max(from + late) + PATIENCE;
        let lost_at = between(&mut rng, given_up_at - ms(100), given_up_at + ms(120));
        fleet.run_until(lost_at);
        let has_run = |target: &RunTarget| target.running() > 0;
        let agent = fleet.targets().position(has_run);
        if let Some(agent) = agent {
            runs += 1;
            let fault = FleetFault::Freeze(Node::Agent(agent), ms(3_000));
            fleet.inject(lost_at, fault);
        }
        fleet.run_until(ms(9_000));
        if !fleet.violations().is_empty() {
            overlaps.push((seed, fleet.violations()));
        }
    }
    let count = overlaps.len();
    assert!(overlaps.is_empty(), "{count} of {runs}: {overlaps:#?}");
    assert!(runs > 300, "only {runs} ran");
}
