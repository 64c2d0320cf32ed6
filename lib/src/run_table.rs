//! The agent's table of runs on its target: their owners, resources and phases.
//!
//! Invariant: a run stays in the table, with its resources reserved, until there is proof that it
//! does not run and never will: the target listed its end or refused its start, or its lease must
//! have lapsed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{Incarnation, Now};
use crate::resources::Resources;
use crate::run::{BatchId, RunEnd, RunKey, TaskKey};
use crate::target_incarnation::TargetIncarnation;

/// How long an end is kept for entries that missed it. With the default bounds, longer than an entry
/// waits before it considers the runs of a silent agent lost.
const END_RETENTION: Duration = Duration::from_secs(16);

/// Fencing token of an order. The target refuses orders with a lower token than it has seen.
pub type FencingToken = u64;

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its start is in flight.
    Starting {
        /// Token of the order.
        token: FencingToken,
        /// When it was sent.
        sent: Now,
    },
    /// Its start was not answered in time. Lists that were requested with a higher token show
    /// whether it runs.
    Unconfirmed {
        /// Token of the order.
        token: FencingToken,
        /// When it was sent.
        sent: Now,
    },
    /// The target has started it.
    Running,
}

/// State of a requested stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopping {
    /// When it was requested.
    pub requested_at: Now,
    /// When to send it next.
    pub resend_at: Now,
    /// When the entries still wanted the run, at the latest known time; none if unknown. Its caller may
    /// have left since then.
    pub last_wanted: Option<Now>,
    /// When the owner's lease lapsed, if it has. The stop must succeed within the stop bound after
    /// that. The time of the detection would be too late: an agent that was stalled in between would
    /// renew a lease that must lapse.
    pub orphaned_since: Option<Now>,
}

/// A run on the target.
#[derive(Debug, Clone)]
pub struct Run {
    /// Incarnation of the entry that owns it; none if it was adopted and not claimed yet.
    pub owner: Option<Incarnation>,
    /// Incarnation of the entry that handed its batch over to the owner; none if nobody did, or if
    /// the run was adopted and not claimed yet. The run must stop once either lease has lapsed.
    pub guarantor: Option<Incarnation>,
    /// Whether an earlier incarnation of the agent started it.
    pub is_adopted: bool,
    /// Incarnation of the target that it was ordered for; none if it was adopted.
    pub target: Option<TargetIncarnation>,
    /// Resources that it takes; none while unknown.
    pub size: Option<Resources>,
    /// Payload of the task; empty for an adopted run, whose start is never resent.
    pub payload: Arc<str>,
    /// Estimated duration; zero if unknown.
    pub estimate: Duration,
    /// Deadline for the first and the resent start.
    pub start_by: Now,
    /// When the start was ordered or the run was adopted.
    pub since: Now,
    /// When it was first known to run.
    pub running_since: Option<Now>,
    /// Current phase.
    pub phase: Phase,
    /// Whether its lost start was resent.
    pub is_resent: bool,
    /// Requested stop, if any.
    pub stopping: Option<Stopping>,
    /// When it may be reported as slow next.
    pub slow_report_at: Now,
    /// Outcome if its end is not listed: lost, or crashed if the target crashed while it had it.
    pub end_if_unlisted: RunEnd,
}

impl Run {
    /// Whether the run may be an entry's own. Runs of several entries may have the same key, because
    /// each entry numbers the runs of its own attempts.
    pub fn may_be_of(&self, entry: Incarnation) -> bool {
        self.owner.is_none_or(|owner| owner == entry)
    }
}

/// A run that is over.
#[derive(Debug, Clone, Copy)]
struct PastRun {
    ended: Now,
    owner: Option<Incarnation>,
    end: RunEnd,
}

/// An entry's claim that a run is its own.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// Incarnation of the entry.
    pub owner: Incarnation,
    /// Incarnation of the entry that handed the run's batch over, if any.
    pub guarantor: Option<Incarnation>,
    /// Resources that the run takes.
    pub size: Resources,
}

/// The lowest key of a batch's runs.
fn first_key(batch: BatchId) -> RunKey {
    let task = TaskKey {
        batch,
        time: 0,
        step: 0,
        index: 0,
    };
    RunKey { task, run: 0 }
}

/// The runs of one target and their recent ends.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: BTreeMap<RunKey, Run>,
    reserved: Resources,
    /// Size of the sized run that was added last.
    last_size: Resources,
    unsized_runs: u32,
    recent_ends: BTreeMap<RunKey, PastRun>,
    ends_by_time: VecDeque<(Now, RunKey)>,
}

impl RunTable {
    /// Adds a run and reserves its resources.
    pub fn insert(&mut self, key: RunKey, run: Run) {
        match run.size {
            Some(size) => {
                self.reserved = self.reserved.plus(size);
                self.last_size = size;
            }
            None => self.unsized_runs += 1,
        }
        self.runs.insert(key, run);
    }

    /// Removes a run that is proven to be over and releases its resources.
    pub fn remove(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(&key)?;
        match run.size {
            Some(size) => self.reserved = self.reserved.minus(size),
            None => self.unsized_runs -= 1,
        }
        Some(run)
    }

    /// Sets the owner of a run that has none, and its guarantor and size if they are unknown. Returns
    /// false if the entry has no such run: it is not in the table, or another entry owns it.
    pub fn claim(&mut self, key: RunKey, claim: &Claim) -> bool {
        let Some(run) = self.runs.get_mut(&key) else {
            return false;
        };
        if !run.may_be_of(claim.owner) {
            return false;
        }
        run.owner = Some(claim.owner);
        run.guarantor = run.guarantor.or(claim.guarantor);
        if run.size.is_none() {
            run.size = Some(claim.size);
            self.unsized_runs -= 1;
            self.reserved = self.reserved.plus(claim.size);
        }
        true
    }

    /// Returns a run.
    pub fn get(&self, key: RunKey) -> Option<&Run> {
        self.runs.get(&key)
    }

    /// Returns a run for changes. Its size must not be changed.
    pub fn get_mut(&mut self, key: RunKey) -> Option<&mut Run> {
        self.runs.get_mut(&key)
    }

    /// All runs of a batch.
    pub fn of_batch(&self, batch: BatchId) -> impl Iterator<Item = &Run> {
        let runs = self.runs.range(first_key(batch)..);
        let of_batch = runs.take_while(move |(key, _)| key.task.batch == batch);
        of_batch.map(|(_, run)| run)
    }

    /// Whether the table has any run of a task.
    pub fn has_task(&self, task: TaskKey) -> bool {
        let first = RunKey { task, run: 0 };
        let next = self.runs.range(first..).next();
        next.is_some_and(|(key, _)| key.task == task)
    }

    /// All runs.
    pub fn iter(&self) -> impl Iterator<Item = (RunKey, &Run)> {
        self.runs.iter().map(|(key, run)| (*key, run))
    }

    /// All runs, for changes. Their sizes must not be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RunKey, &mut Run)> {
        self.runs.iter_mut().map(|(key, run)| (*key, run))
    }

    /// Keys of all runs.
    pub fn keys(&self) -> Vec<RunKey> {
        self.runs.keys().copied().collect()
    }

    /// Whether the table has no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns the free part of `capacity`; nothing while the size of any run is unknown.
    pub fn free(&self, capacity: Resources) -> Resources {
        if self.unsized_runs > 0 {
            return Resources::NONE;
        }
        capacity.minus(self.reserved)
    }

    /// Whether all runs fit in `capacity`; false while the size of any run is unknown.
    pub fn is_within(&self, capacity: Resources) -> bool {
        self.unsized_runs == 0 && self.reserved.fits_in(capacity)
    }

    /// Records that the target crashed while it had all runs of the table.
    pub fn note_crash(&mut self) {
        let alone = self.runs.len() == 1;
        for run in self.runs.values_mut() {
            run.end_if_unlisted = RunEnd::Crashed { alone };
        }
    }

    /// Returns the mean size of the sized runs; without any, the size of the last one, or nothing.
    pub fn typical_size(&self) -> Resources {
        let sized = self.runs.len() as u64 - u64::from(self.unsized_runs);
        if sized == 0 {
            return self.last_size;
        }
        self.reserved.divided_by(sized)
    }

    /// Records how a run ended, which is still in the table if it was known, and drops expired ends.
    pub fn remember_end(&mut self, now: Now, key: RunKey, end: RunEnd) {
        while let Some(&(at, oldest)) = self.ends_by_time.front() {
            if at + END_RETENTION > now {
                break;
            }
            self.ends_by_time.pop_front();
            if self.recent_ends.get(&oldest).is_some_and(|r| r.ended == at) {
                self.recent_ends.remove(&oldest);
            }
        }
        let owner = match self.runs.get(&key) {
            Some(run) => run.owner,
            None => self.recent_ends.get(&key).and_then(|past| past.owner),
        };
        let ended = now;
        let past = PastRun { ended, owner, end };
        self.recent_ends.insert(key, past);
        self.ends_by_time.push_back((now, key));
    }

    /// Returns how a run ended, if its end is still kept.
    pub fn end_of(&self, key: RunKey) -> Option<RunEnd> {
        self.recent_ends.get(&key).map(|past| past.end)
    }

    /// Returns when a run's end was noted, if the end is still kept.
    pub fn ended_at(&self, key: RunKey) -> Option<Now> {
        self.recent_ends.get(&key).map(|past| past.ended)
    }

    /// Returns the owner that a run had when its end was noted, if the end is still kept.
    pub fn past_owner(&self, key: RunKey) -> Option<Incarnation> {
        self.recent_ends.get(&key)?.owner
    }

    /// Returns how an entry's run ended, if its end is still kept. A run of another entry may have
    /// had the same key.
    pub fn end_for(&self, key: RunKey, entry: Incarnation) -> Option<RunEnd> {
        let past = self.recent_ends.get(&key)?;
        let is_its_own = past.owner.is_none_or(|owner| owner == entry);
        is_its_own.then_some(past.end)
    }
}
