//! When an agent queries the store for entries.

use std::time::Duration;

use trestleknot_lib::entry_discovery::EntryDiscovery;
use trestleknot_lib::ids::Now;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// Times until `until` at which an agent that wakes on schedule queries the store.
fn query_times(discovery: &mut EntryDiscovery, until: Now, is_linked: bool) -> Vec<Now> {
    let mut queries = Vec::new();
    while let Some(at) = discovery.next_wake().filter(|at| *at <= until) {
        if discovery.take_due(at, is_linked) {
            queries.push(at);
        }
    }
    queries
}

#[test]
fn test_take_due_at_start_and_then_with_backoff() {
    let mut discovery = EntryDiscovery::new(ms(10));
    let expected = [10, 210, 610, 1_410, 2_910, 4_410].map(ms);
    assert_eq!(query_times(&mut discovery, ms(5_000), false), expected);
}

#[test]
fn test_take_due_not_while_a_link_is_up() {
    let mut discovery = EntryDiscovery::new(ms(0));
    assert!(discovery.take_due(ms(0), false));
    assert!(!discovery.take_due(ms(50), true));
    assert_eq!(discovery.next_wake(), None);
    // After the last link is lost, the agent waits for it to come back.
    assert!(!discovery.take_due(ms(5_000), false));
    assert_eq!(discovery.next_wake(), Some(ms(5_200)));
    assert!(!discovery.take_due(ms(5_060), true));
    assert!(!discovery.take_due(ms(9_000), false));
    assert!(discovery.take_due(ms(9_200), false));
}
