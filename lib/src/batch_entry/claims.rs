//! Claims: before an entry starts tasks of a batch whose caller may be at another entry by now, it asks the
//! witnesses of the batch. docs/design/ages-of-requests.md explains them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::BatchEntryCore;
use crate::active_batch::{BatchState, CloseReason};
use crate::batch_event::{EntryAction, Reply};
use crate::events::EventCode;
use crate::ids::{Incarnation, SessionId};
use crate::run::BatchId;
use crate::run_message::{ClaimNotice, ClaimReply, PeerNews};

/// Share of the callers' retry interval for which the answer of a witness is waited for.
pub(super) const PATIENCE_DIVISOR: u32 = 10;
/// Pause before the witnesses are asked again about a batch that another entry may hold.
pub(super) const HELD_RETRY_PAUSE: Duration = Duration::from_millis(100);

impl BatchEntryCore {
    /// Asks the witnesses of waiting batches that nothing vouches for.
    pub(super) fn claim_unproven(&mut self) {
        let now = self.now;
        let is_unproven = |id: &BatchId| {
            let batch = self.table.get(*id);
            batch.is_some_and(|b| !b.is_vouched_for(now))
                && !self.claims.contains(*id)
                && !self.directory.has_runs_elsewhere(now, *id)
        };
        let unproven: Vec<BatchId> = self
            .table
            .in_placement_order()
            .filter(is_unproven)
            .collect();
        if unproven.is_empty() {
            return;
        }
        let number = self.claims.next_number();
        let mut notices: BTreeMap<SessionId, ClaimNotice> = BTreeMap::new();
        for id in unproven {
            if self.is_held_by_others(id, self.options.incarnation) {
                self.claims.note_held(now, id);
                continue;
            }
            let witnesses = self.directory.claim_witnesses(id);
            for (place, link) in witnesses.iter().enumerate() {
                let notice = notices.entry(*link).or_default();
                let batches = if place == 0 {
                    &mut notice.claims
                } else {
                    &mut notice.checks
                };
                batches.push(id);
            }
            let may_return = self.directory.lost_peer_lately(now);
            self.claims.ask(now, id, number, &witnesses, may_return);
        }
        for (link, notice) in notices {
            let news = PeerNews::Claim(ClaimNotice { number, ..notice });
            let packet = self.directory.urgent_packet(now, link, news);
            self.actions.extend(packet);
        }
        self.settle_claims();
    }

    /// Lets the batches start whose claims are granted.
    pub(super) fn settle_claims(&mut self) {
        let valid_for = self.options.timings.caller_retry_interval;
        let lost_before = self.now.saturating_sub(valid_for);
        self.witnessed.forget_expired(self.now, lost_before);
        let settled = self.claims.settle(self.now);
        self.needs_placing |= settled.is_retry_due;
        for claim in settled.granted {
            let Some(batch) = self.table.get_mut(claim.batch) else {
                continue;
            };
            batch.granted_until = claim.asked_at + valid_for;
            self.needs_placing = true;
            if !claim.is_answered {
                let id = claim.batch;
                self.log(EventCode::ClaimUnanswered, format!("job={id:016x}"));
            }
        }
    }

    /// Handles another entry's message on claims.
    pub(super) fn handle_claim_news(&mut self, link: SessionId, news: PeerNews) {
        match news {
            PeerNews::Claim(notice) => self.answer_claims(link, &notice),
            PeerNews::ClaimReply(reply) => {
                for batch in &reply.held {
                    self.log(EventCode::ClaimRefused, format!("job={batch:016x}"));
                }
                self.claims.answered(link, reply.number, &reply.held);
                self.settle_claims();
            }
            PeerNews::Superseded(batch) => self.handle_superseded(batch),
            _ => {}
        }
    }

    fn answer_claims(&mut self, link: SessionId, notice: &ClaimNotice) {
        let Some(asker) = self.directory.peer(link).map(|peer| peer.life) else {
            return;
        };
        let until = self.now + self.options.timings.caller_retry_interval;
        let mut reply = ClaimReply {
            number: notice.number,
            held: Vec::new(),
        };
        for (batch, is_first) in claimed_batches(notice) {
            let is_held = self.unread_until.is_some()
                || self.is_held_here(batch, asker, link)
                || self.witnessed.is_held_by_another(batch, asker)
                || (is_first && self.witnessed.is_granted_to_another(batch, asker));
            if is_held {
                reply.held.push(batch);
            }
            if is_first {
                self.witnessed.note_claim(batch, asker, until, !is_held);
            }
        }
        let news = PeerNews::ClaimReply(reply);
        let packet = self.directory.urgent_packet(self.now, link, news);
        self.actions.extend(packet);
    }

    /// Whether an entry other than `owner` is known to hold a batch, or to be about to start it.
    fn is_held_by_others(&self, batch: BatchId, owner: Incarnation) -> bool {
        self.witnessed.is_held_by_another(batch, owner)
            || self.witnessed.is_granted_to_another(batch, owner)
    }

    /// Whether this entry holds a batch that the entry behind a link claims.
    fn is_held_here(&self, id: BatchId, asker: Incarnation, link: SessionId) -> bool {
        let Some(batch) = self.table.get(id) else {
            return self.giver.is_handed(id) && !self.giver.is_handed_to(id, link);
        };
        let is_undecided = !batch.was_dispatched && !batch.is_vouched_for(self.now);
        // Of two entries that ask each other at once, one must give way.
        !is_undecided || self.options.incarnation < asker
    }

    /// Handles the first report on batches by the entry behind a link. Those that it has not claimed came to
    /// it later than to any other entry.
    pub(super) fn note_new_holder(
        &mut self,
        link: SessionId,
        owner: Incarnation,
        batches: Vec<BatchId>,
    ) {
        for batch in batches {
            if self.witnessed.has_claimed(batch, owner) {
                continue;
            }
            for other in self.witnessed.other_holders(batch, owner) {
                let news = PeerNews::Superseded(batch);
                let packet = self.directory.urgent_packet(self.now, other, news);
                self.actions.extend(packet);
            }
            // The receiver of a batch runs it for this entry.
            if !self.giver.is_handed_to(batch, link) {
                self.handle_superseded(batch);
            }
        }
    }

    /// Gives up a batch whose caller has come to another entry since it came here.
    fn handle_superseded(&mut self, id: BatchId) {
        if self.giver.proven_until(id).is_some_and(|at| at <= self.now) {
            self.give_up_on(id, "superseded");
        }
        let Some(batch) = self.table.get(id) else {
            return;
        };
        // A caller whose request is proven to be recent has come here last.
        if batch.state != BatchState::Open || batch.proven_until > self.now {
            return;
        }
        let age_ms = self.table.age(self.now, id).as_millis();
        self.log(
            EventCode::BatchClosed,
            format!("job={id:016x} why=superseded age_ms={age_ms}"),
        );
        if let Some(request) = self.table.take_request(id) {
            self.actions
                .push(EntryAction::Reply(request, Reply::GaveUp));
        }
        self.close(id, CloseReason::CallerGone);
    }
}

/// The batches of a notice, and whether its receiver is the first witness of each.
fn claimed_batches(notice: &ClaimNotice) -> impl Iterator<Item = (BatchId, bool)> {
    let claims = notice.claims.iter().map(|batch| (*batch, true));
    let checks = notice.checks.iter().map(|batch| (*batch, false));
    claims.chain(checks)
}
