//! Run times learned per team and kind, since declared ones are often far from the truth.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::TeamName;
use crate::job::TaskSpec;

/// Samples after which the declared time no longer counts.
const TRUSTED_SAMPLES: u32 = 5;
/// Weight of a new sample in the average.
const NEW_WEIGHT: f64 = 0.1;
/// A sample counts as at most so many times the average, so that one straggler does not make
/// every later job look too long.
const MOST_OUTLYING: f64 = 10.0;
/// Taken for a kind that nobody has declared or run.
const UNKNOWN: Duration = Duration::from_millis(300);
/// The longest declared time that is believed.
const MOST_BELIEVED: Duration = Duration::from_secs(10);
/// Kinds remembered; beyond this the table starts anew.
const MOST_KINDS: usize = 10_000;

/// An estimate of a run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunTime {
    /// The average.
    pub mean: Duration,
    /// Long enough for nearly all runs: the average and three average deviations.
    pub high: Duration,
}

/// Averages by team and kind.
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
    /// Takes in an observed run time.
    pub fn observe(&mut self, team: &TeamName, kind: &Arc<str>, took: Duration) {
        if self.kinds.len() >= MOST_KINDS {
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
            Some(average) if average.samples >= TRUSTED_SAMPLES => average.run_time(),
            _ => declared(task),
        }
    }
}

fn declared(task: &TaskSpec) -> RunTime {
    let mean = match task.expected_ms {
        0 => UNKNOWN,
        ms => Duration::from_millis(u64::from(ms)).min(MOST_BELIEVED),
    };
    RunTime { mean, high: mean }
}

impl Average {
    fn add(&mut self, took: Duration) {
        let mut ms = took.as_secs_f64() * 1e3;
        if self.samples >= TRUSTED_SAMPLES {
            ms = ms.min(self.mean_ms * MOST_OUTLYING);
        }
        self.samples = self.samples.saturating_add(1);
        let weight = NEW_WEIGHT.max(1.0 / f64::from(self.samples));
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
