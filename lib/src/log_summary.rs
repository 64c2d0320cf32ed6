//! Summarizes the logs of all processes of a fleet.
//!
//! The summary shows the outcomes and wait times of batches, why tasks were not started, and how
//! old an entry's load report of a target was when the entry chose that target.

use std::collections::BTreeMap;

use crate::log_line::{number, read_line, value};

/// Durations in milliseconds, kept for computing quantiles.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Samples {
    values: Vec<u64>,
}

impl Samples {
    fn add(&mut self, value: u64) {
        self.values.push(value);
    }

    /// Returns the quantile at `fraction` (0 to 1), or 0 without samples.
    pub fn quantile(&self, fraction: f64) -> u64 {
        let mut sorted = self.values.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let position = (last as f64 * fraction).round() as usize;
        sorted.get(position).copied().unwrap_or_default()
    }
}

/// Number of batches of one queue, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueSummary {
    pub admitted: u64,
    /// Succeeded within the objective.
    pub in_time: u64,
    /// Succeeded after the objective.
    pub late: u64,
    /// Refused after admission; nothing ran.
    pub refused: u64,
    /// Ended otherwise after admission: failed, cancelled or past the caller deadline.
    pub failed: u64,
}

/// Totals over the logs of all processes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogSummary {
    /// Batches by queue.
    pub queues: BTreeMap<String, QueueSummary>,
    /// Batches refused on arrival, by reason.
    pub refused_on_arrival: BTreeMap<String, u64>,
    /// Tasks sent to targets.
    pub tasks_sent: u64,
    /// Runs that were not started, by reason.
    pub not_started: BTreeMap<String, u64>,
    /// Slow runs that were stopped to move their task to another target.
    pub moved: u64,
    /// Time from a batch's arrival to each dispatch of its tasks.
    pub waited: Samples,
    /// Age of a target's last load report when tasks were sent to it.
    pub load_report_age: Samples,
    /// Lines dropped because a process logged too many.
    pub dropped_lines: u64,
}

impl LogSummary {
    /// Summarizes logs, given as pairs of process name and content.
    pub fn of(logs: &[(String, String)]) -> Self {
        let mut summary = Self::default();
        for (process, log) in logs {
            for line in log.lines() {
                summary.add_line(process, line);
            }
        }
        summary
    }

    fn add_line(&mut self, process: &str, line: &str) {
        // The line that reports dropped lines has no time.
        if value(line, "name") == Some("LinesDropped") {
            self.dropped_lines += number(line, "lines");
        } else if let Some(line) = read_line(process, line) {
            self.add(&line.text);
        }
    }

    fn add(&mut self, text: &str) {
        let Some((event, _)) = text.split_once(": ") else {
            return;
        };
        match event {
            "batch admitted" | "batch handed over to another entry" => self.admitted(text),
            "offer of a batch declined, nothing of it runs" => self.declined(text),
            "batch answered" => self.answered(text),
            "batch refused, nothing of it runs" => {
                *self.refused_on_arrival.entry(reason(text)).or_default() += 1;
            }
            "tasks sent to a target" => self.sent(text),
            "run over without success, its task waits again" => {
                if let Some(why) = value(text, "not_started") {
                    *self.not_started.entry(why.to_owned()).or_default() += 1;
                }
            }
            "slow run stopped, to go on elsewhere" => self.moved += 1,
            _ => {}
        }
    }

    fn queue(&mut self, text: &str) -> &mut QueueSummary {
        let name = value(text, "queue").unwrap_or("-");
        self.queues.entry(name.to_owned()).or_default()
    }

    fn admitted(&mut self, text: &str) {
        // The line of a retried batch names no queue.
        if value(text, "queue").is_some() {
            self.queue(text).admitted += 1;
        }
    }

    /// The giver of a declined batch admits it once more. The receiver's line names no queue.
    fn declined(&mut self, text: &str) {
        if value(text, "queue").is_some() {
            let queue = self.queue(text);
            queue.admitted = queue.admitted.saturating_sub(1);
        }
    }

    fn answered(&mut self, text: &str) {
        let is_in_time = number(text, "took_ms") <= number(text, "objective_ms");
        let queue = self.queue(text);
        match value(text, "answer") {
            Some("Succeeded") if is_in_time => queue.in_time += 1,
            Some("Succeeded") => queue.late += 1,
            Some("Refused") => queue.refused += 1,
            _ => queue.failed += 1,
        }
    }

    fn sent(&mut self, text: &str) {
        // `runs=[(0, 1), (3, 1)]`: one pair per task.
        let runs = text.split_once("runs=[").map_or("", |(_, rest)| rest);
        let runs = runs.split_once(']').map_or("", |(runs, _)| runs);
        self.tasks_sent += runs.matches('(').count() as u64;
        self.waited.add(number(text, "age_ms"));
        self.load_report_age.add(number(text, "heard_ms_ago"));
    }
}

/// Extracts the reason from `answer=Refused { why: Busy, ... }`.
fn reason(text: &str) -> String {
    let after = text.split_once("why: ").map(|(_, rest)| rest);
    let variant = after.and_then(|rest| rest.split([',', ' ', '(', '}']).next());
    variant.unwrap_or("other").to_owned()
}
