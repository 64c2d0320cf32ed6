//! Announces to the entries that runs may outlast their owner, and limits the target's lease.
//!
//! Callers whose entry is lost, or whose connection broke, return to another entry. By then, every run
//! of their batches has ended: the target's lease is extended beyond the callers' return only for runs
//! that their entries want. The entry that a caller reaches may be new or cut off, and so may each
//! process that knows of the runs. Announcements therefore extend no lease. Entries that hear them hold
//! the batch, which covers what a lease doesn't: a target whose clock stands still.

use std::collections::BTreeSet;
use std::time::Duration;

use super::RunAgentCore;
use crate::events::EventCode;
use crate::ids::{Now, SessionId};
use crate::run::RunKey;
use crate::run_announcements::OwnedBatch;
use crate::run_message::{
    AgentNews, DISPATCH_NOTICE_PROTOCOL, NoticeNumber, RUNS_NOTICE_PROTOCOL, RunsNotice,
};
use crate::run_table::Run;
use crate::target_lease::Extension;

/// Attempts to stop a run after which it is announced.
const STOPS_BEFORE_ANNOUNCEMENT: u32 = 2;

impl RunAgentCore {
    /// Extension of the target's lease that the next renewal or start may ask for.
    pub(super) fn allowed_extension(&self) -> Extension {
        if !self.may_renew() {
            return Extension::None;
        }
        let bound = self.options.timings.unrenewed_run_bound;
        let last_wanted = self.runs.iter().map(|(_, run)| self.last_wanted(run));
        match last_wanted.min() {
            None => Extension::Full,
            Some(None) => Extension::None,
            Some(Some(at)) => Extension::EndsBy(at + bound),
        }
    }

    /// When the entries still wanted a run, at the latest known time; none if unknown.
    fn last_wanted(&self, run: &Run) -> Option<Now> {
        let guaranteed_at = self.guaranteed_at(run)?;
        match run.stopping {
            Some(stopping) => Some(stopping.last_wanted?.min(guaranteed_at)),
            None => Some(guaranteed_at),
        }
    }

    /// When the entries on which a run depends wrote their last packets, at the earliest. None if the
    /// run has no owner.
    pub(super) fn guaranteed_at(&self, run: &Run) -> Option<Now> {
        let renewed_at = |entry| self.entry_links.lease_renewed_at(entry);
        let owner_at = renewed_at(run.owner?);
        let guarantor_at = run.guarantor.map(renewed_at);
        Some(guarantor_at.map_or(owner_at, |at| at.min(owner_at)))
    }

    /// Whether an announcement made at `at` still stands for a run. The entries keep it for a limited
    /// time, and after a packet of the owner it takes a new silence to make another.
    fn is_current(&self, run: &Run, at: Now) -> bool {
        let is_kept = at + self.announcement_interval() > self.now;
        let is_silent_since = self.guaranteed_at(run).is_some_and(|heard| heard <= at);
        is_kept && (is_silent_since || self.stop_overdue_at(run).is_some_and(|due| due <= at))
    }

    /// Interval at which an announcement is repeated, before the entries drop it.
    fn announcement_interval(&self) -> Duration {
        self.options.timings.lost_agent_bound / 2
    }

    /// When a run that is being stopped must be announced.
    fn stop_overdue_at(&self, run: &Run) -> Option<Now> {
        let interval = self.options.timings.stop_retry_interval;
        let stopping = run.stopping?;
        Some(stopping.requested_at + interval * STOPS_BEFORE_ANNOUNCEMENT)
    }

    /// When a run must be announced next; none if it has no owner.
    pub(super) fn announce_at(&self, key: RunKey, run: &Run) -> Option<Now> {
        let owner = run.owner?;
        let announcement = self.announcements.get((key.task.batch, owner));
        if let Some(announcement) = announcement
            && self.is_current(run, announcement.at)
        {
            return Some(announcement.at + self.announcement_interval());
        }
        let suspect_at = self.guaranteed_at(run)? + self.options.timings.suspect_after;
        let at = suspect_at.min(self.run_owned_until(run));
        Some(self.stop_overdue_at(run).map_or(at, |due| due.min(at)))
    }

    /// Announces the batches of runs that may outlast their owner, and reports those whose runs are
    /// over.
    pub(super) fn update_announcements(&mut self) {
        let due = self.runs.iter().filter_map(|(key, run)| {
            let is_due = self.announce_at(key, run)? <= self.now;
            is_due.then_some((key.task.batch, run.owner?))
        });
        let due: BTreeSet<OwnedBatch> = due.collect();
        for batch in due {
            let number = self.announcements.announce(self.now, batch);
            let (id, owner) = batch;
            self.log(
                EventCode::RunsAnnounced,
                format!("job={id:016x} entry={owner:x} number={number}"),
            );
            let notice = self.notice_of(batch, number);
            self.tell_entries(&AgentNews::RunsLeft(notice));
        }
        if self.announcements.is_empty() {
            return;
        }
        let runs = &self.runs;
        let has_runs = |(batch, owner): OwnedBatch| {
            let mut of_batch = runs.of_batch(batch);
            of_batch.any(|run| run.may_be_of(owner))
        };
        for (batch, number) in self.announcements.take_over(has_runs) {
            let notice = self.notice_of(batch, number);
            self.tell_entries(&AgentNews::RunsOver(notice));
        }
    }

    fn notice_of(&self, (batch, owner): OwnedBatch, number: NoticeNumber) -> RunsNotice {
        let holder = self.options.incarnation;
        RunsNotice {
            batch,
            holder,
            owner,
            number,
        }
    }

    fn tell_entries(&mut self, news: &AgentNews) {
        for (_, link) in self.entry_links.iter_mut() {
            if link.protocol >= RUNS_NOTICE_PROTOCOL {
                link.news.push(news.clone());
            }
        }
    }

    /// Tells the entries, once on each link, that all runs are known and have owners. Runs that may
    /// outlast their owners were announced before.
    pub(super) fn tell_runs_listed(&mut self) {
        let is_listed = self.knows_runs && self.runs.iter().all(|(_, run)| run.owner.is_some());
        if !is_listed {
            return;
        }
        for (_, link) in self.entry_links.iter_mut() {
            let is_able = link.entry.is_some() && link.protocol >= DISPATCH_NOTICE_PROTOCOL;
            if is_able && !std::mem::replace(&mut link.is_told_listed, true) {
                link.news.push(AgentNews::RunsListed);
            }
        }
    }

    /// Tells a newly linked entry of all open announcements.
    pub(super) fn send_announcements(&mut self, link: SessionId) {
        let open = self.announcements.open();
        let notices = open.into_iter();
        let notices = notices.map(|(batch, number)| self.notice_of(batch, number));
        let notices: Vec<RunsNotice> = notices.collect();
        let Some(found) = self.entry_links.get_mut(link) else {
            return;
        };
        if found.protocol >= RUNS_NOTICE_PROTOCOL {
            found
                .news
                .extend(notices.into_iter().map(AgentNews::RunsLeft));
        }
    }
}
