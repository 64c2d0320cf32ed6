//! Batches that other entries are closing, for their callers have gone while runs were out.
//!
//! A caller whose connection broke may come to another entry at once. Its batch is held here until
//! the first entry says that its runs are over, or until they must be by the chain of leases.
//!
//! Entries pass these notices on to their neighbours, so each comes by several ways. Invariant: a
//! notice is news once in the time for which it holds. Without that it would go round for ever.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Now;
use crate::run::BatchId;
use crate::run_message::ClosingBatch;

/// Notices that are remembered at the most: a wave of callers that leave is a few hundred a second.
const MOST_NOTICES: usize = 20_000;

/// What is known of a batch that is being closed.
#[derive(Debug, Clone, Copy)]
struct Notice {
    /// By then it must be over.
    until: Now,
    /// Whether it is.
    is_over: bool,
}

/// See the module.
#[derive(Debug, Default)]
pub struct PeerClosings {
    notices: BTreeMap<ClosingBatch, Notice>,
}

impl PeerClosings {
    /// Notes that a batch is being closed at another entry, which takes `bound` at the most; says
    /// whether that is news.
    pub fn note(&mut self, now: Now, closing: ClosingBatch, bound: Duration) -> bool {
        let until = now + bound;
        let notice = Notice {
            until,
            is_over: false,
        };
        !self.is_known(now, closing) && self.remember(now, closing, notice)
    }

    /// Notes that nothing of a batch runs at that entry any more, `bound` after which nobody says
    /// otherwise; says whether that is news.
    pub fn over(&mut self, now: Now, closing: ClosingBatch, bound: Duration) -> bool {
        if let Some(notice) = self.notices.get_mut(&closing) {
            return !std::mem::replace(&mut notice.is_over, true);
        }
        let notice = Notice {
            until: now + bound,
            is_over: true,
        };
        self.remember(now, closing, notice);
        false
    }

    fn is_known(&self, now: Now, closing: ClosingBatch) -> bool {
        let notice = self.notices.get(&closing);
        notice.is_some_and(|notice| notice.until > now)
    }

    fn remember(&mut self, now: Now, closing: ClosingBatch, notice: Notice) -> bool {
        if self.notices.len() >= MOST_NOTICES {
            self.notices.retain(|_, notice| notice.until > now);
        }
        let has_room = self.notices.len() < MOST_NOTICES;
        if has_room {
            self.notices.insert(closing, notice);
        }
        has_room
    }

    /// Notices that still hold, for a neighbour that has not heard them.
    pub fn open(&self, now: Now) -> impl Iterator<Item = ClosingBatch> {
        let notices = self.notices.iter();
        let open = notices.filter(move |(_, notice)| !notice.is_over && notice.until > now);
        open.map(|(closing, _)| *closing)
    }

    /// Until when a batch must be held, if it must.
    pub fn blocked_until(&self, now: Now, id: BatchId) -> Option<Now> {
        let of = |entry| ClosingBatch { batch: id, entry };
        let notices = self.notices.range(of(u64::MIN)..=of(u64::MAX));
        let open = notices.filter(|(_, notice)| !notice.is_over);
        let latest = open.map(|(_, notice)| notice.until).max();
        latest.filter(|until| *until > now)
    }
}
