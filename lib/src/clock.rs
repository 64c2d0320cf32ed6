//! A clock for leases and deadlines that includes the time for which the VM was suspended.
//!
//! `std::time::Instant` stops during a suspension. Leases and deadlines measured with it would last
//! longer here than on the rest of the fleet, and calls from before the suspension would seem
//! recent.

use std::cell::Cell;
use std::ops::{Add, Sub};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Shorter differences come from the time between reading the two clocks.
const MIN_SUSPENSION: Duration = Duration::from_millis(1);

/// Time since the start of the VM, suspensions included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(time.expect("every supported Linux has this clock").into())
    }

    /// Time that has passed since this instant.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }
}

/// Measures how long the VM was suspended.
#[derive(Debug)]
pub struct SuspensionWatch {
    /// Total suspended time at the last reading.
    last_total: Cell<Duration>,
}

impl SuspensionWatch {
    /// Starts measuring now.
    pub fn start() -> Self {
        Self {
            last_total: Cell::new(time_suspended()),
        }
    }

    /// Returns how long the VM was suspended since the previous call, or since the start.
    pub fn take(&self) -> Duration {
        let suspended = time_suspended();
        let since_last = suspended.saturating_sub(self.last_total.get());
        self.last_total.set(self.last_total.get().max(suspended));
        if since_last < MIN_SUSPENSION {
            return Duration::ZERO;
        }
        since_last
    }
}

/// Total time for which the VM has been suspended since its start.
fn time_suspended() -> Duration {
    let awake = clock_gettime(ClockId::CLOCK_MONOTONIC);
    let awake: Duration = awake.expect("every Linux has this clock").into();
    BootInstant::now().0.saturating_sub(awake)
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}

impl Sub for BootInstant {
    type Output = Duration;

    /// Time from `earlier` until this instant; zero if `earlier` is later.
    fn sub(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
