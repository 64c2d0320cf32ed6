//! How well a target serves: the share of runs that fail and the pace of the others.
//!
//! The agent counts, for it sees the runs of all entries, and tells the result with every packet.
//! Entries that each counted for themselves would each lose tasks to a bad target before they knew.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Now;
use crate::run::BatchId;

/// Weight of one run in the average of run time over estimate.
const PACE_WEIGHT: f64 = 0.15;
/// The same for a target that is far too slow: its few probes must bring it back within seconds.
const PROBE_WEIGHT: f64 = 0.5;
/// Share of failed runs, averaged, above which a target is set aside.
const FAILING: f64 = 0.45;
/// Weight of one run in the average share of failures: two failures in a row set a target aside.
const FAILURE_WEIGHT: f64 = 0.3;
/// Slowest and fastest pace that is believed.
const PACE_BOUNDS: (f64, f64) = (0.3, 30.0);
/// Slowest pace that one run which ended is believed to show: its estimate may be far off.
const SLOWEST_ENDED: f64 = 3.0;
/// Slow runs of two batches within this show that the target is slow, not the estimates.
const SUSPECT_FOR: Duration = Duration::from_secs(2);
/// A run of which so little is done, in percent, stands still.
const STANDS_STILL: u32 = 3;
/// A target this much slower than the fastest gets only probes.
pub const TOO_SLOW: f64 = 2.6;

/// What an agent tells of its target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthWord {
    /// Run time over estimate, averaged, in percent.
    #[serde(rename = "p")]
    pub pace_percent: u16,
    /// Share of runs that failed, averaged, in percent.
    #[serde(rename = "f")]
    pub failed_percent: u8,
}

impl Default for HealthWord {
    /// Of a target that nothing is known of.
    fn default() -> Self {
        Self {
            pace_percent: 100,
            failed_percent: 0,
        }
    }
}

impl HealthWord {
    /// Run time over estimate, averaged.
    pub fn pace(&self) -> f64 {
        f64::from(self.pace_percent) / 100.0
    }

    /// Whether the target fails so often that it gets only probes.
    pub fn is_set_aside(&self) -> bool {
        f64::from(self.failed_percent) / 100.0 > FAILING
    }
}

/// A run that is slow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowRun {
    /// The share of its estimate that it would take.
    pub pace: f64,
    /// How much of it is done, in percent.
    pub percent: u32,
}

/// See the module.
#[derive(Debug)]
pub struct TargetHealth {
    pace: f64,
    failures: f64,
    /// Batch of which a run was found slow last, and when.
    slow_batch: Option<(BatchId, Now)>,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            pace: 1.0,
            failures: 0.0,
            slow_batch: None,
        }
    }
}

impl TargetHealth {
    /// A run ended well, in this share of its estimate.
    pub fn run_done(&mut self, pace: f64) {
        self.failures *= 1.0 - FAILURE_WEIGHT;
        self.learn_pace(pace.min(SLOWEST_ENDED));
    }

    /// A run failed.
    pub fn run_failed(&mut self) {
        self.failures += FAILURE_WEIGHT * (1.0 - self.failures);
    }

    /// A run of a batch is slow. It counts against the target if the run stands still or another
    /// batch's was slow there of late.
    pub fn run_slow(&mut self, now: Now, batch: BatchId, run: SlowRun) {
        let is_suspect = self
            .slow_batch
            .is_some_and(|(before, at)| before != batch && at + SUSPECT_FOR > now);
        self.slow_batch = Some((batch, now));
        if is_suspect || run.percent < STANDS_STILL {
            self.learn_pace(run.pace.max(self.pace));
        }
    }

    fn learn_pace(&mut self, pace: f64) {
        let pace = pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        let weight = if self.pace > TOO_SLOW {
            PROBE_WEIGHT
        } else {
            PACE_WEIGHT
        };
        self.pace += weight * (pace - self.pace);
    }

    /// What entries are told.
    pub fn word(&self) -> HealthWord {
        HealthWord {
            pace_percent: (self.pace * 100.0).round() as u16,
            failed_percent: (self.failures * 100.0).round() as u8,
        }
    }
}
