//! The commands `status` and `explain`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::ArgMatches;
use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use trestleknot_lib::job_history::{JobTimeline, Step, StepKind};
use trestleknot_lib::request_timeline::RequestTimeline;
use trestleknot_lib::status::{EntryStatus, TargetState, TargetStatus};

use crate::client::{block_on, get_json, new_client, no_answer};
use crate::error::CliResult;
use crate::log_files::read_logs;

fn addresses(args: &ArgMatches) -> Vec<String> {
    let entries = args.get_many::<String>("entry");
    entries.expect("clap requires it").cloned().collect()
}

/// Status of an entry, or the error of the request for it.
struct EntryReport {
    address: String,
    status: CliResult<EntryStatus>,
}

/// Prints the status of the fleet. Fails if an entry does not answer or its configuration is not
/// current.
pub fn status(args: &ArgMatches) -> CliResult<ExitCode> {
    let reports = request_statuses(addresses(args));
    let all_current = reports.iter().all(|r| is_current(&r.status));
    if args.get_flag("json") {
        print_json(&reports);
    } else {
        anstream::println!("{}", entry_table(&reports));
        anstream::println!("{}", target_table(&reports));
    }
    Ok(if all_current {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn is_current(status: &CliResult<EntryStatus>) -> bool {
    status.as_ref().is_ok_and(|s| s.config_current)
}

fn request_statuses(addresses: Vec<String>) -> Vec<EntryReport> {
    block_on(async move {
        let client = new_client().await;
        let mut reports = Vec::new();
        for address in addresses {
            let status = get_json(&client, &format!("http://{address}/status")).await;
            reports.push(EntryReport { address, status });
        }
        reports
    })
}

fn print_json(reports: &[EntryReport]) {
    let entries: Vec<serde_json::Value> = reports
        .iter()
        .map(|report| match &report.status {
            Ok(status) => serde_json::json!({ "address": report.address, "status": status }),
            Err(e) => serde_json::json!({ "address": report.address, "error": e.to_string() }),
        })
        .collect();
    let text = serde_json::to_string_pretty(&entries).expect("a status always serializes");
    anstream::println!("{text}");
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY);
    table.set_header(header.to_vec());
    table
}

fn entry_table(reports: &[EntryReport]) -> Table {
    let mut table = new_table(&[
        "entry",
        "state",
        "config",
        "placement",
        "jobs",
        "waiting",
        "complete",
        "failed",
        "refused",
        "peers",
    ]);
    for report in reports {
        match &report.status {
            Ok(s) => {
                table.add_row(entry_row(s));
            }
            Err(e) => {
                table.add_row(vec![report.address.clone(), e.to_string()]);
            }
        }
    }
    table
}

fn entry_row(s: &EntryStatus) -> Vec<String> {
    let state = match (s.draining, s.config_current) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "configuration behind",
    };
    vec![
        s.name.to_string(),
        state.to_owned(),
        s.config.version.to_string(),
        s.placement.to_string(),
        s.jobs.to_string(),
        s.waiting_tasks.to_string(),
        s.counters.complete.to_string(),
        s.counters.failed.to_string(),
        s.counters.refused.to_string(),
        s.peers.len().to_string(),
    ]
}

/// Builds the table of targets from the first entry that answered. The running tasks are summed
/// over all entries.
fn target_table(reports: &[EntryReport]) -> Table {
    let mut table = new_table(&["target", "hall", "state", "slots", "running", "slowness"]);
    let statuses: Vec<&EntryStatus> = reports
        .iter()
        .filter_map(|r| r.status.as_ref().ok())
        .collect();
    let Some(first) = statuses.first() else {
        return table;
    };
    for target in &first.targets {
        let of_all_entries = statuses.iter().flat_map(|s| &s.targets);
        let running: u32 = of_all_entries
            .filter(|t| t.name == target.name)
            .map(|t| t.in_flight)
            .sum();
        table.add_row(target_row(target, running));
    }
    table
}

fn target_row(target: &TargetStatus, running: u32) -> Vec<String> {
    vec![
        target.name.to_string(),
        target.hall.to_string(),
        state_name(target.state).to_owned(),
        target.slots.to_string(),
        running.to_string(),
        format!("{:.2}", target.slowness),
    ]
}

fn state_name(state: TargetState) -> &'static str {
    match state {
        TargetState::Live => "live",
        TargetState::Leaving => "leaving",
        TargetState::SetAside => "set aside",
        TargetState::Unreachable => "unreachable",
    }
}

/// Prints the timeline of a job. Asks the entries in order until one knows the job.
pub fn explain(args: &ArgMatches) -> CliResult<ExitCode> {
    let job = args
        .get_one::<String>("job")
        .expect("clap requires it")
        .clone();
    if let Some(folder) = args.get_one::<PathBuf>("logs") {
        return explain_from_logs(folder, &job);
    }
    let entries = addresses(args);
    let timeline = block_on(async move {
        let client = new_client().await;
        let mut result = no_answer(&job, "no entry was asked".to_owned());
        for address in entries {
            result =
                get_json::<JobTimeline>(&client, &format!("http://{address}/explain/{job}")).await;
            if result.is_ok() {
                break;
            }
        }
        result
    })?;
    if args.get_flag("json") {
        let text = serde_json::to_string_pretty(&timeline).expect("a timeline always serializes");
        anstream::println!("{text}");
    } else {
        print_timeline(&timeline);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_timeline(timeline: &JobTimeline) {
    anstream::println!("team {}", timeline.team);
    for step in &timeline.steps {
        anstream::println!("{}", format_step(step));
    }
    if timeline.left_out > 0 {
        anstream::println!("({} more steps)", timeline.left_out);
    }
}

fn format_step(step: &Step) -> String {
    let what = match &step.what {
        StepKind::Admitted { tasks, estimate_ms } => {
            format!("admitted with {tasks} tasks, expected to take {estimate_ms} ms")
        }
        StepKind::PermitGranted => "permit granted".to_owned(),
        StepKind::Dispatched { task, target } => format!("task {task} handed to {target}"),
        StepKind::NotStarted {
            task,
            target,
            reason,
        } => format!("task {task} not started by {target}: {reason}"),
        StepKind::Ended {
            task,
            target,
            outcome,
        } => format!("task {task} on {target} {outcome}"),
        StepKind::Answered { status } => format!("answered {status}"),
    };
    format!("{:>7} ms  {what}", step.at_ms)
}

/// Prints the timeline of a request from the log files of a folder.
fn explain_from_logs(folder: &Path, id: &str) -> CliResult<ExitCode> {
    let timeline = RequestTimeline::of(id, &read_logs(folder)?);
    for line in &timeline.lines {
        anstream::println!("{:.3} {} {}", line.at, line.process, line.text);
    }
    anstream::println!("{id}: {}", timeline.outcome);
    Ok(ExitCode::SUCCESS)
}
