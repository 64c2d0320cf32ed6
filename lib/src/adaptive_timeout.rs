//! Estimates the response time of a kind of call and derives its timeout.
//!
//! The estimate is that of TCP's retransmission timer (RFC 6298): a smoothed mean and a smoothed
//! deviation. A timeout that is too short causes a needless read of the target's lists; one that is
//! too long delays the caller.

use std::time::Duration;

/// Divisor for the weight of one answer in the mean, as in RFC 6298.
const MEAN_DIVISOR: u32 = 8;
/// Divisor for the weight of one answer in the deviation, as in RFC 6298.
const DEVIATION_DIVISOR: u32 = 4;
/// Multiple of the deviation that the timeout adds to the mean, as in RFC 6298.
const DEVIATION_FACTOR: u32 = 4;

/// A timeout that follows the measured response times within fixed bounds.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveTimeout {
    min: Duration,
    max: Duration,
    /// Mean and deviation; `None` before the first answer.
    estimate: Option<(Duration, Duration)>,
}

impl AdaptiveTimeout {
    /// Creates a timeout that stays between `min` and `max`, and is `max` before the first answer.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            estimate: None,
        }
    }

    /// Updates the estimate with the response time of one answer.
    pub fn learn(&mut self, took: Duration) {
        let Some((mean, deviation)) = self.estimate else {
            self.estimate = Some((took, took / 2));
            return;
        };
        let error = mean.abs_diff(took);
        let deviation = deviation - deviation / DEVIATION_DIVISOR + error / DEVIATION_DIVISOR;
        let mean = mean - mean / MEAN_DIVISOR + took / MEAN_DIVISOR;
        self.estimate = Some((mean, deviation));
    }

    /// The current timeout.
    pub fn limit(&self) -> Duration {
        let Some((mean, deviation)) = self.estimate else {
            return self.max;
        };
        (mean + deviation * DEVIATION_FACTOR).clamp(self.min, self.max)
    }
}
