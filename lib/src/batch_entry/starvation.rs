//! Decisions of an entry that reads its input late because it lacks processor time.
//!
//! Packets that show free capacity or a living process may wait unread. Until they are read,
//! their lack proves nothing.

use std::time::Duration;

use super::BatchEntryCore;
use crate::active_batch::Batch;
use crate::entry_load::{LoopLoad, StarvationChange};
use crate::events::EventCode;

/// Extension of the placement deadline of a batch while free capacity may be unread.
pub(super) const UNREAD_INPUT_EXTENSION: Duration = Duration::from_millis(50);
/// Shortest pause between two wakes.
const WAKE_PAUSE: Duration = Duration::from_millis(1);
/// Shortest pause between two wakes while input is read late; the time is needed for the input.
const LATE_WAKE_PAUSE: Duration = Duration::from_millis(20);

impl BatchEntryCore {
    pub(super) fn note_loop_load(&mut self, load: LoopLoad) {
        let code = match self.entry_load.record(self.now, load) {
            StarvationChange::Unchanged => return,
            StarvationChange::Starved => EventCode::EntryStarved,
            StarvationChange::Recovered => EventCode::EntryRecovered,
        };
        let busy_percent = (load.busy_share * 100.0).round();
        let lag_ms = load.lag.as_millis();
        let held = self.table.len();
        self.log(
            code,
            format!("busy_percent={busy_percent} lag_ms={lag_ms} held={held}"),
        );
    }

    /// Whether a batch that is due may have waited only because free capacity was read late. Its
    /// deadline is extended once beyond its latest useful start; longer waits would only add late
    /// batches to the entry's work.
    pub(super) fn may_wait_for_unread_input(&self, batch: &Batch) -> bool {
        self.entry_load.reads_late(self.now)
            && batch.placement_deadline <= batch.latest_on_time_start
    }

    pub(super) fn loop_busy_percent(&self) -> Option<u64> {
        let utilization = self.entry_load.utilization(self.now)?;
        Some((utilization * 100.0).round() as u64)
    }

    pub(super) fn min_wake_pause(&self) -> Duration {
        if self.entry_load.reads_late(self.now) {
            LATE_WAKE_PAUSE
        } else {
            WAKE_PAUSE
        }
    }
}
