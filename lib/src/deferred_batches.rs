//! Holds batches that arrive before the entry's first configuration.
//!
//! Callers may connect before an entry that has just started gets its configuration. Their batches
//! are held for a short time; those that are still held then are refused.

use std::collections::VecDeque;
use std::time::Duration;

use crate::batch_event::{CallerWait, Submission};
use crate::ids::{Now, RequestId};

/// Longest time for which a batch is held: well above the usual wait for the first configuration.
/// Ten times what a first configuration usually takes, and a quarter of the objective of a task of
/// 200 ms.
const MAX_HOLD_TIME: Duration = Duration::from_millis(100);
/// Largest number of held batches. Twice what the busiest entry gets in that time.
const MAX_HELD: usize = 200;

/// A batch and what is known of its caller.
pub type TimedSubmission = (Submission, CallerWait);

/// Held batches with the time at which each expires, in order of arrival.
#[derive(Debug, Default)]
pub struct DeferredBatches {
    held: VecDeque<(Now, TimedSubmission)>,
}

impl DeferredBatches {
    /// Returns whether another batch may be held.
    pub fn has_capacity(&self) -> bool {
        self.held.len() < MAX_HELD
    }

    /// Holds a batch. The caller must check `has_capacity` first.
    pub fn hold(&mut self, now: Now, submission: TimedSubmission) {
        self.held.push_back((now + MAX_HOLD_TIME, submission));
    }

    /// Drops the batch of a caller that has disconnected; returns whether it was held.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let before = self.held.len();
        self.held.retain(|(_, (s, _))| s.request != request);
        self.held.len() < before
    }

    /// Removes and returns all batches.
    pub fn take_all(&mut self) -> Vec<TimedSubmission> {
        let held = std::mem::take(&mut self.held);
        held.into_iter().map(|(_, submission)| submission).collect()
    }

    /// Removes and returns the batches whose hold time is over.
    pub fn take_expired(&mut self, now: Now) -> Vec<TimedSubmission> {
        let expired = self.held.partition_point(|(until, _)| *until <= now);
        let expired = self.held.drain(..expired);
        expired.map(|(_, submission)| submission).collect()
    }

    /// Returns when the next batch expires.
    pub fn next_wake(&self) -> Option<Now> {
        self.held.front().map(|(until, _)| *until)
    }
}
