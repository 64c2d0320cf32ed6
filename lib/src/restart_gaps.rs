//! Gaps between the runs of a task, from the logs of all agents.
//!
//! A task may start again only after its last run has ended. A gap that is negative or close to zero
//! shows which proof of an end came too early. Processes' wall clocks are compared, so the gaps are as
//! exact as these are.

use std::collections::BTreeMap;

use crate::log_line::{number, read_line, value};

/// How the earlier run of a pair ended, and whether the later one belongs to another attempt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RestartCause {
    /// End of the earlier run, as its agent logged it.
    pub end: String,
    /// Whether the run number did not rise, because the batch was submitted again at another entry or
    /// process. An entry that it comes back to continues its numbers.
    pub is_resubmitted: bool,
}

/// The gaps of one cause.
#[derive(Debug, Clone, PartialEq)]
pub struct RestartGaps {
    /// Number of pairs of runs.
    pub pairs: u64,
    /// Shortest time from the end of a run to the next start of its task, in seconds.
    pub shortest: f64,
    /// The later run of that pair.
    pub run: String,
}

#[derive(Debug, Clone, PartialEq)]
struct LoggedRun {
    from: f64,
    to: f64,
    number: u64,
    end: String,
}

/// Returns the gaps by cause. Logs are given as pairs of process name and content.
pub fn restart_gaps(logs: &[(String, String)]) -> BTreeMap<RestartCause, RestartGaps> {
    let mut by_task: BTreeMap<String, Vec<LoggedRun>> = BTreeMap::new();
    for (process, log) in logs {
        for line in log.lines().filter_map(|line| read_line(process, line)) {
            if let Some((task, run)) = read_end(line.at, &line.text) {
                by_task.entry(task).or_default().push(run);
            }
        }
    }
    let mut gaps = BTreeMap::new();
    for (task, mut runs) in by_task {
        runs.sort_by(|a, b| a.from.total_cmp(&b.from));
        for pair in runs.windows(2) {
            add_pair(&mut gaps, &task, &pair[0], &pair[1]);
        }
    }
    gaps
}

/// Reads the line with which an agent logs the end of a run.
fn read_end(at: f64, text: &str) -> Option<(String, LoggedRun)> {
    let details = text.strip_prefix("run ended: ")?;
    let (task, run_number) = value(details, "run")?.split_once('#')?;
    let run = LoggedRun {
        from: at - number(details, "ran_ms") as f64 / 1e3,
        to: at,
        number: run_number.parse().ok()?,
        end: value(details, "end")?.to_owned(),
    };
    Some((task.to_owned(), run))
}

fn add_pair(
    gaps: &mut BTreeMap<RestartCause, RestartGaps>,
    task: &str,
    earlier: &LoggedRun,
    later: &LoggedRun,
) {
    let cause = RestartCause {
        end: earlier.end.clone(),
        is_resubmitted: later.number <= earlier.number,
    };
    let gap = later.from - earlier.to;
    let of_cause = gaps.entry(cause).or_insert(RestartGaps {
        pairs: 0,
        shortest: f64::INFINITY,
        run: String::new(),
    });
    of_cause.pairs += 1;
    if gap < of_cause.shortest {
        of_cause.shortest = gap;
        of_cause.run = format!("{task}#{}", later.number);
    }
}
