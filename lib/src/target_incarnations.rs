//! Which life of its target an agent works with.
//!
//! A target that crashes comes back as another life at the same address, often under the same name,
//! and a report can be held back on its way until its sender is dead. So a report alone proves
//! nothing, and neither does a goodbye. Invariant: a life becomes the current one only once it has
//! answered a call that names it, and is over only once another life has answered such a call.
//! Lives follow one another, so a life that has reported, and in whose place another answers, never
//! comes back.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Now;
use crate::run_event::TargetReport;
use crate::run_message::TargetInfo;
use crate::target_incarnation::{TargetIncarnation, TargetName};

/// Pause before a life that did not answer is asked again: a target in trouble is asked by its
/// renewals as well.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// A life that neither answers nor reports for so long is not asked any more. Three reports.
const ASKED_FOR: Duration = Duration::from_millis(4_500);
/// Lives that may be asked at a time: the living one, and dead ones whose reports came late.
const MOST_REPORTED: usize = 4;
/// Dead lives that are remembered. A forgotten one that reports again is merely asked again.
const MOST_PAST: usize = 64;

/// A life that has reported and has not been proven to live yet.
#[derive(Debug)]
struct ReportedLife {
    report: TargetReport,
    reported_at: Now,
    /// Where the question whether it lives stands.
    question: Question,
}

/// See [`ReportedLife`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Question {
    /// It is to be asked at this time.
    Due(Now),
    /// The call with this number has asked it.
    Asked(u64),
}

impl Question {
    fn due_at(self) -> Option<Now> {
        match self {
            Self::Due(at) => Some(at),
            Self::Asked(_) => None,
        }
    }
}

/// What a report comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Nothing: it says what is known.
    Known,
    /// Nothing: its number is no higher than this one, which the same life has told before.
    Late(u64),
    /// Nothing: the life that it names is over.
    PastIncarnation,
    /// Nothing: it names another service than the life it speaks for. A life keeps its service, so
    /// this is another writer's, and its number is not the target's.
    OtherService,
    /// The current life has changed.
    Changed,
    /// Another life reports, and is to be asked.
    NeedsCheck,
}

/// See the module.
#[derive(Debug, Default)]
pub struct TargetIncarnations {
    current: Option<TargetInfo>,
    /// Name of the last life that was current: orders that may still be on their way bear it.
    last_name: Option<TargetName>,
    /// Number of the current life's last report.
    sequence: u64,
    past: VecDeque<TargetIncarnation>,
    reported: Vec<ReportedLife>,
}

impl TargetIncarnations {
    /// The life that is worked with, if any.
    pub fn current(&self) -> Option<&TargetInfo> {
        self.current.as_ref()
    }

    /// What tells it from others.
    pub fn current_incarnation(&self) -> Option<&TargetIncarnation> {
        self.current.as_ref().map(|t| &t.life)
    }

    /// The name that calls to it bear.
    pub fn current_name(&self) -> Option<TargetName> {
        self.current_incarnation().map(|life| life.name.clone())
    }

    /// Name of the last life that was worked with.
    pub fn last_name(&self) -> Option<&TargetName> {
        self.last_name.as_ref()
    }

    /// Whether the target may be leaving: by the current life's word, or by that of another life of
    /// its name that is still being asked. The latter was missed where lives were told apart by
    /// name alone: a target got new work for 3.7 s after its leave.
    pub fn may_be_leaving(&self) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let is_namesake = |r: &&ReportedLife| r.report.info.life.name == current.life.name;
        let mut namesakes = self.reported.iter().filter(is_namesake);
        current.leaving || namesakes.any(|r| r.report.info.leaving)
    }

    /// Takes in a report.
    pub fn report(&mut self, now: Now, report: TargetReport) -> ReportOutcome {
        if self.past.contains(&report.info.life) {
            return ReportOutcome::PastIncarnation;
        }
        if self.current_incarnation() == Some(&report.info.life) {
            return self.report_of_current(report);
        }
        self.note_reported(now, report);
        ReportOutcome::NeedsCheck
    }

    fn report_of_current(&mut self, report: TargetReport) -> ReportOutcome {
        if report.sequence <= self.sequence {
            return ReportOutcome::Late(self.sequence);
        }
        let service = self.current.as_ref().map(|t| &t.service);
        if service != Some(&report.info.service) {
            return ReportOutcome::OtherService;
        }
        self.sequence = report.sequence;
        if self.current.as_ref() == Some(&report.info) {
            return ReportOutcome::Known;
        }
        self.current = Some(report.info);
        ReportOutcome::Changed
    }

    fn note_reported(&mut self, now: Now, report: TargetReport) {
        let life = &report.info.life;
        let before = self
            .reported
            .iter_mut()
            .find(|r| r.report.info.life == *life);
        if let Some(before) = before {
            before.reported_at = now;
            if before.report.sequence < report.sequence {
                before.report = report;
            }
            return;
        }
        if self.reported.len() >= MOST_REPORTED {
            self.reported.remove(0);
        }
        self.reported.push(ReportedLife {
            report,
            reported_at: now,
            question: Question::Due(now),
        });
    }

    /// The name of the next life that is to be asked now, by the call with this number.
    pub fn take_due(&mut self, now: Now, number: u64) -> Option<TargetName> {
        self.reported
            .retain(|r| r.reported_at + ASKED_FOR > now || r.question.due_at().is_none());
        let is_due = |r: &&mut ReportedLife| r.question.due_at().is_some_and(|at| at <= now);
        let due = self.reported.iter_mut().find(is_due)?;
        due.question = Question::Asked(number);
        Some(due.report.info.life.name.clone())
    }

    /// When a life is to be asked next.
    pub fn next_wake(&self) -> Option<Now> {
        let due = self.reported.iter().filter_map(|r| r.question.due_at());
        due.min()
    }

    /// The life that a call has asked, if the answer still matters.
    pub fn asked_by(&self, number: u64) -> Option<TargetIncarnation> {
        let mut reported = self.reported.iter();
        let found = reported.find(|r| r.question == Question::Asked(number));
        found.map(|r| r.report.info.life.clone())
    }

    /// A reported life has answered: it is the current one from now on. The one before must have
    /// been ended.
    pub fn answered(&mut self, now: Now, life: &TargetIncarnation) {
        let mut reported = self.reported.iter();
        let Some(position) = reported.position(|r| r.report.info.life == *life) else {
            return;
        };
        let TargetReport { info, sequence } = self.reported.remove(position).report;
        self.last_name = Some(info.life.name.clone());
        self.current = Some(info);
        self.sequence = sequence;
        // An answer of another life may be on its way from before this one began.
        for other in &mut self.reported {
            other.question = Question::Due(now);
        }
    }

    /// A reported life has not answered.
    pub fn unanswered(&mut self, now: Now, life: &TargetIncarnation) {
        self.ask_at(now + ASK_AGAIN, life);
    }

    /// Asks a reported life again at a time.
    pub fn ask_at(&mut self, at: Now, life: &TargetIncarnation) {
        let asked = self.reported.iter_mut();
        for reported in asked.filter(|r| r.report.info.life == *life) {
            reported.question = Question::Due(at);
        }
    }

    /// The current life is not worked with any more. It is not proven to be over: if it reports
    /// again, it is asked.
    pub fn forget_current(&mut self) {
        self.current = None;
    }

    /// Another life answers in a life's place: it is over for good.
    pub fn over(&mut self, life: &TargetIncarnation) {
        self.reported.retain(|r| r.report.info.life != *life);
        if self.current_incarnation() == Some(life) {
            self.current = None;
        }
        if self.past.len() >= MOST_PAST {
            self.past.pop_front();
        }
        self.past.push_back(life.clone());
    }
}
