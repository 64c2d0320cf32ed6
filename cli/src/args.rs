//! Definition of the command line.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, ValueHint, value_parser};
use clap_complete::Shell;

use crate::error::CliResult;

/// Builds the command line with all subcommands.
pub fn command() -> Command {
    Command::new("trestleknot")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Dispatcher for sub-second tasks")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .global(true)
                .default_value("text")
                .value_parser(PossibleValuesParser::new(["text", "json"]))
                .help("How log lines look"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .global(true)
                .value_parser(PossibleValuesParser::new([
                    "error", "warn", "info", "debug",
                ]))
                .help("Least severe log lines shown [default: info for daemons, error else]"),
        )
        .subcommands(daemon_commands())
        .subcommands(operator_commands())
        .subcommands(caller_commands())
        .subcommand(demo_command())
        .subcommand(completions_command())
}

fn daemon_commands() -> [Command; 5] {
    [
        Command::new("entry")
            .about("Run an entry, which serves callers")
            .arg(
                file_arg("settings", "Settings file, JSON with comments")
                    .long("settings")
                    .required(true),
            ),
        Command::new("agent")
            .about("Run an agent beside its target")
            .arg(
                file_arg("settings", "Settings file, JSON with comments")
                    .long("settings")
                    .required(true),
            ),
        Command::new("serve-entry")
            .about("Run an entry on the users' platform")
            .arg(platform_settings_arg()),
        Command::new("serve-agent")
            .about("Run an agent beside its target on the users' platform")
            .arg(platform_settings_arg()),
        Command::new("stand-ins")
            .about("Run stand-ins for the platform's log, VM list and targets, for trying out")
            .arg(
                Arg::new("base-port")
                    .long("base-port")
                    .default_value("7000")
                    .value_parser(value_parser!(u16).range(1024..60000))
                    .help("Log here, VM list on the next port, targets from there on"),
            )
            .arg(
                Arg::new("targets")
                    .long("targets")
                    .default_value("3")
                    .value_parser(value_parser!(u16).range(1..100))
                    .help("Number of targets"),
            )
            .arg(
                Arg::new("slots")
                    .long("slots")
                    .default_value("8")
                    .value_parser(value_parser!(u32).range(1..1000))
                    .help("Tasks that each target takes at a time"),
            ),
    ]
}

fn operator_commands() -> [Command; 7] {
    [
        Command::new("check")
            .about("Check a configuration or settings file without applying or starting anything")
            .arg(file_arg("file", "The file").required(true))
            .arg(
                Arg::new("kind")
                    .long("kind")
                    .default_value("config")
                    .value_parser(PossibleValuesParser::new([
                        "config",
                        "entry",
                        "agent",
                        "platform-entry",
                        "platform-agent",
                    ]))
                    .help("What the file is"),
            ),
        Command::new("apply")
            .about("Apply a whole configuration, replacing the one in force")
            .arg(file_arg("file", "Configuration file, JSON with comments").required(true))
            .arg(log_arg())
            .arg(
                Arg::new("author")
                    .long("author")
                    .default_value("operator")
                    .help("Who applies it, for the record"),
            )
            .arg(
                Arg::new("patience-ms")
                    .long("patience-ms")
                    .default_value("5000")
                    .value_parser(value_parser!(u64))
                    .help("How long to wait for the log to show the change"),
            ),
        Command::new("diff")
            .about("Show what applying a configuration would change")
            .arg(file_arg("file", "Configuration file, JSON with comments").required(true))
            .arg(log_arg()),
        Command::new("status")
            .about("Show entries, configuration versions in force and targets")
            .arg(operators_arg())
            .arg(json_arg()),
        Command::new("explain")
            .about("Show what happened to a recent job")
            .arg(
                Arg::new("job")
                    .required(true)
                    .help("Job id, as in its answer; with --logs a batch's or a request's id"),
            )
            .arg(logs_arg())
            .arg(
                operators_arg()
                    .required(false)
                    .required_unless_present("logs"),
            )
            .arg(json_arg()),
        Command::new("account")
            .about("Add up from log files where batches, orders and time went")
            .arg(logs_arg().required(true)),
        Command::new("hash-key")
            .about("Print the hash of a team's key, for the configuration")
            .arg(Arg::new("key").required(true).help("The key")),
    ]
}

fn logs_arg() -> Arg {
    Arg::new("logs")
        .long("logs")
        .value_name("DIR")
        .value_parser(value_parser!(PathBuf))
        .help("Read the log files of this folder, one a process, and ask nobody")
}

fn caller_commands() -> [Command; 3] {
    [
        Command::new("submit")
            .about("Submit a job and wait for its whole answer")
            .arg(
                file_arg("file", "Job file: {\"tasks\": [...], \"deadline_ms\": ...}")
                    .required(true),
            )
            .arg(entry_arg())
            .arg(key_arg())
            .arg(
                Arg::new("once")
                    .long("once")
                    .action(ArgAction::SetTrue)
                    .help("Run at most once, even if submitted again: takes a permit first"),
            )
            .arg(
                Arg::new("permit")
                    .long("permit")
                    .help("Permit of an earlier try of the same job, with --once"),
            ),
        Command::new("cancel")
            .about("Cancel a job")
            .arg(Arg::new("job").required(true).help("Job id"))
            .arg(entry_arg())
            .arg(key_arg()),
        Command::new("permits")
            .about("Get permits for jobs that must run at most once")
            .arg(
                Arg::new("count")
                    .long("count")
                    .default_value("1")
                    .value_parser(value_parser!(u32).range(1..=100))
                    .help("How many"),
            )
            .arg(entry_arg())
            .arg(key_arg()),
    ]
}

fn demo_command() -> Command {
    Command::new("demo")
        .about("Run the whole path on embedded stand-ins, with failures, and check the promises")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("20")
                .value_parser(value_parser!(u64).range(5..=50))
                .help("How long jobs are submitted"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load"),
        )
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Print shell completions")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("The shell"),
        )
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .value_hint(ValueHint::FilePath)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn platform_settings_arg() -> Arg {
    file_arg(
        "settings",
        "The platform's settings file [default: $TRESTLEKNOT_CONFIG]",
    )
    .long("settings")
}

fn log_arg() -> Arg {
    Arg::new("log-url")
        .long("log-url")
        .env("TRESTLEKNOT_LOG_URL")
        .required(true)
        .help("Base address of the platform's log, such as http://10.0.0.5:7000")
}

fn operators_arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .env("TRESTLEKNOT_OPERATOR_ADDRESSES")
        .required(true)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .help("Operators' addresses of entries, such as 10.0.0.7:7300")
}

fn entry_arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .env("TRESTLEKNOT_ENTRY")
        .required(true)
        .help("Address for callers of an entry or the balancer, such as 10.0.0.7:7100")
}

fn key_arg() -> Arg {
    Arg::new("key")
        .long("key")
        .env("TRESTLEKNOT_KEY")
        .hide_env_values(true)
        .required(true)
        .help("The team's key")
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON for programs")
}

/// Prints shell completions.
pub fn completions(args: &ArgMatches) -> CliResult<ExitCode> {
    let shell = *args.get_one::<Shell>("shell").expect("required");
    clap_complete::generate(shell, &mut command(), "trestleknot", &mut io::stdout());
    Ok(ExitCode::SUCCESS)
}
