//! Renewals of the target's lease, and what its lists say: what runs, what ended, what is slow.

use std::sync::Arc;
use std::time::Duration;

use super::{CATCH_UP, RunAgentCore};
use crate::events::EventCode;
use crate::ids::Now;
use crate::run::{RunEnd, RunKey};
use crate::run_event::{AgentAction, RenewalAnswer};
use crate::run_message::AgentNews;
use crate::run_table::{FencingToken, Phase, Run};
use crate::target_health::SlowRun;
use crate::target_lease::{EndNumber, ListedRun, Renewal, TargetMillis};

/// A run is slow if its progress promises an end after this many times its estimate. Estimates
/// are off by 40% as a rule and by twice that now and then, and the slowest sound targets take
/// 1.25 times as long; ailing ones take four times or more.
const SLOW_FACTOR: f64 = 3.0;
/// Added to the above: the time of a call or two.
const SLOW_SLACK: Duration = Duration::from_millis(20);
/// Share of its estimate after which a run's progress is looked at.
const LOOK_SHARE: f64 = 0.6;
/// How often one run's slowness is reported.
const SLOW_AGAIN: Duration = Duration::from_millis(300);
/// Most ends that a target lists at once; a full list may have a next page.
const FULL_PAGE: usize = 500;
/// Longest wait of a renewal while an answer is awaited elsewhere.
const CALM_WAIT: Duration = Duration::from_secs(1);

impl RunAgentCore {
    pub(super) fn push_renewal(&mut self, renewal: Renewal) {
        let life = self.lives.current_name();
        self.out.push(AgentAction::Renew {
            renewal,
            target_name: life,
        });
    }

    /// When the renewal on the way counts as unanswered, and its number.
    pub(super) fn renewal_overdue(&self) -> Option<(Now, u64)> {
        let (at, number) = self.lease.overdue_at(self.start_time.limit())?;
        Some((at.max(self.resumed + CATCH_UP), number))
    }

    pub(super) fn renew(&mut self) {
        if let Some((at, number)) = self.renewal_overdue()
            && at <= self.now
        {
            self.lease.unanswered(self.now, number);
        }
        // A target in doubt is asked until it answers, though nothing may be left to renew.
        let is_idle = self.runs.is_empty() && self.knows_lists && !self.lease.has_unanswered_call();
        if is_idle {
            return;
        }
        let wait = self.shortest_look();
        let renew = self.may_renew();
        if let Some(renewal) = self.lease.next(self.now, wait, renew) {
            self.push_renewal(renewal);
        }
    }

    /// Whether the lease may be renewed: not while an overdue stop has failed for too long, and not
    /// while a run has no owner. Its entry may be counting the time since its last word to an
    /// earlier life of this agent, and that proof ends with the lease that this life gave.
    pub(super) fn may_renew(&self) -> bool {
        let now = self.now;
        let stop_bound = self.options.timings.stop_bound;
        self.runs.iter().all(|(_, run)| {
            let orphaned_since = run.stopping.and_then(|s| s.orphaned_since);
            let stop_may_succeed = orphaned_since.is_none_or(|since| since + stop_bound > now);
            run.owner.is_some() && stop_may_succeed
        })
    }

    /// Time until a run is to be looked at for slowness.
    pub(super) fn shortest_look(&self) -> Duration {
        let mut shortest = CALM_WAIT;
        for (_, run) in self.runs.iter() {
            let since = run.running_since.unwrap_or(self.now);
            let look = since + run.estimate.mul_f64(LOOK_SHARE) + SLOW_SLACK;
            let look = look.max(run.slow_report_at);
            if run.estimate > Duration::ZERO && look > self.now {
                shortest = shortest.min(look - self.now);
            }
        }
        shortest
    }

    pub(super) fn renewal_answered(&mut self, number: u64, answer: RenewalAnswer) {
        // Answers on different connections may overtake one another.
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
                self.check_born(number, born);
                self.lists_read(number, clock, &running, &ended);
            }
            RenewalAnswer::Fenced => {
                let refused = self.lease.token();
                self.lease.failed(self.now, number);
                self.lease.raise_token_past(refused);
            }
            RenewalAnswer::OtherIncarnation => {
                self.lease.failed(self.now, number);
                self.end_incarnation("another life answers");
                self.tell_target();
            }
            RenewalAnswer::Silent => self.lease.unanswered(self.now, number),
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
        for &(end_number, key, end) in ended {
            if self.lease.is_new_end(end_number) {
                self.end_run(key, end);
            } else if self.runs.get(key).is_some() {
                let detail = format!("run={key} end={end:?} number={end_number}");
                self.log(EventCode::EndPassedOver, detail);
            }
        }
        let Some(answered) = self.lease.answered(number) else {
            return;
        };
        for listed in running {
            self.listed_running(listed);
        }
        if ended.len() < FULL_PAGE {
            self.settle_unlisted(answered.sent_at, answered.token, running);
        }
        if !self.knows_lists {
            self.knows_lists = true;
            let adopted = self.runs.len();
            self.log(EventCode::TargetListsRead, format!("adopted={adopted}"));
            self.tell_target();
            self.answer_early_orders();
        }
    }

    /// Answers what entries claimed or wanted stopped before it was known what runs.
    pub(super) fn answer_early_orders(&mut self) {
        for (life, key, size) in std::mem::take(&mut self.early_claims) {
            self.claim(life, key, size);
        }
        for (entry, key) in std::mem::take(&mut self.early_stops) {
            self.stop_or_tell(entry, key);
        }
    }

    pub(super) fn listed_running(&mut self, listed: &ListedRun) {
        let ListedRun { key, percent } = *listed;
        if self.runs.get(key).is_none() {
            if self.runs.end_of(key).is_none() {
                self.adopt(key);
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

    /// Settles runs that the target does not list. Only what was known to run, or was fenced off,
    /// before the lists were asked for: an answer may be older than a start that it lacks.
    pub(super) fn settle_unlisted(
        &mut self,
        asked_at: Now,
        asked: FencingToken,
        running: &[ListedRun],
    ) {
        let mut gone = Vec::new();
        let mut never = Vec::new();
        for (key, run) in self.runs.iter() {
            if running.iter().any(|l| l.key == key) {
                continue;
            }
            match run.phase {
                Phase::Unsure { token, .. } if token < asked => never.push(key),
                Phase::Running if run.running_since.is_none_or(|since| since < asked_at) => {
                    gone.push((key, run.end_if_unlisted));
                }
                _ => {}
            }
        }
        for key in never {
            self.start_lost(key);
        }
        for (key, end) in gone {
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
            && ran >= run.estimate.mul_f64(LOOK_SHARE)
            && projected > allowed
            && run.slow_report_at <= now;
        if !is_slow || run.stopping.is_some() {
            return;
        }
        run.slow_report_at = now + SLOW_AGAIN;
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
        self.entries.tell(owner, news);
    }
}
