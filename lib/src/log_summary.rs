//! Where a fleet's time and orders went, added up from the log lines of all processes.
//!
//! Where a request's story answers one complaint, the account answers what binds: how many batches
//! were in time, late or refused and where they waited, how many orders found no room, and how old
//! what an entry knew of a target was when it chose it.

use std::collections::BTreeMap;

use crate::log_line::{number, read_line, value};

/// Values of which quantiles are wanted, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Samples {
    values: Vec<u64>,
}

impl Samples {
    fn add(&mut self, value: u64) {
        self.values.push(value);
    }

    /// The value below which this share lies; 0 without any.
    pub fn quantile(&self, share: f64) -> u64 {
        let mut sorted = self.values.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        let position = (last as f64 * share).round() as usize;
        sorted.get(position).copied().unwrap_or_default()
    }
}

/// What became of the batches of one queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueSummary {
    /// Taken in.
    pub admitted: u64,
    /// Answered well within the objective.
    pub in_time: u64,
    /// Answered well after it.
    pub late: u64,
    /// Refused after a wait; nothing ran.
    pub refused: u64,
    /// Given up or failed after something had begun.
    pub failed: u64,
}

/// See the module.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogSummary {
    /// By queue.
    pub queues: BTreeMap<String, QueueSummary>,
    /// Batches refused on arrival, by reason.
    pub refused_on_arrival: BTreeMap<String, u64>,
    /// Tasks sent to targets.
    pub tasks_sent: u64,
    /// Tasks that led to no run, by reason.
    pub not_started: BTreeMap<String, u64>,
    /// Slow runs that were stopped to go on elsewhere.
    pub moved: u64,
    /// From a batch's arrival until tasks of it were sent.
    pub waited: Samples,
    /// Age of the last word of a target when tasks were sent to it.
    pub known_for: Samples,
    /// Lines that were dropped, for more came than a log takes.
    pub dropped_lines: u64,
}

impl LogSummary {
    /// Adds up the logs, each given with its process's name.
    pub fn of(logs: &[(String, String)]) -> Self {
        let mut account = Self::default();
        for (process, log) in logs {
            for line in log.lines() {
                account.add_line(process, line);
            }
        }
        account
    }

    fn add_line(&mut self, process: &str, line: &str) {
        // The notice of dropped lines is written without a time.
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
            "batch admitted" => self.admitted(text),
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
        // The same batch come again names no queue.
        if value(text, "queue").is_some() {
            self.queue(text).admitted += 1;
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
        // `runs=[(0, 1), (3, 1)]`: one bracket a task.
        let runs = text.split_once("runs=[").map_or("", |(_, rest)| rest);
        let runs = runs.split_once(']').map_or("", |(runs, _)| runs);
        self.tasks_sent += runs.matches('(').count() as u64;
        self.waited.add(number(text, "age_ms"));
        self.known_for.add(number(text, "heard_ms_ago"));
    }
}

/// The reason in `answer=Refused { why: Busy, ... }`.
fn reason(text: &str) -> String {
    let after = text.split_once("why: ").map(|(_, rest)| rest);
    let word = after.and_then(|rest| rest.split([',', ' ', '(', '}']).next());
    word.unwrap_or("other").to_owned()
}
