//! Handing batches over to other entries and taking theirs; docs/design/handover.md explains it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::callers::refusal;
use super::{BatchEntryCore, UNREAD_INPUT_GRACE};
use crate::active_batch::{Batch, BatchState, CloseReason};
use crate::batch::BatchSpec;
use crate::batch_event::{CallerWait, EntryAction, Refusal, Reply, Submission};
use crate::events::EventCode;
use crate::handover_giver::HandedBatch;
use crate::handover_receiver::{TakenBatch, is_giver};
use crate::handover_share::is_drawn;
use crate::ids::{Now, RequestId, SessionId};
use crate::payload::Payload;
use crate::peer_table::NeighbourLoad;
use crate::queue::Queue;
use crate::run::BatchId;
use crate::run_message::{
    EntryMillis, HandOver, HandOverDecline, HandOverNumber, HandOverOutcome, HandOverReply, Order,
    PeerNews, ProtocolVersion,
};

/// Lowest protocol version of entries that understand offers.
const HAND_OVER_PROTOCOL: ProtocolVersion = 1;
/// Time from an offer until the receiver must have read it.
const OFFER_WINDOW: Duration = Duration::from_millis(300);
/// Silence after which a giver takes a receiver for lost.
const RECEIVER_SILENCE_LIMIT: Duration = Duration::from_millis(650);
/// Silence after which a receiver takes a giver for lost. The agents that the giver can't reach
/// stop its runs at that time.
const GIVER_SILENCE_LIMIT: Duration = Duration::from_millis(800);
/// Utilization above which offers are declined.
const MAX_TAKING_UTILIZATION: f64 = 0.75;
/// A batch is given up once all usable targets, or this many, have refused it for lack of its
/// guarantor, which is gone then or has ended the batch.
const MAX_LACKING_AGENTS: usize = 8;
/// If no event was handled for this long, the process may have been stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);
/// Time after a stall to read the packets that arrived meanwhile.
const STALL_GRACE: Duration = Duration::from_millis(20);

impl BatchEntryCore {
    /// Hands a new batch over if this entry is loaded and a neighbour is not. Returns the batch if
    /// this entry keeps it.
    pub(super) fn keep_or_hand_over(
        &mut self,
        submission: Submission,
        queue: &Arc<Queue>,
        wait: CallerWait,
        is_retry: bool,
    ) -> Option<Submission> {
        let id = submission.spec.id;
        if let Some(service) = self.giver.service_of(id) {
            if *service == queue.service {
                self.replace_handed_request(id, submission, wait);
                return None;
            }
            // The receiver runs the batch at the service that its queue had before.
            self.give_up_on(id, "queue_moved");
        }
        let Some((receiver, clock)) = self.choose_receiver(id) else {
            return Some(submission);
        };
        let recipient = (&receiver, clock);
        self.offer(submission, queue, recipient, wait, is_retry);
        None
    }

    fn choose_receiver(&mut self, id: BatchId) -> Option<(NeighbourLoad, EntryMillis)> {
        self.options.processor_share?;
        let now = self.now;
        let utilization = self.entry_load.utilization(now);
        let utilization = utilization.map(|u| u.max(self.link_load.usage(now).min(1.0)));
        let share = self.handover_share.adjust(now, utilization);
        let may_offer = !self.drain.has_begun()
            && self.declined != Some(id)
            && self.giver.may_offer(now, id)
            && !self.directory.has_runs_elsewhere(now, id)
            && !self.directory.is_large_fleet();
        if !may_offer || !is_drawn(share, &mut self.rng) {
            return None;
        }
        let mut neighbours = self.directory.known_loads(now);
        neighbours.retain(|neighbour| {
            let peer = self.directory.peer(neighbour.link);
            let is_heard = peer.is_some_and(|p| p.heard + RECEIVER_SILENCE_LIMIT > now);
            is_heard && neighbour.protocol >= HAND_OVER_PROTOCOL
        });
        let hall = &self.options.hall;
        let unreported = &mut self.unreported_work;
        let receiver = unreported.choose(now, &neighbours, hall, &mut self.rng)?;
        let clock = self.directory.peer(receiver.link)?.clock_at(now)?;
        Some((receiver, clock))
    }

    fn offer(
        &mut self,
        submission: Submission,
        queue: &Arc<Queue>,
        (receiver, clock): (&NeighbourLoad, EntryMillis),
        wait: CallerWait,
        is_retry: bool,
    ) {
        let now = self.now;
        let number = self.giver.next_number();
        let spec = &submission.spec;
        let payload = self.payload_to_hand_over(&spec.payload);
        let age = if is_retry {
            self.options.timings.caller_retry_interval
        } else {
            Duration::ZERO
        };
        let offer = HandOver {
            number,
            batch: spec.id,
            host: submission.host.clone(),
            path: submission.path.clone(),
            steps: spec.steps.clone(),
            payload,
            timeout_ms: wait.deadline.saturating_sub(now).as_millis() as u32,
            age_ms: age.as_millis() as u32,
            proven_ms: wait.proven_until.saturating_sub(now).as_millis() as u32,
            request: submission.caller_request.clone(),
            start_by: clock + OFFER_WINDOW.as_millis() as EntryMillis,
        };
        let tasks: u32 = spec.steps.iter().map(|s| s.count).sum();
        self.log(
            EventCode::HandedOver,
            format!(
                "job={:016x} request={} queue={} tasks={tasks} to={} number={number} \
                 patience_ms={} returning={is_retry} load={:?}",
                spec.id,
                submission.caller_request,
                queue.name,
                receiver.name,
                offer.timeout_ms,
                receiver.load,
            ),
        );
        let news = PeerNews::HandOver(Box::new(offer));
        self.directory.tell(now, receiver.link, news);
        self.directory.set_carries_batches(receiver.link, true);
        self.unreported_work.add(now, &receiver.name);
        self.giver.insert(HandedBatch {
            number,
            link: receiver.link,
            receiver: receiver.name.clone(),
            queue: queue.clone(),
            offered: now,
            objective: queue.objective(spec.critical_path()),
            caller_deadline: wait.deadline,
            proven_until: wait.proven_until,
            submission,
        });
    }

    /// Leaves compressing the payload to the receiver if this entry rather lacks processor time than
    /// link.
    fn payload_to_hand_over(&mut self, text: &Arc<str>) -> Payload {
        let utilization = self.entry_load.utilization(self.now).unwrap_or_default();
        if self.link_load.usage(self.now) < utilization {
            return Payload::Text(text.clone());
        }
        self.packer.pack(text)
    }

    /// Answers the request of a caller that returned while its batch is handed over; the receiver's
    /// answer goes to the new request.
    fn replace_handed_request(&mut self, id: BatchId, submission: Submission, wait: CallerWait) {
        let caller_request = submission.caller_request.clone();
        if let Some(before) = self.giver.replace_request(id, submission, wait) {
            self.actions.push(EntryAction::Reply(before, Reply::GaveUp));
        }
        self.log(
            EventCode::BatchAdmitted,
            format!("job={id:016x} request={caller_request} again=true handed_over=true"),
        );
    }

    /// Handles another entry's message on a batch that is handed over.
    pub(super) fn handle_hand_over(&mut self, link: SessionId, message: PeerNews) {
        match message {
            PeerNews::HandOver(offer) => self.handle_offer(link, &offer),
            PeerNews::HandOverReply(reply) => self.handle_hand_over_reply(&reply),
            PeerNews::HandOverEnd(number) => {
                if let Some((id, request)) = self.receiver.find(link, number) {
                    self.close_taken(id, request, "giver_ended");
                }
            }
            PeerNews::HandOverClosed(number) => self.note_hand_over_closed(number),
            _ => {}
        }
    }

    fn handle_hand_over_reply(&mut self, reply: &HandOverReply) {
        let number = reply.number;
        let Some(batch) = self.giver.remove_offer(number) else {
            // The request ended before the answer arrived.
            if !reply.has_runs {
                self.note_hand_over_closed(number);
            }
            return;
        };
        self.note_link_use(batch.link);
        let id = batch.submission.spec.id;
        if let HandOverOutcome::Declined(why) = reply.outcome {
            self.take_back(batch, why);
            return;
        }
        if reply.has_runs {
            let until = self.now + self.options.timings.lost_agent_bound;
            self.giver.note_ended(id, number, until);
        }
        self.answer_handed(&batch, reply_of(reply.outcome));
    }

    /// Takes a batch that the receiver declined.
    fn take_back(&mut self, batch: HandedBatch, why: HandOverDecline) {
        let mut submission = batch.submission;
        let id = submission.spec.id;
        self.log(
            EventCode::HandOverDeclined,
            format!(
                "job={id:016x} queue={} by={} why={why:?}",
                batch.queue.name, batch.receiver
            ),
        );
        submission.caller_timeout = batch.caller_deadline.saturating_sub(self.now);
        self.declined = Some(id);
        let wait = CallerWait {
            deadline: batch.caller_deadline,
            proven_until: batch.proven_until,
        };
        self.admit_or_refuse(submission, wait);
        self.declined = None;
    }

    fn answer_handed(&mut self, batch: &HandedBatch, reply: Reply) {
        let id = batch.submission.spec.id;
        let took_ms = self.now.saturating_sub(batch.offered).as_millis() as u64;
        let objective = batch.objective.as_millis() as u64;
        let queue = &batch.queue.name;
        self.log(
            EventCode::BatchAnswered,
            format!(
                "job={id:016x} queue={queue} answer={reply:?} took_ms={took_ms} \
                 objective_ms={objective} handed_over={}",
                batch.receiver
            ),
        );
        if reply == Reply::Succeeded {
            self.actions.push(EntryAction::Measured(took_ms, objective));
        }
        let request = batch.submission.request;
        self.actions.push(EntryAction::Reply(request, reply));
    }

    /// Ends a batch before its answer: its runs are stopped at all agents, and it is blocked until
    /// they are over.
    fn end_handed(&mut self, id: BatchId, why: &str) -> Option<HandedBatch> {
        let batch = self.giver.remove(id)?;
        let age_ms = self.now.saturating_sub(batch.offered).as_millis();
        self.log(
            EventCode::HandOverReleased,
            format!(
                "job={id:016x} number={} to={} why={why} age_ms={age_ms}",
                batch.number, batch.receiver
            ),
        );
        let until = self.now + self.options.timings.lost_agent_bound;
        self.giver.note_ended(id, batch.number, until);
        let end = PeerNews::HandOverEnd(batch.number);
        self.directory.tell(self.now, batch.link, end);
        let outboxes = self.outboxes.values_mut();
        for outbox in outboxes.filter(|outbox| outbox.knows_guarantors) {
            outbox.orders.push(Order::Release(id));
        }
        self.tell_runs_left(id);
        self.note_link_use(batch.link);
        Some(batch)
    }

    pub(super) fn give_up_on(&mut self, id: BatchId, why: &str) {
        if let Some(batch) = self.end_handed(id, why) {
            self.answer_handed(&batch, Reply::GaveUp);
        }
    }

    /// Gives up all batches that are handed over, because the process exits.
    pub(super) fn give_up_handed(&mut self) {
        for id in self.giver.ids() {
            self.give_up_on(id, "draining");
        }
    }

    pub(super) fn handle_handed_caller_gone(&mut self, request: RequestId) {
        if let Some(id) = self.giver.find_by_request(request) {
            self.end_handed(id, "caller_gone");
        }
    }

    /// Cancels a batch that is handed over and answers its caller; returns false if it is not.
    pub(super) fn cancel_handed(&mut self, id: BatchId) -> bool {
        let Some(batch) = self.end_handed(id, "cancelled") else {
            return false;
        };
        let request = batch.submission.request;
        self.actions
            .push(EntryAction::Reply(request, Reply::Cancelled));
        true
    }

    fn note_hand_over_closed(&mut self, number: HandOverNumber) {
        let Some(id) = self.giver.note_closed(self.now, number) else {
            return;
        };
        self.directory.tell_runs_over(self.now, id);
        self.needs_placing = true;
    }

    /// Takes an offered batch, or answers why not.
    fn handle_offer(&mut self, link: SessionId, offer: &HandOver) {
        let Err(outcome) = self.take_over(link, offer) else {
            self.needs_placing = true;
            return;
        };
        let number = offer.number;
        self.log(
            EventCode::HandOverDeclined,
            format!("job={:016x} number={number} why={outcome:?}", offer.batch),
        );
        let reply = HandOverReply {
            number,
            outcome,
            has_runs: false,
        };
        self.directory
            .tell(self.now, link, PeerNews::HandOverReply(reply));
    }

    fn take_over(&mut self, link: SessionId, offer: &HandOver) -> Result<(), HandOverOutcome> {
        let id = offer.batch;
        if let Some(why) = self.reason_to_decline(offer) {
            return Err(HandOverOutcome::Declined(why));
        }
        if self.directory.is_cancelled(self.now, id) {
            return Err(HandOverOutcome::Cancelled);
        }
        let queue = self.find_queue(&offer.host, &offer.path);
        let queue = queue.map_err(|_| HandOverOutcome::Declined(HandOverDecline::NoQueue))?;
        if self.targets.is_evacuated(self.now, &queue.service) {
            return Err(HandOverOutcome::Evacuated);
        }
        let Some(peer) = self.directory.peer(link) else {
            return Err(HandOverOutcome::Declined(HandOverDecline::Late));
        };
        let (giver, name) = (peer.life, peer.name.clone());
        let spec = BatchSpec {
            id,
            payload: "".into(),
            steps: offer.steps.clone(),
            unsupported: None,
        };
        let timeout = Duration::from_millis(u64::from(offer.timeout_ms));
        let is_retry =
            u128::from(offer.age_ms) >= self.options.timings.caller_retry_interval.as_millis();
        let wait = CallerWait {
            deadline: self.now + timeout,
            proven_until: offered_at(offer) + Duration::from_millis(u64::from(offer.proven_ms)),
        };
        let times = self.batch_times(&spec, &queue, wait, is_retry);
        if let Err(reply) = self.refuse_if_unplaceable(&spec, times) {
            return Err(outcome_of(&reply));
        }
        let tasks: u32 = spec.steps.iter().map(|s| s.count).sum();
        let due_ms = (times.due - times.arrived).as_millis();
        let number = offer.number;
        self.log(
            EventCode::TakenOver,
            format!(
                "job={id:016x} request={} queue={} tasks={tasks} from={name} number={number} \
                 due_ms={due_ms} patience_ms={}",
                offer.request, queue.name, offer.timeout_ms
            ),
        );
        let request = self.receiver.next_request();
        let payload = match &offer.payload {
            Payload::Text(text) => self.packer.pack(text),
            packed => packed.clone(),
        };
        let mut batch = Batch::new(&spec, payload, queue, request, times);
        let taken = TakenBatch {
            link,
            giver,
            number,
            request,
            lacking: BTreeSet::new(),
        };
        self.receiver.insert(self.now, id, taken);
        self.directory.set_carries_batches(link, true);
        if self.add_known_crashes(id, &mut batch, request) {
            self.table.insert(id, batch);
            self.report_held(id);
        }
        Ok(())
    }

    fn reason_to_decline(&self, offer: &HandOver) -> Option<HandOverDecline> {
        let now = self.now;
        let id = offer.batch;
        if now.as_millis() as EntryMillis > offer.start_by {
            return Some(HandOverDecline::Late);
        }
        if self.drain.has_begun() {
            return Some(HandOverDecline::Draining);
        }
        let utilization = self.entry_load.utilization(now);
        if utilization.is_none_or(|u| u > MAX_TAKING_UTILIZATION) {
            return Some(HandOverDecline::Load);
        }
        let is_known = self.table.get(id).is_some()
            || self.receiver.is_known(id)
            || self.giver.is_handed(id)
            || self.giver.has_ended(id)
            || self.directory.has_runs_elsewhere(now, id);
        if is_known {
            return Some(HandOverDecline::Known);
        }
        (self.targets.usable(now) == 0).then_some(HandOverDecline::NoTarget)
    }

    /// Closes a batch whose giver waits for no answer any more.
    fn close_taken(&mut self, id: BatchId, request: RequestId, why: &str) {
        let Some((_, taken)) = self.receiver.remove_request(request) else {
            return;
        };
        self.note_link_use(taken.link);
        self.receiver
            .note_closing(id, &taken, self.closing_deadline());
        if self
            .table
            .get(id)
            .is_none_or(|b| b.request != Some(request))
        {
            return;
        }
        let age_ms = self.table.age(self.now, id).as_millis();
        self.log(
            EventCode::BatchClosed,
            format!("job={id:016x} why={why} age_ms={age_ms}"),
        );
        self.table.take_request(id);
        self.close(id, CloseReason::GiverEnded);
    }

    /// When a giver that is told of a batch's end now stops waiting for its runs.
    fn closing_deadline(&self) -> Now {
        self.now + self.options.timings.lost_agent_bound
    }

    /// Sends the answers of batches that were taken over to their givers.
    pub(super) fn relay_answers(&mut self) {
        let is_relayed =
            |action: &EntryAction| matches!(action, EntryAction::Reply(r, _) if is_giver(*r));
        if self.receiver.is_empty() || !self.actions.iter().any(is_relayed) {
            return;
        }
        let actions = std::mem::take(&mut self.actions);
        let (relayed, kept): (Vec<_>, Vec<_>) = actions.into_iter().partition(is_relayed);
        self.actions = kept;
        for action in relayed {
            if let EntryAction::Reply(request, reply) = action {
                self.answer_giver(request, &reply);
            }
        }
    }

    fn answer_giver(&mut self, request: RequestId, reply: &Reply) {
        let Some((id, taken)) = self.receiver.remove_request(request) else {
            return;
        };
        let has_runs = self.table.get(id).is_some_and(|b| b.open_runs > 0);
        if has_runs {
            self.receiver
                .note_closing(id, &taken, self.closing_deadline());
            // The caller has come to this entry itself, and the giver, which the runs name as their
            // guarantor, does not wait for them any more.
            self.stop_open_runs(id);
        }
        let answer = HandOverReply {
            number: taken.number,
            outcome: outcome_of(reply),
            has_runs,
        };
        self.directory
            .tell(self.now, taken.link, PeerNews::HandOverReply(answer));
        self.note_link_use(taken.link);
    }

    /// Stops the runs of an open batch. Their tasks wait again afterwards.
    pub(super) fn stop_open_runs(&mut self, id: BatchId) {
        let Some(batch) = self.table.get(id) else {
            return;
        };
        if batch.state != BatchState::Open {
            return;
        }
        for (key, agent) in batch.open_runs(id, true) {
            self.table.mark_stopping(key);
            self.order_stop(key, &agent);
        }
    }

    /// Confirms to the givers that no run is left of batches that have ended.
    pub(super) fn confirm_closed(&mut self) {
        if !self.receiver.has_closing() {
            return;
        }
        let directory = &self.directory;
        let link_to = |giver| directory.link_to(giver);
        let confirmations = self.receiver.take_confirmations(self.now, link_to);
        for (link, number) in confirmations {
            self.directory
                .tell(self.now, link, PeerNews::HandOverClosed(number));
        }
    }

    pub(super) fn note_guarantor_lacking(&mut self, id: BatchId, agent: &str) {
        let usable = self.targets.usable(self.now);
        if self.receiver.note_lacking(id, agent) >= usable.min(MAX_LACKING_AGENTS)
            && self
                .table
                .get(id)
                .is_some_and(|b| b.state == BatchState::Open)
        {
            self.close(id, CloseReason::Deadline);
        }
    }

    /// Notes a gap between events, after which packets may be unread.
    pub(super) fn note_stall(&mut self, now: Now) {
        if self.now + STALL_THRESHOLD <= now {
            self.resumed_until = now + STALL_GRACE;
        }
        // Linked agents send packets at shorter intervals.
        if self.now + self.options.timings.suspect_after <= now {
            self.unread_until = Some(now + UNREAD_INPUT_GRACE);
        }
    }

    /// Ends the batches whose other side is gone or whose time is up.
    pub(super) fn check_hand_overs(&mut self) {
        self.check_givers();
        self.check_receivers();
        for id in self.giver.overdue(self.now) {
            self.give_up_on(id, "deadline");
        }
        for id in self.giver.take_expired(self.now) {
            self.directory.tell_runs_over(self.now, id);
            self.needs_placing = true;
        }
        let table = &self.table;
        let has_open_runs = |id| table.get(id).is_some_and(|b| b.open_runs > 0);
        self.needs_placing |= self.receiver.settle(has_open_runs);
    }

    /// Closes the batches of givers that are gone. This comes before other decisions, also after a
    /// stall: agents may have forgotten by now that the giver released a batch.
    fn check_givers(&mut self) {
        let links = self.receiver.links().iter();
        let lost = links.filter(|(link, since)| self.giver_lost_at(*link, *since) <= self.now);
        let lost: Vec<SessionId> = lost.map(|(link, _)| link).collect();
        for link in lost {
            for (id, request) in self.receiver.on_link(link) {
                self.close_taken(id, request, "giver_lost");
            }
        }
    }

    fn check_receivers(&mut self) {
        let links = self.giver.links().iter();
        let lost = links.filter(|(link, since)| self.receiver_lost_at(*link, *since) <= self.now);
        let lost: Vec<SessionId> = lost.map(|(link, _)| link).collect();
        for link in lost {
            for id in self.giver.on_link(link) {
                self.give_up_on(id, "receiver_lost");
            }
        }
    }

    /// When the giver behind a link counts as lost.
    fn giver_lost_at(&self, link: SessionId, since: Now) -> Now {
        let peer = self.directory.peer(link);
        peer.map_or(Now::ZERO, |p| p.heard.max(since) + GIVER_SILENCE_LIMIT)
    }

    /// When the receiver behind a link counts as lost. Its packets may be unread after a stall or
    /// while this entry lacks processor time.
    fn receiver_lost_at(&self, link: SessionId, since: Now) -> Now {
        let Some(peer) = self.directory.peer(link) else {
            return Now::ZERO;
        };
        let unread = self.entry_load.recent_lag(self.now);
        let silent_at = peer.heard.max(since) + RECEIVER_SILENCE_LIMIT + unread;
        silent_at.max(self.resumed_until)
    }

    /// When [`Self::check_hand_overs`] may have something to do.
    pub(super) fn next_hand_over_check(&self) -> Option<Now> {
        let givers = self.receiver.links().iter();
        let givers = givers.map(|(link, since)| self.giver_lost_at(link, since));
        let receivers = self.giver.links().iter();
        let receivers = receivers.map(|(link, since)| self.receiver_lost_at(link, since));
        givers.chain(receivers).chain(self.giver.next_wake()).min()
    }

    /// Adjusts the heartbeats of a link after a batch on it has ended.
    fn note_link_use(&mut self, link: SessionId) {
        let is_used = self.giver.links().contains(link) || self.receiver.links().contains(link);
        self.directory.set_carries_batches(link, is_used);
    }
}

/// When a batch was offered at the latest, on the receiver's clock.
fn offered_at(offer: &HandOver) -> Now {
    Now::from_millis(offer.start_by).saturating_sub(OFFER_WINDOW)
}

fn outcome_of(reply: &Reply) -> HandOverOutcome {
    match reply {
        Reply::Succeeded => HandOverOutcome::Succeeded,
        Reply::Failed => HandOverOutcome::Failed,
        Reply::Cancelled => HandOverOutcome::Cancelled,
        Reply::Refused {
            why: Refusal::Evacuated,
            ..
        } => HandOverOutcome::Evacuated,
        Reply::Refused { retry_after, .. } => {
            let retry_after = retry_after.unwrap_or_default();
            HandOverOutcome::Busy(retry_after.as_millis() as u32)
        }
        _ => HandOverOutcome::GaveUp,
    }
}

fn reply_of(outcome: HandOverOutcome) -> Reply {
    match outcome {
        HandOverOutcome::Succeeded => Reply::Succeeded,
        HandOverOutcome::Failed => Reply::Failed,
        HandOverOutcome::Cancelled => Reply::Cancelled,
        HandOverOutcome::Busy(retry_after_ms) => Reply::Refused {
            why: Refusal::Busy,
            retry_after: Some(Duration::from_millis(u64::from(retry_after_ms))),
        },
        HandOverOutcome::Evacuated => refusal(Refusal::Evacuated),
        HandOverOutcome::GaveUp | HandOverOutcome::Declined(_) => Reply::GaveUp,
    }
}
