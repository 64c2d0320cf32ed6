//! Witnesses: an entry reports its orders to another one, which announces the runs of a lost entry in
//! place of agents that are silent.

use super::BatchEntryCore;
use crate::events::EventCode;
use crate::ids::{NodeName, Now, SessionId};
use crate::run::BatchId;
use crate::run_message::{DispatchNotice, PeerNews, RunsNotice};
use crate::target_registry::TargetView;
use crate::witnessed_runs::{Hold, SuspectBatch};

/// Part of a heartbeat interval that is allowed for the transit of an agent's packets, by which its clock
/// is known.
const TRANSIT_DIVISOR: u32 = 5;

/// How the last link of an agent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Parting {
    /// Its connection was closed, so its VM was awake: its target's lease lapses.
    Closed,
    /// It was silent. Its VM may be suspended.
    Silent,
}

impl BatchEntryCore {
    /// Reports orders to the witnesses of their batches. Must come before the orders are sent.
    pub(super) fn tell_witnesses(&mut self) {
        let directory = &self.directory;
        let choose = |batch| directory.witness_of(batch);
        for (link, notice) in self.dispatch_reports.take_due(self.now, choose) {
            let news = PeerNews::Dispatched(notice);
            let packet = self.directory.urgent_packet(self.now, link, news);
            self.actions.extend(packet);
        }
    }

    /// Reports a new batch to its witness, unless claims to it are made first.
    pub(super) fn report_held(&mut self, id: BatchId) {
        let batch = self.table.get(id);
        if batch.is_some_and(|b| b.is_vouched_for(self.now)) {
            self.dispatch_reports.note_held(id);
        }
    }

    /// Handles a report of the entry behind a link.
    pub(super) fn note_dispatched(&mut self, link: SessionId, notice: DispatchNotice) {
        if let Some(owner) = self.directory.peer(link).map(|peer| peer.life) {
            let new = self.witnessed.note(link, owner, notice);
            self.note_new_holder(link, owner, new);
        }
    }

    /// Handles the loss of a link to an entry, which may be lost as a witness and as an owner of runs.
    pub(super) fn note_peer_link_down(&mut self, link: SessionId) {
        self.dispatch_reports.witness_lost(link);
        self.witnessed.link_down(self.now, link);
        self.claims.link_down(link);
    }

    /// Handles an agent's announcement, which it makes when the owner has been silent for a while.
    pub(super) fn note_owner_suspected(&mut self, notice: RunsNotice) {
        if notice.holder != notice.owner {
            let silent_for = self.options.timings.suspect_after;
            let at = self.now.saturating_sub(silent_for);
            self.witnessed.owner_suspected(notice.owner, at);
        }
    }

    /// When the batches of a lost entry are checked next.
    pub(super) fn next_witness_check(&self) -> Option<Now> {
        self.witnessed
            .next_check(self.options.timings.witness_delay)
    }

    /// Announces the batches of lost entries that agents which are silent may run.
    pub(super) fn check_witnessed(&mut self) {
        // What agents wrote during a stall may be unread.
        if self.unread_until.is_some() {
            return;
        }
        let delay = self.options.timings.witness_delay;
        let directory = &self.directory;
        let is_linked = |owner| directory.link_to(owner).is_some();
        for suspect in self.witnessed.take_due(self.now, delay, is_linked) {
            self.announce_if_silent(suspect);
        }
    }

    fn announce_if_silent(&mut self, suspect: SuspectBatch) {
        let SuspectBatch {
            owner,
            lost_at,
            batch,
            mut agents,
        } = suspect;
        agents.retain(|agent| self.may_be_suspended(agent, lost_at));
        if agents.is_empty() || self.witnessed.is_held(owner, batch) {
            return;
        }
        let names: Vec<&str> = agents.iter().map(|agent| &**agent).collect();
        self.log(
            EventCode::SilentRunsTold,
            format!(
                "job={batch:016x} entry={owner:x} agents=[{}]",
                names.join(",")
            ),
        );
        let notice = self.directory.tell_runs_of(self.now, batch, owner);
        self.witnessed.hold(Hold {
            notice,
            lost_at,
            until: self.now + self.options.timings.lost_agent_bound,
            silent: agents,
        });
    }

    /// Whether an agent may have runs of an entry that was lost at `lost_at`, and its VM may be
    /// suspended.
    fn may_be_suspended(&self, agent: &NodeName, lost_at: Now) -> bool {
        if let Some(link) = self.targets.link_of(agent) {
            let view = self.targets.get(link);
            return view.is_none_or(|view| self.told_until(view) < lost_at);
        }
        match self.parted_agents.get(agent) {
            Some(Parting::Closed) => false,
            Some(Parting::Silent) => true,
            // In a large fleet, agents have links to some of the entries only.
            None => !self.directory.is_large_fleet(),
        }
    }

    /// By when an entry must have been lost for the agent to have announced its runs, or stopped them.
    fn told_until(&self, view: &TargetView) -> Now {
        if !view.has_listed_runs() {
            return Now::ZERO;
        }
        let timings = &self.options.timings;
        let transit = timings.heartbeat / TRANSIT_DIVISOR;
        view.wrote_at()
            .saturating_sub(timings.suspect_after + transit)
    }

    /// Ends announcements in place of the agent on a link, if it has announced its runs itself.
    pub(super) fn end_holds_of(&mut self, link: SessionId) {
        if self.witnessed.has_no_holds() {
            return;
        }
        let Some(view) = self.targets.get(link) else {
            return;
        };
        let told_until = self.told_until(view);
        let agent = view.agent.clone();
        for notice in self.witnessed.agent_back(self.now, &agent, told_until) {
            let RunsNotice { batch, owner, .. } = notice;
            self.log(
                EventCode::SilentRunsOver,
                format!("job={batch:016x} entry={owner:x} agent={agent}"),
            );
            self.needs_placing |= self.directory.tell_runs_of_over(self.now, notice);
        }
    }
}
