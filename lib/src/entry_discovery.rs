//! When an agent asks the platform's store for the addresses of entries.
//!
//! Seeds name three entries. When all power was lost, entries that are back sooner than the seeds
//! would wait for them without a target, while their callers wait for a place. So an agent that has
//! just started asks at once, and one that has lost all links asks after a moment.

use std::time::Duration;

use crate::ids::Now;

/// From the loss of the last link to the first question: a lost link is back within 60 ms as a rule.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two questions.
const MOST_PAUSE: Duration = Duration::from_millis(1_500);

/// See the module.
#[derive(Debug)]
pub struct EntryDiscovery {
    /// When the store is to be asked; none while a link stands.
    ask_at: Option<Now>,
    pause: Duration,
}

impl EntryDiscovery {
    /// Of a process that starts now.
    pub fn new(now: Now) -> Self {
        Self {
            ask_at: Some(now),
            pause: FIRST_PAUSE,
        }
    }

    /// Notes whether any link stands; says whether the store is to be asked now.
    pub fn take_due(&mut self, now: Now, is_linked: bool) -> bool {
        if is_linked {
            self.ask_at = None;
            self.pause = FIRST_PAUSE;
            return false;
        }
        let ask_at = *self.ask_at.get_or_insert(now + self.pause);
        if ask_at > now {
            return false;
        }
        self.ask_at = Some(now + self.pause);
        self.pause = (self.pause * 2).min(MOST_PAUSE);
        true
    }

    /// When the store is to be asked next.
    pub fn next_wake(&self) -> Option<Now> {
        self.ask_at
    }
}
