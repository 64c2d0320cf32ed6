//! Tracks the incarnations of an agent's target and which one is current.
//!
//! A crashed target restarts as a new incarnation at the same address, often under the same name. A
//! report or goodbye may arrive after its sender has died, so neither proves anything by itself.
//! Calls state only the target name. Answers contain the start time of the incarnation; targets that
//! state none take a new name for each incarnation. Invariant: an incarnation becomes current only
//! once a call to its target name was answered with its start time, and is over only once another
//! incarnation has answered a call. A past incarnation that reports is ignored while it is
//! remembered, see `MAX_PAST`.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Now;
use crate::run_event::TargetReport;
use crate::run_message::TargetInfo;
use crate::target_incarnation::{TargetIncarnation, TargetName};

/// Delay before an incarnation that did not answer is checked again.
const RECHECK_DELAY: Duration = Duration::from_millis(100);
/// An incarnation that has not reported for this long is no longer checked.
const CHECK_EXPIRY: Duration = Duration::from_millis(4_500);
/// Most incarnations that are checked at a time.
const MAX_CANDIDATES: usize = 4;
/// Most past incarnations that are remembered. A forgotten one that reports is checked again.
const MAX_PAST: usize = 64;
/// Difference to the last number from which on a report must be confirmed by a later one. A target
/// counts its reports, about one a second.
const MAX_REPORT_GAP: u64 = 100_000;

/// An incarnation that has reported and is not proven to be alive yet.
#[derive(Debug)]
struct Candidate {
    report: TargetReport,
    reported_at: Now,
    check: CheckState,
}

/// State of the check whether a candidate is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckState {
    /// The check is due at this time.
    Due(Now),
    /// The check is in flight as the call with this number.
    InFlight(u64),
}

impl CheckState {
    fn due_at(self) -> Option<Now> {
        match self {
            Self::Due(at) => Some(at),
            Self::InFlight(_) => None,
        }
    }
}

/// Result of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report contains nothing new.
    Known,
    /// Ignored: it is not newer than the last report of the current incarnation, which has this
    /// number.
    Late(u64),
    /// Ignored: the number is far from that of the last report of the current incarnation, which is
    /// this one. One of the two came from another writer. If the next report continues from the
    /// ignored one, that writer is the target.
    Distant(u64),
    /// Ignored: the incarnation is over.
    PastIncarnation,
    /// Ignored: the service differs from that of the current incarnation. An incarnation never
    /// changes its service, so the report came from another sender and its number is meaningless.
    OtherService,
    /// The state of the current incarnation has changed.
    Changed,
    /// Another incarnation reports and needs to be checked.
    NeedsCheck,
}

/// The current, reported and past incarnations of a target.
#[derive(Debug, Default)]
pub struct TargetIncarnations {
    current: Option<TargetInfo>,
    /// Name of the current incarnation, or of the most recent one if none is current. Orders in
    /// flight may still state it.
    newest_name: Option<TargetName>,
    last_report_number: u64,
    /// Number of the last report that was ignored as [`ReportOutcome::Distant`], until one is
    /// accepted.
    distant_number: Option<u64>,
    past: VecDeque<TargetIncarnation>,
    candidates: Vec<Candidate>,
}

impl TargetIncarnations {
    /// Returns the last report of the current incarnation, if there is one.
    pub fn current(&self) -> Option<&TargetInfo> {
        self.current.as_ref()
    }

    /// Returns the identity of the current incarnation.
    pub fn current_incarnation(&self) -> Option<&TargetIncarnation> {
        self.current.as_ref().map(|t| &t.life)
    }

    /// Returns the target name to state in calls to the current incarnation.
    pub fn current_name(&self) -> Option<TargetName> {
        self.current_incarnation()
            .map(|incarnation| incarnation.name.clone())
    }

    /// Returns the name of the current incarnation, or of the most recent one if none is current.
    pub fn newest_name(&self) -> Option<&TargetName> {
        self.newest_name.as_ref()
    }

    /// Whether the target may be leaving, by a report of the current incarnation or of one of the
    /// same name that is still being checked. Otherwise a restarted target that leaves would get
    /// new work until its check is answered.
    pub fn may_be_leaving(&self) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let has_same_name = |c: &&Candidate| c.report.info.life.name == current.life.name;
        let mut same_name = self.candidates.iter().filter(has_same_name);
        current.leaving || same_name.any(|c| c.report.info.leaving)
    }

    /// Applies a report of the current incarnation, or notes another incarnation to be checked.
    pub fn report(&mut self, now: Now, report: TargetReport) -> ReportOutcome {
        if self.past.contains(&report.info.life) {
            return ReportOutcome::PastIncarnation;
        }
        if self.current_incarnation() == Some(&report.info.life) {
            return self.report_of_current(report);
        }
        self.note_candidate(now, report);
        ReportOutcome::NeedsCheck
    }

    fn report_of_current(&mut self, report: TargetReport) -> ReportOutcome {
        let last = self.last_report_number;
        let is_distant = report.sequence.abs_diff(last) > MAX_REPORT_GAP;
        if is_distant && !self.continues_distant(report.sequence) {
            return ReportOutcome::Distant(last);
        }
        if !is_distant && report.sequence <= last {
            return ReportOutcome::Late(last);
        }
        let service = self.current.as_ref().map(|t| &t.service);
        if service != Some(&report.info.service) {
            return ReportOutcome::OtherService;
        }
        self.last_report_number = report.sequence;
        self.distant_number = None;
        if self.current.as_ref() == Some(&report.info) {
            return ReportOutcome::Known;
        }
        self.current = Some(report.info);
        ReportOutcome::Changed
    }

    /// Whether the number exceeds that of the last distant report. If another writer's number is in
    /// force, the target's own reports are distant but rise.
    fn continues_distant(&mut self, number: u64) -> bool {
        let before = self.distant_number.replace(number);
        before.is_some_and(|before| number > before)
    }

    fn note_candidate(&mut self, now: Now, report: TargetReport) {
        let incarnation = &report.info.life;
        let known = self
            .candidates
            .iter_mut()
            .find(|c| c.report.info.life == *incarnation);
        if let Some(known) = known {
            known.reported_at = now;
            if known.report.sequence < report.sequence {
                known.report = report;
            }
            return;
        }
        if self.candidates.len() >= MAX_CANDIDATES {
            self.candidates.remove(0);
        }
        self.candidates.push(Candidate {
            report,
            reported_at: now,
            check: CheckState::Due(now),
        });
    }

    /// Returns the target name for the next check that is due and records the number of its call.
    pub fn take_due_check(&mut self, now: Now, call_number: u64) -> Option<TargetName> {
        self.candidates
            .retain(|c| c.reported_at + CHECK_EXPIRY > now || c.check.due_at().is_none());
        let is_due = |c: &&mut Candidate| c.check.due_at().is_some_and(|at| at <= now);
        let due = self.candidates.iter_mut().find(is_due)?;
        due.check = CheckState::InFlight(call_number);
        Some(due.report.info.life.name.clone())
    }

    /// Returns when the next check is due.
    pub fn next_wake(&self) -> Option<Now> {
        let due = self.candidates.iter().filter_map(|c| c.check.due_at());
        due.min()
    }

    /// Returns the incarnation that a call checks, if its answer still matters.
    pub fn candidate_of_call(&self, call_number: u64) -> Option<TargetIncarnation> {
        let mut candidates = self.candidates.iter();
        let found = candidates.find(|c| c.check == CheckState::InFlight(call_number));
        found.map(|c| c.report.info.life.clone())
    }

    /// Makes a reported incarnation current after it has answered. The previous one must have been
    /// marked as over or forgotten.
    pub fn make_current(&mut self, now: Now, incarnation: &TargetIncarnation) {
        let mut candidates = self.candidates.iter();
        let Some(position) = candidates.position(|c| c.report.info.life == *incarnation) else {
            return;
        };
        let TargetReport { info, sequence } = self.candidates.remove(position).report;
        self.newest_name = Some(info.life.name.clone());
        self.current = Some(info);
        self.last_report_number = sequence;
        self.distant_number = None;
        // An answer in flight to another check may have been sent before this incarnation started.
        for other in &mut self.candidates {
            other.check = CheckState::Due(now);
        }
    }

    /// Schedules another check of a reported incarnation that has not answered.
    pub fn recheck_later(&mut self, now: Now, incarnation: &TargetIncarnation) {
        self.check_at(now + RECHECK_DELAY, incarnation);
    }

    /// Schedules the next check of a reported incarnation.
    pub fn check_at(&mut self, at: Now, incarnation: &TargetIncarnation) {
        let candidates = self.candidates.iter_mut();
        for candidate in candidates.filter(|c| c.report.info.life == *incarnation) {
            candidate.check = CheckState::Due(at);
        }
    }

    /// Drops the current incarnation without marking it as over. If it reports again, it is
    /// checked.
    pub fn forget_current(&mut self) {
        self.current = None;
    }

    /// Marks an incarnation as over, after another one has answered in its place.
    pub fn mark_over(&mut self, incarnation: &TargetIncarnation) {
        self.candidates
            .retain(|c| c.report.info.life != *incarnation);
        if self.current_incarnation() == Some(incarnation) {
            self.current = None;
        }
        if self.past.len() >= MAX_PAST {
            self.past.pop_front();
        }
        self.past.push_back(incarnation.clone());
    }
}
