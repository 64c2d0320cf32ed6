//! When an agent asks the store for entries.

use std::time::Duration;

use trestleknot_lib::entry_discovery::EntryDiscovery;
use trestleknot_lib::ids::Now;

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// Times at which an agent asks that is woken when it wants to be, until `until`.
fn asked(search: &mut EntryDiscovery, until: Now, is_linked: bool) -> Vec<Now> {
    let mut asked = Vec::new();
    while let Some(at) = search.next_wake().filter(|at| *at <= until) {
        if search.take_due(at, is_linked) {
            asked.push(at);
        }
    }
    asked
}

#[test]
fn test_take_due_at_start_and_then_less_and_less_often() {
    let mut search = EntryDiscovery::new(ms(10));
    let expected = [10, 210, 610, 1_410, 2_910, 4_410].map(ms);
    assert_eq!(asked(&mut search, ms(5_000), false), expected);
}

#[test]
fn test_take_due_not_while_a_link_stands() {
    let mut search = EntryDiscovery::new(ms(0));
    assert!(search.take_due(ms(0), false));
    assert!(!search.take_due(ms(50), true));
    assert_eq!(search.next_wake(), None);
    // The last link is lost: it is given a moment to come back.
    assert!(!search.take_due(ms(5_000), false));
    assert_eq!(search.next_wake(), Some(ms(5_200)));
    assert!(!search.take_due(ms(5_060), true));
    assert!(!search.take_due(ms(9_000), false));
    assert!(search.take_due(ms(9_200), false));
}
