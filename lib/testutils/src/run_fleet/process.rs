//! A process of the virtual fleet: its core, its life and what keeps it from running.

use std::time::Duration;

use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::ids::Now;
use trestleknot_lib::run_agent::RunAgentCore;

/// A process and its life.
pub(super) struct Process<C> {
    pub(super) core: Option<C>,
    pub(super) life: u64,
    pub(super) born: Now,
    pub(super) wake: Option<Now>,
    pub(super) frozen_until: Now,
    /// Until when its VM is suspended.
    pub(super) asleep_until: Now,
    /// Of that, what it has not been told yet.
    pub(super) untold_sleep: Duration,
    /// Time of its life that its clock does not count.
    pub(super) uncounted: Duration,
    pub(super) cut_until: Now,
}

impl<C> Process<C> {
    pub(super) fn new() -> Self {
        Self {
            core: None,
            life: 0,
            born: Now::ZERO,
            wake: None,
            frozen_until: Now::ZERO,
            asleep_until: Now::ZERO,
            untold_sleep: Duration::ZERO,
            uncounted: Duration::ZERO,
            cut_until: Now::ZERO,
        }
    }
}

/// A core that names the time of its next wake.
pub(super) trait Wakes {
    fn next_wake(&self) -> Option<Now>;
}

impl Wakes for BatchEntryCore {
    fn next_wake(&self) -> Option<Now> {
        BatchEntryCore::next_wake(self)
    }
}

impl Wakes for RunAgentCore {
    fn next_wake(&self) -> Option<Now> {
        RunAgentCore::next_wake(self)
    }
}

impl<C> Process<C> {
    /// Its VM is suspended; its clock does not count so much of it.
    pub(super) fn sleep(&mut self, until: Now, uncounted: Duration) {
        self.asleep_until = until;
        self.frozen_until = self.frozen_until.max(until);
        self.uncounted += uncounted;
    }

    /// Its clock.
    pub(super) fn clock(&self, now: Now) -> Now {
        now.saturating_sub(self.born + self.uncounted)
    }
}

impl<C: Wakes> Process<C> {
    /// The time of the core's next wake, noted, if it is sooner than the one planned.
    pub(super) fn sooner_wake(&mut self) -> Option<Now> {
        let at = self.core.as_ref()?.next_wake()? + self.born + self.uncounted;
        let is_sooner = self.wake.is_none_or(|planned| at < planned);
        is_sooner.then(|| *self.wake.insert(at))
    }
}
