//! How busy an entry's own link is, and what it costs to send something more.
//!
//! The load that it answers: batches whose payloads fill a narrow link. Everything that an entry sends
//! shares it, so that starts stand behind payloads, and each target that a batch is spread over gets
//! a payload of its own. The link's rate is known from the settings; what was sent is counted here,
//! and the queue in front of the link is worked out from both.

use std::time::Duration;

use crate::ids::Now;

/// Use of the link is averaged over this time: long against a batch's packets (some milliseconds),
/// short against a burst (some seconds).
const AVERAGED_OVER: Duration = Duration::from_millis(500);
/// Share of the link that always counts as free. Without it the price of sending would have no
/// bound.
const LEAST_FREE: f64 = 0.1;

/// Nothing more is placed while what was sent takes the link longer than this. What waits then waits
/// in order of its due time, and answers and stops pass it; an order that is written waits behind
/// all others. Two payloads of 1.2 kB on a link of 2 Mbit/s.
const MOST_BACKLOG: Duration = Duration::from_millis(6);

/// What a link carries, in bytes a second.
pub type ByteRate = f64;

/// See the module.
#[derive(Debug)]
pub struct LinkLoad {
    /// None if the rate is not known: then nothing costs anything.
    rate: Option<ByteRate>,
    /// When all that was sent is through the link.
    busy_until: Now,
    /// Share of the link in use, averaged, as of `averaged_at`.
    usage: f64,
    averaged_at: Now,
}

impl LinkLoad {
    /// An idle link of this rate.
    pub fn new(rate: Option<ByteRate>) -> Self {
        Self {
            rate: rate.filter(|rate| *rate > 0.0),
            busy_until: Now::ZERO,
            usage: 0.0,
            averaged_at: Now::ZERO,
        }
    }

    /// How long the link takes for so many bytes.
    pub fn time_of(&self, bytes: usize) -> Duration {
        let rate = self.rate;
        rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes as f64 / rate)
        })
    }

    /// Notes bytes that are sent.
    pub fn sent(&mut self, now: Now, bytes: usize) {
        let time = self.time_of(bytes);
        self.busy_until = self.busy_until.max(now) + time;
        self.usage = self.usage(now) + time.div_duration_f64(AVERAGED_OVER);
        self.averaged_at = now;
    }

    /// How long something that is sent now waits for what was sent before.
    pub fn backlog(&self, now: Now) -> Duration {
        self.busy_until.saturating_sub(now)
    }

    /// When there is room for another order; none if there is now.
    pub fn full_until(&self, now: Now) -> Option<Now> {
        let at = self.busy_until.saturating_sub(MOST_BACKLOG);
        (at > now).then_some(at)
    }

    fn usage(&self, now: Now) -> f64 {
        let passed = now.saturating_sub(self.averaged_at);
        self.usage * f64::exp(-passed.div_duration_f64(AVERAGED_OVER))
    }

    /// What so many bytes cost all that is sent together: their own time, and on a busy link the
    /// time that others wait for them.
    pub fn price(&self, now: Now, bytes: usize) -> Duration {
        let free = (1.0 - self.usage(now)).max(LEAST_FREE);
        self.time_of(bytes).div_f64(free)
    }
}
