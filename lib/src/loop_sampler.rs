//! Derives samples of an event loop's load from the total time that its thread was busy.

use std::collections::VecDeque;
use std::time::Duration;

use crate::entry_load::LoopLoad;
use crate::ids::Now;

/// Time over which the utilization is averaged.
const WINDOW: Duration = Duration::from_millis(200);
/// Shortest interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Recent values of the busy time of one thread.
#[derive(Debug, Default)]
pub struct LoopSampler {
    /// Times with the total busy time until then, oldest first.
    totals: VecDeque<(Now, Duration)>,
    /// The largest lag since the last sample.
    lag: Duration,
}

impl LoopSampler {
    /// Records how late the timer woke the thread.
    pub fn note_lag(&mut self, lag: Duration) {
        self.lag = self.lag.max(lag);
    }

    /// Whether enough time has passed since the last sample.
    pub fn is_due(&self, now: Now) -> bool {
        let last = self.totals.back();
        last.is_none_or(|(at, _)| *at + SAMPLE_INTERVAL <= now)
    }

    /// Takes a sample, given the thread's total busy time; `None` for the first one.
    pub fn sample(&mut self, now: Now, total_busy: Duration) -> Option<LoopLoad> {
        while self
            .totals
            .get(1)
            .is_some_and(|(at, _)| *at + WINDOW <= now)
        {
            self.totals.pop_front();
        }
        self.totals.push_back((now, total_busy));
        let (since, busy_before) = *self.totals.front()?;
        let span = now.saturating_sub(since);
        if span.is_zero() {
            return None;
        }
        let busy = total_busy.saturating_sub(busy_before);
        Some(LoopLoad {
            busy_share: busy.div_duration_f64(span).min(1.0),
            lag: std::mem::take(&mut self.lag),
        })
    }
}
