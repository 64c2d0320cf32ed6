//! Batches that come to an entry before its first configuration.
//!
//! An entry has its configuration some 20 ms after it starts, and callers come sooner than that.
//! Their batches are held for a moment; what is left then is refused.

use std::collections::VecDeque;
use std::time::Duration;

use crate::batch_event::Submission;
use crate::ids::{Now, RequestId};

/// How long a batch is held: ten times what a first configuration takes as a rule, and a quarter
/// of the objective of a task of 200 ms.
const HOLD_FOR: Duration = Duration::from_millis(100);
/// Batches held at the most: what the busiest entry gets in that time, twice.
const MOST_HELD: usize = 200;

/// See the module.
#[derive(Debug, Default)]
pub struct DeferredBatches {
    held: VecDeque<(Now, Submission)>,
}

impl DeferredBatches {
    /// Whether another batch may be held.
    pub fn has_room(&self) -> bool {
        self.held.len() < MOST_HELD
    }

    /// Holds a batch. There must be room.
    pub fn hold(&mut self, now: Now, submission: Submission) {
        self.held.push_back((now + HOLD_FOR, submission));
    }

    /// Drops the batch of a caller that has gone; says whether it was held.
    pub fn forget(&mut self, request: RequestId) -> bool {
        let before = self.held.len();
        self.held.retain(|(_, s)| s.request != request);
        self.held.len() < before
    }

    /// All batches, for they can be taken in or refused now.
    pub fn take_all(&mut self) -> Vec<Submission> {
        let held = std::mem::take(&mut self.held);
        held.into_iter().map(|(_, submission)| submission).collect()
    }

    /// Batches that have been held for too long.
    pub fn take_expired(&mut self, now: Now) -> Vec<Submission> {
        let expired = self.held.partition_point(|(until, _)| *until <= now);
        let expired = self.held.drain(..expired);
        expired.map(|(_, submission)| submission).collect()
    }

    /// When a batch has been held for too long.
    pub fn next_wake(&self) -> Option<Now> {
        self.held.front().map(|(until, _)| *until)
    }
}
