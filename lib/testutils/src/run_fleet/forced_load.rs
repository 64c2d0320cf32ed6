//! Gives entries fixed loads, so that the first one hands its batches over to the others.

use std::time::Duration;

use trestleknot_lib::entry_load::LoopLoad;

use super::RunFleet;

/// Interval between two samples of an entry's load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

impl RunFleet {
    /// Share of a core of an entry; `None` if it is unlimited.
    pub(super) fn forced_share(&self, entry: usize) -> Option<f64> {
        if let Some(processor) = self.fleet_config.processor {
            return Some(processor.share_of(entry));
        }
        let share = if entry == 0 { 0.12 } else { 0.5 };
        self.fleet_config.first_entry_starved.then_some(share)
    }

    /// The sample that is due at an entry.
    pub(super) fn forced_load(&mut self, entry: usize) -> Option<LoopLoad> {
        if !self.fleet_config.first_entry_starved {
            return None;
        }
        let now = self.now;
        let process = &mut self.entries[entry];
        if process.sampled + SAMPLE_INTERVAL > now {
            return None;
        }
        process.sampled = now;
        Some(LoopLoad {
            busy_share: if entry == 0 { 1.0 } else { 0.1 },
            lag: Duration::ZERO,
        })
    }
}
