//! The target's lives: its reports, and what another life means for the runs of the one before.

use std::time::Duration;

use super::RunAgentCore;
use crate::events::EventCode;
use crate::run_event::{AgentAction, IncarnationAnswer, TargetReport};
use crate::run_message::{AgentNews, TargetInfo};
use crate::target_health::TargetHealth;
use crate::target_incarnation::{BornMillis, TargetIncarnation, TargetName};
use crate::target_incarnations::ReportOutcome;

/// Pause before a life that refused the token is asked with a higher one: a few calls' time. Each
/// step is ten seconds, so a clock that was an hour ahead is passed in 2 s.
const FENCED_PAUSE: Duration = Duration::from_millis(5);

impl RunAgentCore {
    pub(super) fn report(&mut self, report: TargetReport) {
        let life = report.info.life.clone();
        let (number, leaving) = (report.sequence, report.info.leaving);
        match self.lives.report(self.now, report) {
            ReportOutcome::Known => {}
            ReportOutcome::Late(known) => {
                let why = format!("why=\"number {known} was seen\"");
                self.passed_over(&life, number, leaving, &why);
            }
            ReportOutcome::PastIncarnation => {
                self.passed_over(&life, number, leaving, "why=\"that life is over\"");
            }
            ReportOutcome::Changed => self.target_changed(),
            ReportOutcome::OtherService => {
                self.passed_over(&life, number, leaving, "why=\"another service\"");
            }
            ReportOutcome::NeedsCheck => {
                let known = self.lives.current_incarnation();
                let known = known.map_or("-".to_owned(), ToString::to_string);
                let detail = format!("life={life} known={known} leaving={leaving}");
                self.log(EventCode::TargetLifeReported, detail);
            }
        }
    }

    /// A report comes every second or so: a line for each is no flood.
    fn passed_over(&mut self, life: &TargetIncarnation, number: u64, leaving: bool, why: &str) {
        let detail = format!("life={life} number={number} leaving={leaving} {why}");
        self.log(EventCode::ReportPassedOver, detail);
    }

    /// Asks the lives that have reported and are not proven to live yet.
    pub(super) fn ask_lives(&mut self) {
        while let Some(life) = self.lives.take_due(self.now, self.lease.next_number()) {
            let look = self.lease.look();
            self.out.push(AgentAction::CheckIncarnation {
                look,
                target_name: life,
            });
        }
    }

    pub(super) fn life_answered(&mut self, number: u64, answer: IncarnationAnswer) {
        let Some(life) = &self.lives.asked_by(number) else {
            return;
        };
        match answer {
            IncarnationAnswer::Silent => self.lives.unanswered(self.now, life),
            IncarnationAnswer::Fenced => {
                let refused = self.lease.token();
                self.lease.raise_token_past(refused);
                self.lives.ask_at(self.now + FENCED_PAUSE, life);
            }
            IncarnationAnswer::OtherIncarnation => self.reported_life_over(life),
            IncarnationAnswer::Alive(born) if !life.tells(born) => self.reported_life_over(life),
            IncarnationAnswer::Alive(_) => self.life_begins(life),
        }
    }

    fn reported_life_over(&mut self, life: &TargetIncarnation) {
        self.lives.over(life);
        let detail = format!("life={life} runs=0 why=\"another life answers\"");
        self.log(EventCode::TargetLifeOver, detail);
    }

    fn life_begins(&mut self, life: &TargetIncarnation) {
        // Orders that bore another name can't have been obeyed by this life, and those of its own
        // name can: what they started is told by its lists. At first nothing was ordered.
        let is_other_name = self.lives.last_name().is_some_and(|n| *n != life.name);
        self.life_over("a new life answers");
        if is_other_name {
            self.end_all();
        }
        // What was read without a name may have been another life's.
        self.lease.reset_incarnation();
        self.knows_lists = false;
        self.lives.answered(self.now, life);
        self.target_changed();
    }

    /// Notices by its lists that the target started again under its name. Its numbers begin anew:
    /// compared with those of the life before, a leave and every end passed for old news.
    pub(super) fn check_born(&mut self, number: u64, born: Option<BornMillis>) {
        let is_current = self
            .lives
            .current_incarnation()
            .is_none_or(|l| l.tells(born));
        if is_current && !self.lease.is_other_incarnation(born) {
            self.lease.note_incarnation(self.now, born);
            return;
        }
        self.life_over("lists of another start");
        self.lease.forget_numbers(number);
        self.lease.note_incarnation(self.now, born);
        self.tell_target();
    }

    pub(super) fn target_changed(&mut self) {
        let Some(info) = self.lives.current() else {
            return;
        };
        let TargetInfo {
            life,
            service,
            leaving,
            ..
        } = info;
        let detail = format!("life={life} service={service} leaving={leaving}");
        let code = if *leaving {
            EventCode::TargetLeaving
        } else {
            EventCode::TargetReported
        };
        self.log(code, detail);
        if self.knows_lists {
            self.tell_target();
        }
    }

    pub(super) fn tell_target(&mut self) {
        let news = AgentNews::Target(self.offered_target());
        self.entries.tell_all(&news);
    }

    /// The target as entries are told of it: once its lists are read. Told sooner, an entry would
    /// say that it is ready, and find no room for its first batches.
    pub(super) fn offered_target(&self) -> Option<TargetInfo> {
        self.lives.current().filter(|_| self.knows_lists).cloned()
    }

    /// A goodbye may be that of an earlier life, held back on its way, and what runs goes on until
    /// the process is gone. So it closes the target and ends no run: that is left to the lists, to
    /// another life's answer or to the end of the lease.
    pub(super) fn target_left(&mut self, name: &TargetName, born: Option<BornMillis>) {
        let Some(life) = self.lives.current_incarnation() else {
            return;
        };
        if life.name != *name || (born.is_some() && life.born != born) {
            return;
        }
        let (life, runs) = (life.clone(), self.runs.len());
        self.log(EventCode::TargetGoodbye, format!("life={life} runs={runs}"));
        self.lives.forget_current();
        self.tell_target();
    }

    /// Another life answers, under another name: the known one is over, and everything that ran on
    /// it. No order for it can have been obeyed by the other.
    pub(super) fn end_incarnation(&mut self, why: &str) {
        if self.life_over(why) {
            self.lease.reset_incarnation();
            // The next life's clock is learnt with its lists.
            self.knows_lists = false;
            self.end_all();
        }
    }

    /// Whether the target, whose life is over, has crashed: it announced no end, and was not silent
    /// before, as one without power or behind a cut is. Any of its runs may have brought it about.
    pub(super) fn may_have_crashed(&self) -> bool {
        let is_announced = self.lives.current().is_none_or(|target| target.leaving);
        !is_announced && (self.lease.is_refused() || !self.lease.is_silent())
    }

    /// The known life is over. Where the next one bears its name, an order that was meant for the
    /// one before may have been obeyed by it: its lists tell which runs go on, and the rest are lost.
    fn life_over(&mut self, why: &str) -> bool {
        let Some(life) = self.lives.current_incarnation().cloned() else {
            return false;
        };
        let runs = self.runs.len();
        let is_crash = self.may_have_crashed();
        if is_crash {
            self.runs.note_crash();
        }
        self.log(
            EventCode::TargetLifeOver,
            format!("life={life} runs={runs} crashed={is_crash} why=\"{why}\""),
        );
        self.lives.over(&life);
        self.health = TargetHealth::default();
        true
    }
}
