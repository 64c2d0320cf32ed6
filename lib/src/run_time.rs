//! Run times learned per team and kind, because declared run times are often wrong.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::TeamName;
use crate::job::TaskSpec;

/// Number of samples from which the average replaces the declared time.
const MIN_SAMPLES: u32 = 5;
/// Least weight of a new sample in the averages.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Samples are capped at this multiple of the average. Otherwise one straggler would inflate the
/// estimates of later jobs.
const MAX_OUTLIER_RATIO: f64 = 10.0;
/// Estimate for a kind with neither samples nor a declared time.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(300);
/// Upper bound on declared times.
const MAX_DECLARED: Duration = Duration::from_secs(10);
/// Number of kinds at which the table is cleared.
const MAX_KINDS: usize = 10_000;

/// An estimate of a run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTime {
    /// Average run time.
    pub mean: Duration,
    /// Upper bound for nearly all runs: the average plus three mean deviations.
    pub high: Duration,
}

/// Average run times by team and kind.
#[derive(Debug, Default)]
pub struct RunTimes {
    kinds: HashMap<KindKey, Average>,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct KindKey {
    team: TeamName,
    kind: Arc<str>,
}

#[derive(Debug, Default)]
struct Average {
    samples: u32,
    mean_ms: f64,
    deviation_ms: f64,
}

impl RunTimes {
    /// Records an observed run time.
    pub fn observe(&mut self, team: &TeamName, kind: &Arc<str>, took: Duration) {
        if self.kinds.len() >= MAX_KINDS {
            self.kinds.clear();
        }
        let key = KindKey {
            team: team.clone(),
            kind: kind.clone(),
        };
        self.kinds.entry(key).or_default().add(took);
    }

    /// Estimates the run time of a task.
    pub fn estimate(&self, team: &TeamName, task: &TaskSpec) -> RunTime {
        let key = KindKey {
            team: team.clone(),
            kind: task.kind.clone(),
        };
        match self.kinds.get(&key) {
            Some(average) if average.samples >= MIN_SAMPLES => average.run_time(),
            _ => declared_run_time(task),
        }
    }
}

fn declared_run_time(task: &TaskSpec) -> RunTime {
    let mean = match task.expected_ms {
        0 => DEFAULT_RUN_TIME,
        ms => Duration::from_millis(u64::from(ms)).min(MAX_DECLARED),
    };
    RunTime { mean, high: mean }
}

impl Average {
    fn add(&mut self, took: Duration) {
        let mut ms = took.as_secs_f64() * 1e3;
        if self.samples >= MIN_SAMPLES {
            ms = ms.min(self.mean_ms * MAX_OUTLIER_RATIO);
        }
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let error = ms - self.mean_ms;
        self.mean_ms += weight * error;
        if self.samples > 1 {
            self.deviation_ms += weight * (error.abs() - self.deviation_ms);
        }
    }

    fn run_time(&self) -> RunTime {
        let mean = Duration::from_secs_f64(self.mean_ms / 1e3);
        let high = Duration::from_secs_f64((self.mean_ms + 3.0 * self.deviation_ms) / 1e3);
        RunTime { mean, high }
    }
}
