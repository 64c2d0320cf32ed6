//! Tracks batches that other entries are closing because the caller left during open runs.
//!
//! A caller whose connection broke may resubmit to this entry at once. Its batch is blocked here
//! until the first entry reports that its runs are over, or until the leases guarantee it.
//!
//! Entries flood these notices to their neighbours, so each arrives several times. Invariant: a
//! notice counts as new once while it is valid. Otherwise it would circulate for ever.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Now;
use crate::run::BatchId;
use crate::run_message::ClosingBatch;

/// Largest number of notices kept. A wave of callers that leave is a few hundred a second.
const MAX_NOTICES: usize = 20_000;

/// State of a batch that another entry is closing.
#[derive(Debug, Clone, Copy)]
struct Notice {
    /// Time by which its runs must be over.
    until: Now,
    /// Whether its runs are known to be over.
    is_over: bool,
}

/// Closing notices by batch and closing entry.
#[derive(Debug, Default)]
pub struct PeerClosings {
    notices: BTreeMap<ClosingBatch, Notice>,
}

impl PeerClosings {
    /// Records that another entry is closing a batch, which takes at most `bound`. Returns whether
    /// the notice is new.
    pub fn note_closing(&mut self, now: Now, closing: ClosingBatch, bound: Duration) -> bool {
        let until = now + bound;
        let notice = Notice {
            until,
            is_over: false,
        };
        !self.is_known(now, closing) && self.insert(now, closing, notice)
    }

    /// Records that the batch has no open runs at that entry any more. An unknown notice is kept
    /// for `bound`. Returns whether this ends a notice that was still open.
    pub fn note_closed(&mut self, now: Now, closing: ClosingBatch, bound: Duration) -> bool {
        if let Some(notice) = self.notices.get_mut(&closing) {
            return !std::mem::replace(&mut notice.is_over, true);
        }
        let notice = Notice {
            until: now + bound,
            is_over: true,
        };
        self.insert(now, closing, notice);
        false
    }

    fn is_known(&self, now: Now, closing: ClosingBatch) -> bool {
        let notice = self.notices.get(&closing);
        notice.is_some_and(|notice| notice.until > now)
    }

    fn insert(&mut self, now: Now, closing: ClosingBatch, notice: Notice) -> bool {
        if self.notices.len() >= MAX_NOTICES {
            self.notices.retain(|_, notice| notice.until > now);
        }
        let has_capacity = self.notices.len() < MAX_NOTICES;
        if has_capacity {
            self.notices.insert(closing, notice);
        }
        has_capacity
    }

    /// Returns the notices that are valid and not over, for sending to a new neighbour.
    pub fn open_notices(&self, now: Now) -> impl Iterator<Item = ClosingBatch> {
        let notices = self.notices.iter();
        let open = notices.filter(move |(_, notice)| !notice.is_over && notice.until > now);
        open.map(|(closing, _)| *closing)
    }

    /// Returns until when a batch is blocked; `None` if it isn't.
    pub fn blocked_until(&self, now: Now, id: BatchId) -> Option<Now> {
        let key = |entry| ClosingBatch { batch: id, entry };
        let notices = self.notices.range(key(u64::MIN)..=key(u64::MAX));
        let open = notices.filter(|(_, notice)| !notice.is_over);
        let latest = open.map(|(_, notice)| notice.until).max();
        latest.filter(|until| *until > now)
    }
}
