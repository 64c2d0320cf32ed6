//! Batches that another entry is closing, for their callers have gone while runs were out.
//!
//! A caller whose connection broke may come to another entry at once. Its batch is held here until
//! the first entry says that its runs are over, or until they must be by the chain of leases.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Now;
use crate::run::BatchId;

/// Entries' notices that are remembered at the most: a wave of callers that leave is a few
/// hundred a second.
const MOST_NOTICES: usize = 20_000;

/// See the module.
#[derive(Debug, Default)]
pub struct ClosingElsewhere {
    until: BTreeMap<BatchId, Now>,
}

impl ClosingElsewhere {
    /// Notes that a batch is being closed at another entry, which takes `bound` at the most.
    pub fn note(&mut self, now: Now, id: BatchId, bound: Duration) {
        if self.until.len() >= MOST_NOTICES {
            self.until.retain(|_, until| *until > now);
        }
        if self.until.len() < MOST_NOTICES {
            self.until.insert(id, now + bound);
        }
    }

    /// Notes that nothing of a batch runs elsewhere any more; says whether it was known.
    pub fn over(&mut self, id: BatchId) -> bool {
        self.until.remove(&id).is_some()
    }

    /// Until when a batch must be held, if it must.
    pub fn held_until(&self, now: Now, id: BatchId) -> Option<Now> {
        self.until.get(&id).copied().filter(|until| *until > now)
    }
}
