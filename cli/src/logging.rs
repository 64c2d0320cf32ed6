//! Sets up logging: standard error for commands, standard output for the platform's daemons.

use std::io;

use clap::ArgMatches;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use trestleknot_lib::log_writer::LogWriter;

/// Log target of this project's events. Other targets are only logged from `error` or `warn` on.
const LOG_TARGET: &str = "trestleknot";

/// Starts logging as the command line requests. Daemons log at `info` by default, commands at
/// `error`.
pub fn start(matches: &ArgMatches) {
    let Some((name, args)) = matches.subcommand() else {
        return;
    };
    let is_daemon = matches!(name, "entry" | "agent" | "stand-ins");
    let default = if is_daemon { "info" } else { "error" };
    let level = args.get_one::<String>("log-level");
    let level = level.map_or(default, String::as_str);
    let spec = format!("error,{LOG_TARGET}={level}");
    let filter = RustLogFilterBuilder::from_spec(spec).build();
    let builder = logforth::starter_log::stderr().filter(filter);
    let as_json = args
        .get_one::<String>("log-format")
        .is_some_and(|f| f == "json");
    let builder = if as_json {
        builder.layout(JsonLayout::default())
    } else {
        builder.layout(TextLayout::default())
    };
    builder.apply();
}

/// Starts logging for a daemon on the platform. A background thread writes lines of bounded length
/// to standard output.
pub fn start_platform_logging() -> io::Result<LogWriter> {
    let log = LogWriter::start()?;
    let filter = RustLogFilterBuilder::from_spec(format!("warn,{LOG_TARGET}=info")).build();
    let append = log.clone();
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(append))
        .apply();
    Ok(log)
}
