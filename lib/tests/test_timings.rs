//! The chain of times holds for whatever bounds the platform names.

use std::time::Duration;

use proptest::prelude::*;
use trestleknot_lib::timings::{PlatformBounds, Timings, TimingsError};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How long a lease lasts on a target's clock that is 2% slow.
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
    fields.prop_map(|(lease, stop, grace, back)| PlatformBounds {
        longest_lease: ms(lease),
        stop_time: ms(stop.min(back / 10)),
        shutdown_grace: ms(grace),
        caller_return: ms(back),
    })
}

proptest! {
    #[test]
    fn test_new_any_bounds_keep_the_chain(bounds in bounds()) {
        let t = Timings::new(bounds).expect("these bounds are accepted");
        let stop = bounds.stop_time;
        // What a renewal held is over when the agent counts it as lapsed.
        prop_assert!(slow(t.target_lease) + stop < t.lapse);
        prop_assert!(t.target_lease <= bounds.longest_lease);
        // A lost renewal can be made good twice within a lease.
        prop_assert!(t.renewal_wait * 3 < t.target_lease);
        // An entry takes a lost agent's runs for over after the agent, at its latest, let them go.
        prop_assert!(t.entry_lease + t.stop_bound + t.lapse < t.lost_proof);
        // A quiet agent is heard three times within an entry's word, and answered in time.
        prop_assert!(t.heartbeat * 3 <= t.entry_lease);
        prop_assert!(t.heartbeat + t.answer_after() < t.entry_lease);
        prop_assert!(t.start_window < t.entry_lease);
        // Callers of an entry that died, or fell silent, find its runs stopped.
        let back = bounds.caller_return;
        prop_assert!(t.reconnect_grace + stop < back);
        prop_assert!(t.entry_lease + stop < back);
        // So they do behind a target that fell silent at the same moment.
        prop_assert!(t.reconnect_grace + slow(t.target_lease) < back);
        // What is adopted and not claimed is stopped well within the lease that it was found with.
        prop_assert!(t.claim_grace * 2 < t.target_lease);
        // Planned stops end before they are cut off.
        let grace = bounds.shutdown_grace;
        prop_assert!(t.serve_on < t.entry_stop);
        prop_assert!(t.entry_stop + ms(100) < grace);
        prop_assert!(t.agent_stop < t.entry_stop);
    }
}

#[test]
fn test_new_usual_bounds() {
    insta::assert_debug_snapshot!(Timings::default());
}

#[test]
fn test_new_impossible_bounds_are_named() {
    let usual = PlatformBounds::default();
    let lease = PlatformBounds {
        longest_lease: ms(100),
        ..usual
    };
    let stop = PlatformBounds {
        stop_time: ms(2_500),
        ..usual
    };
    let grace = PlatformBounds {
        shutdown_grace: ms(300),
        ..usual
    };
    let back = PlatformBounds {
        caller_return: ms(200),
        ..usual
    };
    let slow_stop = PlatformBounds {
        stop_time: ms(200),
        ..usual
    };
    assert_eq!(
        Timings::new(lease),
        Err(TimingsError::LongestLease { is: ms(100) })
    );
    assert_eq!(
        Timings::new(stop),
        Err(TimingsError::StopTime { is: ms(2_500) })
    );
    assert_eq!(
        Timings::new(grace),
        Err(TimingsError::ShutdownGrace { is: ms(300) })
    );
    assert_eq!(
        Timings::new(back),
        Err(TimingsError::CallerReturn { is: ms(200) })
    );
    assert_eq!(
        Timings::new(slow_stop),
        Err(TimingsError::CallerReturn { is: ms(1_300) })
    );
}
