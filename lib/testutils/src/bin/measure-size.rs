//! Prints the control traffic of an entry at several fleet sizes: packets and bytes by kind, counted
//! in the virtual fleet while it is idle and during configuration changes.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use testutils::run_fleet::{FleetConfig, RunFleet, Traffic};
use trestleknot_lib::ids::Now;
use trestleknot_lib::queue::{Queue, QueueTable};

/// Fleet sizes: numbers of entries and agents.
const SIZES: [(usize, usize); 4] = [(13, 56), (55, 240), (184, 800), (368, 1_600)];
/// Number of queues in a configuration.
const QUEUES: usize = 255;
/// Time by which all processes are connected.
const CONNECTED_BY: Now = Duration::from_secs(8);
/// Length of each phase.
const PHASE: Duration = Duration::from_secs(2);
/// Link rate, high enough to delay no packet.
const LINK_MBPS: f64 = 1_000_000.0;

type Counts = BTreeMap<&'static str, Traffic>;

fn table(version: u64) -> Arc<QueueTable> {
    let mut table = testutils::run_fleet::config();
    let queue = table.queues[0].clone();
    table.version = version;
    table.queues = (0..QUEUES)
        .map(|index| {
            Arc::new(Queue {
                name: format!("queue-{index}").into(),
                path_prefix: format!("/queue-{index}/"),
                ..(*queue).clone()
            })
        })
        .collect();
    Arc::new(table)
}

fn difference(after: &Counts, before: &Counts) -> Counts {
    let subtract = |(kind, traffic): (&&'static str, &Traffic)| {
        let earlier = before.get(kind).copied().unwrap_or_default();
        let traffic = Traffic {
            count: traffic.count - earlier.count,
            bytes: traffic.bytes - earlier.bytes,
        };
        (*kind, traffic)
    };
    after.iter().map(subtract).collect()
}

fn print(phase: &str, entries: usize, counts: &Counts) {
    let entries = entries as f64;
    let mut packets = 0.0;
    let mut bytes = 0.0;
    for (kind, traffic) in counts {
        let (count, size) = (
            traffic.count as f64 / entries,
            traffic.bytes as f64 / entries,
        );
        packets += count;
        bytes += size;
        if count > 0.05 {
            println!("  {phase} | {kind} | {count:.1} packets | {size:.0} bytes");
        }
    }
    println!("  {phase} | all | {packets:.1} packets | {bytes:.0} bytes an entry in 2 s");
}

fn measure_phase(fleet: &mut RunFleet, name: &str, entries: usize) {
    let before = fleet.traffic.by_kind.clone();
    let until = fleet.now() + PHASE;
    fleet.run_until(until);
    print(name, entries, &difference(&fleet.traffic.by_kind, &before));
}

fn measure(entries: usize, agents: usize) {
    println!("{entries} entries, {agents} agents");
    let config = FleetConfig {
        entries,
        agents,
        halls: 5,
        entries_meet: true,
        entry_link_mbps: Some(LINK_MBPS),
        seeds: Some(3),
        ..FleetConfig::default()
    };
    let mut fleet = RunFleet::with_config(1, config, testutils::run_fleet::config());
    fleet.keeps_log = false;
    fleet.run_until(CONNECTED_BY);
    print("start, 8 s", entries, &fleet.traffic.by_kind.clone());
    measure_phase(&mut fleet, "idle", entries);
    fleet.configure(fleet.now(), &table(2), 0..entries);
    measure_phase(&mut fleet, "change, all hear", entries);
    fleet.configure(fleet.now(), &table(3), entries / 3..entries);
    measure_phase(&mut fleet, "change, a third does not", entries);
    let behind = fleet.config_versions().iter().filter(|v| **v < 3).count();
    println!("  behind 2 s later: {behind}");
}

fn main() -> ExitCode {
    for (entries, agents) in SIZES {
        measure(entries, agents);
    }
    ExitCode::SUCCESS
}
