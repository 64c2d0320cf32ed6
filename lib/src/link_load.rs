//! Models the load of an entry's outgoing network link and the price of sending more.
//!
//! Every target of a batch gets its own copy of the payload. On a narrow link these copies delay
//! the starts behind them. The backlog is computed from the link's configured rate and the bytes
//! sent so far.

use std::time::Duration;

use crate::ids::Now;

/// Time constant of the average usage. Long against the packets of a batch (milliseconds), short
/// against a burst (seconds).
const USAGE_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Smallest share of the link that counts as unused, so that the price of sending stays finite.
const MIN_FREE_SHARE: f64 = 0.1;

/// Backlog above which no more tasks are placed. Tasks that wait at the entry can be overtaken by
/// more urgent ones and by answers and stops; orders that were sent can't.
const MAX_BACKLOG: Duration = Duration::from_millis(6);

/// Rate of a link, in bytes per second.
pub type ByteRate = f64;

/// Backlog and average usage of one link.
#[derive(Debug)]
pub struct LinkLoad {
    /// `None` if the rate is not known; sending then costs nothing.
    rate: Option<ByteRate>,
    /// When the link will have transmitted all bytes sent so far.
    busy_until: Now,
    /// Average traffic offered to the link, as a multiple of its rate, as of `averaged_at`.
    usage: f64,
    averaged_at: Now,
}

impl LinkLoad {
    /// Creates an idle link of this rate.
    pub fn new(rate: Option<ByteRate>) -> Self {
        Self {
            rate: rate.filter(|rate| *rate > 0.0),
            busy_until: Now::ZERO,
            usage: 0.0,
            averaged_at: Now::ZERO,
        }
    }

    /// Transmission time of `bytes`.
    pub fn transmission_time(&self, bytes: usize) -> Duration {
        let rate = self.rate;
        rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes as f64 / rate)
        })
    }

    /// Records that `bytes` are sent.
    pub fn sent(&mut self, now: Now, bytes: usize) {
        let time = self.transmission_time(bytes);
        self.busy_until = self.busy_until.max(now) + time;
        self.usage = self.usage(now) + time.div_duration_f64(USAGE_TIME_CONSTANT);
        self.averaged_at = now;
    }

    /// How long a packet that is sent now waits behind those sent before.
    pub fn backlog(&self, now: Now) -> Duration {
        self.busy_until.saturating_sub(now)
    }

    /// When the backlog will allow another order; `None` if it does now.
    pub fn full_until(&self, now: Now) -> Option<Now> {
        let at = self.busy_until.saturating_sub(MAX_BACKLOG);
        (at > now).then_some(at)
    }

    /// Average traffic offered to the link, as a multiple of its rate; 0 if the rate is not known.
    pub fn usage(&self, now: Now) -> f64 {
        let passed = now.saturating_sub(self.averaged_at);
        self.usage * f64::exp(-passed.div_duration_f64(USAGE_TIME_CONSTANT))
    }

    /// Total delay that sending `bytes` causes: their transmission time and, on a busy link, the
    /// time that other packets wait for them.
    pub fn price(&self, now: Now, bytes: usize) -> Duration {
        let unused = (1.0 - self.usage(now)).max(MIN_FREE_SHARE);
        self.transmission_time(bytes).div_f64(unused)
    }
}
