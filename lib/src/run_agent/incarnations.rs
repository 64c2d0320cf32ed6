//! Incarnations of the target: its reports, and what happens to runs when the incarnation changes.

use std::time::Duration;

use super::RunAgentCore;
use crate::events::EventCode;
use crate::run_event::{AgentAction, IncarnationAnswer, TargetReport};
use crate::run_message::{AgentNews, TargetInfo};
use crate::target_health::TargetHealth;
use crate::target_incarnation::{StartMillis, TargetIncarnation, TargetName};
use crate::target_incarnations::ReportOutcome;

/// Delay before an incarnation that refused the fencing token as too low is checked with a higher
/// one. A target refuses calls with lower tokens than it has seen.
const FENCED_RETRY_DELAY: Duration = Duration::from_millis(5);

impl RunAgentCore {
    pub(super) fn target_reported(&mut self, report: TargetReport) {
        let incarnation = report.info.life.clone();
        let (number, leaving) = (report.sequence, report.info.leaving);
        match self.incarnations.report(self.now, report) {
            ReportOutcome::Known => {}
            ReportOutcome::Late(last_number) => {
                let why = format!("why=\"number {last_number} was already reported\"");
                self.log_ignored_report(&incarnation, number, leaving, &why);
            }
            ReportOutcome::Distant(last_number) => {
                let why = format!("why=\"number is far from {last_number}\"");
                self.log_ignored_report(&incarnation, number, leaving, &why);
            }
            ReportOutcome::PastIncarnation => {
                self.log_ignored_report(
                    &incarnation,
                    number,
                    leaving,
                    "why=\"that incarnation is over\"",
                );
            }
            ReportOutcome::Changed => self.target_changed(),
            ReportOutcome::OtherService => {
                self.log_ignored_report(&incarnation, number, leaving, "why=\"another service\"");
            }
            ReportOutcome::NeedsCheck => {
                let current = self.incarnations.current_incarnation();
                let current = current.map_or("-".to_owned(), ToString::to_string);
                let detail = format!("life={incarnation} known={current} leaving={leaving}");
                self.log(EventCode::TargetLifeReported, detail);
            }
        }
    }

    /// Logs a report that is ignored. Targets report about once a second, so this needs no rate
    /// limit.
    fn log_ignored_report(
        &mut self,
        incarnation: &TargetIncarnation,
        number: u64,
        leaving: bool,
        why: &str,
    ) {
        let detail = format!("life={incarnation} number={number} leaving={leaving} {why}");
        self.log(EventCode::ReportPassedOver, detail);
    }

    /// Checks the incarnations that have reported and are not proven to be alive yet.
    pub(super) fn check_incarnations(&mut self) {
        while let Some(target_name) = self
            .incarnations
            .take_due_check(self.now, self.lease.next_number())
        {
            let query = self.lease.query();
            self.actions
                .push(AgentAction::CheckIncarnation { query, target_name });
        }
    }

    pub(super) fn incarnation_checked(&mut self, number: u64, answer: IncarnationAnswer) {
        let Some(incarnation) = &self.incarnations.candidate_of_call(number) else {
            return;
        };
        match answer {
            IncarnationAnswer::NoAnswer => self.incarnations.recheck_later(self.now, incarnation),
            IncarnationAnswer::Fenced => {
                let refused = self.lease.token();
                self.lease.raise_token_past(refused);
                self.incarnations
                    .check_at(self.now + FENCED_RETRY_DELAY, incarnation);
            }
            IncarnationAnswer::OtherIncarnation => self.note_candidate_over(incarnation),
            IncarnationAnswer::Alive(born) if !incarnation.matches_born(born) => {
                self.note_candidate_over(incarnation)
            }
            IncarnationAnswer::Alive(_) => {
                self.lease.note_accepted();
                self.begin_incarnation(incarnation);
            }
        }
    }

    fn note_candidate_over(&mut self, incarnation: &TargetIncarnation) {
        self.incarnations.mark_over(incarnation);
        let detail = format!("life={incarnation} runs=0 why=\"another incarnation answers\"");
        self.log(EventCode::TargetLifeOver, detail);
    }

    fn begin_incarnation(&mut self, incarnation: &TargetIncarnation) {
        // The new incarnation can have executed only orders that state its target name. If the last
        // one had another name, none of its runs continue. Otherwise the new lists show which do.
        let is_other_name = self
            .incarnations
            .newest_name()
            .is_some_and(|n| *n != incarnation.name);
        self.mark_current_over("a new incarnation answers");
        if is_other_name {
            self.end_all();
        }
        // Lists that were read without a target name may be those of another incarnation.
        self.lease.reset_incarnation();
        self.lease.incarnation_changed(self.now);
        self.knows_runs = false;
        self.incarnations.make_current(self.now, incarnation);
        self.target_changed();
    }

    /// Checks whether the lists in the answer to renewal `number` show a restart under the same
    /// name. If so, marks the current incarnation as over and announces that. The numbers of reports
    /// and ends then start again, so the old ones are forgotten.
    pub(super) fn check_for_restart(&mut self, number: u64, born: Option<StartMillis>) {
        let is_current = self
            .incarnations
            .current_incarnation()
            .is_none_or(|i| i.matches_born(born));
        if is_current && !self.lease.is_other_incarnation(born) {
            self.lease.note_incarnation(self.now, born);
            return;
        }
        self.mark_current_over("lists state another start time");
        self.lease.forget_ends(number);
        self.lease.incarnation_changed(self.now);
        self.lease.note_incarnation(self.now, born);
        self.announce_target();
    }

    pub(super) fn target_changed(&mut self) {
        let Some(info) = self.incarnations.current() else {
            return;
        };
        let TargetInfo {
            life: incarnation,
            service,
            leaving,
            ..
        } = info;
        let detail = format!("life={incarnation} service={service} leaving={leaving}");
        let code = if *leaving {
            EventCode::TargetLeaving
        } else {
            EventCode::TargetReported
        };
        self.log(code, detail);
        if self.knows_runs {
            self.announce_target();
        }
    }

    pub(super) fn announce_target(&mut self) {
        let news = AgentNews::Target(self.announced_target());
        self.entry_links.tell_all(&news);
    }

    /// The target as announced to entries; none before its lists have been read. An entry that
    /// learnt of it sooner would report itself ready while the target has no free capacity.
    pub(super) fn announced_target(&self) -> Option<TargetInfo> {
        self.incarnations
            .current()
            .filter(|_| self.knows_runs)
            .cloned()
    }

    /// Handles a goodbye: closes the target to new work but ends no run. The goodbye may be a
    /// delayed one of an earlier incarnation, and runs continue until the process exits. They end
    /// by the lists, by the answer of another incarnation or when the lease lapses.
    pub(super) fn target_left(&mut self, name: &TargetName, born: Option<StartMillis>) {
        let Some(incarnation) = self.incarnations.current_incarnation() else {
            return;
        };
        if incarnation.name != *name || (born.is_some() && incarnation.born != born) {
            return;
        }
        let (incarnation, runs) = (incarnation.clone(), self.runs.len());
        self.log(
            EventCode::TargetGoodbye,
            format!("life={incarnation} runs={runs}"),
        );
        self.incarnations.forget_current();
        self.announce_target();
    }

    /// Ends the current incarnation and all its runs after an incarnation of another name has
    /// answered. That one can't have executed orders that state the old name.
    pub(super) fn end_incarnation(&mut self, why: &str) {
        if self.mark_current_over(why) {
            self.lease.reset_incarnation();
            // The lists of this incarnation say nothing about the next one.
            self.knows_runs = false;
            self.end_all();
        }
    }

    /// Whether the target may have crashed, possibly because of one of its runs. False if no
    /// incarnation is current or it announced that it leaves. Also false if it was silent without
    /// refusing connections, as after a loss of power or of the network.
    pub(super) fn may_have_crashed(&self) -> bool {
        let is_leaving = self
            .incarnations
            .current()
            .is_none_or(|target| target.leaving);
        !is_leaving && (self.lease.is_refused() || !self.lease.has_timed_out())
    }

    /// Marks the current incarnation as over, without ending its runs. A new incarnation of the same
    /// name may have executed orders meant for this one; its lists show which runs it has. Returns
    /// false if there is no current incarnation.
    fn mark_current_over(&mut self, why: &str) -> bool {
        let Some(incarnation) = self.incarnations.current_incarnation().cloned() else {
            return false;
        };
        let runs = self.runs.len();
        let is_crash = self.may_have_crashed();
        if is_crash {
            self.runs.note_crash();
        }
        self.log(
            EventCode::TargetLifeOver,
            format!("life={incarnation} runs={runs} crashed={is_crash} why=\"{why}\""),
        );
        self.incarnations.mark_over(&incarnation);
        self.health = TargetHealth::default();
        true
    }
}
