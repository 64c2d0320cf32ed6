//! Measures scenarios under several placement modes, with the real daemons on loopback sockets.

use std::process::ExitCode;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use testutils::scenario::{self, Outcome, SCENARIOS, Scenario};
use trestleknot_lib::placement::PlacementMode;

const PLACEMENTS: [PlacementMode; 4] = [
    PlacementMode::LeastLoaded,
    PlacementMode::LateBinding,
    PlacementMode::SlotGrants,
    PlacementMode::SlotGrantsAhead,
];

fn command() -> Command {
    Command::new("measure")
        .about("Measure scenarios under placement modes, each with the same load")
        .arg(
            Arg::new("scenario")
                .required(true)
                .num_args(1..)
                .value_parser(PossibleValuesParser::new(SCENARIOS.map(|s| s.name)))
                .help("Scenarios to measure"),
        )
        .arg(
            Arg::new("placement")
                .long("placement")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PlacementMode))
                .help("Placement mode; can be repeated [default: all]"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("12")
                .value_parser(value_parser!(u64).range(2..=120))
                .help("Time in seconds for which jobs are submitted"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON, one outcome per line"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let names = matches.get_many::<String>("scenario").expect("required");
    let mut all_held = true;
    for name in names {
        let scenario = SCENARIOS.iter().find(|s| s.name == name);
        let scenario = scenario.expect("clap knows the names");
        all_held &= measure(scenario, &matches);
    }
    if all_held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Measures a scenario under the requested placement modes. False if a guarantee was violated.
fn measure(scenario: &Scenario, matches: &ArgMatches) -> bool {
    let given = matches.get_many::<PlacementMode>("placement");
    let placements: Vec<PlacementMode> = match given {
        Some(given) => given.copied().collect(),
        None => PLACEMENTS.to_vec(),
    };
    let seed = *matches.get_one::<u64>("seed").expect("has a default");
    let seconds = *matches.get_one::<u64>("seconds").expect("has a default");
    let as_json = matches.get_flag("json");
    let mut all_held = true;
    for placement in placements {
        let length = Duration::from_secs(seconds);
        match scenario::run(scenario, placement, length, seed) {
            Ok(outcome) => {
                all_held &= guarantees_held(&outcome);
                print(scenario.name, &outcome, as_json);
            }
            Err(e) => {
                eprintln!("error: {}: {e}", scenario.name);
                all_held = false;
            }
        }
    }
    all_held
}

fn guarantees_held(outcome: &Outcome) -> bool {
    let s = &outcome.summary;
    s.started_twice == 0 && s.wrong == 0 && outcome.false_refusals == 0
}

fn print(name: &str, outcome: &Outcome, as_json: bool) {
    if as_json {
        let line = serde_json::json!({ "scenario": name, "outcome": outcome });
        println!("{line}");
        return;
    }
    let s = &outcome.summary;
    println!(
        "{name:<18} {:<12} lag p50 {:.2} p90 {:.2} p99 {:.2} max {:.2} (central {:.2} {:.2} {:.2}, overhead {:.1} ms) | waste {:.2}% of {} | \
         complete {} failed {} refused {} cut {} gave up {} late {} | goodput {:.1} slots, \
         refusal {:.1} ms | twice {} wrong {} false {}",
        outcome.placement.to_string(),
        s.lag.p50,
        s.lag.p90,
        s.lag.p99,
        s.lag.max,
        outcome.central.p50,
        outcome.central.p90,
        outcome.central.p99,
        outcome.overhead_ms,
        outcome.waste * 100.0,
        outcome.counters.task_messages(),
        s.complete,
        s.failed,
        s.refused,
        s.nothing,
        s.gave_up,
        s.late,
        outcome.goodput_slots,
        outcome.refusal_ms,
        s.started_twice,
        s.wrong,
        outcome.false_refusals,
    );
}
