//! Batches handed over between entries, under injected faults on a virtual clock.

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
const LOAD_FROM: Now = ms(1_000);
const LOAD_TO: Now = ms(8_000);
const END: Now = ms(24_000);
/// Longest time that work may go on after its cancellation while agents are cut off from the entry:
/// its lease, a stop and the time for both.
const CANCELLED_BOUND: Duration = ms(1_400);

/// A fleet whose first entry is starved and gets most batches.
fn fleet(seed: u64) -> RunFleet {
    let fleet_config = FleetConfig {
        entries_meet: true,
        first_entry_starved: true,
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    fleet.load(LOAD_FROM, LOAD_TO, LOAD);
    for (id, caller) in &mut fleet.callers {
        caller.entry = (id % 4 != 0).then_some(0);
    }
    fleet
}

fn count(fleet: &RunFleet, event: &str) -> usize {
    fleet.log.iter().filter(|l| l.contains(event)).count()
}

/// Log lines about the batch that the first violation names, and about injected faults.
fn explain(fleet: &RunFleet, violations: &[String]) -> String {
    let Some(batch) = violations[0].get(..16) else {
        return String::new();
    };
    let lines = fleet.log.iter();
    let about = lines.filter(|l| l.contains(batch) || l.contains("strike"));
    about.cloned().collect::<Vec<String>>().join("\n")
}

fn assert_invariants(fleet: &RunFleet, scenario: &str) {
    let violations = fleet.violations();
    assert!(
        violations.is_empty(),
        "{scenario}: {violations:#?}\n{}",
        explain(fleet, &violations)
    );
    let running = fleet.still_running();
    assert!(running.is_empty(), "{scenario}: still running: {running:?}");
}

fn simulate(seed: u64, faults: &[(Now, FleetFault)]) -> RunFleet {
    let mut fleet = fleet(seed);
    for (at, fault) in faults {
        fleet.inject(*at, *fault);
    }
    fleet.run_until(END);
    fleet
}

#[test]
fn test_run_until_starved_entry_hands_batches_over() {
    let fleet = simulate(1, &[]);
    assert_invariants(&fleet, "no faults");
    let served = fleet.served(LOAD_FROM, LOAD_TO);
    assert!(served > 0.995, "{served}");
    let handed = count(&fleet, " HandedOver ");
    assert!(handed > 40, "only {handed} were handed over");
    assert_eq!(count(&fleet, " TakenOver "), handed);
    assert_eq!(count(&fleet, " HandOverReleased "), 0);
}

fn random_entry(rng: &mut ChaCha8Rng) -> Node {
    Node::Entry(rng.random_range(0..ENTRIES))
}

fn random_node(rng: &mut ChaCha8Rng) -> Node {
    match rng.random_bool(0.7) {
        true => random_entry(rng),
        false => Node::Agent(rng.random_range(0..AGENTS)),
    }
}

/// A fault of one process or of the connection between two.
fn random_fault(rng: &mut ChaCha8Rng) -> FleetFault {
    let length = ms(rng.random_range(100..3_000));
    match rng.random_range(0..9) {
        0 => FleetFault::Kill(random_node(rng)),
        1 => FleetFault::PowerOff(random_node(rng)),
        2 => FleetFault::Freeze(random_node(rng), length),
        // Runs on a sleeping target outlast an entry that can't tell the others; see
        // docs/design/platform.md. Suspended agents have a test of their own.
        3 => FleetFault::Suspend(random_entry(rng), length),
        4 => FleetFault::Cut(random_node(rng), length),
        5 => FleetFault::Reset(random_node(rng)),
        6 => FleetFault::Drain(random_node(rng)),
        7 => FleetFault::LateOrders(rng.random_range(0..AGENTS), length),
        _ => {
            let (a, b) = (random_entry(rng), random_node(rng));
            FleetFault::CutBetween(a, b, length)
        }
    }
}

#[test]
fn test_run_until_random_faults_keep_invariants() {
    let mut handed = 0;
    let mut released = 0;
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(60_000 + seed);
        let count_of_faults = rng.random_range(2..9);
        let faults: Vec<(Now, FleetFault)> = (0..count_of_faults)
            .map(|_| (ms(rng.random_range(1_200..8_000)), random_fault(&mut rng)))
            .collect();
        let fleet = simulate(seed, &faults);
        assert_invariants(&fleet, &format!("seed {seed}, {faults:?}"));
        handed += count(&fleet, " HandedOver ");
        released += count(&fleet, " HandOverReleased ");
    }
    assert!(handed > 5_000, "only {handed} were handed over");
    assert!(released > 100, "only {released} were released");
}

#[test]
fn test_run_until_callers_return_after_faults_keeps_invariants() {
    // Connections of callers break before, during and after faults of the giver and a receiver.
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(61_000 + seed);
        let mut fleet = fleet(seed);
        let mut faults = Vec::new();
        for round in 0..4 {
            let at = 1_500 + 1_500 * round + rng.random_range(0..300);
            for _ in 0..rng.random_range(1..4) {
                let fault = random_fault(&mut rng);
                faults.push((ms(at + rng.random_range(0..900)), fault));
            }
        }
        for (at, fault) in &faults {
            fleet.inject(*at, *fault);
        }
        let sent: Vec<_> = fleet.callers.iter().map(|(id, c)| (*id, c.sent)).collect();
        for (id, at) in sent {
            if rng.random_bool(0.5) {
                fleet.add_disconnect(at + ms(rng.random_range(1..600)), id);
            }
        }
        fleet.run_until(END);
        assert_invariants(&fleet, &format!("seed {seed}, {faults:?}"));
    }
}

/// A fleet of four entries whose batches run for about as long as a caller waits.
fn fleet_with_long_batches(seed: u64) -> RunFleet {
    let fleet_config = FleetConfig {
        entries: 4,
        entries_meet: true,
        first_entry_starved: true,
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    fleet.load(LOAD_FROM, LOAD_TO, 8);
    for (id, caller) in &mut fleet.callers {
        caller.entry = (id % 4 != 0).then_some(0);
        caller.work_ms = 1_500 + id % 700;
        caller.tasks = 1 + (id % 2) as u32;
        caller.guess = Some(1.0);
    }
    fleet
}

#[test]
fn test_run_until_giver_and_receiver_fail_one_after_the_other_keeps_invariants() {
    // The receivers don't notice that the giver is gone, and lose power shortly before they would.
    // Their own leases outlast the callers' return.
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(62_000 + seed);
        let mut faults = Vec::new();
        for round in 0..2 {
            let at = 2_500 + 4_000 * round + rng.random_range(0..300);
            for receiver in 1..4 {
                let (giver, receiver) = (Node::Entry(0), Node::Entry(receiver));
                let cut = FleetFault::CutBetween(giver, receiver, ms(2_000));
                faults.push((ms(at), cut));
                if rng.random_bool(0.7) {
                    let off_at = ms(at + rng.random_range(500..800));
                    faults.push((off_at, FleetFault::PowerOffFor(receiver, ms(500))));
                }
            }
            faults.push((ms(at + 1), FleetFault::Kill(Node::Entry(0))));
        }
        let mut fleet = fleet_with_long_batches(seed);
        for (at, fault) in &faults {
            fleet.inject(*at, *fault);
        }
        fleet.run_until(END);
        assert_invariants(&fleet, &format!("seed {seed}, {faults:?}"));
    }
}

#[test]
fn test_run_until_late_offers_keep_invariants() {
    // Offers arrive seconds late, after the callers have gone to entries that the giver could not
    // tell that it is closing their batches.
    let mut late = 0;
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(65_000 + seed);
        let mut faults = Vec::new();
        for round in 0..2 {
            let at = 2_000 + 3_500 * round + rng.random_range(0..300);
            for other in 1..4 {
                let length = ms(rng.random_range(1_900..2_900));
                let cut = FleetFault::CutBetween(Node::Entry(0), Node::Entry(other), length);
                faults.push((ms(at), cut));
            }
            // Agents forget what was released.
            for agent in 0..AGENTS {
                if rng.random_bool(0.5) {
                    let kill_at = ms(at + rng.random_range(700..1_900));
                    faults.push((kill_at, FleetFault::Kill(Node::Agent(agent))));
                }
            }
        }
        let mut fleet = fleet_with_long_batches(seed);
        for (at, fault) in &faults {
            fleet.inject(*at, *fault);
        }
        fleet.run_until(END);
        assert_invariants(&fleet, &format!("seed {seed}, {faults:?}"));
        late += count(&fleet, "why=Declined(Late)");
    }
    assert!(late > 100, "only {late} offers were late");
}

#[test]
fn test_run_until_targets_sleep_while_callers_return_keeps_invariants() {
    // The runs of a sleeping target are over only when it has woken up. The giver ends its batches
    // meanwhile, and the callers come back at any entry.
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(64_000 + seed);
        let mut fleet = fleet(seed);
        for _ in 0..rng.random_range(1..4) {
            let agent = Node::Agent(rng.random_range(0..AGENTS));
            let length = ms(rng.random_range(200..5_000));
            let at = ms(rng.random_range(1_200..8_000));
            fleet.inject(at, FleetFault::Suspend(agent, length));
        }
        let sent: Vec<_> = fleet.callers.iter().map(|(id, c)| (*id, c.sent)).collect();
        for (id, at) in sent {
            if rng.random_bool(0.5) {
                fleet.add_disconnect(at + ms(rng.random_range(1..600)), id);
            }
        }
        fleet.run_until(END);
        assert_invariants(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn test_run_until_cancelled_batches_stop() {
    let mut cancelled = 0;
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(63_000 + seed);
        let mut fleet = fleet(seed);
        let sent: Vec<_> = fleet.callers.iter().map(|(id, c)| (*id, c.sent)).collect();
        for (id, at) in sent {
            if rng.random_bool(0.5) {
                fleet.add_cancel(at + ms(rng.random_range(1..400)), id);
            }
        }
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(0..4) {
            let length = ms(rng.random_range(100..2_000));
            let fault = match rng.random_range(0..3) {
                0 => FleetFault::Kill(random_node(&mut rng)),
                1 => FleetFault::PowerOff(random_node(&mut rng)),
                _ => {
                    let (a, b) = (random_entry(&mut rng), random_node(&mut rng));
                    FleetFault::CutBetween(a, b, length)
                }
            };
            faults.push((ms(rng.random_range(1_200..8_000)), fault));
        }
        for (at, fault) in &faults {
            fleet.inject(*at, *fault);
        }
        fleet.run_until(END);
        let scenario = format!("seed {seed}, {faults:?}");
        assert_invariants(&fleet, &scenario);
        let unasked = fleet.unasked(CANCELLED_BOUND);
        assert!(unasked.is_empty(), "{scenario}: {unasked:#?}");
        cancelled += fleet
            .callers
            .values()
            .filter(|c| c.cancelled.is_some())
            .count();
    }
    assert!(cancelled > 1_000, "only {cancelled} were cancelled");
}
