//! Forecasts of the wait for free capacity, and the retry delay that callers get.

use std::time::Duration;

use trestleknot_lib::ids::Now;
use trestleknot_lib::wait_forecast::{WINDOW, WaitForecast, retry_after};

const fn ms(millis: u64) -> Now {
    Duration::from_millis(millis)
}

/// A queue with a backlog for a whole window, in which a task was placed every 10 ms.
fn backlogged() -> (Now, WaitForecast) {
    let mut forecast = WaitForecast::default();
    let mut now = ms(1_000);
    for _ in 0..=WINDOW.as_millis() / 10 {
        now += ms(10);
        forecast.note_waiting(now, true);
        forecast.note_placed(now, 1);
    }
    forecast.note_waiting(now, true);
    (now, forecast)
}

#[test]
fn test_wait_for_short_queue_is_not_known() {
    let mut forecast = WaitForecast::default();
    forecast.note_waiting(ms(10), true);
    forecast.note_placed(ms(10), 4);
    assert_eq!(forecast.wait_for(ms(200), 8), None);
}

#[test]
fn test_wait_for_backlog_follows_the_placement_rate() {
    let (now, forecast) = backlogged();
    assert_eq!(forecast.wait_for(now, 5), Some(ms(50)));
    assert_eq!(forecast.wait_for(now, 50), Some(ms(500)));
}

#[test]
fn test_wait_for_returned_orders_do_not_count() {
    let (now, mut forecast) = backlogged();
    for _ in 0..5 {
        forecast.note_rejected();
    }
    // 20 of 25 tasks were placed.
    assert_eq!(forecast.wait_for(now, 8), Some(ms(100)));
}

#[test]
fn test_wait_for_emptied_queue_is_not_known_any_more() {
    let (now, mut forecast) = backlogged();
    forecast.note_waiting(now + ms(1), false);
    forecast.note_waiting(now + ms(2), true);
    assert_eq!(forecast.wait_for(now + ms(3), 8), None);
}

#[test]
fn test_wait_for_nothing_placed_is_long() {
    let (now, mut forecast) = backlogged();
    let later = now + WINDOW;
    forecast.note_waiting(later, true);
    assert_eq!(forecast.wait_for(later, 1), Some(ms(1_000)));
}

#[test]
fn test_retry_after_is_spread_and_bounded() {
    assert_eq!(retry_after(ms(400), 0.0), ms(400));
    assert_eq!(retry_after(ms(400), 1.0), ms(800));
    assert_eq!(retry_after(ms(1), 0.0), ms(100));
    assert_eq!(retry_after(ms(60_000), 0.5), ms(3_000));
}
