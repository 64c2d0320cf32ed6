//! Batches that their guarantors have released at an agent, and that must not start there.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{Incarnation, Now};
use crate::run::BatchId;

/// How long a release is kept. The owner of the batch learns within less time that it has ended:
/// from its guarantor, or because the link between the two is silent. Start orders that it sent
/// before are refused as late.
pub const RELEASE_RETENTION: Duration = Duration::from_secs(5);

/// Recent releases by batch and guarantor.
#[derive(Debug, Default)]
pub struct ReleasedBatches {
    released: BTreeMap<(BatchId, Incarnation), Now>,
    by_time: VecDeque<(Now, BatchId, Incarnation)>,
}

impl ReleasedBatches {
    /// Records a release, and drops expired ones.
    pub fn add(&mut self, now: Now, batch: BatchId, guarantor: Incarnation) {
        while let Some(&(at, batch, guarantor)) = self.by_time.front() {
            if at + RELEASE_RETENTION > now {
                break;
            }
            self.by_time.pop_front();
            if self.released.get(&(batch, guarantor)) == Some(&at) {
                self.released.remove(&(batch, guarantor));
            }
        }
        self.released.insert((batch, guarantor), now);
        self.by_time.push_back((now, batch, guarantor));
    }

    /// Whether a guarantor has released a batch recently.
    pub fn contains(&self, now: Now, batch: BatchId, guarantor: Incarnation) -> bool {
        let at = self.released.get(&(batch, guarantor));
        at.is_some_and(|at| *at + RELEASE_RETENTION > now)
    }
}
