//! Renewals of the target's lease, and the lists in their answers: running, ended and slow runs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::{RunAgentCore, STALL_GRACE};
use crate::events::EventCode;
use crate::ids::Now;
use crate::run::{RunEnd, RunKey};
use crate::run_event::{AgentAction, RenewalAnswer};
use crate::run_message::AgentNews;
use crate::run_table::{FencingToken, Phase, Run};
use crate::target_health::SlowRun;
use crate::target_lease::{EndNumber, Extension, ListedRun, Renewal, TargetMillis};

/// A run is slow if its projected duration exceeds this many times its estimate plus
/// [`SLOW_SLACK`].
const SLOW_FACTOR: f64 = 3.0;
/// Allowance for the time of the calls.
const SLOW_SLACK: Duration = Duration::from_millis(20);
/// Share of its estimate after which a run's progress is checked.
const SLOW_CHECK_SHARE: f64 = 0.6;
/// Least time between two reports that a run is slow.
const SLOW_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Most ends that a target lists at once. A list of this length may have a next page.
const MAX_LISTED_ENDS: usize = 500;
/// Longest time that a renewal waits at the target for an end.
const MAX_RENEWAL_WAIT: Duration = Duration::from_secs(1);

impl RunAgentCore {
    pub(super) fn push_renewal(&mut self, renewal: Renewal) {
        let target_name = self.incarnations.current_name();
        self.actions.push(AgentAction::Renew {
            renewal,
            target_name,
        });
    }

    /// When the renewal in flight counts as unanswered, and its number.
    pub(super) fn renewal_overdue(&self) -> Option<(Now, u64)> {
        let (at, number) = self.lease.overdue_at(self.start_timeout.limit())?;
        Some((at.max(self.resumed_at + STALL_GRACE), number))
    }

    pub(super) fn renew(&mut self) {
        if let Some((at, number)) = self.renewal_overdue()
            && at <= self.now
        {
            self.lease.timed_out(self.now, number);
        }
        // A target with an unanswered call is queried until it answers, even if no lease is left to
        // renew. An idle one is queried when its clock was last read long ago.
        let is_clock_due = self.clock_due_at().is_some_and(|at| at <= self.now);
        if self.is_idle() && !is_clock_due {
            return;
        }
        let wait = self.time_to_slow_check();
        let extension = if self.is_idle() {
            Extension::None
        } else {
            self.allowed_extension()
        };
        if let Some(renewal) = self.lease.next_renewal(self.now, wait, extension) {
            self.push_renewal(renewal);
        }
    }

    /// Whether nothing runs, the target has answered the last call, and starts may be sent.
    pub(super) fn is_idle(&self) -> bool {
        let is_settled = !self.lease.has_unanswered_call() && self.lease.is_token_seen();
        self.runs.is_empty() && self.knows_runs && is_settled
    }

    /// When the clock of an idle target is to be read again; none without a target.
    pub(super) fn clock_due_at(&self) -> Option<Now> {
        self.incarnations.current()?;
        self.lease.clock_due_at().filter(|_| self.is_idle())
    }

    /// Whether the lease may be renewed: not while the stop of an orphaned run is past its bound,
    /// and not while a run has no owner or its guarantor is unknown. The entries that ordered and
    /// guarantee such a run may rely on the lease lapsing a certain time after their last packet to
    /// an earlier incarnation of this agent.
    pub(super) fn may_renew(&self) -> bool {
        let now = self.now;
        let stop_bound = self.options.timings.stop_bound;
        self.runs.iter().all(|(_, run)| {
            let orphaned_since = run.stopping.and_then(|s| s.orphaned_since);
            let stop_may_succeed = orphaned_since.is_none_or(|since| since + stop_bound > now);
            let knows_guarantor = run.guarantor.is_none_or(|g| self.entry_links.knows(g));
            run.owner.is_some() && knows_guarantor && stop_may_succeed
        })
    }

    /// Time until the next run is due for a slowness check, at most [`MAX_RENEWAL_WAIT`].
    pub(super) fn time_to_slow_check(&self) -> Duration {
        let mut shortest = MAX_RENEWAL_WAIT;
        for (_, run) in self.runs.iter() {
            let since = run.running_since.unwrap_or(self.now);
            let check_at = since + run.estimate.mul_f64(SLOW_CHECK_SHARE) + SLOW_SLACK;
            let check_at = check_at.max(run.slow_report_at);
            if run.estimate > Duration::ZERO && check_at > self.now {
                shortest = shortest.min(check_at - self.now);
            }
        }
        shortest
    }

    pub(super) fn renewal_answered(&mut self, number: u64, answer: RenewalAnswer) {
        // Answers on different connections may arrive out of order.
        if self.lease.is_of_past_incarnation(number) {
            return;
        }
        match answer {
            RenewalAnswer::Lists {
                born,
                clock,
                running,
                ended,
            } => {
                self.check_for_restart(number, born);
                self.lists_read(number, clock, &running, &ended);
            }
            RenewalAnswer::Fenced => {
                let refused = self.lease.token();
                self.lease.failed(self.now, number);
                self.lease.raise_token_past(refused);
            }
            RenewalAnswer::OtherIncarnation => {
                self.lease.failed(self.now, number);
                self.end_incarnation("another incarnation answers");
                self.announce_target();
            }
            RenewalAnswer::NoAnswer => self.lease.unanswered(self.now, number),
            RenewalAnswer::Refused => {
                self.lease.note_refused();
                self.lease.unanswered(self.now, number);
            }
        }
    }

    pub(super) fn lists_read(
        &mut self,
        number: u64,
        clock: TargetMillis,
        running: &[ListedRun],
        ended: &[(EndNumber, RunKey, RunEnd)],
    ) {
        self.lease.learn_clock(self.now, clock);
        let answered = self.lease.answered(number);
        // The runs that go on come first: the end of a run is told only if no other run of its task
        // is among them.
        if let Some(answered) = answered {
            for listed in running {
                self.note_listed_run(listed, answered.sent_at);
            }
        }
        // The runs in an answer that came late are not noted. The target lists these ends again.
        let is_late = answered.is_none();
        let goes_on = |task| is_late && running.iter().any(|listed| listed.key.task == task);
        for &(end_number, key, end) in ended {
            if goes_on(key.task) {
                continue;
            }
            if self.lease.mark_end_seen(end_number) {
                self.end_run(key, end);
            } else if self.runs.get(key).is_some() {
                let detail = format!("run={key} end={end:?} number={end_number}");
                self.log(EventCode::EndPassedOver, detail);
            }
        }
        let Some(answered) = answered else {
            return;
        };
        self.lease.note_seen(answered.token);
        self.note_listed_ends(ended);
        if ended.len() < MAX_LISTED_ENDS {
            self.settle_unlisted(answered.sent_at, answered.token, running);
        }
        if self.knows_runs {
            return;
        }
        if self.lease.keeps_out_earlier(answered.token) {
            self.knows_runs = true;
            let adopted = self.runs.len();
            self.log(EventCode::TargetListsRead, format!("adopted={adopted}"));
            self.announce_target();
            self.answer_early_orders();
        } else {
            // A start of an earlier incarnation of this agent may still be carried out.
            let renewal = self.lease.renew_now(self.now, Extension::None);
            self.push_renewal(renewal);
        }
    }

    fn note_listed_ends(&mut self, ended: &[(EndNumber, RunKey, RunEnd)]) {
        let numbers = ended.iter().map(|(number, ..)| *number);
        let numbers: BTreeSet<EndNumber> = numbers.collect();
        let acknowledgement = self.lease.note_listed_ends(self.now, &numbers);
        if acknowledgement.is_forced {
            let (up_to, listed) = (acknowledgement.up_to, numbers.len());
            self.log(
                EventCode::EndsForced,
                format!("up_to={up_to} listed={listed}"),
            );
        }
    }

    /// Answers claims and stops that entries sent before the lists were read.
    pub(super) fn answer_early_orders(&mut self) {
        for (key, claim) in std::mem::take(&mut self.early_claims) {
            self.answer_claim(key, &claim);
        }
        for (entry, key) in std::mem::take(&mut self.early_stops) {
            // An earlier incarnation of this agent may have missed the order.
            self.stop_or_report_end(entry, key, None);
        }
    }

    /// Notes a run that the target listed as running in the answer to a request of `sent_at`.
    pub(super) fn note_listed_run(&mut self, listed: &ListedRun, sent_at: Now) {
        let ListedRun { key, percent } = *listed;
        if self.runs.get(key).is_none() {
            match self.runs.ended_at(key) {
                None => self.adopt(key),
                // It was taken for over too soon, and its owner may have started the task elsewhere.
                Some(ended_at) if ended_at < sent_at => {
                    self.log(EventCode::EndedRunListed, format!("run={key}"));
                    self.lease.note_outlasted(self.now);
                    let owner = self.runs.past_owner(key);
                    self.adopt(key);
                    // With its owner, the run is announced to the entries again.
                    if let Some(run) = self.runs.get_mut(key) {
                        run.owner = owner;
                    }
                    self.request_stop(key, None, Some(self.now));
                }
                // The list may be older than the end.
                Some(_) => {}
            }
            return;
        }
        self.mark_running(key);
        self.check_slow(key, percent);
    }

    pub(super) fn adopt(&mut self, key: RunKey) {
        self.log(EventCode::RunAdopted, format!("run={key}"));
        let run = Run {
            owner: None,
            guarantor: None,
            is_adopted: true,
            target: None,
            size: None,
            payload: Arc::from(""),
            estimate: Duration::ZERO,
            start_by: Now::ZERO,
            since: self.now,
            running_since: None,
            phase: Phase::Running,
            is_resent: false,
            stopping: None,
            slow_report_at: Now::ZERO,
            end_if_unlisted: RunEnd::Lost,
        };
        self.runs.insert(key, run);
    }

    /// Settles runs that the target does not list. This covers only runs that were known to run, or
    /// whose starts were fenced off, before the request for the lists was sent. A later start may
    /// be missing because the answer is older than it.
    pub(super) fn settle_unlisted(
        &mut self,
        sent_at: Now,
        sent_token: FencingToken,
        running: &[ListedRun],
    ) {
        let mut ended = Vec::new();
        let mut never_started = Vec::new();
        for (key, run) in self.runs.iter() {
            if running.iter().any(|l| l.key == key) {
                continue;
            }
            match run.phase {
                Phase::Unconfirmed { token, .. } if token < sent_token => never_started.push(key),
                Phase::Running if run.running_since.is_none_or(|since| since < sent_at) => {
                    ended.push((key, run.end_if_unlisted));
                }
                _ => {}
            }
        }
        for key in never_started {
            self.start_lost(key);
        }
        for (key, end) in ended {
            self.end_run(key, end);
        }
    }

    pub(super) fn check_slow(&mut self, key: RunKey, percent: u32) {
        let now = self.now;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(since) = run.running_since else {
            return;
        };
        let ran = now.saturating_sub(since);
        let allowed = run.estimate.mul_f64(SLOW_FACTOR) + SLOW_SLACK;
        let projected = ran.mul_f64(100.0 / f64::from(percent.max(1)));
        let is_slow = run.estimate > Duration::ZERO
            && ran >= run.estimate.mul_f64(SLOW_CHECK_SHARE)
            && projected > allowed
            && run.slow_report_at <= now;
        if !is_slow || run.stopping.is_some() {
            return;
        }
        run.slow_report_at = now + SLOW_REPORT_INTERVAL;
        let slowdown = projected.div_duration_f64(run.estimate);
        let owner = run.owner;
        let slow = SlowRun { slowdown, percent };
        self.health.run_slow(now, key.task.batch, slow);
        let Some(owner) = owner else {
            return;
        };
        let ran_ms = ran.as_millis() as u32;
        self.log(
            EventCode::RunSlow,
            format!("run={key} ran_ms={ran_ms} percent={percent}"),
        );
        let news = AgentNews::Slow {
            key,
            ran_ms,
            percent,
        };
        self.entry_links.tell(owner, news);
    }
}
