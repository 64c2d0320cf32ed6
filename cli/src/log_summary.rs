//! `account`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use trestleknot_lib::log_summary::{LogSummary, Samples};

use crate::error::CliResult;
use crate::log_files::read_logs;

/// Adds up the logs of a folder.
pub fn account(args: &ArgMatches) -> CliResult<ExitCode> {
    let folder = args.get_one::<PathBuf>("logs").expect("clap demands it");
    let account = LogSummary::of(&read_logs(folder)?);
    anstream::println!("{}", queues(&account));
    for (reason, batches) in &account.refused_on_arrival {
        anstream::println!("refused on arrival, {reason}: {batches}");
    }
    anstream::println!("tasks sent to targets: {}", account.tasks_sent);
    for (reason, tasks) in &account.not_started {
        anstream::println!("  of these not started, {reason}: {tasks}");
    }
    anstream::println!("slow runs moved: {}", account.moved);
    anstream::println!("waited before an order: {}", quantiles(&account.waited));
    anstream::println!("age of what was known: {}", quantiles(&account.known_for));
    if account.dropped_lines > 0 {
        let lines = account.dropped_lines;
        anstream::println!("{lines} lines were dropped: the figures above are too low");
    }
    Ok(ExitCode::SUCCESS)
}

fn quantiles(spread: &Samples) -> String {
    let [half, most, nearly_all] = [0.5, 0.9, 0.99].map(|share| spread.quantile(share));
    format!("half within {half} ms, nine of ten within {most} ms, 99 of 100 within {nearly_all} ms")
}

fn queues(account: &LogSummary) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY);
    let head = ["queue", "admitted", "in time", "late", "refused", "failed"];
    table.set_header(head);
    for (name, queue) in &account.queues {
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
