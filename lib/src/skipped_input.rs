//! Log lines about input of other writers that is skipped because it can't be read.
//!
//! Other writers may leave any number of such records, of any size, and a record that stays where
//! it is gets read again and again. The lines are therefore bounded in length and in rate, and a
//! record that is read again is not logged again.

use std::collections::HashSet;
use std::time::Duration;

use crate::ids::Now;

/// Longest text of another writer in a log line or an error, in bytes.
const MAX_EXCERPT_BYTES: usize = 160;
/// Shortest time between two lines.
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Most causes that are remembered as logged.
const MAX_KNOWN_CAUSES: usize = 1_024;

/// The beginning of a text, without control characters, which could forge log lines.
pub fn excerpt(text: &str) -> String {
    let limit = text.floor_char_boundary(MAX_EXCERPT_BYTES);
    let printable = |c: char| if c.is_control() { ' ' } else { c };
    let mut start: String = text[..limit].chars().map(printable).collect();
    if limit < text.len() {
        start.push_str("...");
    }
    start
}

/// Counts skipped input and decides when a line about it is due.
#[derive(Debug, Default)]
pub struct SkippedInput {
    known_causes: HashSet<String>,
    /// Skipped since the last line.
    count: u64,
    /// The first cause since the last line.
    first_cause: String,
    next_line_at: Now,
}

impl SkippedInput {
    /// Counts input that was skipped.
    pub fn note(&mut self, cause: &str) {
        let cause = excerpt(cause);
        if self.count == 0 {
            self.first_cause.clone_from(&cause);
        }
        self.count += 1;
        if self.known_causes.len() < MAX_KNOWN_CAUSES {
            self.known_causes.insert(cause);
        }
    }

    /// Counts input that was skipped, unless the same cause was counted before. For input that is
    /// read repeatedly.
    pub fn note_new(&mut self, cause: &str) {
        if !self.known_causes.contains(&excerpt(cause)) {
            self.note(cause);
        }
    }

    /// Returns the details of the next line, if one is due.
    pub fn take_line(&mut self, now: Now) -> Option<String> {
        if self.count == 0 || now < self.next_line_at {
            return None;
        }
        let line = format!("count={} cause=\"{}\"", self.count, self.first_cause);
        self.count = 0;
        self.next_line_at = now + LINE_INTERVAL;
        Some(line)
    }
}
