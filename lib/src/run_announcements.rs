//! An agent's announcements to the entries that runs of a batch may outlast their owner.
//!
//! Other entries hold the batch until the agent reports that the runs are over.

use std::collections::BTreeMap;

use crate::ids::{Incarnation, Now};
use crate::run::BatchId;
use crate::run_message::NoticeNumber;

/// A batch and the entry that owns its runs.
pub type OwnedBatch = (BatchId, Incarnation);

/// The latest announcement on a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// Its number.
    pub number: NoticeNumber,
    /// When it was made.
    pub at: Now,
}

/// Announcements of which runs are left.
#[derive(Debug, Default)]
pub struct RunAnnouncements {
    last_number: NoticeNumber,
    open: BTreeMap<OwnedBatch, Announcement>,
}

impl RunAnnouncements {
    /// Records an announcement, in place of an earlier one on the same batch. Returns its number.
    pub fn announce(&mut self, now: Now, batch: OwnedBatch) -> NoticeNumber {
        self.last_number += 1;
        let announcement = Announcement {
            number: self.last_number,
            at: now,
        };
        self.open.insert(batch, announcement);
        self.last_number
    }

    /// The latest announcement on a batch.
    pub fn get(&self, batch: OwnedBatch) -> Option<Announcement> {
        self.open.get(&batch).copied()
    }

    /// Removes and returns the announcements of which no run is left.
    pub fn take_over(
        &mut self,
        has_runs: impl Fn(OwnedBatch) -> bool,
    ) -> Vec<(OwnedBatch, NoticeNumber)> {
        let open = self.open.iter();
        let over = open.filter(|(batch, _)| !has_runs(**batch));
        let over: Vec<_> = over.map(|(batch, a)| (*batch, a.number)).collect();
        for (batch, _) in &over {
            self.open.remove(batch);
        }
        over
    }

    /// The open announcements in ascending order of their numbers.
    pub fn open(&self) -> Vec<(OwnedBatch, NoticeNumber)> {
        let open = self.open.iter();
        let mut open: Vec<_> = open.map(|(batch, a)| (*batch, a.number)).collect();
        open.sort_by_key(|(_, number)| *number);
        open
    }

    /// Whether there is no open announcement.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
