//! The agent's book of runs on its target: whose they are, what they take, how far they are.
//!
//! Invariant: a run stays booked, and its resources taken, until there is proof that nothing of
//! it runs and nothing ever will: the target listed its end, refused its start, or its lease must
//! have run out.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{Incarnation, Now};
use crate::resources::Resources;
use crate::run::{RunEnd, RunKey, TaskKey};

/// How long an end is remembered for an entry that missed the news. Longer than an entry waits
/// before it takes a silent agent's runs for over.
const REMEMBER_END: Duration = Duration::from_secs(16);

/// Fencing token of an order.
pub type FencingToken = u64;

/// Where a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its start is on the way.
    Starting {
        /// Token of the order.
        token: FencingToken,
        /// When it was sent.
        sent: Now,
    },
    /// Its start was not answered in time. A higher token settles whether it runs.
    Unsure {
        /// Token of the order.
        token: FencingToken,
        /// When it was sent.
        sent: Now,
    },
    /// The target has it.
    Running,
}

/// A stop that was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopping {
    /// When it is to be sent again.
    pub resend_at: Now,
    /// Since when nobody answers for the run: the stop must then succeed within bounds. Counted from
    /// that time and not from when it was noticed, or a process that stood still would renew what
    /// must lapse.
    pub orphaned_since: Option<Now>,
}

/// One run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Life of the entry that answers for it; none if it was adopted and not claimed yet.
    pub owner: Option<Incarnation>,
    /// What it takes; none while not known.
    pub size: Option<Resources>,
    /// What the task was given; empty for adopted ones, which are never started again here.
    pub payload: Arc<str>,
    /// How long it may take.
    pub estimate: Duration,
    /// Last moment for a first or repeated start.
    pub start_by: Now,
    /// When it was ordered or adopted.
    pub since: Now,
    /// When the target had it, as far as known.
    pub running_since: Option<Now>,
    /// Where it is.
    pub phase: Phase,
    /// Whether its start was sent a second time, for the first was lost.
    pub is_resent: bool,
    /// Stop that was asked for.
    pub stopping: Option<Stopping>,
    /// When its slowness may be reported next.
    pub slow_report_at: Now,
    /// What it counts as if it turns out to be over without a listed end: lost, or crashed once the
    /// target has crashed with it.
    pub end_if_unlisted: RunEnd,
}

/// All runs of one target.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: BTreeMap<RunKey, Run>,
    booked: Resources,
    /// Size of the run that was booked last.
    last_size: Resources,
    unsized_runs: u32,
    ends: BTreeMap<RunKey, RunEnd>,
    ends_order: VecDeque<(Now, RunKey)>,
}

impl RunTable {
    /// Books a run.
    pub fn insert(&mut self, key: RunKey, run: Run) {
        match run.size {
            Some(size) => {
                self.booked = self.booked.plus(size);
                self.last_size = size;
            }
            None => self.unsized_runs += 1,
        }
        self.runs.insert(key, run);
    }

    /// Takes a run off the book: it is proven to be over.
    pub fn remove(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(&key)?;
        match run.size {
            Some(size) => self.booked = self.booked.minus(size),
            None => self.unsized_runs -= 1,
        }
        Some(run)
    }

    /// Gives an adopted run its owner and size.
    pub fn claim(&mut self, key: RunKey, owner: Incarnation, size: Resources) -> bool {
        let Some(run) = self.runs.get_mut(&key) else {
            return false;
        };
        run.owner = Some(owner);
        if run.size.is_none() {
            run.size = Some(size);
            self.unsized_runs -= 1;
            self.booked = self.booked.plus(size);
        }
        true
    }

    /// A run.
    pub fn get(&self, key: RunKey) -> Option<&Run> {
        self.runs.get(&key)
    }

    /// A run, to be changed in all but its size.
    pub fn get_mut(&mut self, key: RunKey) -> Option<&mut Run> {
        self.runs.get_mut(&key)
    }

    /// Whether any run of a task is booked.
    pub fn has_task(&self, task: TaskKey) -> bool {
        let first = RunKey { task, run: 0 };
        let next = self.runs.range(first..).next();
        next.is_some_and(|(key, _)| key.task == task)
    }

    /// All runs.
    pub fn iter(&self) -> impl Iterator<Item = (RunKey, &Run)> {
        self.runs.iter().map(|(key, run)| (*key, run))
    }

    /// All runs, to be changed in all but their size.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RunKey, &mut Run)> {
        self.runs.iter_mut().map(|(key, run)| (*key, run))
    }

    /// Keys of all runs.
    pub fn keys(&self) -> Vec<RunKey> {
        self.runs.keys().copied().collect()
    }

    /// Whether nothing is booked.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// What is free of `capacity`; nothing while the size of any run is not known.
    pub fn free(&self, capacity: Resources) -> Resources {
        if self.unsized_runs > 0 {
            return Resources::NONE;
        }
        capacity.minus(self.booked)
    }

    /// Whether all that is booked fits in `capacity`; no while the size of any run is not known.
    pub fn is_within(&self, capacity: Resources) -> bool {
        self.unsized_runs == 0 && self.booked.fits_in(capacity)
    }

    /// Notes that the target crashed with all that is booked.
    pub fn note_crash(&mut self) {
        let alone = self.runs.len() == 1;
        for run in self.runs.values_mut() {
            run.end_if_unlisted = RunEnd::Crashed { alone };
        }
    }

    /// What a run takes as a rule: the mean of those booked, or the last one; nothing at first.
    pub fn usual_size(&self) -> Resources {
        let sized = self.runs.len() as u64 - u64::from(self.unsized_runs);
        if sized == 0 {
            return self.last_size;
        }
        self.booked.divided_by(sized)
    }

    /// Remembers how a run ended.
    pub fn remember_end(&mut self, now: Now, key: RunKey, end: RunEnd) {
        while let Some(&(at, oldest)) = self.ends_order.front() {
            if at + REMEMBER_END > now {
                break;
            }
            self.ends_order.pop_front();
            self.ends.remove(&oldest);
        }
        if self.ends.insert(key, end).is_none() {
            self.ends_order.push_back((now, key));
        }
    }

    /// How a run ended, if it ended of late.
    pub fn end_of(&self, key: RunKey) -> Option<RunEnd> {
        self.ends.get(&key).copied()
    }
}
