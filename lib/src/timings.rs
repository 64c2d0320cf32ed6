//! Leases and timeouts that follow from the platform's bounds.
//!
//! A task may be restarted elsewhere only after its last run must have ended.
//! docs/design/platform.md explains the conditions for this; lib/tests/test_timings.rs tests them.

use std::time::Duration;

use snafu::{Snafu, ensure};

/// Factor by which a lease may outlast its length, because a target's clock may run slow.
pub const CLOCK_SLOWDOWN: f64 = 1.02;
/// Lowest rate of a target's clock.
const LOWEST_CLOCK_RATE: f64 = 0.98;
/// Longest lease of an entry on its runs. Must survive a lost heartbeat. The runs of an entry that
/// is gone free their capacity within a second.
const MAX_ENTRY_LEASE: Duration = Duration::from_millis(800);
/// Ratio of an entry's lease to the heartbeat interval; leaves slack for the network.
const HEARTBEATS_PER_LEASE: f64 = 3.2;
/// Longest time that an entry has to reconnect after its link was closed. Processes on busy VMs
/// dial again within 60 ms.
const MAX_RECONNECT_GRACE: Duration = Duration::from_millis(250);
/// Lower limit of [`Timings::stop_bound`].
const MIN_STOP_BOUND: Duration = Duration::from_millis(200);
/// Ratio of [`Timings::stop_bound`] to the platform's stop time.
const STOPS_PER_BOUND: u32 = 10;
/// Allowance for scheduling delays on a busy VM, added to the time that a lease takes to lapse.
const LAPSE_SLACK: Duration = Duration::from_millis(70);
/// Longest time by which the start of the last lease that an entry grants may be later than the break of
/// a caller's connection, unless the entry has told the other entries that runs of the batch may be left.
const MAX_CLOSING_DELAY: Duration = Duration::from_millis(100);
/// Share of the closing delay that is left for the news of a break on its way to the entry.
const BREAK_TRANSIT_SHARE: f64 = 0.3;
/// Heartbeats that an entry may miss before the agent announces its runs to the other entries.
const SUSPECT_HEARTBEATS: u32 = 2;
/// Heartbeats after which an agent that is awake has announced the runs of a lost entry, and its next
/// packet shows that. The other entries must hear of the rest before callers return.
const WITNESS_HEARTBEATS: f64 = 3.4;
/// Allowance for rounding and scheduling delays in [`Timings::lost_agent_bound`].
const PROOF_SLACK: Duration = Duration::from_millis(160);
/// Longest tolerated suspension of a VM with its target and agent. Until it ends, an entry can't
/// tell it from a power failure. The target's leases don't lapse, because its clock stops too.
const MAX_SUSPENSION: Duration = Duration::from_secs(10);
/// Upper limit of [`Timings::claim_grace`]. It leaves time for a few dials.
const MAX_CLAIM_GRACE: Duration = Duration::from_millis(200);
/// Longest time that a stopping entry serves all requests, until the load balancer has removed it.
/// The balancer asks every second and removes an entry at the second miss.
const MAX_SERVE_ON: Duration = Duration::from_millis(3_200);

/// The platform's guarantees, from its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformBounds {
    /// Longest lease that targets grant.
    pub longest_lease: Duration,
    /// Longest time that a target takes to stop a run.
    pub stop_time: Duration,
    /// Time from the signal that stops a process until it is killed.
    pub shutdown_grace: Duration,
    /// How long after a broken connection a caller retries.
    pub caller_return: Duration,
}

impl Default for PlatformBounds {
    /// The bounds that apply when the settings leave them out.
    fn default() -> Self {
        Self {
            longest_lease: Duration::from_millis(1_000),
            stop_time: Duration::from_millis(50),
            shutdown_grace: Duration::from_secs(6),
            caller_return: Duration::from_millis(1_300),
        }
    }
}

/// A bound with which the timings can't be safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum TimingsError {
    /// The longest lease is out of range. With a shorter one, leases would lapse between two
    /// renewals.
    #[snafu(display("the longest lease is {found:?}, expected 200 ms to 1 h"))]
    LongestLease {
        /// The configured value.
        found: Duration,
    },
    /// Stops would take longer than the time after which they count as failed.
    #[snafu(display("the stop time is {found:?}, expected at most 2 s"))]
    StopTime {
        /// The configured value.
        found: Duration,
    },
    /// The shutdown grace is out of range. With a shorter one, there would be no time to finish
    /// open requests.
    #[snafu(display("the shutdown grace is {found:?}, expected 1 s to 1 h"))]
    ShutdownGrace {
        /// The configured value.
        found: Duration,
    },
    /// The callers' retry interval is out of range. With a shorter one, callers would retry before
    /// the runs of an entry that died are stopped.
    #[snafu(display(
        "callers return after {found:?}, expected 500 ms to 1 h and at least ten times the stop time"
    ))]
    CallerReturn {
        /// The configured value.
        found: Duration,
    },
}

/// Lease lengths and timeouts. Each names the process whose clock measures it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// How long an agent keeps an entry's runs after the entry's last packet (agent).
    pub entry_lease: Duration,
    /// Interval between heartbeats of an agent on an idle link (agent).
    pub heartbeat: Duration,
    /// Silence after which a link is closed and dialled again (both).
    pub link_timeout: Duration,
    /// How long a start may take to reach the agent; later ones are refused (agent).
    pub start_window: Duration,
    /// Time that an entry has to reconnect before its runs are stopped (agent).
    pub reconnect_grace: Duration,
    /// How long an adopted run waits for an entry to claim it (agent). A restarted agent adopts the
    /// runs that its target lists; until they are claimed, no entry owns them.
    pub claim_grace: Duration,
    /// Interval at which a stop is resent until the target lists the run as ended (agent).
    pub stop_retry_interval: Duration,
    /// Time within which an orphaned run must end. After it, the agent stops renewing the target's
    /// lease (agent). A run is orphaned if its owner's lease has lapsed or no entry has claimed it.
    pub stop_bound: Duration,
    /// Length of the requested lease: at most the longest one, and short enough to lapse before
    /// callers retry (target).
    pub target_lease: Duration,
    /// Time from a renewal until the runs that it covers must have ended, even if the target's
    /// clock is slow (agent).
    pub lapse: Duration,
    /// What a lapse takes beyond the lease on a sound clock (agent).
    pub lapse_overhead: Duration,
    /// Silence of an entry after which the agent announces its runs to the other entries (agent).
    pub suspect_after: Duration,
    /// Time from the loss of an entry until its witnesses announce its runs at silent agents (witness).
    pub witness_delay: Duration,
    /// Time from an entry's last packet, or from the packet before the one with a stop, until the runs
    /// must have ended (agent).
    pub unrenewed_run_bound: Duration,
    /// Longest time by which the start of a lease that an entry grants may be later than the input that it
    /// has handled (entry).
    pub max_lease_lead: Duration,
    /// How long the target may wait before it answers a renewal; leaves time to repeat a lost one
    /// (agent).
    pub renewal_wait: Duration,
    /// Time from the last packet to a lost agent until its runs must have ended, even if its VM was
    /// suspended (entry).
    pub lost_agent_bound: Duration,
    /// How long a stopping entry still accepts all new requests (entry).
    pub drain_serve_time: Duration,
    /// Longest time that a stopping entry takes to exit (entry).
    pub entry_stop: Duration,
    /// Longest time that a stopping agent takes to exit (agent).
    pub agent_stop: Duration,
    /// How long after a broken connection a caller retries (caller).
    pub caller_retry_interval: Duration,
    /// How long a cancel is remembered: a submission may wait unread at a suspended entry, lose its
    /// connection when an entry has stopped, and come again (entry).
    pub cancel_retention: Duration,
}

impl Timings {
    /// Derives the timings from the bounds. Fails if a bound is out of range.
    pub fn new(bounds: PlatformBounds) -> Result<Self, TimingsError> {
        check(bounds)?;
        let PlatformBounds {
            longest_lease,
            stop_time,
            shutdown_grace,
            caller_return,
        } = bounds;
        // If an entry dies, its runs are stopped before its callers retry, even if a stop needs two
        // attempts.
        let entry_lease = MAX_ENTRY_LEASE.min(caller_return.mul_f64(0.62));
        let heartbeat = entry_lease.div_f64(HEARTBEATS_PER_LEASE);
        let reconnect_grace = MAX_RECONNECT_GRACE.min(caller_return / 5);
        // If a target becomes silent when an entry dies, that entry's runs lapse before the callers
        // retry.
        let target_lease = longest_lease.min(caller_return.mul_f64(0.77));
        let lapse_overhead = stop_time + LAPSE_SLACK;
        let lapse = target_lease.mul_f64(CLOCK_SLOWDOWN) + lapse_overhead;
        let closing_delay = MAX_CLOSING_DELAY.min(caller_return / 10);
        let stop_bound = MIN_STOP_BOUND.max(stop_time * STOPS_PER_BOUND);
        Ok(Self {
            entry_lease,
            heartbeat,
            link_timeout: heartbeat * 6,
            start_window: entry_lease.mul_f64(0.625),
            reconnect_grace,
            claim_grace: MAX_CLAIM_GRACE.min(target_lease / 5),
            stop_retry_interval: (stop_time * 2).max(Duration::from_millis(20)),
            stop_bound,
            target_lease,
            lapse,
            lapse_overhead,
            suspect_after: heartbeat * SUSPECT_HEARTBEATS,
            witness_delay: heartbeat.mul_f64(WITNESS_HEARTBEATS),
            unrenewed_run_bound: caller_return - closing_delay,
            max_lease_lead: closing_delay.mul_f64(1.0 - BREAK_TRANSIT_SHARE),
            renewal_wait: target_lease.mul_f64(0.33),
            lost_agent_bound: entry_lease + stop_bound + lapse + PROOF_SLACK + MAX_SUSPENSION,
            drain_serve_time: MAX_SERVE_ON.min(shutdown_grace.mul_f64(0.54)),
            entry_stop: shutdown_grace.mul_f64(0.885),
            agent_stop: shutdown_grace.mul_f64(0.835),
            caller_retry_interval: caller_return,
            cancel_retention: MAX_SUSPENSION + shutdown_grace + caller_return,
        })
    }

    /// Time from the renewal of a lease of this length until the runs that it covers must have ended.
    pub fn lapse_of(&self, lease: Duration) -> Duration {
        lease.mul_f64(CLOCK_SLOWDOWN) + self.lapse_overhead
    }

    /// Time by which a target's clock advances at least within `time`.
    pub fn least_clock_advance(&self, time: Duration) -> Duration {
        time.mul_f64(LOWEST_CLOCK_RATE)
    }

    /// Returns the longest lease whose runs must have ended within `time` of its renewal; zero if
    /// there is none.
    pub fn longest_lease_within(&self, time: Duration) -> Duration {
        let longest = time.saturating_sub(self.lapse_overhead);
        self.target_lease.min(longest.div_f64(CLOCK_SLOWDOWN))
    }

    /// An entry answers an agent's packet if it has sent that agent nothing for this long.
    pub fn max_answer_delay(&self) -> Duration {
        self.heartbeat.mul_f64(0.6)
    }
}

fn check(bounds: PlatformBounds) -> Result<(), TimingsError> {
    let hour = Duration::from_secs(3_600);
    let found = bounds.longest_lease;
    let fits = found >= Duration::from_millis(200) && found <= hour;
    ensure!(fits, LongestLeaseSnafu { found });
    let found = bounds.stop_time;
    ensure!(found <= Duration::from_secs(2), StopTimeSnafu { found });
    let found = bounds.shutdown_grace;
    let fits = found >= Duration::from_secs(1) && found <= hour;
    ensure!(fits, ShutdownGraceSnafu { found });
    let found = bounds.caller_return;
    let fits =
        found >= Duration::from_millis(500) && found >= bounds.stop_time * 10 && found <= hour;
    ensure!(fits, CallerReturnSnafu { found });
    Ok(())
}

impl Default for Timings {
    /// The timings for the default bounds.
    fn default() -> Self {
        Self::new(PlatformBounds::default()).expect("the default bounds are in range")
    }
}
