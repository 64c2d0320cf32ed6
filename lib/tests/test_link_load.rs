//! Backlog and price of sending on an entry's link.

use std::time::Duration;

use trestleknot_lib::link_load::LinkLoad;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A link that carries 1,000 bytes in 4 ms.
const RATE: Option<f64> = Some(250_000.0);

#[test]
fn test_backlog_grows_with_what_is_sent_and_drains() {
    let mut link = LinkLoad::new(RATE);
    assert_eq!(link.backlog(ms(10)), ms(0));
    link.sent(ms(10), 1_000);
    link.sent(ms(10), 1_000);
    assert_eq!(link.backlog(ms(10)), ms(8));
    assert_eq!(link.backlog(ms(15)), ms(3));
    assert_eq!(link.backlog(ms(30)), ms(0));
}

#[test]
fn test_price_rises_on_a_busy_link_and_is_bounded() {
    let mut link = LinkLoad::new(RATE);
    assert_eq!(link.price(ms(0), 1_000), ms(4));
    for step in 0..500 {
        // Half of the link's rate.
        link.sent(ms(8 * step), 1_000);
    }
    let busy = link.price(ms(4_000), 1_000);
    assert!(busy > ms(7) && busy < ms(9), "{busy:?}");
    for _ in 0..500 {
        link.sent(ms(4_000), 1_000);
    }
    assert_eq!(link.price(ms(4_000), 1_000), ms(40));
    let idle = link.price(ms(20_000), 1_000);
    assert!(idle < ms(5), "{idle:?}");
}

#[test]
fn test_price_without_a_rate_is_zero() {
    for rate in [None, Some(0.0)] {
        let mut link = LinkLoad::new(rate);
        link.sent(ms(1), 1_000_000);
        assert_eq!(link.price(ms(1), 1_000), ms(0), "{rate:?}");
        assert_eq!(link.backlog(ms(1)), ms(0), "{rate:?}");
    }
}
