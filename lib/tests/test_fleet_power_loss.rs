//! Fleets all of whose entries and agents lose power in the same moment, with or without their targets.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::run_fleet::{FleetConfig, FleetFault, Node, RunFleet};
use trestleknot_lib::ids::Now;
use trestleknot_lib::run::BatchId;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

const LOAD_FROM: Now = ms(500);
const LOAD_TO: Now = ms(9_000);
/// Work of the longest tasks; longer than any lease.
const LONG_WORK_MS: u64 = 2_500;
const END: Now = ms(32_000);

/// Faults and their times.
type Faults = Vec<(Now, FleetFault)>;

/// What becomes of the targets when all other machines lose power.
#[derive(Debug, Clone, Copy)]
enum Targets {
    RunOn,
    /// All of them start anew; true if each keeps its name.
    StartAnew(bool),
    /// Each does either.
    Mixed,
}

struct PlayedFleet {
    fleet: RunFleet,
    faults: Faults,
}

struct Plan {
    rng: ChaCha8Rng,
    faults: Faults,
    entries: usize,
    agents: usize,
}

impl Plan {
    fn nodes(&self) -> Vec<Node> {
        let entries = (0..self.entries).map(Node::Entry);
        entries.chain((0..self.agents).map(Node::Agent)).collect()
    }

    fn millis(&mut self, from: u64, to: u64) -> Now {
        ms(self.rng.random_range(from..to))
    }

    /// A loss of power at `at`; returns when the first process is back.
    fn lose_power(&mut self, at: Now, targets: Targets) -> Now {
        let common = self.millis(100, 3_000);
        let is_common = self.rng.random_bool(0.5);
        let mut back = Vec::new();
        for node in self.nodes() {
            let dark = if is_common {
                common
            } else {
                self.millis(100, 3_000)
            };
            back.push(at + dark);
            self.faults.push((at, FleetFault::PowerOffFor(node, dark)));
            let Node::Agent(target) = node else {
                continue;
            };
            let keeps_name = match targets {
                Targets::RunOn => continue,
                Targets::StartAnew(keeps_name) => keeps_name,
                Targets::Mixed if self.rng.random_bool(0.5) => continue,
                Targets::Mixed => self.rng.random_bool(0.5),
            };
            let fault = FleetFault::LosePower(target, keeps_name, dark);
            self.faults.push((at, fault));
        }
        back.into_iter().min().unwrap_or(at)
    }

    /// Steps of the clock, late orders and cut links around `at`.
    fn disturb(&mut self, at: Now) {
        for agent in 0..self.agents {
            if !self.rng.random_bool(0.5) {
                continue;
            }
            let longest = self.millis(50, 2_000);
            let length = self.millis(500, 4_000);
            let fault = match self.rng.random_range(0..4) {
                0 => FleetFault::LateOrders(agent, length),
                1 => FleetFault::LateStops(agent, length),
                _ => FleetFault::ScatteredOrders(agent, longest, length),
            };
            let from = at.saturating_sub(self.millis(0, 600));
            self.faults.push((from, fault));
        }
        for _ in 0..self.rng.random_range(0..6) {
            let nodes = self.nodes();
            let a = nodes[self.rng.random_range(0..nodes.len())];
            let b = nodes[self.rng.random_range(0..self.entries)];
            let from = at.saturating_sub(ms(300)) + self.millis(0, 3_000);
            let length = self.millis(100, 3_000);
            if a != b {
                self.faults
                    .push((from, FleetFault::CutBetween(a, b, length)));
            }
        }
        if self.rng.random_bool(0.5) {
            let step = self.rng.random_range(-3_500..3_500);
            let from = at.saturating_sub(ms(200)) + self.millis(0, 400);
            self.faults.push((from, FleetFault::ClockStep(step)));
        }
    }
}

/// Plays a fleet whose callers send up to this many requests each.
fn run_fleet(seed: u64, max_requests: usize) -> PlayedFleet {
    let mut rng = ChaCha8Rng::seed_from_u64(570_000 + seed);
    let entries = rng.random_range(2..6);
    let agents = rng.random_range(3..8);
    let fleet_config = FleetConfig {
        entries,
        agents,
        entries_meet: true,
        longest_dial: ms(rng.random_range(0..150)),
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    // From about three quarters of the capacity to twice as much.
    let per_agent: u32 = rng.random_range(2..6);
    fleet.load(LOAD_FROM, LOAD_TO, per_agent * agents as u32);
    for caller in fleet.callers.values_mut() {
        caller.max_requests = max_requests;
        if caller.work_ms == 500 {
            caller.work_ms = LONG_WORK_MS;
            caller.reply_timeout = ms(9_000);
        }
    }
    let callers: Vec<(BatchId, Now)> = fleet.callers.iter().map(|(id, c)| (*id, c.sent)).collect();
    let mut plan = Plan {
        rng,
        faults: Faults::new(),
        entries,
        agents,
    };
    let mut at = plan.millis(1_000, 4_000);
    for _ in 0..plan.rng.random_range(1..4) {
        if plan.rng.random_bool(0.3) {
            // Right after a batch was accepted, or its starts were ordered.
            let (_, sent) = callers[plan.rng.random_range(0..callers.len())];
            if sent < ms(7_000) {
                at = at.max(sent + Duration::from_micros(plan.rng.random_range(0..4_000)));
            }
        }
        let targets = match plan.rng.random_range(0..4) {
            0 | 1 => Targets::RunOn,
            2 => Targets::StartAnew(plan.rng.random_bool(0.5)),
            _ => Targets::Mixed,
        };
        plan.disturb(at);
        let first_back = plan.lose_power(at, targets);
        for (id, sent) in &callers {
            if *sent <= at {
                fleet.add_disconnect(at + plan.millis(1, 50), *id);
            }
        }
        at = first_back + plan.millis(50, 1_500);
    }
    for (at, fault) in &plan.faults {
        fleet.inject(*at, *fault);
    }
    fleet.run_until(END);
    PlayedFleet {
        fleet,
        faults: plan.faults,
    }
}

// Guards against a task that runs twice at once after a loss of power: no process remembers a run that goes
// on at a target, and its caller returns to an entry that has just started.
#[test]
fn test_run_until_all_lose_power_keep_invariants() {
    let from = seed_from();
    let count = seed_count(40);
    for seed in from..from + count {
        let PlayedFleet { fleet, faults } = run_fleet(seed, 6);
        let violations = fleet.violations();
        assert!(
            violations.is_empty(),
            "seed {seed}: {violations:#?}, {faults:?}"
        );
        assert!(fleet.still_running().is_empty(), "seed {seed}");
    }
}

// Guards against a run that goes on after its agent's next life has reported it as over.
#[test]
fn test_run_until_all_lose_power_ends_are_reported_in_time() {
    let from = seed_from();
    let count = seed_count(40);
    for seed in from..from + count {
        let PlayedFleet { fleet, faults } = run_fleet(seed, 1);
        let too_soon = fleet.ends_reported_too_soon();
        assert!(
            too_soon.is_empty(),
            "seed {seed}: {too_soon:#?}, {faults:?}"
        );
    }
}

/// First seed, from the environment.
fn seed_from() -> u64 {
    let text = std::env::var("POWER_LOSS_FROM").unwrap_or_default();
    text.parse().unwrap_or(0)
}

/// Number of seeds, from the environment.
fn seed_count(usual: u64) -> u64 {
    let text = std::env::var("POWER_LOSS_SEEDS").unwrap_or_default();
    text.parse().unwrap_or(usual)
}
