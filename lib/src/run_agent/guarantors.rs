//! Runs of batches that one entry handed over to another. They go on only while both entries' leases
//! are valid: the owner's and that of the guarantor, which holds the caller's connection.

use super::RunAgentCore;
use crate::events::EventCode;
use crate::ids::{Incarnation, Now, SessionId};
use crate::run::{BatchId, RunKey};
use crate::run_message::StartOrder;
use crate::run_table::Run;

impl RunAgentCore {
    /// Until when entries answer for a run; it is an orphan from then on.
    pub(super) fn run_owned_until(&self, run: &Run) -> Now {
        let grace_until = run.since + self.options.timings.claim_grace;
        let Some(owner) = run.owner else {
            return grace_until;
        };
        let owned_until = self.entry_links.lease_until(owner);
        match run.guarantor {
            None => owned_until,
            // An adopted run may be claimed before the guarantor has reconnected.
            Some(guarantor) if run.is_adopted && !self.entry_links.knows(guarantor) => {
                owned_until.min(grace_until)
            }
            Some(guarantor) => owned_until.min(self.entry_links.lease_until(guarantor)),
        }
    }

    /// Until when entries answer for a run; none if it is not in the table.
    pub(super) fn owned_until(&self, key: RunKey) -> Option<Now> {
        let run = self.runs.get(key)?;
        Some(self.run_owned_until(run))
    }

    /// Whether the guarantor that an order names, if any, is present and has not released the batch.
    pub(super) fn is_guaranteed(&self, order: &StartOrder) -> bool {
        order.guarantor.is_none_or(|guarantor| {
            self.entry_links.is_present(self.now, guarantor)
                && !self.released.contains(self.now, order.batch, guarantor)
        })
    }

    /// Stops the runs of a batch that name the sender as guarantor, and lets no others start.
    pub(super) fn release_ordered(&mut self, link: SessionId, batch: BatchId) {
        let Some(guarantor) = self.entry_links.get(link).and_then(|l| l.entry) else {
            return;
        };
        self.released.add(self.now, batch, guarantor);
        let is_released =
            |key: &RunKey, run: &Run| key.task.batch == batch && run.guarantor == Some(guarantor);
        let runs = self.runs.iter().filter(|(key, run)| is_released(key, run));
        let keys: Vec<RunKey> = runs.map(|(key, _)| key).collect();
        let last_wanted = self.entry_links.lease_renewed_before(guarantor);
        for key in keys {
            self.stop_released(key, guarantor, last_wanted);
        }
    }

    /// Stops a run that was claimed after its guarantor had released its batch.
    pub(super) fn stop_if_released(&mut self, key: RunKey) {
        let guarantor = self.runs.get(key).and_then(|run| run.guarantor);
        if let Some(guarantor) = guarantor
            && self.released.contains(self.now, key.task.batch, guarantor)
        {
            self.stop_released(key, guarantor, None);
        }
    }

    fn stop_released(&mut self, key: RunKey, guarantor: Incarnation, last_wanted: Option<Now>) {
        self.log(
            EventCode::RunReleased,
            format!("run={key} guarantor={guarantor:x}"),
        );
        // The owner may be lost too, so the stop has the bound of an orphaned run.
        self.request_stop(key, last_wanted, Some(self.now));
    }
}
