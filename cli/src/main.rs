//! The command line of trestleknot. The scheduling logic is in the library.

mod args;
mod client;
mod daemons;
mod demo;
mod error;
mod fleet_status;
mod log_files;
mod log_summary;
mod logging;
mod operators;
mod platform_daemons;
mod settings_watch;
mod submit;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::error::CliResult;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    if !matches!(
        matches.subcommand_name(),
        Some("serve-entry" | "serve-agent")
    ) {
        logging::start(&matches);
    }
    match run(&matches) {
        Ok(code) => code,
        Err(e) => {
            anstream::eprintln!("error: {e}");
            e.exit_code()
        }
    }
}

fn run(matches: &ArgMatches) -> CliResult<ExitCode> {
    match matches.subcommand() {
        Some(("entry", args)) => daemons::entry(args),
        Some(("agent", args)) => daemons::agent(args),
        Some(("serve-entry", args)) => platform_daemons::entry(args),
        Some(("serve-agent", args)) => platform_daemons::agent(args),
        Some(("stand-ins", args)) => daemons::stand_ins(args),
        Some(("check", args)) => operators::check(args),
        Some(("apply", args)) => operators::apply(args),
        Some(("diff", args)) => operators::diff(args),
        Some(("status", args)) => fleet_status::status(args),
        Some(("explain", args)) => fleet_status::explain(args),
        Some(("account", args)) => log_summary::account(args),
        Some(("submit", args)) => submit::submit(args),
        Some(("cancel", args)) => submit::cancel(args),
        Some(("permits", args)) => submit::permits(args),
        Some(("hash-key", args)) => operators::hash_key(args),
        Some(("demo", args)) => demo::run(args),
        Some(("completions", args)) => args::completions(args),
        _ => unreachable!("clap requires a known subcommand"),
    }
}
