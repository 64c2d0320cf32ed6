//! Starts: from an entry's order to the proof that the task runs or never will.

use std::sync::Arc;
use std::time::Duration;

use super::{RunAgentCore, STALL_GRACE};
use crate::events::EventCode;
use crate::ids::{Incarnation, Now, SessionId};
use crate::run::{NotStarted, RunEnd, RunKey};
use crate::run_event::{AgentAction, StartAnswer, StartCall};
use crate::run_message::{AgentNews, StartOrder};
use crate::run_table::{FencingToken, Phase, Run};
use crate::target_lease::Extension;

/// Longest timeout of a start, and the limit of its call. The target is on this VM and answers
/// within a few milliseconds; the rest is for a VM that is slowed down.
pub(super) const MAX_START_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest timeout of a start, for targets that answer quickly. Four times what an answer takes at
/// a busy target, and a third of the shortest usual task.
pub(super) const MIN_START_TIMEOUT: Duration = Duration::from_millis(20);

impl RunAgentCore {
    /// When the start of a run counts as unanswered; none if no start is in flight.
    pub(super) fn answer_deadline(&self, run: &Run) -> Option<Now> {
        let Phase::Starting { sent, .. } = run.phase else {
            return None;
        };
        let by = sent + self.start_timeout.limit();
        Some(by.max(self.resumed_at + STALL_GRACE))
    }

    pub(super) fn start_ordered(&mut self, link: SessionId, order: StartOrder) {
        self.entry_links
            .record_starts(link, order.runs.len() as u64);
        let Some(entry) = self.entry_links.get_mut(link).and_then(|l| l.entry) else {
            return;
        };
        let payload = match self.payload_of(link, &order) {
            Ok(payload) => payload,
            Err(reason) => {
                for key in order.keys() {
                    self.refuse(Some(entry), key, reason);
                }
                return;
            }
        };
        for key in order.keys() {
            if let Err(reason) = self.start_run(entry, key, &order, &payload) {
                self.refuse(Some(entry), key, reason);
            }
        }
    }

    /// Returns the payload of an order, which was sent with this order or with an earlier one of
    /// the batch.
    fn payload_of(&mut self, link: SessionId, order: &StartOrder) -> Result<Arc<str>, NotStarted> {
        let Some(payload) = &order.payload else {
            let known = self.payloads.get(link, order.batch);
            return known.ok_or(NotStarted::NoPayload);
        };
        match self.unpacker.unpack(payload) {
            Ok(payload) => {
                self.payloads.keep(link, order.batch, &payload);
                Ok(payload)
            }
            Err(e) => {
                // No entry of the same protocol version sends such an order.
                self.log(EventCode::MalformedFrame, e.to_string());
                Err(NotStarted::Unreachable)
            }
        }
    }

    pub(super) fn refuse(&mut self, entry: Option<Incarnation>, key: RunKey, reason: NotStarted) {
        self.log(
            EventCode::RunNotStarted,
            format!("run={key} reason={reason:?}"),
        );
        if let Some(entry) = entry {
            self.answer(entry, key, AgentNews::NotStarted { key, reason });
        }
    }

    pub(super) fn start_run(
        &mut self,
        entry: Incarnation,
        key: RunKey,
        order: &StartOrder,
        payload: &Arc<str>,
    ) -> Result<(), NotStarted> {
        if self.draining_since.is_some() {
            return Err(NotStarted::Leaving);
        }
        let start_by = Duration::from_millis(order.start_by);
        if start_by <= self.now || !self.entry_links.has_valid_lease(self.now, entry) {
            return Err(NotStarted::Late);
        }
        if !self.is_guaranteed(order) {
            return Err(NotStarted::NoGuarantor);
        }
        let target = self.incarnations.current().cloned();
        let target = target.ok_or(NotStarted::Unreachable)?;
        // The entry may not have read yet that another incarnation, perhaps of another kind, is current.
        if order
            .target
            .as_ref()
            .is_some_and(|meant| *meant != target.life)
        {
            return Err(NotStarted::Replaced);
        }
        if self.incarnations.may_be_leaving() {
            return Err(NotStarted::Leaving);
        }
        if self.is_evacuated() {
            return Err(NotStarted::Evacuated);
        }
        if target.service != order.service {
            return Err(NotStarted::WrongService);
        }
        if !self.knows_runs || self.lease.is_silent() {
            return Err(NotStarted::Unreachable);
        }
        if self.lease.has_unanswered_call() {
            return Err(NotStarted::Doubtful);
        }
        if self.runs.has_task(key.task) {
            return Err(NotStarted::Superseded);
        }
        // A task that runs alone reserves the whole capacity.
        let size = if order.alone {
            target.capacity
        } else {
            order.size
        };
        let fits = order.size.fits_in(target.capacity)
            && size.fits_in(self.runs.free(target.capacity))
            && (self.runs.is_empty() || !order.alone);
        if !fits {
            return Err(NotStarted::Full);
        }
        let run = Run {
            owner: Some(entry),
            guarantor: order.guarantor,
            is_adopted: false,
            target: Some(target.life),
            size: Some(size),
            payload: payload.clone(),
            estimate: Duration::from_millis(u64::from(order.estimate_ms)),
            start_by,
            since: self.now,
            running_since: None,
            phase: Phase::Unconfirmed {
                token: 0,
                sent: self.now,
            },
            is_resent: false,
            stopping: None,
            slow_report_at: Now::ZERO,
            end_if_unlisted: RunEnd::Lost,
        };
        self.runs.insert(key, run);
        self.send_start(key).inspect_err(|_| {
            self.runs.remove(key);
        })
    }

    pub(super) fn send_start(&mut self, key: RunKey) -> Result<(), NotStarted> {
        // A lost start is resent only to the incarnation that its entry chose: the next one may be of
        // another kind.
        if !self.is_of_current(key) {
            return Err(NotStarted::Unreachable);
        }
        // Checked again: the hall may have been evacuated before a lost start is resent.
        if self.is_evacuated() {
            return Err(NotStarted::Evacuated);
        }
        // The capacity may have shrunk since the run was added.
        let capacity = self.incarnations.current().map(|target| target.capacity);
        if !capacity.is_some_and(|c| self.runs.is_within(c)) {
            return Err(NotStarted::Full);
        }
        // A start extends the lease of all runs, also of those whose lease must lapse.
        let ends_by = match self.allowed_extension() {
            Extension::None => return Err(NotStarted::Doubtful),
            Extension::Full => None,
            Extension::EndsBy(ends_by) => Some(ends_by),
        };
        if !self.lease.is_token_seen() {
            return Err(NotStarted::Doubtful);
        }
        let until = self.lease.renew_until(self.now, ends_by);
        let until = until.ok_or(NotStarted::Unreachable)?;
        let token = self.lease.token();
        let sent = self.now;
        let Some(run) = self.runs.get_mut(key) else {
            return Ok(());
        };
        let target = run.target.clone().ok_or(NotStarted::Unreachable)?;
        run.phase = Phase::Starting { token, sent };
        self.actions.push(AgentAction::Start(StartCall {
            key,
            payload: run.payload.clone(),
            until,
            token,
            target_name: target.name,
            born: target.born,
            limit: MAX_START_TIMEOUT,
        }));
        Ok(())
    }

    /// Whether a run was ordered for the current incarnation of the target, whose lists were read last.
    fn is_of_current(&self, key: RunKey) -> bool {
        let target = self.runs.get(key).and_then(|run| run.target.as_ref());
        target.is_some_and(|target| {
            self.incarnations.current_incarnation() == Some(target) && self.lease.is_of(target)
        })
    }

    pub(super) fn not_started(&mut self, key: RunKey, reason: NotStarted) {
        if let Some(run) = self.runs.remove(key) {
            self.refuse(run.owner, key, reason);
        }
    }

    pub(super) fn start_answered(&mut self, key: RunKey, token: FencingToken, answer: StartAnswer) {
        let Some(phase) = self.runs.get(key).map(|run| run.phase) else {
            return;
        };
        match phase {
            Phase::Starting { token: t, sent } | Phase::Unconfirmed { token: t, sent }
                if t == token =>
            {
                if !matches!(answer, StartAnswer::NoAnswer | StartAnswer::Refused) {
                    self.start_timeout.learn(self.now.saturating_sub(sent));
                    self.lease.note_answer(self.now);
                }
            }
            _ => return,
        }
        match answer {
            StartAnswer::Started { clock } => {
                // A late answer of a former incarnation tells its clock and its token.
                if self.is_of_current(key) {
                    self.lease.learn_clock(self.now, clock);
                    self.lease.note_seen(token);
                }
                self.mark_running(key);
            }
            StartAnswer::Fenced => self.start_fenced(key, token),
            StartAnswer::Superseded => self.not_started(key, NotStarted::Superseded),
            StartAnswer::Late => self.not_started(key, NotStarted::Late),
            StartAnswer::Full => self.not_started(key, NotStarted::Full),
            StartAnswer::Unhealthy => self.not_started(key, NotStarted::Unhealthy),
            StartAnswer::Refused => {
                // Nothing is started until the lists have been read again.
                self.knows_runs = false;
                self.lease.note_refused();
                self.not_started(key, NotStarted::Unreachable);
            }
            StartAnswer::Restarted => {
                // The next lists state another start time, which ends the incarnation.
                self.knows_runs = false;
                self.not_started(key, NotStarted::Unreachable);
            }
            StartAnswer::OtherIncarnation => {
                self.not_started(key, NotStarted::Unreachable);
                self.end_incarnation("another incarnation answers");
                self.announce_target();
            }
            StartAnswer::NoAnswer => self.starts_unanswered(&[(key, token)]),
        }
    }

    pub(super) fn mark_running(&mut self, key: RunKey) {
        let now = self.now;
        if let Some(run) = self.runs.get_mut(key) {
            run.phase = Phase::Running;
            run.running_since.get_or_insert(now);
        }
    }

    /// Resends a start that the target refused because of its token, once it has accepted a higher one.
    pub(super) fn start_fenced(&mut self, key: RunKey, token: FencingToken) {
        self.lease.raise_token_past(token);
        if self.lease.is_token_seen() || self.is_evacuated() {
            self.retry_start(key, NotStarted::Late);
        } else {
            self.starts_unanswered(&[(key, token)]);
        }
    }

    /// Resends a start that is known not to have taken effect, or tells the entry that the run was
    /// not started.
    pub(super) fn retry_start(&mut self, key: RunKey, reason: NotStarted) {
        let may_retry = self
            .runs
            .get(key)
            .is_some_and(|r| r.start_by > self.now && r.stopping.is_none())
            && self.owned_until(key).is_some_and(|until| until > self.now);
        if !may_retry || self.incarnations.current().is_none() {
            self.not_started(key, reason);
            return;
        }
        if let Err(reason) = self.send_start(key) {
            self.not_started(key, reason);
        }
    }

    /// Fences off starts whose answers are overdue.
    pub(super) fn fence_overdue_starts(&mut self) {
        let mut overdue = Vec::new();
        for (key, run) in self.runs.iter() {
            let is_overdue = self.answer_deadline(run).is_some_and(|by| by <= self.now);
            if let (Phase::Starting { token, .. }, true) = (run.phase, is_overdue) {
                overdue.push((key, token));
            }
        }
        self.starts_unanswered(&overdue);
    }

    /// Fences off starts that may have taken effect or may do so later. Once the target has seen a
    /// higher token, they can't take effect any more, and its lists tell which ones did.
    pub(super) fn starts_unanswered(&mut self, starts: &[(RunKey, FencingToken)]) {
        let mut has_new = false;
        for &(key, token) in starts {
            let Some(run) = self.runs.get_mut(key) else {
                continue;
            };
            let Phase::Starting { sent, .. } = run.phase else {
                continue;
            };
            run.phase = Phase::Unconfirmed { token, sent };
            has_new = true;
            let after_ms = self.now.saturating_sub(sent).as_millis();
            self.log(
                EventCode::StartUnanswered,
                format!("run={key} token={token} after_ms={after_ms}"),
            );
            if self.lease.token() <= token {
                self.lease.raise_token();
            }
        }
        if has_new {
            let extension = self.allowed_extension();
            let renewal = self.lease.renew_now(self.now, extension);
            self.push_renewal(renewal);
        }
    }

    /// Resends a lost start once. A second loss is reported to the entry, because the target may be
    /// dropping all orders.
    pub(super) fn start_lost(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if let end @ RunEnd::Crashed { .. } = run.end_if_unlisted {
            // The start itself may have crashed the target, so it isn't resent.
            self.end_run(key, end);
        } else if std::mem::replace(&mut run.is_resent, true) {
            self.not_started(key, NotStarted::Unanswered);
        } else {
            self.retry_start(key, NotStarted::Unanswered);
        }
    }
}
