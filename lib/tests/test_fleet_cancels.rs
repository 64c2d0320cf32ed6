//! Cancels that reach any entry, before and after their batch, beside faults.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::run_fleet::{AGENTS, ENTRIES, FleetConfig, FleetFault, Node, RunFleet};
use trestleknot_lib::ids::Now;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// Batches a second: about half of the fleet's capacity.
const LOAD: u32 = 18;
const LOAD_FROM: Now = ms(1_500);
const LOAD_TO: Now = ms(8_000);
const END: Now = ms(14_000);
/// Longest time from a cancel's answer to a start, without faults: the order is on its way.
const START_BOUND: Duration = ms(20);
/// The same beside faults of [`FAULT_LENGTH`] at most.
const START_BOUND_WITH_FAULTS: Duration = ms(2_000);
const FAULT_LENGTH: Duration = ms(900);
/// Longest time that runs of a cancelled batch go on; orders may be late.
const RUN_BOUND: Duration = ms(2_600);

/// A fleet in which half of the batches are cancelled once or twice, at random entries, from 3 s before
/// to 0.6 s after they are sent.
fn fleet_with_cancels(rng: &mut ChaCha8Rng, seed: u64) -> RunFleet {
    let fleet_config = FleetConfig {
        entries_meet: true,
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    fleet.load(LOAD_FROM, LOAD_TO, LOAD);
    let sent: Vec<_> = fleet.callers.iter().map(|(id, c)| (*id, c.sent)).collect();
    for (id, at) in sent {
        if rng.random_bool(0.5) {
            for _ in 0..rng.random_range(1..3) {
                let entry = rng.random_range(0..ENTRIES);
                let cancelled_at = (at + ms(rng.random_range(0..3_600))).saturating_sub(ms(3_000));
                fleet.add_cancel_at(cancelled_at.max(ms(1_000)), id, entry);
            }
        }
    }
    fleet
}

fn assert_cancels_hold(fleet: &RunFleet, bound: Duration, scenario: &str) {
    let late = fleet.started_after_cancel(bound);
    assert!(
        late.is_empty(),
        "{scenario}: {} starts: {late:#?}",
        late.len()
    );
    let unasked = fleet.unasked(RUN_BOUND);
    assert!(unasked.is_empty(), "{scenario}: {unasked:#?}");
    let violations = fleet.violations();
    assert!(violations.is_empty(), "{scenario}: {violations:#?}");
    assert!(fleet.still_running().is_empty(), "{scenario}");
}

/// Batches that nobody cancelled, and how many of them were served.
fn served_of_others(fleet: &RunFleet) -> (usize, usize) {
    let others = fleet.callers.values().filter(|c| c.cancelled.is_none());
    let (served, all): (Vec<_>, Vec<_>) = others.map(|c| (c.succeeded.is_some(), ())).unzip();
    (all.len(), served.iter().filter(|s| **s).count())
}

// Guards against tasks that start after their cancel was answered, at whichever entry it arrived.
#[test]
fn test_run_until_cancels_at_any_entry_hold() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(80_000 + seed);
        let mut fleet = fleet_with_cancels(&mut rng, seed);
        fleet.run_until(END);
        assert_cancels_hold(&fleet, START_BOUND, &format!("seed {seed}"));
        let (others, served) = served_of_others(&fleet);
        assert!(
            served * 100 >= others * 98,
            "seed {seed}: {served} of {others}"
        );
    }
}

fn random_fault(rng: &mut ChaCha8Rng) -> FleetFault {
    let entry = Node::Entry(rng.random_range(0..ENTRIES));
    let other = Node::Entry(rng.random_range(0..ENTRIES));
    let agent = rng.random_range(0..AGENTS);
    let length = rng.random_range(ms(100)..FAULT_LENGTH);
    match rng.random_range(0..9) {
        0 => FleetFault::Freeze(entry, length),
        1 => FleetFault::CutBetween(entry, other, length),
        2 => FleetFault::CutBetween(entry, Node::Agent(agent), length),
        3 => FleetFault::Drain(entry),
        4 => FleetFault::Reset(entry),
        5 => FleetFault::Kill(entry),
        6 => FleetFault::Kill(Node::Agent(agent)),
        7 => FleetFault::Freeze(Node::Agent(agent), length),
        _ => FleetFault::LateOrders(agent, length),
    }
}

// Guards against the same beside frozen, cut, stopped and killed processes, while callers return.
#[test]
fn test_run_until_cancels_hold_beside_random_faults() {
    let mut cancelled = 0;
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(81_000 + seed);
        let mut fleet = fleet_with_cancels(&mut rng, seed);
        let count = rng.random_range(1..5);
        let faults: Vec<(Now, FleetFault)> = (0..count)
            .map(|_| (ms(rng.random_range(1_500..8_000)), random_fault(&mut rng)))
            .collect();
        for (at, fault) in &faults {
            fleet.inject(*at, *fault);
        }
        fleet.run_until(END);
        let scenario = format!("seed {seed}, {faults:?}");
        assert_cancels_hold(&fleet, START_BOUND_WITH_FAULTS, &scenario);
        let is_cancelled = fleet.callers.values().filter(|c| c.cancelled.is_some());
        cancelled += is_cancelled.count();
    }
    assert!(cancelled > 3_000, "only {cancelled} batches were cancelled");
}

// Guards against cancels that are lost with the entry that took them, when it is stopped as planned
// and its neighbours start the batch later.
#[test]
fn test_run_until_cancels_hold_while_entries_are_stopped_in_turn() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(82_000 + seed);
        let mut fleet = fleet_with_cancels(&mut rng, seed);
        for entry in 0..ENTRIES {
            let at = ms(1_600 + 1_800 * entry as u64 + rng.random_range(0..300));
            fleet.inject(at, FleetFault::Drain(Node::Entry(entry)));
        }
        fleet.run_until(END);
        assert_cancels_hold(&fleet, START_BOUND_WITH_FAULTS, &format!("seed {seed}"));
    }
}
