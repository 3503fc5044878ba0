//! Use of the permits that a daemon holds.

use cicadabend::{
    dispatch::{
        LoadReport,
        LoadTracker, //
    },
    prelude::*,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use rstest::rstest;

use crate::{
    Choice,
    heads, //
};

const HEADS: usize = 27;
const SLOTS: u32 = 34;
const ROUNDS: usize = 1_000;
/// Number of requests that arrive at a daemon while a permit is valid.
const REQUESTS_PER_PERMIT: i32 = 3;

/// Returns the share of permits that are used while all heads have similar loads.
///
/// Without `is_preferred`, a head with a permit is chosen like all others.
fn used_share(daemons: u32, is_preferred: bool, seed: u64) -> f64 {
    let ids = heads(HEADS);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut chosen = 0;
    for _ in 0..ROUNDS {
        let mut loads = LoadTracker::default();
        for id in &ids {
            let running = random.random_range(4..20);
            loads.observe_load_report(
                id,
                LoadReport {
                    running,
                    waiting: 0,
                },
                Timestamp(0),
            );
        }
        let choice = Choice {
            daemons,
            permitted: is_preferred.then_some(0),
            ..Choice::among(&ids, SLOTS)
        };
        let made = choice.make(&loads, Timestamp(10), random.random());
        chosen += usize::from(made.index == 0);
    }
    let missed = 1.0 - chosen as f64 / ROUNDS as f64;
    1.0 - missed.powi(REQUESTS_PER_PERMIT)
}

#[rstest]
fn most_permits_are_used(#[values(9, 71)] daemons: u32, #[values(1, 2, 3, 4, 5)] seed: u64) {
    // Guards against an upstream that idles although it accepts requests and others have queues:
    // permits expire after 1.5 s, and without a preference few requests go to the upstream that
    // they are for.
    let used = used_share(daemons, true, seed);
    let used_like_others = used_share(daemons, false, seed);

    assert!(used >= 0.9, "{used}");
    assert!(used_like_others < 0.5, "{used_like_others}");
}

#[test]
fn a_permit_is_not_used_if_another_upstream_is_twice_as_fast() {
    let ids = heads(2);
    let mut loads = LoadTracker::default();
    let busy = LoadReport {
        running: SLOTS,
        waiting: 20,
    };
    loads.observe_load_report(&ids[0], busy, Timestamp(0));
    let choice = Choice {
        permitted: Some(0),
        ..Choice::among(&ids, SLOTS)
    };

    assert_eq!(choice.make(&loads, Timestamp(0), 7).index, 1);
}
