//! The command `account`, which summarizes log files.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use trestleknot_lib::log_summary::{LogSummary, Samples};
use trestleknot_lib::restart_gaps::restart_gaps;

use crate::error::CliResult;
use crate::log_files::read_logs;

/// Prints a summary of the log files of a folder.
pub fn account(args: &ArgMatches) -> CliResult<ExitCode> {
    let folder = args.get_one::<PathBuf>("logs").expect("clap requires it");
    let logs = read_logs(folder)?;
    let summary = LogSummary::of(&logs);
    anstream::println!("{}", queue_table(&summary));
    for (reason, batches) in &summary.refused_on_arrival {
        anstream::println!("refused on arrival, {reason}: {batches}");
    }
    anstream::println!("tasks sent to targets: {}", summary.tasks_sent);
    for (reason, tasks) in &summary.not_started {
        anstream::println!("  of these not started, {reason}: {tasks}");
    }
    anstream::println!("slow runs moved: {}", summary.moved);
    anstream::println!("waited before an order: {}", quantiles(&summary.waited));
    anstream::println!(
        "age of what was known: {}",
        quantiles(&summary.load_report_age)
    );
    for (cause, gaps) in restart_gaps(&logs) {
        let attempt = if cause.is_resubmitted {
            "submitted again"
        } else {
            "same attempt"
        };
        anstream::println!(
            "restarts after {}, {attempt}: {}, {:.0} ms after the end or later ({})",
            cause.end,
            gaps.pairs,
            gaps.shortest * 1e3,
            gaps.run
        );
    }
    if summary.dropped_lines > 0 {
        let lines = summary.dropped_lines;
        anstream::println!("{lines} lines were dropped: the figures above are too low");
    }
    Ok(ExitCode::SUCCESS)
}

fn quantiles(samples: &Samples) -> String {
    let [p50, p90, p99] = [0.5, 0.9, 0.99].map(|fraction| samples.quantile(fraction));
    format!("half within {p50} ms, nine of ten within {p90} ms, 99 of 100 within {p99} ms")
}

fn queue_table(summary: &LogSummary) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY);
    let header = ["queue", "admitted", "in time", "late", "refused", "failed"];
    table.set_header(header);
    for (name, queue) in &summary.queues {
        table.add_row([
            name.clone(),
            queue.admitted.to_string(),
            queue.in_time.to_string(),
            queue.late.to_string(),
            queue.refused.to_string(),
            queue.failed.to_string(),
        ]);
    }
    table
}
