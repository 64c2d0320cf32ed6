//! Decides when an agent asks the platform's store for the addresses of entries.
//!
//! The settings name only a few seed entries. After a power failure other entries may be back
//! before the seeds. Unless agents ask for them, those entries have no target. An agent asks as
//! soon as it starts, and again shortly after it has lost all links.

use std::time::Duration;

use crate::ids::Now;

/// Pause after the last link is lost, and first pause of the backoff between queries. A lost link
/// is usually back within 60 ms.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// Schedule of an agent's queries, with exponential backoff.
#[derive(Debug)]
pub struct EntryDiscovery {
    /// When the store is to be queried next; `None` while the agent has a link.
    query_at: Option<Now>,
    pause: Duration,
}

impl EntryDiscovery {
    /// Creates the schedule of a process that starts now; its first query is due at once.
    pub fn new(now: Now) -> Self {
        Self {
            query_at: Some(now),
            pause: INITIAL_PAUSE,
        }
    }

    /// Returns whether the store is to be queried now, and schedules the next query. `is_linked`
    /// tells whether the agent has any link.
    pub fn take_due(&mut self, now: Now, is_linked: bool) -> bool {
        if is_linked {
            self.query_at = None;
            self.pause = INITIAL_PAUSE;
            return false;
        }
        let query_at = *self.query_at.get_or_insert(now + self.pause);
        if query_at > now {
            return false;
        }
        self.query_at = Some(now + self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        true
    }

    /// When the store is to be queried next.
    pub fn next_wake(&self) -> Option<Now> {
        self.query_at
    }
}
