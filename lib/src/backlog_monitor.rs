//! Detects a lasting backlog and shortens the time that new batches may wait.
//!
//! In a short burst, batches may wait as long as they can still meet their objective. In a lasting
//! backlog, every batch would be placed at its last moment, and late if its estimate was too short.

use std::time::Duration;

use crate::ids::Now;

/// Time for which batches must have waited without a break to count as a backlog.
const BACKLOG_AFTER: Duration = Duration::from_millis(300);
/// Share of its slack for which a batch may wait during a backlog.
const BACKLOG_SLACK_SHARE: f64 = 0.5;

/// Time since which batches have been waiting without a break.
#[derive(Debug, Default)]
pub struct BacklogMonitor {
    since: Option<Now>,
}

impl BacklogMonitor {
    /// Records whether any batch is waiting.
    pub fn note(&mut self, now: Now, has_waiting: bool) {
        if has_waiting {
            self.since.get_or_insert(now);
        } else {
            self.since = None;
        }
    }

    /// Returns the longest time that a new batch with this slack may wait.
    pub fn max_wait(&self, now: Now, slack: Duration) -> Duration {
        let has_backlog = self.since.is_some_and(|since| since + BACKLOG_AFTER <= now);
        if has_backlog {
            slack.mul_f64(BACKLOG_SLACK_SHARE)
        } else {
            slack
        }
    }
}
