//! Fleets many of whose entries are lost or started again together, while targets lose orders, links
//! form in a drawn order and some processes can't reach each other. Callers return to any entry.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::run_fleet::{FleetConfig, FleetFault, Node, RunFleet};
use trestleknot_lib::ids::Now;
use trestleknot_lib::run::BatchId;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// Batches a second for each agent.
const LOAD_PER_AGENT: u32 = 5;
/// Work of the longest tasks; longer than any lease.
const LONG_WORK_MS: u64 = 2_500;
const END: Now = ms(30_000);

/// Numbers of entries and agents.
#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    agents: usize,
}

/// Faults of one round and their times.
type Faults = Vec<(Now, FleetFault)>;

fn lost_orders(rng: &mut ChaCha8Rng, at: u64, size: Size, faults: &mut Faults) {
    for agent in 0..size.agents {
        if !rng.random_bool(0.6) {
            continue;
        }
        let loses_stops = rng.random_bool(0.5);
        let length = ms(rng.random_range(800..3_000));
        let fault = match loses_stops {
            true => FleetFault::LateStops(agent, length),
            false => FleetFault::LateOrders(agent, length),
        };
        faults.push((ms(at - rng.random_range(0..300)), fault));
    }
}

/// Most of the entries are lost, or some.
fn lost_entries(rng: &mut ChaCha8Rng, at: u64, size: Size, faults: &mut Faults) {
    let share = if rng.random_bool(0.6) { 0.9 } else { 0.3 };
    for entry in (0..size.entries).map(Node::Entry) {
        if !rng.random_bool(share) {
            continue;
        }
        let fault = match rng.random_range(0..5) {
            0 | 1 => FleetFault::Kill(entry),
            2 => FleetFault::PowerOffFor(entry, ms(rng.random_range(300..2_500))),
            3 => FleetFault::Reset(entry),
            _ => FleetFault::Freeze(entry, ms(rng.random_range(100..2_000))),
        };
        faults.push((ms(at + rng.random_range(0..1_200)), fault));
    }
}

fn cuts(rng: &mut ChaCha8Rng, at: u64, size: Size, faults: &mut Faults) {
    for _ in 0..rng.random_range(0..8) {
        let entry = Node::Entry(rng.random_range(0..size.entries));
        let other = match rng.random_bool(0.4) {
            true => Node::Entry(rng.random_range(0..size.entries)),
            false => Node::Agent(rng.random_range(0..size.agents)),
        };
        if entry == other {
            continue;
        }
        let from = ms((at + rng.random_range(0..800)).saturating_sub(400));
        let length = ms(rng.random_range(100..4_000));
        faults.push((from, FleetFault::CutBetween(entry, other, length)));
    }
}

fn lost_agents(rng: &mut ChaCha8Rng, at: u64, size: Size, faults: &mut Faults) {
    for agent in (0..size.agents).map(Node::Agent) {
        if !rng.random_bool(0.2) {
            continue;
        }
        let fault = match rng.random_range(0..4) {
            0 => FleetFault::Kill(agent),
            1 => FleetFault::Reset(agent),
            2 => FleetFault::Cut(agent, ms(rng.random_range(200..2_500))),
            _ => FleetFault::Freeze(agent, ms(rng.random_range(100..2_000))),
        };
        faults.push((ms(at + rng.random_range(0..1_200)), fault));
    }
}

/// Breaks the connections of some callers that have submitted by then.
fn leaving_callers(rng: &mut ChaCha8Rng, at: u64, fleet: &mut RunFleet) {
    let callers: Vec<(BatchId, Now)> = fleet.callers.iter().map(|(id, c)| (*id, c.sent)).collect();
    for (id, sent) in callers {
        if sent < ms(at + 300) && rng.random_bool(0.15) {
            fleet.add_disconnect(ms(at + rng.random_range(0..600)), id);
        }
    }
}

fn run_fleet(seed: u64) -> (RunFleet, Faults) {
    let mut rng = ChaCha8Rng::seed_from_u64(880_000 + seed);
    let size = Size {
        entries: rng.random_range(2..7),
        agents: rng.random_range(3..8),
    };
    let fleet_config = FleetConfig {
        entries: size.entries,
        agents: size.agents,
        entries_meet: true,
        longest_dial: ms(rng.random_range(0..150)),
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    fleet.load(ms(500), ms(9_000), LOAD_PER_AGENT * size.agents as u32);
    for caller in fleet.callers.values_mut() {
        caller.max_requests = 6;
        if caller.work_ms == 500 {
            caller.work_ms = LONG_WORK_MS;
            caller.reply_timeout = ms(9_000);
        }
    }
    let mut faults = Faults::new();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(1_000..7_000);
        lost_orders(&mut rng, at, size, &mut faults);
        lost_entries(&mut rng, at, size, &mut faults);
        cuts(&mut rng, at, size, &mut faults);
        lost_agents(&mut rng, at, size, &mut faults);
        leaving_callers(&mut rng, at, &mut fleet);
    }
    for (at, fault) in &faults {
        fleet.inject(*at, *fault);
    }
    fleet.run_until(END);
    (fleet, faults)
}

// Guards against a task that runs twice at once because its run outlasts the return of its caller, who
// reaches an entry that was started again or is cut off from those that know of the run.
#[test]
fn test_run_until_entries_restart_together_while_orders_are_lost() {
    for seed in 270..350 {
        let (fleet, faults) = run_fleet(seed);
        let violations = fleet.violations();
        assert!(
            violations.is_empty(),
            "seed {seed}: {violations:#?}, {faults:?}"
        );
        assert!(fleet.still_running().is_empty(), "seed {seed}");
    }
}
