//! Run numbers of the batches that an entry held before.
//!
//! News of a run may arrive after its batch has ended and has come again. The numbers of a batch that
//! comes again therefore continue after those of its earlier attempts. Invariant: within one
//! incarnation of an entry, and as long as news of a run may arrive, a task and a number identify it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::Now;
use crate::run::{BatchId, RunNumber};

/// How long an ended batch is kept: longer than news can stay in the buffers of a link that is not
/// silent.
const RETENTION: Duration = Duration::from_secs(60);
/// Largest number of ended batches kept.
const MAX_BATCHES: usize = 20_000;

/// An ended batch.
#[derive(Debug, Clone, Copy)]
struct Ended {
    at: Now,
    /// Lowest number that none of its runs had.
    next: RunNumber,
}

/// The lowest unused run numbers of batches that ended recently.
#[derive(Debug)]
pub struct RunNumbers {
    ended: BTreeMap<BatchId, Ended>,
    by_time: VecDeque<(Now, BatchId)>,
    /// First number for batches that are not kept. It rises when a batch is dropped before its time.
    first: RunNumber,
}

impl Default for RunNumbers {
    fn default() -> Self {
        Self {
            ended: BTreeMap::new(),
            by_time: VecDeque::new(),
            first: 1,
        }
    }
}

impl RunNumbers {
    /// Returns the number of the first run of each task of a batch that has arrived.
    pub fn first_of(&self, id: BatchId) -> RunNumber {
        self.ended.get(&id).map_or(self.first, |e| e.next)
    }

    /// Records that a batch has ended. No run of it had the number `next` or a higher one.
    pub fn note_ended(&mut self, now: Now, id: BatchId, next: RunNumber) {
        self.drop_expired(now);
        let next = next.max(self.first_of(id));
        if next <= self.first {
            return;
        }
        self.ended.insert(id, Ended { at: now, next });
        self.by_time.push_back((now, id));
        while self.by_time.len() > MAX_BATCHES {
            if let Some(dropped) = self.drop_oldest() {
                self.first = self.first.max(dropped);
            }
        }
    }

    fn drop_expired(&mut self, now: Now) {
        while let Some(&(at, _)) = self.by_time.front() {
            if at + RETENTION > now {
                break;
            }
            self.drop_oldest();
        }
    }

    /// Drops the oldest record, and returns its number unless the batch has ended again since.
    fn drop_oldest(&mut self) -> Option<RunNumber> {
        let (at, id) = self.by_time.pop_front()?;
        let ended = self.ended.get(&id).filter(|e| e.at == at)?;
        let next = ended.next;
        self.ended.remove(&id);
        Some(next)
    }
}
