//! Batches that this entry has handed over to other entries, and those whose end it waits for.
//!
//! The giver keeps the caller's connection and relays the receiver's answer. If the request ends
//! before the answer, the giver releases the batch at all agents, and the batch is blocked here
//! until the receiver confirms that no run is left.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::batch_event::{CallerWait, Submission};
use crate::ids::{NodeName, Now, RequestId, SessionId};
use crate::link_uses::LinkUses;
use crate::queue::Queue;
use crate::released_batches::RELEASE_RETENTION;
use crate::run::BatchId;
use crate::run_message::HandOverNumber;

/// Time after the end of a batch in which it is not offered again: agents refuse its starts for
/// [`RELEASE_RETENTION`] after they have read its release, which may arrive late.
const REOFFER_DELAY: Duration = RELEASE_RETENTION.saturating_add(Duration::from_secs(1));

/// A batch that was offered to another entry and is not answered yet.
#[derive(Debug)]
pub struct HandedBatch {
    /// Number of the offer.
    pub number: HandOverNumber,
    /// Link to the receiver.
    pub link: SessionId,
    /// Name of the receiver.
    pub receiver: NodeName,
    /// The batch as its caller last submitted it.
    pub submission: Submission,
    /// Queue of the batch.
    pub queue: Arc<Queue>,
    /// When it was offered.
    pub offered: Now,
    /// Time by which it should be done according to its objective.
    pub objective: Duration,
    /// When the caller stops waiting.
    pub caller_deadline: Now,
    /// Until when the caller can't have given it to another entry since it sent the request.
    pub proven_until: Now,
}

/// A batch that ended before all its runs were known to be over.
#[derive(Debug, Clone, Copy)]
struct EndedBatch {
    number: HandOverNumber,
    /// When its runs must be over in any case.
    until: Now,
}

/// State of the batches that this entry hands over.
#[derive(Debug, Default)]
pub struct HandoverGiver {
    last_number: HandOverNumber,
    handed: BTreeMap<BatchId, HandedBatch>,
    by_request: BTreeMap<RequestId, BatchId>,
    by_number: BTreeMap<HandOverNumber, BatchId>,
    deadlines: BTreeSet<(Now, BatchId)>,
    ended: BTreeMap<BatchId, EndedBatch>,
    /// Batches that agents may still refuse to start for a receiver, each with the time until which.
    released: BTreeMap<BatchId, Now>,
    links: LinkUses,
}

impl HandoverGiver {
    /// Returns the number for a new offer.
    pub fn next_number(&mut self) -> HandOverNumber {
        self.last_number += 1;
        self.last_number
    }

    /// Records an offer.
    pub fn insert(&mut self, batch: HandedBatch) {
        let id = batch.submission.spec.id;
        self.by_request.insert(batch.submission.request, id);
        self.by_number.insert(batch.number, id);
        self.deadlines.insert((batch.caller_deadline, id));
        self.links.add(batch.offered, batch.link);
        self.handed.insert(id, batch);
    }

    /// Removes a batch that is answered or ended.
    pub fn remove(&mut self, id: BatchId) -> Option<HandedBatch> {
        let batch = self.handed.remove(&id)?;
        self.by_request.remove(&batch.submission.request);
        self.by_number.remove(&batch.number);
        self.deadlines.remove(&(batch.caller_deadline, id));
        self.links.remove(batch.link);
        Some(batch)
    }

    /// Removes the batch that was offered under a number.
    pub fn remove_offer(&mut self, number: HandOverNumber) -> Option<HandedBatch> {
        let id = *self.by_number.get(&number)?;
        self.remove(id)
    }

    /// Whether a batch is handed over and not answered.
    pub fn is_handed(&self, id: BatchId) -> bool {
        self.handed.contains_key(&id)
    }

    /// Whether a batch is handed over on this link and not answered.
    pub fn is_handed_to(&self, id: BatchId, link: SessionId) -> bool {
        self.handed.get(&id).is_some_and(|batch| batch.link == link)
    }

    /// Same as [`HandedBatch::proven_until`]; none if the batch is not handed over.
    pub fn proven_until(&self, id: BatchId) -> Option<Now> {
        self.handed.get(&id).map(|batch| batch.proven_until)
    }

    /// The service that the queue of a batch had when it was handed over; none if it is not handed
    /// over.
    pub fn service_of(&self, id: BatchId) -> Option<&Arc<str>> {
        self.handed.get(&id).map(|batch| &batch.queue.service)
    }

    /// The batch that a request submitted.
    pub fn find_by_request(&self, request: RequestId) -> Option<BatchId> {
        self.by_request.get(&request).copied()
    }

    /// Makes a new request of the caller the one to answer, and returns the one before.
    pub fn replace_request(
        &mut self,
        id: BatchId,
        submission: Submission,
        wait: CallerWait,
    ) -> Option<RequestId> {
        let mut batch = self.remove(id)?;
        let before = batch.submission.request;
        // The receiver knows only the first deadline.
        batch.caller_deadline = batch.caller_deadline.min(wait.deadline);
        batch.proven_until = wait.proven_until;
        batch.submission = submission;
        self.insert(batch);
        Some(before)
    }

    /// Records that runs of a batch may be left until `until`.
    pub fn note_ended(&mut self, id: BatchId, number: HandOverNumber, until: Now) {
        self.ended.insert(id, EndedBatch { number, until });
    }

    /// Records the receiver's confirmation. Returns the batch if it was still blocked.
    pub fn note_closed(&mut self, now: Now, number: HandOverNumber) -> Option<BatchId> {
        let mut ended = self.ended.iter();
        let id = *ended.find(|(_, batch)| batch.number == number)?.0;
        self.unblock(now, id);
        Some(id)
    }

    fn unblock(&mut self, now: Now, id: BatchId) {
        self.ended.remove(&id);
        self.released.retain(|_, until| *until > now);
        self.released.insert(id, now + REOFFER_DELAY);
    }

    /// Whether a batch can be handed over: not while runs of it may be left, and not while agents may
    /// refuse its starts because they were told of its release.
    pub fn may_offer(&self, now: Now, id: BatchId) -> bool {
        let is_released = self.released.get(&id).is_some_and(|until| *until > now);
        !is_released && !self.has_ended(id)
    }

    /// Whether runs of a batch that was handed over may be left.
    pub fn has_ended(&self, id: BatchId) -> bool {
        self.ended.contains_key(&id)
    }

    /// Batches whose runs may be left.
    pub fn ended(&self) -> impl Iterator<Item = BatchId> {
        self.ended.keys().copied()
    }

    /// Removes and returns the ended batches whose runs must be over by now.
    pub fn take_expired(&mut self, now: Now) -> Vec<BatchId> {
        let is_over = |(_, batch): &(&BatchId, &EndedBatch)| batch.until <= now;
        let over = self.ended.iter().filter(is_over);
        let over: Vec<BatchId> = over.map(|(id, _)| *id).collect();
        for id in &over {
            self.unblock(now, *id);
        }
        over
    }

    /// Batches whose callers have stopped waiting.
    pub fn overdue(&self, now: Now) -> Vec<BatchId> {
        let due = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, id)| *id).collect()
    }

    /// The links on which batches are handed over.
    pub fn links(&self) -> &LinkUses {
        &self.links
    }

    /// Batches handed over on a link.
    pub fn on_link(&self, link: SessionId) -> Vec<BatchId> {
        let on_link = self.handed.iter().filter(|(_, b)| b.link == link);
        on_link.map(|(id, _)| *id).collect()
    }

    /// All batches that are handed over.
    pub fn ids(&self) -> Vec<BatchId> {
        self.handed.keys().copied().collect()
    }

    /// Number of batches that are handed over.
    pub fn len(&self) -> usize {
        self.handed.len()
    }

    /// Whether no batch is handed over.
    pub fn is_empty(&self) -> bool {
        self.handed.is_empty()
    }

    /// When the next deadline passes or block ends.
    pub fn next_wake(&self) -> Option<Now> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let ended = self.ended.values().map(|batch| batch.until).min();
        deadline.into_iter().chain(ended).min()
    }
}
