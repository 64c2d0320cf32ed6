//! Runs of other entries, as their owners reported them to this entry, their witness.
//!
//! If the owner is lost, its callers return to other entries. By then the agents that are awake have
//! stopped its runs or announced them. An agent whose VM is suspended can do neither, and its target's
//! lease does not lapse meanwhile. The witness announces the runs in its place, until the agent is back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{Incarnation, NodeName, Now, SessionId};
use crate::run::BatchId;
use crate::run_message::{DispatchNotice, DispatchedBatch, RunsNotice};

/// Largest number of batches kept of one entry, which holds a few hundred at a time.
const MAX_BATCHES_PER_LINK: usize = 5_000;

/// Agents that may have runs of each batch.
type AgentsByBatch = BTreeMap<BatchId, BTreeSet<NodeName>>;

/// An announcement in place of agents that are silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// The notice that was sent to the other entries.
    pub notice: RunsNotice,
    /// Since when the owner may be lost.
    pub lost_at: Now,
    /// When the notice expires.
    pub until: Now,
    /// Agents that have not been back since.
    pub silent: BTreeSet<NodeName>,
}

/// A batch whose owner may be lost.
#[derive(Debug, PartialEq, Eq)]
pub struct SuspectBatch {
    /// The entry that owns the runs.
    pub owner: Incarnation,
    /// Since when it may be lost.
    pub lost_at: Now,
    /// Id of the batch.
    pub batch: BatchId,
    /// Agents that may have runs of it.
    pub agents: BTreeSet<NodeName>,
}

/// The reports of an entry on one link.
#[derive(Debug)]
struct Reports {
    owner: Incarnation,
    agents: AgentsByBatch,
}

/// An entry whose link is gone.
#[derive(Debug)]
struct LostOwner {
    lost_at: Now,
    reports: Reports,
}

/// Reports of other entries, and the announcements that followed from them.
#[derive(Debug, Default)]
pub struct WitnessedRuns {
    by_link: BTreeMap<SessionId, Reports>,
    lost: Vec<LostOwner>,
    /// Linked entries that agents suspect to be lost, and since when.
    suspected: BTreeMap<Incarnation, Now>,
    holds: Vec<Hold>,
}

impl WitnessedRuns {
    /// Records the report of an entry.
    pub fn note(&mut self, link: SessionId, owner: Incarnation, notice: DispatchNotice) {
        let reports = self.by_link.entry(link).or_insert(Reports {
            owner,
            agents: BTreeMap::new(),
        });
        for DispatchedBatch { batch, agents } in notice.batches {
            let is_known = reports.agents.contains_key(&batch);
            if is_known || reports.agents.len() < MAX_BATCHES_PER_LINK {
                reports.agents.entry(batch).or_default().extend(agents);
            }
        }
        for batch in notice.ended {
            reports.agents.remove(&batch);
        }
    }

    /// Records that a link is gone. The batches that were reported on it are to be checked.
    pub fn link_down(&mut self, now: Now, link: SessionId) {
        if let Some(reports) = self.by_link.remove(&link) {
            self.lost.push(LostOwner {
                lost_at: now,
                reports,
            });
        }
    }

    /// Records that an entry may be lost since `at`, although it is linked. Its batches are to be checked.
    pub fn owner_suspected(&mut self, owner: Incarnation, at: Now) {
        if self.by_link.values().any(|reports| reports.owner == owner) {
            self.suspected.entry(owner).or_insert(at);
        }
    }

    /// When the next check is due, `delay` after an owner was lost.
    pub fn next_check(&self, delay: Duration) -> Option<Now> {
        let lost = self.lost.iter().map(|lost| lost.lost_at);
        let first = lost.chain(self.suspected.values().copied()).min()?;
        Some(first + delay)
    }

    /// Takes the batches whose check is due. An owner whose link is gone needs none if `is_linked` again:
    /// it has reported to another witness.
    pub fn take_due(
        &mut self,
        now: Now,
        delay: Duration,
        is_linked: impl Fn(Incarnation) -> bool,
    ) -> Vec<SuspectBatch> {
        let mut suspects = Vec::new();
        self.lost.retain(|lost| {
            let is_due = lost.lost_at + delay <= now;
            if is_due && !is_linked(lost.reports.owner) {
                suspects.extend(suspects_of(&lost.reports, lost.lost_at));
            }
            !is_due
        });
        let by_link = &self.by_link;
        self.suspected.retain(|owner, lost_at| {
            let is_due = *lost_at + delay <= now;
            let of_owner = by_link.values().filter(|r| is_due && r.owner == *owner);
            suspects.extend(of_owner.flat_map(|reports| suspects_of(reports, *lost_at)));
            !is_due
        });
        suspects
    }

    /// Whether a batch is announced already.
    pub fn is_held(&self, owner: Incarnation, batch: BatchId) -> bool {
        let is_same = |hold: &Hold| hold.notice.owner == owner && hold.notice.batch == batch;
        self.holds.iter().any(is_same)
    }

    /// Records an announcement.
    pub fn hold(&mut self, hold: Hold) {
        self.holds.push(hold);
    }

    /// Records that an agent has told of all runs that it has of owners that were lost by `told_until`.
    /// Returns the notices whose agents are all back.
    pub fn agent_back(&mut self, now: Now, agent: &str, told_until: Now) -> Vec<RunsNotice> {
        let mut over = Vec::new();
        self.holds.retain_mut(|hold| {
            if hold.lost_at <= told_until {
                hold.silent.remove(agent);
            }
            if hold.silent.is_empty() {
                over.push(hold.notice);
            }
            !hold.silent.is_empty() && hold.until > now
        });
        over
    }

    /// Whether nothing is announced.
    pub fn has_no_holds(&self) -> bool {
        self.holds.is_empty()
    }
}

fn suspects_of(reports: &Reports, lost_at: Now) -> impl Iterator<Item = SuspectBatch> {
    let owner = reports.owner;
    reports
        .agents
        .iter()
        .map(move |(batch, agents)| SuspectBatch {
            owner,
            lost_at,
            batch: *batch,
            agents: agents.clone(),
        })
}
