//! The yardstick: one queue for the whole fleet that knows everything at once and costs nothing.
//!
//! Tasks start in the order of their jobs' arrival, the longest of a job first, as soon as any
//! slot is free. What a real placement lags behind this is its own; the rest is the load's.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::caller::{Heard, JobRecord, PlannedJob};

/// The records that such a queue would have given.
pub fn records(jobs: &[PlannedJob], slots: u32) -> Vec<JobRecord> {
    let mut free_at: BinaryHeap<Reverse<Duration>> =
        (0..slots).map(|_| Reverse(Duration::ZERO)).collect();
    jobs.iter().map(|job| record(job, &mut free_at)).collect()
}

fn record(job: &PlannedJob, free_at: &mut BinaryHeap<Reverse<Duration>>) -> JobRecord {
    let mut runs = job.run_ms.clone();
    runs.sort_unstable_by_key(|ms| Reverse(*ms));
    let mut answered_at = job.at;
    for ms in runs {
        let Some(Reverse(free)) = free_at.pop() else {
            break;
        };
        let end = free.max(job.at) + Duration::from_millis(ms);
        free_at.push(Reverse(end));
        answered_at = answered_at.max(end);
    }
    JobRecord {
        job: job.clone(),
        heard: Heard::Complete,
        response: answered_at - job.at,
        answered_at,
    }
}
