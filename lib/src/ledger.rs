//! The agent's record of dispatches, which ensures that each runs at most once.
//!
//! Invariant: the fate of a dispatch is recorded before the agent acts on it, and a refusal or a
//! result is never taken back. A number that was refused, revoked or declared unseen stays refused
//! until the entry has settled it. A late copy then can't start a task that the entry has placed
//! elsewhere.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{DispatchSeq, Incarnation, Now};
use crate::job::TaskOutcome;
use crate::message::{DispatchFate, DispatchRefusal, SettledDispatch};

/// How to treat a dispatch that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// Seen for the first time: decide its fate.
    Fresh,
    /// A copy of a dispatch whose fate is decided: ignore it.
    Duplicate,
}

/// Whether the agent still has its record of an entry incarnation's dispatches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resume {
    /// The record is complete.
    Known,
    /// The entry has dispatched tasks whose record was dropped.
    Forgotten,
}

/// Fates of dispatches by entry incarnation.
#[derive(Debug, Default)]
pub struct DispatchLedger {
    entries: HashMap<Incarnation, EntryRecord>,
}

#[derive(Debug, Default)]
struct EntryRecord {
    settled_below: DispatchSeq,
    fates: BTreeMap<DispatchSeq, DispatchFate>,
    lost_since: Option<Now>,
}

impl DispatchLedger {
    /// Opens or resumes the record of an entry. `resume` is true if the entry says that it has
    /// dispatched to this agent incarnation before.
    pub fn open(&mut self, entry: Incarnation, resume: bool) -> Resume {
        let known = self.entries.contains_key(&entry);
        let record = self.entries.entry(entry).or_default();
        record.lost_since = None;
        if resume && !known {
            Resume::Forgotten
        } else {
            Resume::Known
        }
    }

    /// Checks whether a dispatch is new. [`Self::decide`] must give an [`Offer::Fresh`] one a fate.
    pub fn offer(&mut self, entry: Incarnation, seq: DispatchSeq) -> Offer {
        match self.entries.get(&entry) {
            Some(record) if seq >= record.settled_below && !record.fates.contains_key(&seq) => {
                Offer::Fresh
            }
            _ => Offer::Duplicate,
        }
    }

    /// Records the fate of a fresh or running dispatch.
    pub fn decide(&mut self, entry: Incarnation, seq: DispatchSeq, fate: DispatchFate) {
        let Some(record) = self.entries.get_mut(&entry) else {
            return;
        };
        if seq >= record.settled_below {
            record.fates.insert(seq, fate);
        }
    }

    /// Revokes a dispatch and returns its fate, which is a refusal if it had none before.
    /// Returns `None` if it is settled.
    pub fn revoke(&mut self, entry: Incarnation, seq: DispatchSeq) -> Option<DispatchFate> {
        let record = self.entries.get_mut(&entry)?;
        if seq < record.settled_below {
            return None;
        }
        let fate = record
            .fates
            .entry(seq)
            .or_insert(DispatchFate::Refused(DispatchRefusal::Revoked));
        Some(fate.clone())
    }

    /// Drops the fates below `settled_below`. Later copies of these dispatches are ignored.
    pub fn settle(&mut self, entry: Incarnation, settled_below: DispatchSeq) {
        let Some(record) = self.entries.get_mut(&entry) else {
            return;
        };
        if settled_below > record.settled_below {
            record.settled_below = settled_below;
            record.fates = record.fates.split_off(&settled_below);
        }
    }

    /// Returns the fate of every outstanding dispatch of an entry that has reconnected. A dispatch
    /// that was never seen is refused for good, and the entry may place its task elsewhere.
    pub fn reconcile(
        &mut self,
        entry: Incarnation,
        resume: Resume,
        outstanding: &[DispatchSeq],
    ) -> Vec<SettledDispatch> {
        let record = self.entries.entry(entry).or_default();
        let unseen = match resume {
            Resume::Known => DispatchFate::Refused(DispatchRefusal::NeverSeen),
            Resume::Forgotten => DispatchFate::Forgotten,
        };
        let settle_one = |&seq: &DispatchSeq| {
            let fate = record.fates.entry(seq).or_insert_with(|| unseen.clone());
            SettledDispatch {
                seq,
                fate: fate.clone(),
            }
        };
        outstanding.iter().map(settle_one).collect()
    }

    /// Records that the session of an entry was lost.
    pub fn lost(&mut self, entry: Incarnation, now: Now) {
        if let Some(record) = self.entries.get_mut(&entry) {
            record.lost_since = Some(now);
        }
    }

    /// Drops the records of entries whose session was lost before `cutoff`. If one reconnects,
    /// [`Self::open`] returns [`Resume::Forgotten`].
    pub fn forget_lost_before(&mut self, cutoff: Now) {
        self.entries
            .retain(|_, record| record.lost_since.is_none_or(|since| since >= cutoff));
    }

    /// Entries whose session was lost before `cutoff`.
    pub fn lost_before(&self, cutoff: Now) -> impl Iterator<Item = Incarnation> + '_ {
        self.entries
            .iter()
            .filter(move |(_, record)| record.lost_since.is_some_and(|since| since < cutoff))
            .map(|(entry, _)| *entry)
    }

    /// Counts the unsettled results of entries that are connected or whose session was lost since
    /// `cutoff`.
    pub fn awaited_results(&self, cutoff: Now) -> usize {
        let awaited = self
            .entries
            .values()
            .filter(|record| record.lost_since.is_none_or(|since| since >= cutoff));
        let finished = |fate: &&DispatchFate| matches!(fate, DispatchFate::Finished(_));
        awaited
            .map(|record| record.fates.values().filter(finished).count())
            .sum()
    }

    /// Counts the entries whose session was lost since `cutoff`; they may still reconnect.
    pub fn count_lost_since(&self, cutoff: Now) -> usize {
        let records = self.entries.values();
        records
            .filter(|record| record.lost_since.is_some_and(|since| since >= cutoff))
            .count()
    }

    /// Drops the record of an entry incarnation that has ended.
    pub fn remove(&mut self, entry: Incarnation) {
        self.entries.remove(&entry);
    }

    /// Number of fates recorded.
    pub fn len(&self) -> usize {
        self.entries.values().map(|record| record.fates.len()).sum()
    }

    /// Whether no fate is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records how a running dispatch ended.
    pub fn finish(&mut self, entry: Incarnation, seq: DispatchSeq, outcome: TaskOutcome) {
        self.decide(entry, seq, DispatchFate::Finished(outcome));
    }
}
