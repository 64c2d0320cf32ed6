//! Forecasts how long a batch will wait for capacity, from the recent placement rate.
//!
//! Under a lasting overload, a batch may wait for as long as is useful and then be refused. The
//! forecast lets an entry refuse such batches at once. It is the number of the batch's tasks and of
//! those ahead, divided by the rate at which this entry has placed tasks. That rate reflects the
//! load of the other entries too.
//!
//! A forecast needs a backlog that lasted for the whole window. During a shorter one, the rate
//! measures the demand and not the capacity.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Now;

/// Time over which placed tasks are counted, and for which a backlog must have lasted.
pub const WINDOW: Duration = Duration::from_millis(250);
/// Forecast wait if no task was placed within the window.
const WAIT_WITHOUT_STARTS: Duration = Duration::from_secs(1);
/// Shortest and longest retry time given to callers, before jitter. Sooner retries find the same
/// queue, and a queue of a second is drained by then.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Largest jitter, as a share of the retry time. It keeps callers refused together from retrying
/// together.
const RETRY_JITTER: f64 = 1.0;

/// Recent placements and the start of the current backlog.
#[derive(Debug, Default)]
pub struct WaitForecast {
    /// Number of tasks placed at each time in the window, oldest first.
    placed: VecDeque<(Now, u32)>,
    placed_in_window: u32,
    /// Time since which batches have been waiting without a break.
    backlog_since: Option<Now>,
}

impl WaitForecast {
    /// Records whether any batch is waiting.
    pub fn note_waiting(&mut self, now: Now, has_waiting: bool) {
        if has_waiting {
            self.backlog_since.get_or_insert(now);
        } else {
            self.backlog_since = None;
        }
        self.drop_expired(now);
    }

    /// Records tasks that were sent to targets.
    pub fn note_placed(&mut self, now: Now, tasks: u32) {
        self.placed.push_back((now, tasks));
        self.placed_in_window += tasks;
    }

    /// Records that a full target rejected a task.
    pub fn note_rejected(&mut self) {
        if let Some((_, tasks)) = self.placed.iter_mut().rev().find(|(_, t)| *t > 0) {
            *tasks -= 1;
            self.placed_in_window -= 1;
        }
    }

    fn drop_expired(&mut self, now: Now) {
        while let Some(&(at, tasks)) = self.placed.front()
            && at + WINDOW <= now
        {
            self.placed_in_window -= tasks;
            self.placed.pop_front();
        }
    }

    /// Returns how long the last of `tasks` has to wait, where `tasks` counts those of its own
    /// batch and all ahead of it; `None` until the backlog has lasted for the whole window.
    pub fn wait_for(&self, now: Now, tasks: u32) -> Option<Duration> {
        let since = self.backlog_since?;
        if since + WINDOW > now {
            return None;
        }
        if self.placed_in_window == 0 {
            return Some(WAIT_WITHOUT_STARTS);
        }
        let windows = f64::from(tasks) / f64::from(self.placed_in_window);
        Some(WINDOW.mul_f64(windows))
    }
}

/// Returns when a caller should retry if capacity is expected after `pause`; `chance` is a random
/// number between 0 and 1.
pub fn retry_after(pause: Duration, chance: f64) -> Duration {
    let (min, max) = RETRY_BOUNDS;
    let pause = pause.clamp(min, max);
    let jittered = pause.mul_f64(1.0 + RETRY_JITTER * chance);
    Duration::from_millis(jittered.as_millis() as u64)
}
