//! Getting a configuration from neighbours that say that they hold a newer one.
//!
//! Entries tell each other versions, not tables: as a rule all of them hear of a change from the store
//! within milliseconds. One that does not, for it is cut off from the store or has just started, asks
//! a neighbour that does hold it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{Now, SessionId};
use crate::queue::ConfigVersion;

/// How long the store's own answer is waited for after a neighbour's word.
const STORE_FIRST: Duration = Duration::from_millis(50);
/// A neighbour that has not sent its table by then is passed over for the next. A table of a few
/// hundred queues takes a narrow link some 20 ms.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// See the module.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// Neighbours with what each holds, in the order in which they are asked.
    holders: VecDeque<(SessionId, ConfigVersion)>,
    ask_at: Option<Now>,
}

impl ConfigFetch {
    /// Notes that a neighbour holds a version newer than the own one, which is 0 if there is none.
    pub fn heard(&mut self, now: Now, link: SessionId, version: ConfigVersion, own: ConfigVersion) {
        self.forget(link);
        self.holders.push_back((link, version));
        let wait = if own == 0 {
            Duration::ZERO
        } else {
            STORE_FIRST
        };
        self.ask_at.get_or_insert(now + wait);
    }

    /// Notes that a link is gone.
    pub fn forget(&mut self, link: SessionId) {
        self.holders.retain(|(holder, _)| *holder != link);
    }

    /// The neighbour to be asked now, if any holds a newer version than the own one.
    pub fn take_due(&mut self, now: Now, own: ConfigVersion) -> Option<SessionId> {
        if self.ask_at.is_none_or(|at| at > now) {
            return None;
        }
        self.holders.retain(|(_, version)| *version > own);
        let Some(holder) = self.holders.pop_front() else {
            self.ask_at = None;
            return None;
        };
        self.holders.push_back(holder);
        self.ask_at = Some(now + ASK_AGAIN);
        Some(holder.0)
    }

    /// When a neighbour is to be asked next.
    pub fn next_wake(&self) -> Option<Now> {
        self.ask_at
    }
}
