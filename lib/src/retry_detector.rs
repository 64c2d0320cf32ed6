//! Detects callers that retry at this entry after an attempt at another one.
//!
//! A caller whose connection broke retries with the rest of its timeout. A timeout well below the
//! queue's median therefore indicates a retry. Its objective may have passed already, so it is
//! placed after the batches that can still be in time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::queue::Queue;

/// Number of recent caller timeouts kept per queue. Enough for a steady median, few enough that
/// half of them come within a second on a quiet entry.
const MAX_SAMPLES: usize = 31;
/// Number of samples below which there is no median.
const MIN_SAMPLES: usize = 5;
/// Smallest shortfall from the median that indicates a retry, as a share of the callers' retry
/// interval. Timeouts differ by a few hundred milliseconds within a queue.
const MIN_SHORTFALL_SHARE: f64 = 0.6;

/// The recent caller timeouts of each queue.
#[derive(Debug, Default)]
pub struct RetryDetector {
    queues: BTreeMap<Arc<str>, VecDeque<Duration>>,
}

impl RetryDetector {
    /// Records the timeout of a new request. Returns whether its caller appears to be retrying,
    /// given that callers retry after `caller_return`.
    pub fn is_retry(
        &mut self,
        queue: &Arc<str>,
        patience: Duration,
        caller_return: Duration,
    ) -> bool {
        let samples = self.queues.entry(queue.clone()).or_default();
        let shortfall = median(samples).map(|median| median.saturating_sub(patience));
        if samples.len() >= MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(patience);
        shortfall.is_some_and(|shortfall| shortfall >= caller_return.mul_f64(MIN_SHORTFALL_SHARE))
    }

    /// Drops queues that are no longer configured once there are more than twice as many as
    /// configured ones. This bounds the memory when configurations change often.
    pub fn forget_unconfigured(&mut self, configured: &[Arc<Queue>]) {
        if self.queues.len() > 2 * configured.len() {
            self.queues
                .retain(|name, _| configured.iter().any(|q| q.name == *name));
        }
    }
}

fn median(samples: &VecDeque<Duration>) -> Option<Duration> {
    if samples.len() < MIN_SAMPLES {
        return None;
    }
    let mut sorted: Vec<Duration> = samples.iter().copied().collect();
    let middle = sorted.len() / 2;
    Some(*sorted.select_nth_unstable(middle).1)
}
