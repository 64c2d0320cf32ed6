//! Timings derived from any accepted platform bounds keep the required order.

use std::time::Duration;

use proptest::prelude::*;
use trestleknot_lib::timings::{PlatformBounds, Timings, TimingsError};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time within which all entries of a fleet hear of an announcement (lib/tests/test_entry_directory.rs).
const HEARD_EVERYWHERE: Duration = Duration::from_millis(300);
/// Time within which the entries that are linked to one hear of its announcement.
const HEARD_BY_NEIGHBOURS: Duration = Duration::from_millis(100);

/// Longest suspension of a VM for which proofs by time allow.
const LONGEST_SUSPENSION: Duration = ms(10_000);
/// Rate of the slowest clock that a target may have.
const SLOW_RATE: f64 = 0.98;

/// Duration of a lease on a target whose clock is 2% slow.
fn slow(lease: Duration) -> Duration {
    lease.mul_f64(1.02)
}

fn bounds() -> impl Strategy<Value = PlatformBounds> {
    let fields = (
        200..20_000u64,
        0..2_000u64,
        1_000..60_000u64,
        500..20_000u64,
    );
    fields.prop_map(|(lease, stop, grace, caller_return)| PlatformBounds {
        longest_lease: ms(lease),
        stop_time: ms(stop.min(caller_return / 10)),
        shutdown_grace: ms(grace),
        caller_return: ms(caller_return),
    })
}

proptest! {
    #[test]
    fn test_new_any_bounds_keep_the_order(bounds in bounds()) {
        let t = Timings::new(bounds).expect("these bounds are accepted");
        let stop = bounds.stop_time;
        // Runs have been stopped when the agent counts their lease as lapsed.
        prop_assert!(slow(t.target_lease) + stop < t.lapse);
        prop_assert!(t.target_lease <= bounds.longest_lease);
        // The same holds for each shorter lease.
        for share in [1.0, 0.6, 0.3, 0.05] {
            let lease = t.target_lease.mul_f64(share);
            let ends_at = lease.div_f64(SLOW_RATE) + stop;
            prop_assert!(ends_at < t.lapse_of(lease), "{lease:?}");
            // A lease that begins when the agent last read the clock is counted from no later time.
            prop_assert!(t.least_clock_advance(lease) <= lease.mul_f64(SLOW_RATE));
        }
        // A lost renewal can be repeated twice within a lease.
        prop_assert!(t.renewal_wait * 3 < t.target_lease);
        // An entry counts a lost agent's runs as ended only after the agent has released them.
        prop_assert!(t.entry_lease + t.stop_bound + t.lapse < t.lost_agent_bound);
        // This also holds if the agent's VM was suspended meanwhile.
        let stopped_by = t.entry_lease + t.stop_bound + t.lapse;
        prop_assert!(stopped_by + LONGEST_SUSPENSION < t.lost_agent_bound);
        // A cancel outlasts a stop of its batch's entry and the return of the caller.
        prop_assert!(t.cancel_retention > bounds.shutdown_grace + bounds.caller_return);
        // An idle agent sends three heartbeats within an entry's lease and is answered in time.
        prop_assert!(t.heartbeat * 3 <= t.entry_lease);
        prop_assert!(t.heartbeat + t.max_answer_delay() < t.entry_lease);
        prop_assert!(t.start_window < t.entry_lease);
        // The runs of a dead or silent entry are stopped before its callers return.
        let caller_return = bounds.caller_return;
        prop_assert!(t.reconnect_grace + stop < caller_return);
        prop_assert!(t.entry_lease + stop < caller_return);
        // This also holds if the target fell silent at the same moment.
        prop_assert!(t.reconnect_grace + slow(t.target_lease) < caller_return);
        // The lease of a lost entry's runs ends before its callers return.
        prop_assert!(t.unrenewed_run_bound < caller_return);
        // A word that is newer than the input by the most leaves time for the news of a break.
        prop_assert!(t.unrenewed_run_bound + t.max_lease_lead * 5 / 4 <= caller_return);
        let last_lease = t.longest_lease_within(t.unrenewed_run_bound);
        prop_assert!(slow(last_lease) + stop <= t.unrenewed_run_bound);
        prop_assert!(t.lapse_of(last_lease) <= t.unrenewed_run_bound + ms(1));
        // Announcements reach all entries before then, also if entries pass them on.
        prop_assert!(t.suspect_after + HEARD_EVERYWHERE < caller_return);
        // Those of a witness, which waits until a sound agent has announced its own runs and sent its
        // next packet, reach the entries that are linked to it.
        prop_assert!(t.witness_delay + HEARD_BY_NEIGHBOURS < caller_return);
        prop_assert!(t.witness_delay >= t.suspect_after + t.heartbeat + t.heartbeat / 5);
        // A sound entry, whose packets may come late by a heartbeat, is not suspected.
        prop_assert!(t.heartbeat + t.max_answer_delay() < t.suspect_after);
        // Until it is, there is time for a lease.
        prop_assert!(t.longest_lease_within(t.unrenewed_run_bound - t.suspect_after) > Duration::ZERO);
        // An adopted run without a claim is stopped well within the lease it was found with.
        prop_assert!(t.claim_grace * 2 < t.target_lease);
        // Planned stops end before the platform kills the process.
        let grace = bounds.shutdown_grace;
        prop_assert!(t.drain_serve_time < t.entry_stop);
        prop_assert!(t.entry_stop + ms(100) < grace);
        prop_assert!(t.agent_stop < t.entry_stop);
    }
}

#[test]
fn test_new_default_bounds() {
    insta::assert_debug_snapshot!(Timings::default());
}

#[test]
fn test_new_impossible_bounds_are_named() {
    let defaults = PlatformBounds::default();
    let lease = PlatformBounds {
        longest_lease: ms(100),
        ..defaults
    };
    let stop = PlatformBounds {
        stop_time: ms(2_500),
        ..defaults
    };
    let grace = PlatformBounds {
        shutdown_grace: ms(300),
        ..defaults
    };
    let caller_return = PlatformBounds {
        caller_return: ms(200),
        ..defaults
    };
    let slow_stop = PlatformBounds {
        stop_time: ms(200),
        ..defaults
    };
    assert_eq!(
        Timings::new(lease),
        Err(TimingsError::LongestLease { found: ms(100) })
    );
    assert_eq!(
        Timings::new(stop),
        Err(TimingsError::StopTime { found: ms(2_500) })
    );
    assert_eq!(
        Timings::new(grace),
        Err(TimingsError::ShutdownGrace { found: ms(300) })
    );
    assert_eq!(
        Timings::new(caller_return),
        Err(TimingsError::CallerReturn { found: ms(200) })
    );
    assert_eq!(
        Timings::new(slow_stop),
        Err(TimingsError::CallerReturn { found: ms(1_300) })
    );
}
