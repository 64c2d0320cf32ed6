//! How an agent shares scarce free capacity among entries.

use std::time::Duration;

use trestleknot_lib::adaptive_timeout::AdaptiveTimeout;
use trestleknot_lib::capacity_shares::{CapacityShares, Demand, FreeCapacity};
use trestleknot_lib::ids::Now;
use trestleknot_lib::resources::Resources;

const TASK_SIZE: Resources = Resources {
    cpu_millis: 2_000,
    memory_mib: 64,
    accelerators: 0,
};

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

fn free_capacity(tasks: u64) -> FreeCapacity {
    FreeCapacity {
        free: TASK_SIZE.times(tasks),
        typical_size: TASK_SIZE,
    }
}

fn demands(waiting: &[u32]) -> Vec<Demand> {
    let links = (1..).zip(waiting);
    links
        .map(|(link, waiting)| Demand {
            link,
            waiting: *waiting,
        })
        .collect()
}

/// Number of tasks that fit in each entry's share.
fn tasks_in(shares: &[Resources]) -> Vec<u64> {
    shares.iter().map(|s| TASK_SIZE.fit_count(*s)).collect()
}

#[test]
fn test_share_by_case() {
    let cases: [(u64, &[u32], &[u64]); 6] = [
        (3, &[0, 0, 0], &[3, 3, 3]),
        (3, &[0, 5, 0], &[3, 3, 3]),
        (4, &[2, 5, 0], &[2, 2, 4]),
        (0, &[2, 5, 0], &[0, 0, 0]),
        (1, &[1, 50, 0], &[0, 1, 0]),
        (2, &[9, 9, 9], &[1, 1, 0]),
    ];
    for (tasks, waiting, expected) in cases {
        let mut shares = CapacityShares::default();
        let found = shares.share(ms(0), free_capacity(tasks), &demands(waiting));
        assert_eq!(
            tasks_in(&found),
            expected,
            "{tasks} tasks fit, {waiting:?} wait"
        );
    }
}

#[test]
fn test_share_unused_reservation_goes_to_another() {
    let mut shares = CapacityShares::default();
    let waiting = demands(&[3, 3]);
    assert_eq!(
        tasks_in(&shares.share(ms(0), free_capacity(1), &waiting)),
        [1, 0]
    );
    assert_eq!(
        tasks_in(&shares.share(ms(10), free_capacity(1), &waiting)),
        [1, 0]
    );
    let wake = shares.next_wake().expect("the reservation expires");
    assert_eq!(
        tasks_in(&shares.share(wake, free_capacity(1), &waiting)),
        [0, 1]
    );
}

#[test]
fn test_share_used_reservation_leaves_nothing_until_capacity_returns() {
    let mut shares = CapacityShares::default();
    let waiting = demands(&[3, 3]);
    shares.share(ms(0), free_capacity(1), &waiting);
    shares.clear_reservation(1);
    assert_eq!(
        tasks_in(&shares.share(ms(1), free_capacity(0), &waiting)),
        [0, 0]
    );
    assert_eq!(shares.next_wake(), None);
    assert_eq!(
        tasks_in(&shares.share(ms(2), free_capacity(1), &waiting)),
        [0, 1]
    );
}

#[test]
fn test_share_is_proportional_to_waiting_tasks() {
    let mut shares = CapacityShares::default();
    let waiting = demands(&[10, 30]);
    let mut grants = [0, 0];
    for step in 0..40 {
        let found = tasks_in(&shares.share(ms(step), free_capacity(1), &waiting));
        let first = usize::from(found[0] == 0);
        grants[first] += 1;
        shares.clear_reservation(first as u64 + 1);
    }
    assert_eq!(grants, [10, 30]);
}

#[test]
fn test_share_lost_capacity_revokes_reservations() {
    let mut shares = CapacityShares::default();
    let waiting = demands(&[1, 1, 1]);
    let both = tasks_in(&shares.share(ms(0), free_capacity(2), &waiting));
    assert_eq!(both.iter().sum::<u64>(), 2);
    let one = tasks_in(&shares.share(ms(1), free_capacity(1), &waiting));
    assert_eq!(one.iter().sum::<u64>(), 1);
}

#[test]
fn test_share_entry_that_left_holds_no_reservation() {
    let mut shares = CapacityShares::default();
    shares.share(ms(0), free_capacity(1), &demands(&[5, 1, 1]));
    shares.remove(1);
    let waiting: Vec<Demand> = demands(&[5, 1, 1]).split_off(1);
    assert_eq!(
        tasks_in(&shares.share(ms(1), free_capacity(1), &waiting)),
        [1, 0]
    );
}

#[test]
fn test_limit_follows_answers_within_bounds() {
    let mut timeout = AdaptiveTimeout::new(ms(20), ms(100));
    assert_eq!(timeout.limit(), ms(100), "nothing is known yet");
    for _ in 0..50 {
        timeout.learn(ms(2));
    }
    assert_eq!(timeout.limit(), ms(20));
    for step in 0..50 {
        timeout.learn(ms(if step % 2 == 0 { 5 } else { 25 }));
    }
    let unsteady = timeout.limit();
    assert!(ms(40) < unsteady && unsteady < ms(100), "{unsteady:?}");
    for _ in 0..50 {
        timeout.learn(ms(400));
    }
    assert_eq!(timeout.limit(), ms(100));
}
