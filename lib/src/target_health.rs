//! How well a target serves: the share of runs that fail and the pace of the others.
//!
//! The agent counts, for it sees the runs of all entries, and tells the result with every packet.
//! Entries that each counted for themselves would each lose tasks to a bad target before they knew.

use std::fmt;
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
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Run time over estimate, averaged, in percent.
    #[serde(rename = "p")]
    pub pace_percent: u16,
    /// Share of runs that failed, averaged, in percent.
    #[serde(rename = "f")]
    pub failed_percent: u8,
}

impl Default for HealthReport {
    /// Of a target that nothing is known of.
    fn default() -> Self {
        Self {
            pace_percent: 100,
            failed_percent: 0,
        }
    }
}

impl fmt::Debug for HealthReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The log format keeps this name.
        f.debug_struct("HealthWord")
            .field("pace_percent", &self.pace_percent)
            .field("failed_percent", &self.failed_percent)
            .finish()
    }
}

impl HealthReport {
    /// Run time over estimate, averaged.
    pub fn slowdown(&self) -> f64 {
        f64::from(self.pace_percent) / 100.0
    }

    /// Whether the target fails so often that it gets only probes.
    pub fn fails_too_often(&self) -> bool {
        f64::from(self.failed_percent) / 100.0 > FAILING
    }
}

/// A run that is slow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowRun {
    /// The share of its estimate that it would take.
    pub slowdown: f64,
    /// How much of it is done, in percent.
    pub percent: u32,
}

/// See the module.
#[derive(Debug)]
pub struct TargetHealth {
    slowdown: f64,
    failures: f64,
    /// Batch of which a run was found slow last, and when.
    slow_batch: Option<(BatchId, Now)>,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            failures: 0.0,
            slow_batch: None,
        }
    }
}

impl TargetHealth {
    /// A run ended well, in this share of its estimate.
    pub fn run_done(&mut self, slowdown: f64) {
        self.failures *= 1.0 - FAILURE_WEIGHT;
        self.learn_pace(slowdown.min(SLOWEST_ENDED));
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
            self.learn_pace(run.slowdown.max(self.slowdown));
        }
    }

    fn learn_pace(&mut self, slowdown: f64) {
        let slowdown = slowdown.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        let weight = if self.slowdown > TOO_SLOW {
            PROBE_WEIGHT
        } else {
            PACE_WEIGHT
        };
        self.slowdown += weight * (slowdown - self.slowdown);
    }

    /// What entries are told.
    pub fn word(&self) -> HealthReport {
        HealthReport {
            pace_percent: (self.slowdown * 100.0).round() as u16,
            failed_percent: (self.failures * 100.0).round() as u8,
        }
    }
}
