//! Replays load patterns on a virtual clock and prints the outcomes of the batches.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use testutils::load_replay::{LoadPattern, ReplayResults};

fn command() -> Command {
    Command::new("replay")
        .about("Replay load patterns on a virtual clock")
        .arg(
            Arg::new("patterns")
                .required(true)
                .action(ArgAction::Append)
                .help("Files of load patterns"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Number of seeds, starting from 1"),
        )
        .arg(
            Arg::new("from-ms")
                .long("from-ms")
                .default_value("0")
                .value_parser(value_parser!(u64))
                .help("Count batches submitted from this time of the load, in milliseconds"),
        )
        .arg(
            Arg::new("to-ms")
                .long("to-ms")
                .value_parser(value_parser!(u64))
                .help("Count batches submitted before this time of the load, in milliseconds"),
        )
}

fn print(name: &str, seed: u64, results: &ReplayResults) {
    println!(
        "{name} seed {seed}: goodput {:.3} full {:.3} of {} orders, {} packets",
        results.goodput,
        results.share_full(),
        results.orders,
        results.packets
    );
    for (kind, traffic) in &results.traffic {
        println!(
            "  {kind:12} {:7} of {:9} bytes",
            traffic.count, traffic.bytes
        );
    }
    for (kind, k) in &results.kinds {
        println!(
            "  {kind:12} asked {:5} in time {:.3} late {:4} refused {:4} failed {:4} (given up {}) refused after {:3} ms",
            k.asked,
            k.share_in_time(),
            k.late,
            k.refused,
            k.failed,
            k.given_up,
            k.wait_to_refusal().as_millis()
        );
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let seeds: u64 = *matches.get_one("seeds").expect("has a default");
    let from: u64 = *matches.get_one("from-ms").expect("has a default");
    for name in matches.get_many::<String>("patterns").unwrap_or_default() {
        let text = match std::fs::read_to_string(name) {
            Ok(text) => text,
            Err(e) => {
                eprintln!("{name}: {e}");
                return ExitCode::FAILURE;
            }
        };
        let pattern = match LoadPattern::parse(name, &text) {
            Ok(pattern) => pattern,
            Err(e) => {
                eprintln!("{e}");
                return ExitCode::FAILURE;
            }
        };
        let until = matches.get_one("to-ms").copied();
        let until: u64 = until.unwrap_or(pattern.load_ms);
        let span = Duration::from_millis(from)..Duration::from_millis(until);
        for seed in 1..=seeds {
            print(name, seed, &pattern.figures(seed, span.clone()));
        }
    }
    ExitCode::SUCCESS
}
