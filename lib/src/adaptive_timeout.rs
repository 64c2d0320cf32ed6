//! How long answers to a kind of call take, and from when on one counts as missing.
//!
//! The estimate is that of TCP's retransmission timer (RFC 6298): a smoothed mean and a smoothed
//! deviation. Giving up too early costs a look at the target's lists, too late costs the caller.

use std::time::Duration;

/// Weight of one answer in the mean, as in RFC 6298.
const MEAN_WEIGHT: u32 = 8;
/// Weight of one answer in the deviation, as in RFC 6298.
const DEVIATION_WEIGHT: u32 = 4;
/// Deviations beyond the mean after which an answer counts as missing, as in RFC 6298.
const DEVIATIONS: u32 = 4;

/// See the module.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveTimeout {
    least: Duration,
    most: Duration,
    /// Mean and deviation; none before the first answer.
    estimate: Option<(Duration, Duration)>,
}

impl AdaptiveTimeout {
    /// An estimate whose limit stays between `least` and `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        Self {
            least,
            most,
            estimate: None,
        }
    }

    /// Learns from an answer.
    pub fn learn(&mut self, took: Duration) {
        let Some((mean, deviation)) = self.estimate else {
            self.estimate = Some((took, took / 2));
            return;
        };
        let off = mean.abs_diff(took);
        let deviation = deviation - deviation / DEVIATION_WEIGHT + off / DEVIATION_WEIGHT;
        let mean = mean - mean / MEAN_WEIGHT + took / MEAN_WEIGHT;
        self.estimate = Some((mean, deviation));
    }

    /// How long to wait for an answer before it counts as missing.
    pub fn limit(&self) -> Duration {
        let Some((mean, deviation)) = self.estimate else {
            return self.most;
        };
        (mean + deviation * DEVIATIONS).clamp(self.least, self.most)
    }
}
