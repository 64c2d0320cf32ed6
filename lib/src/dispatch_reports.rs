//! What an entry reports to the witnesses of its batches: which it holds, and where runs of each may be.
//!
//! The witness of a batch is another entry. If this entry is lost while an agent's VM is suspended, no
//! other process knows of the runs there, and the witness announces them (`witnessed_runs`). Invariant:
//! an order is sent only after the report of it, if there is a witness.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{NodeName, Now, SessionId};
use crate::run::BatchId;
use crate::run_message::{DispatchNotice, DispatchedBatch};

/// Longest time until a witness is told that a batch has ended, if no order is reported before. An idle
/// link carries a heartbeat as often.
const ENDED_DELAY: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Reported {
    witness: Option<SessionId>,
    told: BTreeSet<NodeName>,
    untold: BTreeSet<NodeName>,
}

/// Batches that have ended and that a witness still knows.
#[derive(Debug)]
struct Ended {
    since: Now,
    batches: Vec<BatchId>,
}

/// Reports on the batches that an entry holds.
#[derive(Debug, Default)]
pub struct DispatchReports {
    batches: BTreeMap<BatchId, Reported>,
    /// Batches with agents that their witnesses have not been told of.
    untold: BTreeSet<BatchId>,
    ended: BTreeMap<SessionId, Ended>,
}

impl DispatchReports {
    /// Records that a batch is held, of which no task is ordered yet.
    pub fn note_held(&mut self, batch: BatchId) {
        self.batches.entry(batch).or_default();
        self.untold.insert(batch);
    }

    /// Records that tasks of a batch are ordered from an agent.
    pub fn note_order(&mut self, batch: BatchId, agent: &NodeName) {
        let reported = self.batches.entry(batch).or_default();
        if !reported.told.contains(agent) && reported.untold.insert(agent.clone()) {
            self.untold.insert(batch);
        }
    }

    /// Records that a batch has ended and no run of it is left.
    pub fn note_ended(&mut self, now: Now, batch: BatchId) {
        self.untold.remove(&batch);
        let reported = self.batches.remove(&batch);
        let Some(witness) = reported.and_then(|reported| reported.witness) else {
            return;
        };
        let ended = self.ended.entry(witness).or_insert(Ended {
            since: now,
            batches: Vec::new(),
        });
        ended.batches.push(batch);
    }

    /// Records that the link to a witness is gone. Its batches need another one.
    pub fn witness_lost(&mut self, link: SessionId) {
        self.ended.remove(&link);
        for (batch, reported) in &mut self.batches {
            if reported.witness == Some(link) {
                reported.witness = None;
                reported.untold.append(&mut reported.told);
                self.untold.insert(*batch);
            }
        }
    }

    /// Takes the reports that are due, by link. A batch without a witness gets the one that `choose`
    /// returns; if there is none, its orders stay untold.
    pub fn take_due(
        &mut self,
        now: Now,
        choose: impl Fn(BatchId) -> Option<SessionId>,
    ) -> BTreeMap<SessionId, DispatchNotice> {
        let mut due: BTreeMap<SessionId, DispatchNotice> = BTreeMap::new();
        self.untold.retain(|batch| {
            let Some(reported) = self.batches.get_mut(batch) else {
                return false;
            };
            reported.witness = reported.witness.or_else(|| choose(*batch));
            let Some(witness) = reported.witness else {
                return true;
            };
            let agents = reported.untold.iter().cloned().collect();
            reported.told.append(&mut reported.untold);
            let batch = *batch;
            let notice = due.entry(witness).or_default();
            notice.batches.push(DispatchedBatch { batch, agents });
            false
        });
        self.ended.retain(|link, ended| {
            let notice = due.get_mut(link);
            if notice.is_none() && ended.since + ENDED_DELAY > now {
                return true;
            }
            let notice = due.entry(*link).or_default();
            notice.ended = std::mem::take(&mut ended.batches);
            false
        });
        due
    }

    /// When reports are due, if no order comes before.
    pub fn next_wake(&self) -> Option<Now> {
        let since = self.ended.values().map(|ended| ended.since).min()?;
        Some(since + ENDED_DELAY)
    }
}
