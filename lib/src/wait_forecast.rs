//! When room for a batch will come, from how fast waiting tasks have been placed of late.
//!
//! The load that it answers: more work than the targets carry, for longer than a batch can wait.
//! Batches then wait until their last useful moment and are refused all the same; their callers
//! have lost that time, and the tasks that are placed meanwhile start at their last moment. An entry
//! cannot know what the others are about to send, but it sees what all of that comes to: the number of
//! its own tasks that found a place in the last moments. What waits ahead of a new batch, divided by
//! that rate, is how long the batch would wait.
//!
//! A forecast is made only from a queue that has stood for the whole window: in a shorter one the
//! rate says how much was asked, not how much there is room for.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Now;

/// Starts are counted over this time. Shorter ones see too few starts of a small entry (some 40 tasks
/// a second), longer ones still count the time before a burst.
pub const WINDOW: Duration = Duration::from_millis(250);
/// Wait that is forecast while nothing at all is placed.
const WAIT_WITHOUT_STARTS: Duration = Duration::from_secs(1);
/// Soonest and latest return that callers are told: sooner ones find the same queue, and a queue
/// that is a second long is drained or fed by something else by then.
const RETURN_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Callers refused together are told times up to this share apart, or they would come back as one.
const RETURN_SPREAD: f64 = 1.0;

/// See the module.
#[derive(Debug, Default)]
pub struct WaitForecast {
    /// Tasks that found a place, with the time.
    placed: VecDeque<(Now, u32)>,
    placed_in_window: u32,
    /// Since when something has waited without a break.
    stands_since: Option<Now>,
}

impl WaitForecast {
    /// Notes whether any batch waits.
    pub fn note_waiting(&mut self, now: Now, has_waiting: bool) {
        if has_waiting {
            self.stands_since.get_or_insert(now);
        } else {
            self.stands_since = None;
        }
        self.forget_old(now);
    }

    /// Notes tasks that were sent to targets.
    pub fn note_placed(&mut self, now: Now, tasks: u32) {
        self.placed.push_back((now, tasks));
        self.placed_in_window += tasks;
    }

    /// Notes that a task came back from a target that was full.
    pub fn note_returned(&mut self) {
        if let Some((_, tasks)) = self.placed.iter_mut().rev().find(|(_, t)| *t > 0) {
            *tasks -= 1;
            self.placed_in_window -= 1;
        }
    }

    fn forget_old(&mut self, now: Now) {
        while let Some(&(at, tasks)) = self.placed.front()
            && at + WINDOW <= now
        {
            self.placed_in_window -= tasks;
            self.placed.pop_front();
        }
    }

    /// How long the last of `tasks` waits from now on, its own batch and all ahead of it counted;
    /// none while the queue has not stood for long enough to tell.
    pub fn wait_for(&self, now: Now, tasks: u32) -> Option<Duration> {
        let since = self.stands_since?;
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

/// When a caller is to come back who finds room after `pause` at the soonest; `chance` is between 0
/// and 1.
pub fn return_after(pause: Duration, chance: f64) -> Duration {
    let (least, most) = RETURN_BOUNDS;
    let pause = pause.clamp(least, most);
    let spread = pause.mul_f64(1.0 + RETURN_SPREAD * chance);
    Duration::from_millis(spread.as_millis() as u64)
}
