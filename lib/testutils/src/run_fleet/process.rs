//! A process of the virtual fleet: its core, its life and what keeps it from running.

use trestleknot_lib::batch_entry::BatchEntry;
use trestleknot_lib::ids::Now;
use trestleknot_lib::run_agent::RunAgent;

/// A process and its life.
pub(super) struct Process<C> {
    pub(super) core: Option<C>,
    pub(super) life: u64,
    pub(super) born: Now,
    pub(super) wake: Option<Now>,
    pub(super) frozen_until: Now,
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
            cut_until: Now::ZERO,
        }
    }
}

/// A core that names the time of its next wake.
pub(super) trait Wakes {
    fn next_wake(&self) -> Option<Now>;
}

impl Wakes for BatchEntry {
    fn next_wake(&self) -> Option<Now> {
        BatchEntry::next_wake(self)
    }
}

impl Wakes for RunAgent {
    fn next_wake(&self) -> Option<Now> {
        RunAgent::next_wake(self)
    }
}

impl<C: Wakes> Process<C> {
    /// The time of the core's next wake, noted, if it is sooner than the one planned.
    pub(super) fn sooner_wake(&mut self) -> Option<Now> {
        let at = self.core.as_ref()?.next_wake()? + self.born;
        let is_sooner = self.wake.is_none_or(|planned| at < planned);
        is_sooner.then(|| *self.wake.insert(at))
    }
}
