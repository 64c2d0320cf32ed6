//! Counts of outcomes and response times of a load.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;
use trestleknot_lib::memory_target::StartRecord;

use crate::caller::{Heard, JobRecord};

/// Largest ratio of response to ideal time in the histogram, in hundredths.
const MAX_RATIO: u64 = 1_000_000;

/// Counts of outcomes and the response times of a load.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs answered with all their results.
    pub complete: usize,
    /// Jobs answered as failed.
    pub failed: usize,
    /// Jobs refused.
    pub refused: usize,
    /// Jobs whose connection ended without an answer.
    pub nothing: usize,
    /// Jobs whose caller disconnected first.
    pub gave_up: usize,
    /// Jobs answered with results missing or with results of other jobs.
    pub wrong: usize,
    /// Tasks started.
    pub started: usize,
    /// Tasks started more than once.
    pub started_twice: usize,
    /// Complete jobs answered after their deadline.
    pub late: usize,
    /// Ratio of response to ideal time of the complete jobs.
    pub lag: Lag,
}

/// Percentiles of the ratio of response time to ideal time.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Lag {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

impl Lag {
    /// Percentiles over the complete jobs among `records`.
    pub fn of<'a>(records: impl Iterator<Item = &'a JobRecord>, slots: u32) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_RATIO, 3).expect("the bounds are in order");
        for record in records.filter(|r| r.heard == Heard::Complete) {
            let ideal = record.job.ideal(slots).as_secs_f64().max(1e-3);
            let ratio = record.response.as_secs_f64() / ideal;
            histogram.saturating_record((ratio * 100.0).round() as u64);
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 100.0;
        Self {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: histogram.max() as f64 / 100.0,
        }
    }
}

impl Summary {
    /// Summarizes the records of a load that ran on `slots` slots.
    pub fn of(records: &[JobRecord], slots: u32, starts: &StartRecord) -> Self {
        let count = |f: fn(&Heard) -> bool| records.iter().filter(|r| f(&r.heard)).count();
        let is_late = |r: &&JobRecord| {
            r.heard == Heard::Complete && r.response.as_millis() as u64 > r.job.deadline_ms
        };
        Self {
            jobs: records.len(),
            complete: count(|h| *h == Heard::Complete),
            failed: count(|h| matches!(h, Heard::Failed(_))),
            refused: count(|h| matches!(h, Heard::Refused(_))),
            nothing: count(|h| *h == Heard::Nothing),
            gave_up: count(|h| *h == Heard::GaveUp),
            wrong: count(|h| *h == Heard::Wrong),
            started: starts.len(),
            started_twice: starts.started_twice(),
            late: records.iter().filter(is_late).count(),
            lag: Lag::of(records.iter(), slots),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "jobs                  {}", self.jobs)?;
        writeln!(
            f,
            "  complete {}, failed {}, refused {}, cut off {}, given up {}",
            self.complete, self.failed, self.refused, self.nothing, self.gave_up
        )?;
        writeln!(f, "answers not whole     {}", self.wrong)?;
        writeln!(f, "tasks started         {}", self.started)?;
        writeln!(f, "tasks started twice   {}", self.started_twice)?;
        let Lag { p50, p90, p99, max } = self.lag;
        write!(
            f,
            "response over ideal   p50 {p50:.2}, p90 {p90:.2}, p99 {p99:.2}, max {max:.2}"
        )
    }
}
