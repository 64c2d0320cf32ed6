//! Graceful shutdown of an entry: how long it accepts batches, and when the process exits.

use std::time::Duration;

use crate::ids::Now;
use crate::timings::Timings;

/// Factor on a batch's critical path in the time that it may need.
const WORK_MARGIN: u32 = 2;
/// Time added for placement and the answer.
const OVERHEAD: Duration = Duration::from_millis(200);

/// State of a graceful shutdown.
#[derive(Debug)]
pub struct EntryDrain {
    since: Option<Now>,
    /// Time for which all new requests are still served.
    serving_time: Duration,
    /// Longest time until the process exits.
    limit: Duration,
}

impl EntryDrain {
    /// Creates a drain that has not begun.
    pub fn new(timings: &Timings) -> Self {
        Self {
            since: None,
            serving_time: timings.drain_serve_time,
            limit: timings.entry_stop,
        }
    }

    /// Begins the drain; returns whether it hadn't begun before.
    pub fn begin(&mut self, now: Now) -> bool {
        let is_first = self.since.is_none();
        self.since.get_or_insert(now);
        is_first
    }

    /// Returns whether the drain has begun.
    pub fn has_begun(&self) -> bool {
        self.since.is_some()
    }

    /// Returns whether a new batch with this critical path might not finish before the process
    /// exits. Callers with open connections keep sending after the balancer has stopped.
    pub fn would_exceed_limit(&self, now: Now, critical_path: Duration) -> bool {
        self.since.is_some_and(|since| {
            let needed = critical_path * WORK_MARGIN + OVERHEAD;
            now >= since + self.serving_time && now + needed > since + self.limit
        })
    }

    /// Returns whether the process should exit.
    pub fn is_over(&self, now: Now, has_no_batches: bool) -> bool {
        self.since.is_some_and(|since| {
            let may_end = has_no_batches && now >= since + self.serving_time;
            may_end || now >= since + self.limit
        })
    }

    /// Returns when to check the drain again.
    pub fn next_wake(&self, now: Now) -> Option<Now> {
        let since = self.since?;
        let serving_until = since + self.serving_time;
        Some(if now < serving_until {
            serving_until
        } else {
            since + self.limit
        })
    }
}
