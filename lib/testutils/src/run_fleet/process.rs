//! A simulated process: its core, its incarnation, and stalls, suspensions and partitions.

use std::time::Duration;

use trestleknot_lib::batch_entry::BatchEntryCore;
use trestleknot_lib::ids::Now;
use trestleknot_lib::run_agent::RunAgentCore;

/// A process and its current incarnation.
pub(super) struct Process<C> {
    pub(super) core: Option<C>,
    pub(super) incarnation: u64,
    /// When this incarnation started.
    pub(super) born: Now,
    /// The planned wake.
    pub(super) wake: Option<Now>,
    pub(super) stalled_until: Now,
    /// End of its VM's suspension.
    pub(super) suspended_until: Now,
    /// Suspended time that the core has not been told of.
    pub(super) unreported_suspension: Duration,
    /// Suspended time that its clock does not count.
    pub(super) uncounted: Duration,
    pub(super) cut_until: Now,
    /// When its load was last sampled.
    pub(super) sampled: Now,
}

impl<C> Process<C> {
    pub(super) fn new() -> Self {
        Self {
            core: None,
            incarnation: 0,
            born: Now::ZERO,
            wake: None,
            stalled_until: Now::ZERO,
            suspended_until: Now::ZERO,
            unreported_suspension: Duration::ZERO,
            uncounted: Duration::ZERO,
            cut_until: Now::ZERO,
            sampled: Now::ZERO,
        }
    }
}

/// A core that knows when it next needs a wake.
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
    /// Suspends its VM; its clock does not count `uncounted` of that time.
    pub(super) fn suspend(&mut self, until: Now, uncounted: Duration) {
        self.suspended_until = until;
        self.stalled_until = self.stalled_until.max(until);
        self.uncounted += uncounted;
    }

    /// Time on its clock.
    pub(super) fn clock(&self, now: Now) -> Now {
        now.saturating_sub(self.born + self.uncounted)
    }
}

impl<C: Wakes> Process<C> {
    /// Plans the core's next wake and returns its time, if it is sooner than the planned one.
    pub(super) fn plan_sooner_wake(&mut self) -> Option<Now> {
        let at = self.core.as_ref()?.next_wake()? + self.born + self.uncounted;
        let is_sooner = self.wake.is_none_or(|planned| at < planned);
        is_sooner.then(|| *self.wake.insert(at))
    }
}
