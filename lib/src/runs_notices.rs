//! Tracks batches of which runs may be left elsewhere, as other processes have announced.
//!
//! A caller whose connection broke may resubmit its batch to this entry while runs of the earlier
//! attempt go on. The batch is blocked here until the process that announced them reports that they
//! are over, or until the leases guarantee it.
//!
//! Entries flood these notices to their neighbours, so each arrives several times. Invariant: a
//! notice counts as new once. Otherwise it would circulate for ever. A batch may be closed several
//! times by the same entry, so notices are told apart by their numbers and not by time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Incarnation, Now};
use crate::run::BatchId;
use crate::run_message::{NoticeNumber, RunsNotice, UNNUMBERED};

/// Largest number of notices kept. A wave of callers that leave is a few hundred a second.
const MAX_NOTICES: usize = 20_000;

/// The latest notice on a batch from one process.
#[derive(Debug, Clone, Copy)]
struct Notice {
    number: NoticeNumber,
    /// Time by which the runs must be over.
    until: Now,
    /// Whether the runs are known to be over.
    is_over: bool,
}

impl Notice {
    fn is_open(&self, now: Now) -> bool {
        !self.is_over && self.until > now
    }
}

/// Batch, announcing process and owner of the runs.
type Key = (BatchId, Incarnation, Incarnation);

fn key_of(notice: RunsNotice) -> Key {
    (notice.batch, notice.holder, notice.owner)
}

/// What became of a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoteOutcome {
    /// It is new, and was recorded.
    New,
    /// It or a later one was recorded before.
    Known,
    /// It is new, and there was no room for it.
    Dropped,
}

/// Latest notices by batch, announcing process and owner.
#[derive(Debug, Default)]
pub struct RunsNotices {
    notices: BTreeMap<Key, Notice>,
}

impl RunsNotices {
    /// Records that runs of a batch may be left, for at most `bound`.
    pub fn note_left(&mut self, now: Now, notice: RunsNotice, bound: Duration) -> NoteOutcome {
        self.insert_if_later(now, notice, bound, false)
    }

    /// Records that the runs of a notice, and of all earlier ones on the same batch and owner from the
    /// same process, are over. If the notice is unknown, this is kept for `bound`. Returns whether it
    /// ends a notice that was still open.
    pub fn note_over(&mut self, now: Now, notice: RunsNotice, bound: Duration) -> bool {
        let known = self.notices.get_mut(&key_of(notice));
        let was_open = known.as_ref().is_some_and(|k| k.is_open(now));
        match known {
            Some(known) if known.number > notice.number => false,
            Some(known) if known.number == notice.number => {
                !std::mem::replace(&mut known.is_over, true)
            }
            _ => {
                self.insert_if_later(now, notice, bound, true);
                was_open
            }
        }
    }

    fn insert_if_later(
        &mut self,
        now: Now,
        notice: RunsNotice,
        bound: Duration,
        is_over: bool,
    ) -> NoteOutcome {
        let key = key_of(notice);
        let known = self.notices.get(&key);
        let is_repeated = |known: &Notice| {
            known.number > notice.number
                || known.number == notice.number
                    && (notice.number != UNNUMBERED || known.until > now)
        };
        if known.is_some_and(is_repeated) {
            return NoteOutcome::Known;
        }
        if known.is_none() && !self.make_room(now) {
            return NoteOutcome::Dropped;
        }
        let notice = Notice {
            number: notice.number,
            until: now + bound,
            is_over,
        };
        self.notices.insert(key, notice);
        NoteOutcome::New
    }

    /// Makes room for a notice; returns false if all kept ones are open.
    fn make_room(&mut self, now: Now) -> bool {
        if self.notices.len() >= MAX_NOTICES {
            self.notices.retain(|_, notice| notice.until > now);
        }
        if self.notices.len() >= MAX_NOTICES {
            self.notices.retain(|_, notice| !notice.is_over);
        }
        self.notices.len() < MAX_NOTICES
    }

    /// Returns the open notices, for sending to a new neighbour.
    pub fn open_notices(&self, now: Now) -> impl Iterator<Item = RunsNotice> {
        let open = self.notices.iter().filter(move |(_, n)| n.is_open(now));
        open.map(|(&(batch, holder, owner), notice)| RunsNotice {
            batch,
            holder,
            owner,
            number: notice.number,
        })
    }

    /// Returns until when a batch is blocked at an entry; `None` if it isn't. The entry knows of the
    /// runs that it owns itself.
    pub fn blocked_until(&self, now: Now, id: BatchId, entry: Incarnation) -> Option<Now> {
        let (first, last) = (Incarnation::MIN, Incarnation::MAX);
        let notices = self.notices.range((id, first, first)..=(id, last, last));
        let blocks = |(key, notice): &(&Key, &Notice)| key.2 != entry && notice.is_open(now);
        let blocking = notices.filter(blocks);
        blocking.map(|(_, notice)| notice.until).max()
    }
}
