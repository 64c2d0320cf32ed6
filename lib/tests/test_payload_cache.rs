//! The agent's cache of payloads for later orders.

use std::sync::Arc;

use trestleknot_lib::payload_cache::PayloadCache;

#[test]
fn test_get_by_link_and_batch() {
    let mut cache = PayloadCache::default();
    cache.keep(1, 7, &Arc::from("first"));
    cache.keep(2, 7, &Arc::from("other link"));
    cache.keep(1, 7, &Arc::from("again"));
    assert_eq!(cache.get(1, 7).as_deref(), Some("again"));
    assert_eq!(cache.get(2, 7).as_deref(), Some("other link"));
    assert_eq!(cache.get(1, 8), None);
    cache.forget(1);
    assert_eq!(cache.get(1, 7), None);
    assert_eq!(cache.get(2, 7).as_deref(), Some("other link"));
}

#[test]
fn test_keep_evicts_the_least_recently_used() {
    let mut cache = PayloadCache::default();
    let payload = Arc::from("payload");
    for batch in 0..256 {
        cache.keep(1, batch, &payload);
    }
    assert!(cache.get(1, 0).is_some(), "this counts as a use");
    cache.keep(1, 256, &payload);
    assert!(cache.get(1, 0).is_some());
    assert_eq!(cache.get(1, 1), None);
}
