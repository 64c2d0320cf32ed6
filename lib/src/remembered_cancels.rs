//! Remembers cancels of batches, so that a batch that arrives after its cancel starts nothing.
//!
//! A cancel may overtake its batch, reach another entry than the one that holds it, or come before the
//! caller returns elsewhere. Entries flood cancels to their neighbours, so each arrives several times.
//! Invariant: a cancel counts as new once while it is kept. Otherwise it would circulate for ever. Each
//! notice carries its age, so that it expires everywhere at about the same time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::Now;
use crate::run::BatchId;
use crate::run_message::CancelNotice;

/// Largest number of cancels kept: more than a thousand a second for the time that the default bounds
/// give. All of them fit in one message to a new neighbour.
pub const MAX_CANCELS: usize = 20_000;

/// Cancels by batch, until each expires.
#[derive(Debug)]
pub struct RememberedCancels {
    retention: Duration,
    until: BTreeMap<BatchId, Now>,
    by_expiry: BTreeSet<(Now, BatchId)>,
}

impl RememberedCancels {
    /// Keeps each cancel for this time after it was acknowledged.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            until: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Keeps a cancel and returns whether it is new. If there is no room, the oldest one is dropped. A
    /// cancel that is repeated within half of the retention changes nothing.
    pub fn note(&mut self, now: Now, notice: CancelNotice) -> bool {
        let CancelNotice { batch, age_ms } = notice;
        let age = Duration::from_millis(u64::from(age_ms));
        if age >= self.retention {
            return false;
        }
        let until = now + (self.retention - age);
        self.drop_expired(now);
        if let Some(known) = self.until.get(&batch).copied() {
            if until <= known + self.retention / 2 {
                return false;
            }
            self.by_expiry.remove(&(known, batch));
        } else if !self.make_room(until) {
            return false;
        }
        self.until.insert(batch, until);
        self.by_expiry.insert((until, batch));
        true
    }

    /// Makes room for a cancel that expires at `until`; returns false if all kept ones are newer. A
    /// dropped cancel that comes again is older than the others and so not kept again.
    fn make_room(&mut self, until: Now) -> bool {
        if self.until.len() < MAX_CANCELS {
            return true;
        }
        let oldest = self.by_expiry.first().copied();
        let Some((_, batch)) = oldest.filter(|(first, _)| *first < until) else {
            return false;
        };
        self.by_expiry.pop_first();
        self.until.remove(&batch);
        true
    }

    fn drop_expired(&mut self, now: Now) {
        while let Some((until, batch)) = self.by_expiry.first().copied()
            && until <= now
        {
            self.by_expiry.pop_first();
            self.until.remove(&batch);
        }
    }

    /// Returns whether a batch was cancelled.
    pub fn contains(&self, now: Now, batch: BatchId) -> bool {
        self.until.get(&batch).is_some_and(|until| *until > now)
    }

    /// Returns all kept cancels with their present age, for a process that may have missed them.
    pub fn all(&self, now: Now) -> impl Iterator<Item = CancelNotice> {
        let kept = self.by_expiry.iter().filter(move |(until, _)| *until > now);
        kept.map(move |(until, batch)| self.notice(now, *batch, *until))
    }

    fn notice(&self, now: Now, batch: BatchId, until: Now) -> CancelNotice {
        let age = self.retention.saturating_sub(until.saturating_sub(now));
        CancelNotice {
            batch,
            age_ms: age.as_millis() as u32,
        }
    }
}
