//! Starts: from an entry's order to the proof that a task runs, or never did.

use std::sync::Arc;
use std::time::Duration;

use super::{CATCH_UP, RunAgentCore};
use crate::events::EventCode;
use crate::ids::{Incarnation, Now, SessionId};
use crate::run::{NotStarted, RunEnd, RunKey};
use crate::run_event::{AgentAction, StartAnswer, StartCall};
use crate::run_message::{AgentNews, StartOrder};
use crate::run_table::{FencingToken, Phase, Run};
use crate::target_incarnation::TargetName;

/// How long a start may go unanswered. The target is on this VM and answers within a few
/// milliseconds; the rest is for a VM that is slowed down.
pub(super) const START_LIMIT: Duration = Duration::from_millis(100);
/// The same, at the least, where answers are known to come quickly: four times what an answer
/// takes at a busy target, and a third of the shortest usual task.
pub(super) const LEAST_START_LIMIT: Duration = Duration::from_millis(20);

impl RunAgentCore {
    /// When a start on the way counts as unanswered.
    pub(super) fn answer_by(&self, run: &Run) -> Option<Now> {
        let Phase::Starting { sent, .. } = run.phase else {
            return None;
        };
        let by = sent + self.start_time.limit();
        Some(by.max(self.resumed + CATCH_UP))
    }

    pub(super) fn start_ordered(&mut self, link: SessionId, order: StartOrder) {
        self.entries.ordered(link, order.runs.len() as u64);
        let Some(entry) = self.entries.get_mut(link).and_then(|l| l.entry) else {
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

    /// The payload of an order, which came with it or before it.
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
                // Nobody who speaks the same version sends such an order.
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
            self.entries
                .tell(entry, AgentNews::NotStarted { key, reason });
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
        if start_by <= self.now || !self.entries.is_held(self.now, entry) {
            return Err(NotStarted::Late);
        }
        let target = self.lives.current().cloned();
        let target = target.ok_or(NotStarted::Unreachable)?;
        if self.lives.may_be_leaving() {
            return Err(NotStarted::Leaving);
        }
        if self.is_evacuated() {
            return Err(NotStarted::Evacuated);
        }
        if target.service != order.service {
            return Err(NotStarted::WrongService);
        }
        if !self.knows_lists || self.lease.is_silent() {
            return Err(NotStarted::Unreachable);
        }
        if self.lease.has_unanswered_call() {
            return Err(NotStarted::Doubtful);
        }
        if self.runs.has_task(key.task) {
            return Err(NotStarted::Superseded);
        }
        // A task that runs alone takes everything, so that nothing joins it.
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
            size: Some(size),
            payload: payload.clone(),
            estimate: Duration::from_millis(u64::from(order.estimate_ms)),
            start_by,
            since: self.now,
            running_since: None,
            phase: Phase::Unsure {
                token: 0,
                sent: self.now,
            },
            is_resent: false,
            stopping: None,
            slow_report_at: Now::ZERO,
            end_if_unlisted: RunEnd::Lost,
        };
        self.runs.insert(key, run);
        self.send_start(key, target.life.name).inspect_err(|_| {
            self.runs.remove(key);
        })
    }

    pub(super) fn send_start(&mut self, key: RunKey, life: TargetName) -> Result<(), NotStarted> {
        // A start that was lost may be sent again after the hall was evacuated.
        if self.is_evacuated() {
            return Err(NotStarted::Evacuated);
        }
        // The room may have shrunk since the run was booked.
        let capacity = self.lives.current().map(|target| target.capacity);
        if !capacity.is_some_and(|c| self.runs.is_within(c)) {
            return Err(NotStarted::Full);
        }
        // A start extends the lease of all runs; one that must lapse would go on.
        if !self.may_renew() {
            return Err(NotStarted::Doubtful);
        }
        let until = self.lease.new_until(self.now);
        let until = until.ok_or(NotStarted::Unreachable)?;
        let token = self.lease.token();
        let sent = self.now;
        let Some(run) = self.runs.get_mut(key) else {
            return Ok(());
        };
        run.phase = Phase::Starting { token, sent };
        self.out.push(AgentAction::Start(StartCall {
            key,
            payload: run.payload.clone(),
            until,
            token,
            target_name: life,
            limit: START_LIMIT,
        }));
        Ok(())
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
            Phase::Starting { token: t, sent } | Phase::Unsure { token: t, sent } if t == token => {
                if !matches!(answer, StartAnswer::Silent | StartAnswer::Refused) {
                    self.start_time.learn(self.now.saturating_sub(sent));
                    self.lease.note_answer(self.now);
                }
            }
            _ => return,
        }
        match answer {
            StartAnswer::Started { clock } => {
                self.lease.learn_clock(self.now, clock);
                self.mark_running(key);
            }
            StartAnswer::Fenced => self.start_fenced(key, token),
            StartAnswer::Superseded => self.not_started(key, NotStarted::Superseded),
            StartAnswer::Late => self.not_started(key, NotStarted::Late),
            StartAnswer::Full => self.not_started(key, NotStarted::Full),
            StartAnswer::Unhealthy => self.not_started(key, NotStarted::Unhealthy),
            StartAnswer::Refused => {
                // Nothing more is started before the lists have been read again.
                self.knows_lists = false;
                self.lease.note_refused();
                self.not_started(key, NotStarted::Unreachable);
            }
            StartAnswer::OtherIncarnation => {
                self.not_started(key, NotStarted::Unreachable);
                self.end_incarnation("another life answers");
                self.tell_target();
            }
            StartAnswer::Silent => self.starts_unanswered(&[(key, token)]),
        }
    }

    pub(super) fn mark_running(&mut self, key: RunKey) {
        let now = self.now;
        if let Some(run) = self.runs.get_mut(key) {
            run.phase = Phase::Running;
            run.running_since.get_or_insert(now);
        }
    }

    /// The start never happened; it is sent once more with a token that counts.
    pub(super) fn start_fenced(&mut self, key: RunKey, token: FencingToken) {
        self.lease.raise_token_past(token);
        self.send_start_again(key, NotStarted::Late);
    }

    /// Sends a start again that is known not to have happened, or tells the entry why not.
    pub(super) fn send_start_again(&mut self, key: RunKey, reason: NotStarted) {
        let may_retry = self
            .runs
            .get(key)
            .is_some_and(|r| r.start_by > self.now && r.stopping.is_none());
        let life = self.lives.current_name();
        let Some(life) = life.filter(|_| may_retry) else {
            self.not_started(key, reason);
            return;
        };
        if let Err(reason) = self.send_start(key, life) {
            self.not_started(key, reason);
        }
    }

    /// Gives up on starts whose answers are overdue.
    pub(super) fn fence_overdue_starts(&mut self) {
        let mut overdue = Vec::new();
        for (key, run) in self.runs.iter() {
            let is_overdue = self.answer_by(run).is_some_and(|by| by <= self.now);
            if let (Phase::Starting { token, .. }, true) = (run.phase, is_overdue) {
                overdue.push((key, token));
            }
        }
        self.starts_unanswered(&overdue);
    }

    /// These starts may have been done or may be done later. A higher token, once the target has
    /// seen it, makes the second impossible, and its lists tell the first.
    pub(super) fn starts_unanswered(&mut self, starts: &[(RunKey, FencingToken)]) {
        let mut is_any_new = false;
        for &(key, token) in starts {
            let Some(run) = self.runs.get_mut(key) else {
                continue;
            };
            let Phase::Starting { sent, .. } = run.phase else {
                continue;
            };
            run.phase = Phase::Unsure { token, sent };
            is_any_new = true;
            let after_ms = self.now.saturating_sub(sent).as_millis();
            self.log(
                EventCode::StartUnanswered,
                format!("run={key} token={token} after_ms={after_ms}"),
            );
            if self.lease.token() <= token {
                self.lease.raise_token();
            }
        }
        if is_any_new {
            let renew = self.may_renew();
            let renewal = self.lease.at_once(self.now, renew);
            self.push_renewal(renewal);
        }
    }

    /// A start was lost on its way. It is sent once more; the second loss is the entry's to mend,
    /// for a target may swallow all orders.
    pub(super) fn start_lost(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if let end @ RunEnd::Crashed { .. } = run.end_if_unlisted {
            // It may have been the start itself that the target crashed at: no second one here.
            self.end_run(key, end);
        } else if std::mem::replace(&mut run.is_resent, true) {
            self.not_started(key, NotStarted::Unanswered);
        } else {
            self.send_start_again(key, NotStarted::Unanswered);
        }
    }
}
