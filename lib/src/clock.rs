//! The clock of everything that a process proves or promises.
//!
//! It counts the time for which its VM was suspended. The steady clock of the standard library
//! stands still meanwhile: leases, proofs and deadlines counted on it would outlive what the rest of
//! the fleet counts, and orders given before the suspension would pass for fresh ones after it.

use std::cell::Cell;
use std::ops::{Add, Sub};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Less than this is the time between the readings of two clocks.
const LEAST_SUSPENSION: Duration = Duration::from_millis(1);

/// A moment, counted from the start of the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The present moment.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(time.expect("every supported Linux has this clock").into())
    }

    /// Time that has passed since.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }
}

/// Notices how long the VM was suspended.
#[derive(Debug)]
pub struct SuspensionWatch {
    known: Cell<Duration>,
}

impl SuspensionWatch {
    /// A watch that begins now.
    pub fn start() -> Self {
        Self {
            known: Cell::new(time_suspended()),
        }
    }

    /// For how long the VM was suspended since this was last asked.
    pub fn take(&self) -> Duration {
        let suspended = time_suspended();
        let news = suspended.saturating_sub(self.known.get());
        self.known.set(self.known.get().max(suspended));
        if news < LEAST_SUSPENSION {
            return Duration::ZERO;
        }
        news
    }
}

/// How long the VM has been suspended since its start.
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

    /// Time from `earlier` until this moment; none if `earlier` is later.
    fn sub(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
