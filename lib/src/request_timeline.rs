//! Collects the log lines of one request from all processes and explains its outcome.
//!
//! A request is found by its request id or its batch id. The search first maps the request id to
//! batch ids and then collects all lines that contain one of these ids.

use std::collections::BTreeSet;

use crate::log_line::{LogLine, number, read_line, value};

/// The log lines of one request and its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestTimeline {
    /// The lines, ordered by time.
    pub lines: Vec<LogLine>,
    /// The outcome of the request as a sentence.
    pub outcome: String,
}

fn is_handed_over(text: &str) -> bool {
    text.starts_with("batch handed over")
}

/// The entry that ran a batch for the one that answered it, if any.
fn receiver_of<'a>(lines: &'a [LogLine], answer: &'a LogLine) -> Option<&'a str> {
    let receiver = value(&answer.text, "handed_over")?;
    let taken = lines.iter().any(|l| l.text.starts_with("batch taken over"));
    taken.then_some(receiver)
}

fn is_answer(text: &str) -> bool {
    text.starts_with("batch answered") || text.starts_with("batch refused")
}

impl RequestTimeline {
    /// Builds the timeline. `logs` holds pairs of process name and log content.
    pub fn of(id: &str, logs: &[(String, String)]) -> Self {
        let mut ids = BTreeSet::from([id.to_owned()]);
        for (_, log) in logs {
            let matching = log.lines().filter(|l| value(l, "request") == Some(id));
            ids.extend(matching.filter_map(|l| value(l, "job")).map(str::to_owned));
        }
        let mut lines = Vec::new();
        for (process, log) in logs {
            let related = log.lines().filter(|l| ids.iter().any(|id| l.contains(id)));
            lines.extend(related.filter_map(|l| read_line(process, l)));
        }
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let outcome = outcome(&lines);
        Self { lines, outcome }
    }
}

fn outcome(lines: &[LogLine]) -> String {
    let admitted = lines.iter().rev();
    let admitted = admitted
        .clone()
        .find(|l| l.text.starts_with("batch admitted") || is_handed_over(&l.text));
    let Some(answer) = lines.iter().rev().find(|l| is_answer(&l.text)) else {
        return no_answer(admitted);
    };
    let is_open = admitted.is_some_and(|a| a.at > answer.at);
    if is_open {
        return no_answer(admitted);
    }
    let process = &answer.process;
    let text = &answer.text;
    if text.contains("why: Evacuated") {
        return format!(
            "refused by {process}: all suitable targets are in evacuated data halls; nothing ran"
        );
    }
    if text.starts_with("batch refused") {
        return format!("refused by {process} on arrival: nothing ran");
    }
    let (took, objective) = (number(text, "took_ms"), number(text, "objective_ms"));
    match value(text, "answer") {
        Some("Succeeded") if took <= objective => {
            let by = match receiver_of(lines, answer) {
                Some(receiver) => format!("{receiver}, to which {process} had handed it over,"),
                None => process.clone(),
            };
            format!("served by {by} in {took} ms, objective {objective} ms")
        }
        Some("Succeeded") => late(lines, took, objective),
        Some("Refused") => format!(
            "refused by {process} after {took} ms: no target had free capacity before the \
             placement deadline; nothing ran"
        ),
        Some("GaveUp") if lines.iter().any(|l| l.text.contains("why=receiver_lost")) => {
            let receiver = value(text, "handed_over").unwrap_or("-");
            format!(
                "abandoned by {process} after {took} ms: the link to {receiver}, to which it was \
                 handed over, broke or fell silent; some tasks may have run"
            )
        }
        Some("GaveUp") => {
            format!("abandoned by {process} after {took} ms; some tasks had run")
        }
        Some(other) => format!("answered by {process} as {other} after {took} ms"),
        None => format!("answered by {process}"),
    }
}

fn no_answer(admitted: Option<&LogLine>) -> String {
    match admitted {
        None => "not in any entry's log: it never arrived, or its lines were dropped (event 1704)"
            .to_owned(),
        Some(line) => format!(
            "admitted by {} but not answered: its caller disconnected, or that process ended",
            line.process
        ),
    }
}

fn late(lines: &[LogLine], took: u64, objective: u64) -> String {
    let count = |start: &str| lines.iter().filter(|l| l.text.starts_with(start)).count();
    let failed = count("run over without success");
    let slow = count("run is far slower");
    let first_placed = lines.iter().find(|l| l.text.starts_with("tasks sent"));
    let waited = first_placed.map_or(0, |l| number(&l.text, "age_ms"));
    format!(
        "late: {took} ms, objective {objective} ms; its first task waited {waited} ms, {failed} \
         runs ended without success, {slow} slow runs reported"
    )
}
