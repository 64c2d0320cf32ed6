//! Keeps the target crashes that processes tell each other of, so that a task's crash history
//! outlives the entry that ran it.
//!
//! Entries flood these notices to their neighbours, so each arrives several times. Invariant: a
//! notice counts as new once while it is kept. Otherwise a crash would count twice, and the notice
//! would circulate for ever. Each notice carries its age, so that it expires everywhere at about the
//! same time and a process that heard of it late does not bring it back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Incarnation, Now};
use crate::run::{BatchId, RunKey, RunNumber, TaskKey};
use crate::run_message::CrashNotice;

/// How long after the crash a notice is kept: as long as a caller may retry its batch.
const RETENTION: Duration = Duration::from_secs(30);
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
#[derive(Debug, Clone, Copy)]
struct Kept {
    alone: bool,
    until: Now,
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

/// Crash notices by run and by the entry that owned it.
#[derive(Debug, Default)]
pub struct CrashNotices {
    notices: BTreeMap<(RunKey, Incarnation), Kept>,
}

impl CrashNotices {
    /// Keeps a notice and returns whether it is new.
    pub fn note(&mut self, now: Now, notice: CrashNotice) -> CrashNews {
        let age = Duration::from_millis(u64::from(notice.age_ms));
        let id = (notice.key, notice.owner);
        let is_kept = self.notices.get(&id).is_some_and(|kept| kept.until > now);
        if is_kept || age >= RETENTION {
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
            until: now + (RETENTION - age),
        };
        self.notices.insert(id, kept);
        CrashNews::New
    }

    /// Returns the kept crashes of a batch's tasks, the oldest first.
    pub fn of_batch(&self, now: Now, batch: BatchId) -> Vec<KnownCrash> {
        let first = |batch| {
            let task = TaskKey {
                batch,
                time: 0,
                step: 0,
                index: 0,
            };
            (RunKey { task, run: 0 }, Incarnation::MIN)
        };
        let from_batch = self.notices.range(first(batch)..);
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
