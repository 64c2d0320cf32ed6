//! The agent's memory of dispatches: what makes "at most once" true.
//!
//! Invariant: a dispatch gets its fate here before anything else happens to it, and a fate is
//! never taken back. A number that was refused, revoked or declared unseen stays refused until
//! the entry says that it has settled it, so a late copy can't start a task that the entry has
//! placed elsewhere.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{DispatchSeq, Incarnation, Now};
use crate::job::TaskOutcome;
use crate::message::{DispatchFate, DispatchRefusal, SettledDispatch};

/// What to do with a dispatch that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// Seen for the first time: decide its fate.
    Fresh,
    /// A copy of one whose fate is decided: do nothing.
    Duplicate,
}

/// Whether the agent still knows what an entry's life has sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resume {
    /// Everything is known.
    Known,
    /// The entry has sent things that are no longer known here.
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
    /// Opens or resumes the record of an entry. `resume` is the entry's claim that it has
    /// dispatched to this agent's life before.
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

    /// Takes in a dispatch. A [`Offer::Fresh`] one must be given a fate by [`Self::decide`].
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

    /// Revokes a dispatch. Returns its fate after that: refused if it had none before.
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

    /// Forgets everything below `settled_below`; copies of it are ignored from now on.
    pub fn settle(&mut self, entry: Incarnation, settled_below: DispatchSeq) {
        let Some(record) = self.entries.get_mut(&entry) else {
            return;
        };
        if settled_below > record.settled_below {
            record.settled_below = settled_below;
            record.fates = record.fates.split_off(&settled_below);
        }
    }

    /// Answers for every outstanding dispatch of an entry that has come back. What was never
    /// seen is refused for good, so that the entry may place it elsewhere.
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

    /// Notes that the session of an entry is gone.
    pub fn lost(&mut self, entry: Incarnation, now: Now) {
        if let Some(record) = self.entries.get_mut(&entry) {
            record.lost_since = Some(now);
        }
    }

    /// Drops the records of entries that have been gone since before `cutoff`. If one does come
    /// back, [`Self::open`] tells it that its dispatches are forgotten.
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

    /// Results that an entry has not settled yet and may still come for: its session stands, or
    /// was lost since `cutoff`.
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

    /// Entries whose session was lost since `cutoff` and that may come back with questions.
    pub fn lost_since(&self, cutoff: Now) -> usize {
        let records = self.entries.values();
        records
            .filter(|record| record.lost_since.is_some_and(|since| since >= cutoff))
            .count()
    }

    /// Drops an entry whose life is over.
    pub fn remove(&mut self, entry: Incarnation) {
        self.entries.remove(&entry);
    }

    /// Number of fates held.
    pub fn len(&self) -> usize {
        self.entries.values().map(|record| record.fates.len()).sum()
    }

    /// Whether no fate is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records how a running dispatch ended.
    pub fn finish(&mut self, entry: Incarnation, seq: DispatchSeq, outcome: TaskOutcome) {
        self.decide(entry, seq, DispatchFate::Finished(outcome));
    }
}
