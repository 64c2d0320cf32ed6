//! What became of one request, put together from the log lines of all processes.
//!
//! A request is named by the id that its caller gave it or by its batch's id. The lines of entries
//! and agents carry both, so a search in two steps finds them all; the story ends with the cause in
//! words.

use std::collections::BTreeSet;

use crate::log_line::{LogLine, number, read_line, value};

/// See the module.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestTimeline {
    /// The lines, in order of time.
    pub lines: Vec<LogLine>,
    /// What became of the request, in words.
    pub verdict: String,
}

fn is_answer(text: &str) -> bool {
    text.starts_with("batch answered") || text.starts_with("batch refused")
}

impl RequestTimeline {
    /// Puts a story together. `logs` gives each process's name and its log.
    pub fn of(id: &str, logs: &[(String, String)]) -> Self {
        let mut ids = BTreeSet::from([id.to_owned()]);
        for (_, log) in logs {
            let named = log.lines().filter(|l| value(l, "request") == Some(id));
            ids.extend(named.filter_map(|l| value(l, "job")).map(str::to_owned));
        }
        let mut lines = Vec::new();
        for (process, log) in logs {
            let about = log.lines().filter(|l| ids.iter().any(|id| l.contains(id)));
            lines.extend(about.filter_map(|l| read_line(process, l)));
        }
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let verdict = verdict(&lines);
        Self { lines, verdict }
    }
}

fn verdict(lines: &[LogLine]) -> String {
    let admitted = lines.iter().rev();
    let admitted = admitted
        .clone()
        .find(|l| l.text.starts_with("batch admitted"));
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
            "refused by {process}: every target for it is in an evacuated data hall; nothing ran"
        );
    }
    if text.starts_with("batch refused") {
        return format!("refused by {process} on arrival: nothing ran");
    }
    let (took, objective) = (number(text, "took_ms"), number(text, "objective_ms"));
    match value(text, "answer") {
        Some("Succeeded") if took <= objective => {
            format!("served by {process} in {took} ms, objective {objective} ms")
        }
        Some("Succeeded") => late(lines, took, objective),
        Some("Refused") => format!(
            "refused by {process} after {took} ms: no target had room before its slack was spent; \
             nothing ran"
        ),
        Some("GaveUp") => format!("given up by {process} after {took} ms, with tasks begun"),
        Some(other) => format!("answered by {process} as {other} after {took} ms"),
        None => format!("answered by {process}"),
    }
}

fn no_answer(admitted: Option<&LogLine>) -> String {
    match admitted {
        None => "no entry logged it: it never arrived, or its lines were dropped (event 1704)"
            .to_owned(),
        Some(line) => format!(
            "taken in by {} and never answered there: its caller left, or that process ended",
            line.process
        ),
    }
}

fn late(lines: &[LogLine], took: u64, objective: u64) -> String {
    let count = |start: &str| lines.iter().filter(|l| l.text.starts_with(start)).count();
    let again = count("run over without success");
    let slow = count("run is far slower");
    let first_placed = lines.iter().find(|l| l.text.starts_with("tasks sent"));
    let waited = first_placed.map_or(0, |l| number(&l.text, "age_ms"));
    format!(
        "late: {took} ms, objective {objective} ms; its first task waited {waited} ms, {again} runs \
         ended without success, {slow} reports of slow runs"
    )
}
