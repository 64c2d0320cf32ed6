//! By when the next request on each caller's connection was sent at the earliest.
//!
//! A caller sends a request only once it has the answer to the one before. So a request was sent after
//! the last answer on its connection was written, or after the connection was accepted. The time at which
//! its bytes arrive proves less: the network may have held them up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::Now;

/// The callers' connections on which a request may have been sent recently.
#[derive(Debug)]
pub struct CallerConnections {
    /// For how long a connection is kept. A later request on it counts as one of unknown age.
    retention: Duration,
    sent_after: HashMap<SocketAddr, Now>,
    /// Size at which connections that are out of date are removed.
    purge_at: usize,
}

impl CallerConnections {
    /// Fewest connections that are looked through for those that are out of date.
    const MIN_PURGE: usize = 256;

    /// Creates an empty table.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            sent_after: HashMap::new(),
            purge_at: Self::MIN_PURGE,
        }
    }

    /// Records that the next request of `caller` is sent after `at`.
    pub fn note(&mut self, now: Now, caller: SocketAddr, at: Now) {
        self.sent_after.insert(caller, at);
        if self.sent_after.len() >= self.purge_at {
            let oldest = now.saturating_sub(self.retention);
            self.sent_after.retain(|_, at| *at > oldest);
            self.purge_at = (self.sent_after.len() * 2).max(Self::MIN_PURGE);
        }
    }

    /// Records that nothing is known of the next request of `caller`.
    pub fn forget(&mut self, caller: SocketAddr) {
        self.sent_after.remove(&caller);
    }

    /// Number of connections that are kept.
    pub fn len(&self) -> usize {
        self.sent_after.len()
    }

    /// Whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.sent_after.is_empty()
    }

    /// Longest time since `caller` sent the request that is read now; none if it is not known.
    pub fn max_age(&self, now: Now, caller: SocketAddr) -> Option<Duration> {
        let at = self.sent_after.get(&caller)?;
        let age = now.saturating_sub(*at);
        (age < self.retention).then_some(age)
    }
}
