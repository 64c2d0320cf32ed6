//! Fetches a configuration from neighbours that hold a newer one.
//!
//! Entries announce only versions to each other, because usually all of them get a change from the
//! store within milliseconds. An entry that is cut off from the store or has just started asks a
//! neighbour for the table.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{Now, SessionId};
use crate::queue::ConfigVersion;

/// How long an entry waits for the store after a neighbour announced a newer version.
const STORE_WAIT: Duration = Duration::from_millis(50);
/// How long a neighbour may take to send its table before the next neighbour is asked. A table of a
/// few hundred queues takes a narrow link some 20 ms.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Neighbours with a newer configuration, and when to ask the next of them.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// Neighbours and the version that each holds, in the order in which they are asked.
    holders: VecDeque<(SessionId, ConfigVersion)>,
    ask_at: Option<Now>,
}

impl ConfigFetch {
    /// Adds a neighbour that holds a newer version than `own`, which is 0 if this entry has none.
    pub fn add_holder(
        &mut self,
        now: Now,
        link: SessionId,
        version: ConfigVersion,
        own: ConfigVersion,
    ) {
        self.forget(link);
        self.holders.push_back((link, version));
        let wait = if own == 0 { Duration::ZERO } else { STORE_WAIT };
        self.ask_at.get_or_insert(now + wait);
    }

    /// Removes the neighbour behind a closed link.
    pub fn forget(&mut self, link: SessionId) {
        self.holders.retain(|(holder, _)| *holder != link);
    }

    /// Returns the neighbour to ask now, if one is due and holds a newer version than `own`.
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
        self.ask_at = Some(now + ASK_TIMEOUT);
        Some(holder.0)
    }

    /// When the next neighbour is to be asked.
    pub fn next_wake(&self) -> Option<Now> {
        self.ask_at
    }
}
