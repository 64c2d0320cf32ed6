//! Batches that stay at one entry while agents and targets fail.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::run_fleet::{AGENTS, Caller, ENTRIES, FleetConfig, FleetFault, Node, RunFleet};
use testutils::run_target::{RunRecord, RunTarget};
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::BatchId;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

const SIZE: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};

fn fleet(seed: u64) -> RunFleet {
    let config = FleetConfig {
        entries_meet: true,
        ..FleetConfig::default()
    };
    RunFleet::with_config(seed, config, testutils::run_fleet::config())
}

fn explain(fleet: &RunFleet, violations: &[String]) -> String {
    let batch = violations[0].get(..16).unwrap_or_default();
    let about = |l: &&String| l.contains(batch) || l.contains("strike");
    let lines: Vec<&str> = fleet.log.iter().filter(about).map(String::as_str).collect();
    lines.join("\n")
}

fn assert_invariants(fleet: &RunFleet, scenario: &str) {
    let mut violations = fleet.violations();
    violations.extend(fleet.ends_reported_too_soon());
    assert!(
        violations.is_empty(),
        "{scenario}: {violations:#?}\n{}",
        explain(fleet, &violations)
    );
}

/// Long after the last answer of an idle target: its slow clock is far behind by then.
const IDLE_FOR: Now = ms(60_000);

/// One task that arrives when all targets have long been idle, and whose calls are delayed.
fn idle_fleet(seed: u64, longest_delay: Duration) -> RunFleet {
    let mut fleet = fleet(seed);
    fleet.reshape_targets(|_, target: RunTarget| target.with_clock_rate(0.98));
    let mut caller = Caller::new(IDLE_FOR, 1, 4_000, SIZE);
    caller.guess = Some(1.0);
    caller.max_requests = 1;
    caller.reply_timeout = ms(9_000);
    fleet.add_caller(seed, caller);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let from = IDLE_FOR + ms(rng.random_range(0..12));
    for target in 0..AGENTS {
        let fault = FleetFault::ScatteredOrders(target, longest_delay, ms(2_500));
        fleet.inject(from, fault);
    }
    fleet.run_until(IDLE_FOR + ms(15_000));
    fleet
}

// Guards against a task that runs twice at once: the agent assumes a target's clock by the last answer
// of an idle target, asks for a lease that lasts longer than it believes, and takes the run for over.
#[test]
fn test_run_until_lease_asked_by_an_old_clock_reading_ends_in_time() {
    for seed in 0..80 {
        let fleet = idle_fleet(seed, ms(4_000));
        assert_invariants(&fleet, &format!("seed {seed}"));
    }
}

const LOAD: u32 = 18;
const LOAD_FROM: Now = ms(500);
const LOAD_TO: Now = ms(9_000);
const END: Now = ms(24_000);

/// A fault of an agent or its target, or a step of the time of day.
fn fault_of(rng: &mut ChaCha8Rng, i: usize) -> FleetFault {
    let agent = Node::Agent(i);
    let up_to = |rng: &mut ChaCha8Rng, millis: u64| ms(rng.random_range(20..millis));
    match rng.random_range(0..14) {
        0 | 1 => FleetFault::Kill(agent),
        2 => FleetFault::PowerOffFor(agent, up_to(rng, 2_000)),
        3 => FleetFault::Freeze(agent, up_to(rng, 2_500)),
        4 => FleetFault::Freeze(agent, up_to(rng, 200)),
        5 => FleetFault::Suspend(agent, up_to(rng, 3_000)),
        6 => FleetFault::Cut(agent, up_to(rng, 3_000)),
        7 => FleetFault::Crash(i),
        8 => FleetFault::Restart(i),
        9 => FleetFault::Exit(i),
        10 => FleetFault::LateReports(i, ms(4_000)),
        11 => FleetFault::ScatteredAnswers(i, up_to(rng, 3_000)),
        12 => FleetFault::ClockStep(rng.random_range(-3_500..3_500)),
        _ => FleetFault::Reset(Node::Entry(rng.random_range(0..ENTRIES))),
    }
}

/// Late orders at every target, with bursts of faults at agents and targets.
fn troubled_fleet(seed: u64) -> RunFleet {
    let mut fleet = fleet(seed);
    fleet.reshape_targets(|_, target: RunTarget| {
        target.with_clock_rate(0.98).with_clock_start(3_000_000)
    });
    fleet.load(LOAD_FROM, LOAD_TO, LOAD);
    for caller in fleet.callers.values_mut() {
        caller.max_requests = 1;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for i in 0..AGENTS {
        let from = ms(rng.random_range(600..5_000));
        let longest = ms([400, 1_500, 5_000, 12_000][rng.random_range(0..4)]);
        let length = ms(rng.random_range(500..5_000));
        fleet.inject(from, FleetFault::ScatteredOrders(i, longest, length));
        let mut at = from + length.mul_f64(rng.random_range(-0.2_f64..1.0).max(0.0));
        for _ in 0..rng.random_range(1..6) {
            fleet.inject(at, fault_of(&mut rng, i));
            at += ms([30, 350, 700, 1_500][rng.random_range(0..4)]).mul_f64(rng.random());
        }
    }
    fleet.run_until(END);
    fleet
}

// Guards against a task that runs twice at once in one entry's custody: agents are killed in series,
// their clocks step, and targets are reborn, while starts, stops and renewals are carried out late.
#[test]
fn test_run_until_agents_and_targets_fail_while_orders_are_late() {
    for seed in 0..80 {
        let fleet = troubled_fleet(seed);
        assert_invariants(&fleet, &format!("seed {seed}"));
    }
}

// Guards against a task that runs again although it is done: an agent that is cut off acknowledges the
// end to its target, which forgets it, and is killed before it could tell the entry.
#[test]
fn test_run_until_end_seen_by_an_agent_that_is_lost_is_known_to_the_next() {
    const SENT: Now = ms(2_000);
    const WORK_MS: u64 = 500;
    const OTHERS: BatchId = 0x5c0e;
    for seed in 0..10 {
        let mut fleet = fleet(seed);
        let mut caller = Caller::new(SENT, 1, WORK_MS, SIZE);
        caller.guess = Some(1.0);
        caller.max_requests = 1;
        caller.reply_timeout = ms(9_000);
        fleet.add_caller(seed, caller);
        // Other runs go on, so that the agent has a call to make that acknowledges the end.
        let mut others = Caller::new(SENT - ms(100), 16, 5_000, SIZE);
        others.guess = Some(1.0);
        others.max_requests = 1;
        others.reply_timeout = ms(9_000);
        fleet.add_caller(OTHERS, others);
        fleet.run_until(SENT + ms(WORK_MS - 100));
        let is_run = |record: &RunRecord| record.key.task.batch == seed;
        let has_run = |target: &RunTarget| target.records.iter().any(is_run);
        let agent = fleet.targets().position(has_run).expect("the task runs");
        let agent = Node::Agent(agent);
        fleet.inject(SENT + ms(WORK_MS - 90), FleetFault::Cut(agent, ms(700)));
        fleet.inject(SENT + ms(WORK_MS + 200), FleetFault::Kill(agent));
        fleet.run_until(SENT + ms(15_000));
        let again = fleet.started_after_acknowledged_end();
        assert!(
            again.is_empty(),
            "seed {seed}: {again:#?}\n{:#?}",
            fleet.log
        );
    }
}
