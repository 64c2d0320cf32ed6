//! Connections that go silent for good while new ones work, paths that lose packets or work one way
//! only, beside other faults.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use testutils::run_fleet::{
    AGENTS, Caller, ENTRIES, FleetConfig, FleetFault, Node, RunFleet, Silence,
};
use testutils::run_target::RunTarget;
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;
use trestleknot_lib::run::BatchId;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// Batches a second: about half of the fleet's capacity.
const LOAD: u32 = 18;
const LOAD_FROM: Now = ms(1_000);
const LOAD_TO: Now = ms(8_000);
const END: Now = ms(26_000);
/// Work of some batches; longer than any lease.
const LONG_WORK_MS: u64 = 2_500;

fn random_entry(rng: &mut ChaCha8Rng) -> Node {
    Node::Entry(rng.random_range(0..ENTRIES))
}

fn random_node(rng: &mut ChaCha8Rng) -> Node {
    match rng.random_bool(0.5) {
        true => random_entry(rng),
        false => Node::Agent(rng.random_range(0..AGENTS)),
    }
}

fn random_silence(rng: &mut ChaCha8Rng) -> Silence {
    match rng.random_range(0..3) {
        0 => Silence::BothWays,
        1 => Silence::ToEntry,
        _ => Silence::FromEntry,
    }
}

/// A fault of connections that stay open.
fn random_path_fault(rng: &mut ChaCha8Rng) -> FleetFault {
    let silence = random_silence(rng);
    let length = ms(rng.random_range(300..4_000));
    let (entry, node) = (random_entry(rng), random_node(rng));
    match rng.random_range(0..6) {
        0 => FleetFault::SilenceBetween(entry, node, silence),
        1 => FleetFault::SilenceLinks(node, 100, silence),
        2 => FleetFault::SilenceLinks(entry, rng.random_range(20..90), silence),
        3 => FleetFault::SilenceAll(silence),
        4 => match rng.random_bool(0.5) {
            true => FleetFault::CutOneWay(entry, node, length),
            false => FleetFault::CutOneWay(node, entry, length),
        },
        _ => FleetFault::Lossy(node, rng.random_range(5..60), length),
    }
}

/// A fault of a process or a target.
fn random_process_fault(rng: &mut ChaCha8Rng) -> FleetFault {
    let length = ms(rng.random_range(100..3_000));
    let node = random_node(rng);
    match rng.random_range(0..8) {
        0 => FleetFault::Kill(node),
        1 => FleetFault::PowerOffFor(node, length),
        2 => FleetFault::Freeze(node, length),
        3 => FleetFault::Freeze(random_entry(rng), length),
        4 => FleetFault::Reset(node),
        5 => FleetFault::Cut(node, length),
        6 => FleetFault::LateOrders(rng.random_range(0..AGENTS), length),
        _ => FleetFault::LateStops(rng.random_range(0..AGENTS), length),
    }
}

/// Plays faults of both kinds while callers' connections break, and checks the invariants.
fn simulate(seed: u64, hands_over: bool) -> RunFleet {
    let mut rng = ChaCha8Rng::seed_from_u64(80_000 + seed);
    let fleet_config = FleetConfig {
        entries_meet: true,
        first_entry_starved: hands_over,
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(seed, fleet_config, testutils::run_fleet::config());
    fleet.load(LOAD_FROM, LOAD_TO, LOAD);
    for (id, caller) in &mut fleet.callers {
        caller.entry = (hands_over && id % 4 != 0).then_some(0);
        if id % 5 == 0 {
            caller.work_ms = LONG_WORK_MS;
            caller.tasks = 1;
            caller.reply_timeout = ms(6_000);
        }
    }
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(1..5) {
        let at = ms(rng.random_range(1_200..8_000));
        faults.push((at, random_path_fault(&mut rng)));
        if rng.random_bool(0.6) {
            let near = at + ms(rng.random_range(0..1_600));
            faults.push((near.saturating_sub(ms(400)), random_process_fault(&mut rng)));
        }
    }
    for (at, fault) in &faults {
        fleet.inject(*at, *fault);
    }
    let ids: Vec<BatchId> = fleet.callers.keys().copied().collect();
    for id in ids {
        if rng.random_bool(0.3) {
            let (at, _) = faults[rng.random_range(0..faults.len())];
            fleet.add_disconnect(at + ms(rng.random_range(0..1_200)), id);
        }
    }
    fleet.run_until(END);
    let violations = fleet.violations();
    let batch = violations.first().and_then(|v| v.get(..16)).unwrap_or("-");
    let lines = fleet.log.iter();
    let about = lines.filter(|l| l.contains(batch) || l.contains("strike"));
    let about: Vec<&String> = about.collect();
    assert!(
        violations.is_empty(),
        "seed {seed}, {faults:?}: {violations:#?}\n{about:#?}"
    );
    let running = fleet.still_running();
    assert!(
        running.is_empty(),
        "seed {seed}: still running: {running:?}"
    );
    fleet
}

/// Checks that the faults have an effect: processes find out that links are silent.
fn assert_links_time_out(fleets: impl Iterator<Item = RunFleet>) {
    let is_loss = |l: &&String| l.contains(" AgentLost ") || l.contains(" PeerLost ");
    let lost: usize = fleets.map(|f| f.log.iter().filter(is_loss).count()).sum();
    assert!(lost > 2_000, "only {lost} links were lost");
}

// Guards against tasks that run twice at once, or runs that nobody ends, when connections go silent
// beside faults of processes and targets.
#[test]
fn test_run_until_silent_connections_keep_invariants() {
    let fleets = (0..300).map(|seed| simulate(seed, false));
    assert_links_time_out(fleets);
}

// Guards against the same for batches that are handed over.
#[test]
fn test_run_until_silent_connections_of_givers_keep_invariants() {
    let fleets = (0..300).map(|seed| simulate(seed, true));
    assert_links_time_out(fleets);
}

const BATCH: BatchId = 0x51e7;
/// When the first entry is lost and its caller's connection breaks.
const LOST_AT: Now = ms(2_500);

/// The first of three entries is lost while it runs a long task, whose stops are lost. The third one,
/// to which the caller returns, hears nothing on its old connections. The second one hears of the run.
fn lose_entry_beside_silent_links(agent_fault: Option<(Duration, Duration)>) -> RunFleet {
    let size = Resources {
        cpu_millis: 2_000,
        memory_mib: 64,
        accelerators: 0,
    };
    let fleet_config = FleetConfig {
        capacity: size,
        entries_meet: true,
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(1, fleet_config, testutils::run_fleet::config());
    let mut caller = Caller::new(LOST_AT - ms(500), 1, 4_000, size);
    caller.guess = Some(1.0);
    caller.reply_timeout = ms(9_000);
    caller.entry = Some(0);
    fleet.add_caller(BATCH, caller);
    fleet.run_until(LOST_AT - ms(200));
    let has_run = |target: &RunTarget| target.running() > 0;
    let agent = fleet.targets().position(has_run).expect("the task runs");
    fleet.callers.get_mut(&BATCH).expect("was added").entry = Some(2);
    fleet.add_disconnect(LOST_AT, BATCH);
    let third = Node::Entry(2);
    let faults = [
        FleetFault::LateStops(agent, ms(3_000)),
        FleetFault::SilenceLinks(third, 100, Silence::BothWays),
    ];
    for fault in faults {
        fleet.inject(LOST_AT - ms(100), fault);
    }
    fleet.inject(LOST_AT, FleetFault::PowerOffFor(Node::Entry(0), ms(3_000)));
    if let Some((after, length)) = agent_fault {
        fleet.inject(
            LOST_AT + after,
            FleetFault::Freeze(Node::Agent(agent), length),
        );
    }
    fleet.run_until(ms(20_000));
    fleet
}

// Guards against a task that runs twice at once: one entry confirms that it knows of the run, which
// lengthens the run's lease, but it can't tell the entry to which the caller returns.
#[test]
fn test_run_until_confirming_entry_cannot_pass_notices_on() {
    let freezes = (600..1_300).step_by(50).map(|at| Some((ms(at), ms(3_000))));
    let overlaps: Vec<String> = std::iter::once(None)
        .chain(freezes)
        .flat_map(|agent_fault| lose_entry_beside_silent_links(agent_fault).violations())
        .collect();
    assert!(overlaps.is_empty(), "{overlaps:#?}");
}
