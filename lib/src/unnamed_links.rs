//! Links on which the other side has not said who it is.
//!
//! A connection may go silent for good, without a reset, before the hello arrives. Such a link belongs
//! to no agent or entry, whose own time-outs would close it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Now, SessionId};

/// Time from the start of a link in which its hello must arrive. As long as a link between entries
/// may be silent.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// The links without a hello.
#[derive(Debug, Default)]
pub struct UnnamedLinks {
    opened: BTreeMap<SessionId, Now>,
}

impl UnnamedLinks {
    /// Adds a new link.
    pub fn add(&mut self, now: Now, link: SessionId) {
        self.opened.insert(link, now);
    }

    /// Removes a link whose hello has arrived, or which is closed.
    pub fn remove(&mut self, link: SessionId) {
        self.opened.remove(&link);
    }

    /// Links whose hello is overdue.
    pub fn overdue(&self, now: Now) -> Vec<SessionId> {
        let opened = self.opened.iter();
        let overdue = opened.filter(|(_, at)| **at + HELLO_TIMEOUT <= now);
        overdue.map(|(link, _)| *link).collect()
    }

    /// When the next hello is overdue.
    pub fn next_wake(&self) -> Option<Now> {
        let opened = self.opened.values().min()?;
        Some(*opened + HELLO_TIMEOUT)
    }
}
