//! The baseline for placements: one ideal queue for the whole fleet, without any overhead.
//!
//! Tasks start in the order of their jobs' arrival, the longest of a job first, as soon as any
//! slot is free. The difference from this baseline is the overhead of a placement.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::caller::{Heard, JobRecord, PlannedJob};

/// The records that the ideal queue produces for `jobs`.
pub fn records(jobs: &[PlannedJob], slots: u32) -> Vec<JobRecord> {
    let mut free_at: BinaryHeap<Reverse<Duration>> =
        (0..slots).map(|_| Reverse(Duration::ZERO)).collect();
    jobs.iter().map(|job| record(job, &mut free_at)).collect()
}

fn record(job: &PlannedJob, free_at: &mut BinaryHeap<Reverse<Duration>>) -> JobRecord {
    let mut run_times = job.run_ms.clone();
    run_times.sort_unstable_by_key(|ms| Reverse(*ms));
    let mut answered_at = job.at;
    for ms in run_times {
        let Some(Reverse(slot_free_at)) = free_at.pop() else {
            break;
        };
        let end = slot_free_at.max(job.at) + Duration::from_millis(ms);
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
