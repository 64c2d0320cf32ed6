//! Keeps the target crashes that processes tell each other of, so that a task's crash history
//! outlives the entry that ran it.
//!
//! Entries flood these notices to their neighbours, so each arrives several times. Invariant: a
//! notice counts as new once while it is kept. Otherwise a crash would count twice, and the notice
//! would circulate for ever. Each notice carries its age, so that it expires everywhere at about the
//! same time and a process that heard of it late does not bring it back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Incarnation, NodeName, Now};
use crate::run::{BatchId, RunKey, RunNumber, TaskKey};
use crate::run_message::CrashNotice;

/// How long after the crash a notice is kept: as long as a caller may retry its batch.
const RETENTION: Duration = Duration::from_secs(30);
/// Time for another suspect of a crash to be placed alone and to crash its target, before the lease
/// there lapses.
const REPEAT_MARGIN: Duration = Duration::from_millis(100);
/// Largest number of notices kept. All of them fit in one message to a new neighbour.
const MAX_NOTICES: usize = 2_000;

/// What a notice tells a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashNews {
    /// The crash was not known; it is now.
    New,
    /// The crash is known already, or too old to matter.
    Known,
    /// The crash is not known, and there is no room to keep it.
    Full,
}

/// A crash during a run of a task, as kept.
#[derive(Debug, Clone)]
struct Kept {
    alone: bool,
    until: Now,
    /// Agent of the target that crashed; none if another entry told of the crash.
    agent: Option<NodeName>,
}

impl Kept {
    /// When the crash was detected.
    fn at(&self) -> Now {
        self.until.saturating_sub(RETENTION)
    }

    /// Whether both are suspects of one crash. An agent tells of all its suspects at once.
    fn is_same_crash(&self, other: &Self) -> bool {
        self.agent.is_some() && self.agent == other.agent && self.until == other.until
    }
}

/// A known crash of an earlier run of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownCrash {
    /// The task that had the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Whether the target had no other run.
    pub alone: bool,
}

/// Key that precedes all notices of a task.
fn first_key(task: TaskKey) -> (RunKey, Incarnation) {
    (RunKey { task, run: 0 }, Incarnation::MIN)
}

/// Crash notices by run and by the entry that owned it.
#[derive(Debug, Default)]
pub struct CrashNotices {
    notices: BTreeMap<(RunKey, Incarnation), Kept>,
}

impl CrashNotices {
    /// Keeps a notice and returns whether it is new. `agent` is the agent that told of the crash, if
    /// it came from one.
    pub fn note(&mut self, now: Now, notice: CrashNotice, agent: Option<&NodeName>) -> CrashNews {
        let age = Duration::from_millis(u64::from(notice.age_ms));
        if age >= RETENTION {
            return CrashNews::Known;
        }
        let id = (notice.key, notice.owner);
        let until = now + (RETENTION - age);
        if let Some(kept) = self.notices.get_mut(&id).filter(|kept| kept.until > now) {
            // The agent's notices of one crash have the same time, another entry's may not.
            if kept.agent.is_none() && agent.is_some() {
                kept.agent = agent.cloned();
                kept.until = until;
            }
            return CrashNews::Known;
        }
        if self.notices.len() >= MAX_NOTICES {
            self.notices.retain(|_, kept| kept.until > now);
        }
        if self.notices.len() >= MAX_NOTICES {
            return CrashNews::Full;
        }
        let kept = Kept {
            alone: notice.alone,
            until,
            agent: agent.cloned(),
        };
        self.notices.insert(id, kept);
        CrashNews::New
    }

    /// Returns when two crashes suffice to give a task up: at once, or when the other suspects of a
    /// crash that it shared have had time for another one. `lapse` is the longest time until the runs
    /// at a crashed target are proven over.
    pub fn verdict_at(&self, now: Now, task: TaskKey, lapse: Duration) -> Now {
        let shared = self.of_task(task).filter(|kept| {
            let mut others = self.other_suspects(task, kept);
            others.next().is_some()
        });
        let known_at = shared.map(|kept| kept.at() + lapse + REPEAT_MARGIN);
        known_at.max().map_or(now, |at| at.max(now))
    }

    /// Returns whether another suspect of a crash that a task shared has crashed a target again.
    pub fn is_disputed(&self, task: TaskKey) -> bool {
        let mut others = self
            .of_task(task)
            .flat_map(|kept| self.other_suspects(task, kept));
        others.any(|other| self.of_task(other).count() > 1)
    }

    fn of_task(&self, task: TaskKey) -> impl Iterator<Item = &Kept> {
        let from_task = self.notices.range(first_key(task)..);
        let of_task = from_task.take_while(move |((key, _), _)| key.task == task);
        of_task.map(|(_, kept)| kept)
    }

    fn other_suspects(&self, task: TaskKey, crash: &Kept) -> impl Iterator<Item = TaskKey> {
        let of_crash = self
            .notices
            .iter()
            .filter(move |((key, _), kept)| key.task != task && kept.is_same_crash(crash));
        of_crash.map(|((key, _), _)| key.task)
    }

    /// Returns the kept crashes of a batch's tasks, the oldest first.
    pub fn of_batch(&self, now: Now, batch: BatchId) -> Vec<KnownCrash> {
        let first = TaskKey {
            batch,
            time: 0,
            step: 0,
            index: 0,
        };
        let from_batch = self.notices.range(first_key(first)..);
        let of_batch = from_batch.take_while(|((key, _), _)| key.task.batch == batch);
        let mut kept: Vec<_> = of_batch.filter(|(_, kept)| kept.until > now).collect();
        kept.sort_by_key(|(_, kept)| kept.until);
        let known = kept.into_iter().map(|((key, _), kept)| KnownCrash {
            task: key.task,
            run: key.run,
            alone: kept.alone,
        });
        known.collect()
    }

    /// Returns all kept notices with their present age, for a process that may have missed them.
    pub fn all(&self, now: Now) -> impl Iterator<Item = CrashNotice> {
        let kept = self.notices.iter().filter(move |(_, k)| k.until > now);
        kept.map(move |((key, owner), kept)| CrashNotice {
            key: *key,
            owner: *owner,
            alone: kept.alone,
            age_ms: RETENTION.saturating_sub(kept.until - now).as_millis() as u32,
        })
    }
}
