//! The prefix cache and its events.

use cicadabend::prelude::*;
use fake_engine::cache::PrefixCache;

#[test]
fn the_least_recently_used_prefix_is_evicted() {
    let mut cache = PrefixCache::new(TokenCount(100));
    let now = Timestamp(0);
    cache.use_prefix(1, 40, now);
    cache.use_prefix(2, 40, now);
    cache.use_prefix(1, 40, now);

    let cached = cache.use_prefix(3, 40, now);

    assert_eq!(cached, 0);
    assert_eq!(cache.use_prefix(1, 40, now), 40);
    assert_eq!(cache.use_prefix(2, 40, now), 0);
    let events = cache.take_events(now, 0, 0);
    let evicted: Vec<_> = events.iter().filter(|e| !e.stored).collect();
    assert_eq!(evicted[0].prefix_hash, 2);
    assert_eq!(evicted[0].tokens, TokenCount(40));
}

#[test]
fn lost_events_show_as_gaps_and_late_ones_wait() {
    let mut cache = PrefixCache::new(TokenCount(1_000));
    for hash in 1..=4 {
        cache.use_prefix(hash, 10, Timestamp(hash * 100));
    }

    let early = cache.take_events(Timestamp(350), 100, 2);
    let late = cache.take_events(Timestamp(900), 100, 2);

    let sequences = |events: Vec<cicadabend::upstream_api::CacheEvent>| {
        events.iter().map(|e| e.sequence).collect::<Vec<_>>()
    };
    assert_eq!(sequences(early), [1]);
    assert_eq!(sequences(late), [3]);
}
