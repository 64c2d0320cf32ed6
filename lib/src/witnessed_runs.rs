//! Runs of other entries, as their owners reported them to this entry, their witness.
//!
//! If the owner is lost, its callers return to other entries. By then the agents that are awake have
//! stopped its runs or announced them. An agent whose VM is suspended can do neither, and its target's
//! lease does not lapse meanwhile. The witness announces the runs in its place, until the agent is back.
//!
//! An entry whose caller may be at another entry by now asks the witnesses of the batch before it starts
//! it: a claim. So an entry also reports the batches that it holds without having ordered their tasks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
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

/// Batches that an entry held when its link was lost.
#[derive(Debug)]
struct DepartedOwner {
    since: Now,
    owner: Incarnation,
    batches: BTreeSet<BatchId>,
}

/// An entry's claim to a batch.
#[derive(Debug, Clone, Copy)]
struct Claim {
    until: Now,
    is_granted: bool,
}

/// Reports of other entries, and the announcements that followed from them.
#[derive(Debug, Default)]
pub struct WitnessedRuns {
    by_link: BTreeMap<SessionId, Reports>,
    lost: Vec<LostOwner>,
    /// Linked entries that agents suspect to be lost, and since when.
    suspected: BTreeMap<Incarnation, Now>,
    holds: Vec<Hold>,
    /// Their batches may still be run, until `max_age` has passed since.
    departed: VecDeque<DepartedOwner>,
    claims: BTreeMap<(BatchId, Incarnation), Claim>,
    /// When claims expire, in order. A claim that was renewed stands here more than once.
    claim_ends: VecDeque<(Now, BatchId, Incarnation)>,
}

impl WitnessedRuns {
    /// Records the report of an entry. Returns the batches that were not known to be held by it.
    pub fn note(
        &mut self,
        link: SessionId,
        owner: Incarnation,
        notice: DispatchNotice,
    ) -> Vec<BatchId> {
        let mut new = Vec::new();
        let reports = self.by_link.entry(link).or_insert(Reports {
            owner,
            agents: BTreeMap::new(),
        });
        for DispatchedBatch { batch, agents } in notice.batches {
            let is_known = reports.agents.contains_key(&batch);
            if is_known || reports.agents.len() < MAX_BATCHES_PER_LINK {
                reports.agents.entry(batch).or_default().extend(agents);
            }
            if !is_known {
                new.push(batch);
            }
        }
        for batch in notice.ended {
            reports.agents.remove(&batch);
        }
        new
    }

    /// Whether an entry other than `owner` has reported a batch, or had when it was lost.
    pub fn is_held_by_another(&self, batch: BatchId, owner: Incarnation) -> bool {
        let mut reports = self.by_link.values();
        let mut departed = self.departed.iter();
        reports.any(|r| r.owner != owner && r.agents.contains_key(&batch))
            || departed.any(|d| d.owner != owner && d.batches.contains(&batch))
    }

    /// Links to the entries other than `owner` that have reported a batch.
    pub fn other_holders(&self, batch: BatchId, owner: Incarnation) -> Vec<SessionId> {
        let reports = self.by_link.iter();
        let others = reports.filter(|(_, r)| r.owner != owner && r.agents.contains_key(&batch));
        others.map(|(link, _)| *link).collect()
    }

    /// Records an entry's claim to a batch until `until`.
    pub fn note_claim(&mut self, batch: BatchId, owner: Incarnation, until: Now, is_granted: bool) {
        let claim = Claim { until, is_granted };
        self.claims.insert((batch, owner), claim);
        self.claim_ends.push_back((until, batch, owner));
    }

    /// Whether an entry has claimed a batch lately, with or without success.
    pub fn has_claimed(&self, batch: BatchId, owner: Incarnation) -> bool {
        self.claims.contains_key(&(batch, owner))
    }

    /// Whether an entry other than `owner` was granted its claim to a batch.
    pub fn is_granted_to_another(&self, batch: BatchId, owner: Incarnation) -> bool {
        let (first, last) = (Incarnation::MIN, Incarnation::MAX);
        let mut claims = self.claims.range((batch, first)..=(batch, last));
        claims.any(|((_, by), claim)| *by != owner && claim.is_granted)
    }

    /// Forgets claims that have expired, and batches of entries that were lost before `lost_before`.
    pub fn forget_expired(&mut self, now: Now, lost_before: Now) {
        while let Some((until, batch, owner)) = self.claim_ends.front().copied() {
            if until > now {
                break;
            }
            self.claim_ends.pop_front();
            let claim = self.claims.get(&(batch, owner));
            if claim.is_some_and(|claim| claim.until <= now) {
                self.claims.remove(&(batch, owner));
            }
        }
        let is_old = |d: &DepartedOwner| d.since < lost_before;
        while self.departed.front().is_some_and(is_old) {
            self.departed.pop_front();
        }
    }

    /// Records that a link is gone. The batches that were reported on it are to be checked.
    pub fn link_down(&mut self, now: Now, link: SessionId) {
        if let Some(reports) = self.by_link.remove(&link) {
            self.departed.push_back(DepartedOwner {
                since: now,
                owner: reports.owner,
                batches: reports.agents.keys().copied().collect(),
            });
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
