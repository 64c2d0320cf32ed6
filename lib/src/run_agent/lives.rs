//! The target's lives: its reports, and what another life means for the runs of the one before.

use std::sync::Arc;

use super::RunAgent;
use crate::events::EventCode;
use crate::run::RunEnd;
use crate::run_event::{AgentAction, LifeAnswer, TargetReport};
use crate::run_message::{AgentNews, TargetInfo};
use crate::target_health::TargetHealth;
use crate::target_lives::Reported;

impl RunAgent {
    pub(super) fn report(&mut self, report: TargetReport) {
        let life = report.info.life.clone();
        let (number, leaving) = (report.sequence, report.info.leaving);
        match self.lives.report(self.now, report) {
            Reported::Known => {}
            Reported::Late(known) => {
                let why = format!("why=\"number {known} was seen\"");
                self.passed_over(&life, number, leaving, &why);
            }
            Reported::PastLife => {
                self.passed_over(&life, number, leaving, "why=\"that life is over\"");
            }
            Reported::Changed => self.target_changed(),
            Reported::ToBeAsked => {
                self.log(
                    EventCode::TargetLifeReported,
                    format!("life={life} known={:?}", self.lives.current_life()),
                );
            }
        }
    }

    /// A report comes every second or so: a line for each is no flood.
    fn passed_over(&mut self, life: &str, number: u64, leaving: bool, why: &str) {
        let detail = format!("life={life} number={number} leaving={leaving} {why}");
        self.log(EventCode::ReportPassedOver, detail);
    }

    /// Asks the lives that have reported and are not proven to live yet.
    pub(super) fn ask_lives(&mut self) {
        while let Some(life) = self.lives.take_due(self.now, self.lease.next_number()) {
            let look = self.lease.look();
            self.out.push(AgentAction::AskLife { look, life });
        }
    }

    pub(super) fn life_answered(&mut self, number: u64, answer: LifeAnswer) {
        let Some(life) = &self.lives.asked_by(number) else {
            return;
        };
        match answer {
            LifeAnswer::Silent => self.lives.unanswered(self.now, life),
            LifeAnswer::OtherLife => {
                self.lives.over(life);
                self.log(
                    EventCode::TargetLifeOver,
                    format!("life={life} runs=0 why=\"another life answers\""),
                );
            }
            LifeAnswer::Lives => {
                self.end_life("a new life answers");
                // What was read without a name may have been another life's.
                self.lease.reset_life();
                self.knows_lists = false;
                self.lives.answered(self.now, life);
                self.target_changed();
            }
        }
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

    pub(super) fn target_left(&mut self, life: &Arc<str>) {
        if self.lives.current_life().as_ref() == Some(life) {
            self.end_life("it said goodbye");
            self.tell_target();
        }
    }

    /// The known life of the target is over, and everything that ran on it.
    pub(super) fn end_life(&mut self, why: &str) {
        let Some(life) = self.lives.current_life() else {
            return;
        };
        let runs = self.book.len();
        self.log(
            EventCode::TargetLifeOver,
            format!("life={life} runs={runs} why=\"{why}\""),
        );
        self.lives.over(&life);
        self.lease.reset_life();
        self.health = TargetHealth::default();
        // The next life's clock is learnt with its lists.
        self.knows_lists = false;
        self.end_all(RunEnd::Lost);
    }
}
