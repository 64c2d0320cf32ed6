//! The orderly stop of an entry: how long it goes on taking batches, and when it ends.

use std::time::Duration;

use crate::ids::Now;
use crate::timings::Timings;

/// Times its estimated work that a batch may need at the most, as a stopping entry counts.
const MARGIN: u32 = 2;
/// Added to the above for placing and answering.
const SLACK: Duration = Duration::from_millis(200);

/// See the module.
#[derive(Debug)]
pub struct EntryDrain {
    since: Option<Now>,
    /// All new requests are served for so long.
    serve_on: Duration,
    /// Latest end.
    limit: Duration,
}

impl EntryDrain {
    /// A drain that has not begun.
    pub fn new(timings: &Timings) -> Self {
        Self {
            since: None,
            serve_on: timings.serve_on,
            limit: timings.entry_stop,
        }
    }

    /// Begins; false if it had begun before.
    pub fn begin(&mut self, now: Now) -> bool {
        let is_first = self.since.is_none();
        self.since.get_or_insert(now);
        is_first
    }

    /// Whether it has begun.
    pub fn has_begun(&self) -> bool {
        self.since.is_some()
    }

    /// Whether a batch with this chain of work could not be seen through: callers with open
    /// connections send for longer than the balancer does.
    pub fn would_be_outlasted(&self, now: Now, chain: Duration) -> bool {
        self.since.is_some_and(|since| {
            let needs = chain * MARGIN + SLACK;
            now >= since + self.serve_on && now + needs > since + self.limit
        })
    }

    /// Whether the process is to end.
    pub fn is_over(&self, now: Now, holds_nothing: bool) -> bool {
        self.since.is_some_and(|since| {
            let may_end = holds_nothing && now >= since + self.serve_on;
            may_end || now >= since + self.limit
        })
    }

    /// When to look again.
    pub fn next_wake(&self, now: Now) -> Option<Now> {
        let since = self.since?;
        let serves_until = since + self.serve_on;
        Some(if now < serves_until {
            serves_until
        } else {
            since + self.limit
        })
    }
}
