//! Health of a target: the share of runs that fail and the slowdown of the others.
//!
//! The agent computes it from the runs of all entries and reports it in every packet. If each entry
//! computed its own, each would lose tasks to a bad target before it noticed.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Now;
use crate::run::BatchId;

/// Weight of one run in the average slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Weight of one run in an average slowdown above [`MAX_SLOWDOWN_RATIO`]. A target that slow gets
/// few runs by which it could be readmitted. Its few probes must bring it back within seconds.
const PROBE_SLOWDOWN_WEIGHT: f64 = 0.5;
/// Average share of failed runs above which a target is ejected.
const MAX_FAILURE_SHARE: f64 = 0.45;
/// Weight of one run in the average share of failures. Two failures in a row eject a target.
const FAILURE_WEIGHT: f64 = 0.3;
/// Bounds to which the slowdown of a run is clamped.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.3, 30.0);
/// Upper bound for the slowdown of a finished run, because its estimate may be far off.
const MAX_FINISHED_SLOWDOWN: f64 = 3.0;
/// Slow runs of two batches within this time count as a slow target and not as wrong estimates.
const SLOW_BATCH_WINDOW: Duration = Duration::from_secs(2);
/// Progress in percent below which a slow run counts as stalled.
const STALLED_PERCENT: u32 = 3;
/// A target whose slowdown exceeds that of the fastest by this factor gets only probes.
pub const MAX_SLOWDOWN_RATIO: f64 = 2.6;

/// Health of a target as its agent reports it to entries.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Average ratio of run time to estimate, in percent.
    #[serde(rename = "p")]
    pub pace_percent: u16,
    /// Average share of runs that failed, in percent.
    #[serde(rename = "f")]
    pub failed_percent: u8,
}

impl Default for HealthReport {
    /// Health of a target about which nothing is known.
    fn default() -> Self {
        Self {
            pace_percent: 100,
            failed_percent: 0,
        }
    }
}

impl fmt::Debug for HealthReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Log lines contain this name.
        f.debug_struct("HealthWord")
            .field("pace_percent", &self.pace_percent)
            .field("failed_percent", &self.failed_percent)
            .finish()
    }
}

impl HealthReport {
    /// Average ratio of run time to estimate.
    pub fn slowdown(&self) -> f64 {
        f64::from(self.pace_percent) / 100.0
    }

    /// Whether the target is to get only probes because its runs fail too often.
    pub fn fails_too_often(&self) -> bool {
        f64::from(self.failed_percent) / 100.0 > MAX_FAILURE_SHARE
    }
}

/// Speed and progress of a run that is slower than estimated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowRun {
    /// Ratio of its projected run time to its estimate.
    pub slowdown: f64,
    /// Progress in percent.
    pub percent: u32,
}

/// Running averages of a target's slowdown and failures.
#[derive(Debug)]
pub struct TargetHealth {
    slowdown: f64,
    failures: f64,
    /// Batch of the last slow run, and the time when it was found slow.
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
    /// Records a run that succeeded; `slowdown` is the ratio of its run time to its estimate.
    pub fn run_done(&mut self, slowdown: f64) {
        self.failures *= 1.0 - FAILURE_WEIGHT;
        self.update_slowdown(slowdown.min(MAX_FINISHED_SLOWDOWN));
    }

    /// Records a run that failed.
    pub fn run_failed(&mut self) {
        self.failures += FAILURE_WEIGHT * (1.0 - self.failures);
    }

    /// Records a slow run of a batch. It counts against the target if the run is stalled or if a
    /// run of another batch was slow there recently.
    pub fn run_slow(&mut self, now: Now, batch: BatchId, run: SlowRun) {
        let is_second_batch = self
            .slow_batch
            .is_some_and(|(before, at)| before != batch && at + SLOW_BATCH_WINDOW > now);
        self.slow_batch = Some((batch, now));
        if is_second_batch || run.percent < STALLED_PERCENT {
            self.update_slowdown(run.slowdown.max(self.slowdown));
        }
    }

    fn update_slowdown(&mut self, slowdown: f64) {
        let slowdown = slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        let weight = if self.slowdown > MAX_SLOWDOWN_RATIO {
            PROBE_SLOWDOWN_WEIGHT
        } else {
            SLOWDOWN_WEIGHT
        };
        self.slowdown += weight * (slowdown - self.slowdown);
    }

    /// The report for entries.
    pub fn report(&self) -> HealthReport {
        HealthReport {
            pace_percent: (self.slowdown * 100.0).round() as u16,
            failed_percent: (self.failures * 100.0).round() as u8,
        }
    }
}
