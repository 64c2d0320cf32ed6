//! Batches that this entry has taken over from other entries.
//!
//! A batch that was taken over is in the batch table under a request id of its own range. Its
//! answer goes to the giver instead of a caller. Start orders name the giver as guarantor.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Incarnation, NodeName, Now, RequestId, SessionId};
use crate::link_uses::LinkUses;
use crate::run::BatchId;
use crate::run_message::HandOverNumber;

/// First request id of batches that were taken over. Drivers count the requests of callers from 1.
const FIRST_REQUEST: RequestId = 1 << 63;

/// A batch that was taken over.
#[derive(Debug)]
pub struct TakenBatch {
    /// Link to the giver.
    pub link: SessionId,
    /// Incarnation of the giver, which guarantees the runs.
    pub giver: Incarnation,
    /// Number of the offer.
    pub number: HandOverNumber,
    /// Request id that stands for the giver.
    pub request: RequestId,
    /// Agents that refused a start because the giver has no link or lease there.
    pub lacking: BTreeSet<NodeName>,
}

/// A batch whose answer was sent or is no longer wanted while runs were open.
#[derive(Debug)]
struct ClosingBatch {
    giver: Incarnation,
    number: HandOverNumber,
    /// Whether no run that names the giver is left.
    is_over: bool,
    /// When the giver stops waiting for the confirmation.
    until: Now,
}

/// State of the batches that this entry has taken over.
#[derive(Debug, Default)]
pub struct HandoverReceiver {
    requests: RequestId,
    taken: BTreeMap<BatchId, TakenBatch>,
    by_request: BTreeMap<RequestId, BatchId>,
    closing: BTreeMap<BatchId, ClosingBatch>,
    links: LinkUses,
    /// Agents of older builds, which know no guarantors.
    old_agents: BTreeSet<NodeName>,
}

/// Whether a request id stands for a giver.
pub fn is_giver(request: RequestId) -> bool {
    request >= FIRST_REQUEST
}

impl HandoverReceiver {
    /// Returns the request id for a new batch.
    pub fn next_request(&mut self) -> RequestId {
        self.requests += 1;
        FIRST_REQUEST + self.requests
    }

    /// Records a batch that is taken over.
    pub fn insert(&mut self, now: Now, id: BatchId, batch: TakenBatch) {
        self.links.add(now, batch.link);
        self.by_request.insert(batch.request, id);
        self.taken.insert(id, batch);
    }

    /// Removes the batch of a request id.
    pub fn remove_request(&mut self, request: RequestId) -> Option<(BatchId, TakenBatch)> {
        let id = self.by_request.remove(&request)?;
        let batch = self.taken.remove(&id)?;
        self.links.remove(batch.link);
        Some((id, batch))
    }

    /// Records that runs of a removed batch may be left.
    pub fn note_closing(&mut self, id: BatchId, batch: &TakenBatch, until: Now) {
        let closing = ClosingBatch {
            giver: batch.giver,
            number: batch.number,
            is_over: false,
            until,
        };
        self.closing.insert(id, closing);
    }

    /// The batch that a giver's offer on this link became.
    pub fn find(&self, link: SessionId, number: HandOverNumber) -> Option<(BatchId, RequestId)> {
        let is_it = |batch: &TakenBatch| batch.link == link && batch.number == number;
        let mut taken = self.taken.iter();
        let (id, batch) = taken.find(|(_, batch)| is_it(batch))?;
        Some((*id, batch.request))
    }

    /// Batches taken over on a link, with their request ids.
    pub fn on_link(&self, link: SessionId) -> Vec<(BatchId, RequestId)> {
        let on_link = self.taken.iter().filter(|(_, b)| b.link == link);
        on_link.map(|(id, b)| (*id, b.request)).collect()
    }

    /// The links on which batches were taken over.
    pub fn links(&self) -> &LinkUses {
        &self.links
    }

    /// The guarantor to name in start orders for a batch.
    pub fn guarantor(&self, id: BatchId) -> Option<Incarnation> {
        self.taken.get(&id).map(|batch| batch.giver)
    }

    /// The guarantor that the open runs of a batch name.
    pub fn guarantor_of_runs(&self, id: BatchId) -> Option<Incarnation> {
        let closing = self.closing.get(&id).filter(|batch| !batch.is_over);
        self.guarantor(id).or(closing.map(|batch| batch.giver))
    }

    /// Whether runs of an earlier hand-over of a batch may be left.
    pub fn has_runs_left(&self, id: BatchId) -> bool {
        self.closing.get(&id).is_some_and(|batch| !batch.is_over)
    }

    /// Whether a batch is or was taken over, and the giver may still wait for its end.
    pub fn is_known(&self, id: BatchId) -> bool {
        self.taken.contains_key(&id) || self.closing.contains_key(&id)
    }

    /// Marks the closing batches without open runs as over. Returns whether there are any new ones.
    pub fn settle(&mut self, has_open_runs: impl Fn(BatchId) -> bool) -> bool {
        let mut has_new = false;
        for (id, batch) in &mut self.closing {
            if !batch.is_over && !has_open_runs(*id) {
                batch.is_over = true;
                has_new = true;
            }
        }
        has_new
    }

    /// Removes the batches that are over and whose givers can be told, and those that are no longer
    /// waited for. Returns the link and number of each confirmation to send.
    pub fn take_confirmations(
        &mut self,
        now: Now,
        link_to: impl Fn(Incarnation) -> Option<SessionId>,
    ) -> Vec<(SessionId, HandOverNumber)> {
        let mut confirmations = Vec::new();
        self.closing.retain(|_, batch| {
            if !batch.is_over {
                return true;
            }
            let Some(link) = link_to(batch.giver) else {
                return batch.until > now;
            };
            confirmations.push((link, batch.number));
            false
        });
        confirmations
    }

    /// Records whether an agent understands guarantors.
    pub fn note_agent(&mut self, agent: &NodeName, knows_guarantors: bool) {
        if knows_guarantors {
            self.old_agents.remove(agent);
        } else {
            self.old_agents.insert(agent.clone());
        }
    }

    /// Whether a batch's tasks must not be sent to an agent.
    pub fn excludes(&self, id: BatchId, agent: &str) -> bool {
        let batch = self.taken.get(&id);
        batch.is_some_and(|b| b.lacking.contains(agent) || self.old_agents.contains(agent))
    }

    /// Records that an agent refused a start for lack of the guarantor. Returns how many have.
    pub fn note_lacking(&mut self, id: BatchId, agent: &str) -> usize {
        let Some(batch) = self.taken.get_mut(&id) else {
            return 0;
        };
        batch.lacking.insert(agent.into());
        batch.lacking.len()
    }

    /// Number of batches that are taken over and not answered.
    pub fn len(&self) -> usize {
        self.taken.len()
    }

    /// Whether no batch is taken over.
    pub fn is_empty(&self) -> bool {
        self.taken.is_empty()
    }

    /// Whether any closing batch is to be settled or confirmed.
    pub fn has_closing(&self) -> bool {
        !self.closing.is_empty()
    }
}
