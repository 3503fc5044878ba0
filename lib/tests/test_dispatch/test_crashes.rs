//! Where requests go whose upstream has ended.

use std::collections::BTreeSet;

use cicadabend::{
    dispatch::{
        LoadReport,
        LoadTracker, //
    },
    prelude::*,
    registry::InstanceId, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    Choice,
    heads, //
};

const DAEMONS: usize = 9;
const HEADS: usize = 10;
const SLOTS: u32 = 26;
/// How many requests each daemon had at the upstream that ended.
const BROKEN_EACH: usize = 5;
const ROUNDS: usize = 200;

/// What each daemon knows by reports: nine heads that are nearly full, and one just formed.
fn loads(ids: &[InstanceId], random: &mut SmallRng) -> Vec<LoadTracker> {
    let mut running: Vec<u32> = ids.iter().map(|_| random.random_range(18..27)).collect();
    running[0] = 0;
    let daemon = |_| {
        let mut loads = LoadTracker::default();
        for (id, running) in ids.iter().zip(&running) {
            let report = LoadReport {
                running: *running,
                waiting: 0,
            };
            loads.observe_load_report(id, report, Timestamp(0));
        }
        loads
    };
    (0..DAEMONS).map(daemon).collect()
}

/// Returns the share of the requests that broke off under the guilty one and meet it again.
fn share_that_meets_again(is_isolated: bool) -> f64 {
    let ids = heads(HEADS);
    let mut choice = Choice {
        daemons: DAEMONS as u32,
        is_isolated,
        ..Choice::among(&ids, SLOTS)
    };
    let mut random = SmallRng::seed_from_u64(1);
    let (mut innocent, mut met) = (0, 0);
    for _ in 0..ROUNDS {
        let mut loads = loads(choice.ids, &mut random);
        let mut chosen = Vec::new();
        for (daemon_index, loads) in loads.iter_mut().enumerate() {
            choice.daemon_index = daemon_index as u32;
            for _ in 0..BROKEN_EACH {
                let drawn = random.random();
                let head = choice.make(loads, Timestamp(10), drawn).index;
                loads.record_start(&choice.ids[head], 700);
                loads.record_isolated(&choice.ids[head], Timestamp(10));
                chosen.push(head);
            }
        }
        let guilty = chosen[random.random_range(0..chosen.len())];
        let at_guilty = chosen.iter().filter(|head| **head == guilty).count();
        met += at_guilty - 1;
        innocent += chosen.len() - 1;
    }
    met as f64 / innocent as f64
}

#[test]
fn what_broke_off_under_one_request_does_not_meet_it_again() {
    // Callers whose requests did no harm fail, because they run beside one that ends whoever
    // runs it, and again beside it where both are repeated: all daemons sent what had broken off
    // to the head that was the cheapest then, one just formed. Evidence: of 45 requests that went on
    // from one head that ended, 32 went to one of seven others, which ended half a second later.
    let share = share_that_meets_again(true);

    // Of ten heads, one has the guilty one.
    assert!(share <= 0.15, "{share}");
    let by_the_cheapest = share_that_meets_again(false);
    assert!(
        by_the_cheapest > 2.0 * share,
        "{by_the_cheapest} and {share}"
    );
}

/// Guards against honest requests that fail twice beside one and the same guilty one, although
/// there are upstreams enough to keep all that broke off apart.
#[test]
fn what_broke_off_at_two_daemons_goes_to_an_upstream_each() {
    const HEADS_MANY: usize = 18;
    const BROKEN: usize = 3;
    let ids = heads(HEADS_MANY);
    for seed in 0..ROUNDS as u64 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut chosen = Vec::new();
        for daemon_index in 0..2 {
            let choice = Choice {
                daemons: 2,
                daemon_index,
                is_isolated: true,
                ..Choice::among(&ids, SLOTS)
            };
            let mut loads = LoadTracker::default();
            for _ in 0..BROKEN {
                let head = choice.make(&loads, Timestamp(10), random.random()).index;
                loads.record_isolated(&ids[head], Timestamp(10));
                chosen.push(head);
            }
        }

        let different: BTreeSet<usize> = chosen.iter().copied().collect();
        assert_eq!(different.len(), 2 * BROKEN, "seed {seed}: {chosen:?}");
    }
}

#[test]
fn a_request_that_keeps_apart_goes_to_no_head_that_is_full() {
    let ids = heads(2);
    let mut loads = LoadTracker::default();
    let full = LoadReport {
        running: SLOTS,
        waiting: 9,
    };
    loads.observe_load_report(&ids[0], full, Timestamp(0));
    let choice = Choice {
        daemons: 9,
        is_isolated: true,
        ..Choice::among(&ids, SLOTS)
    };

    for random in 0..20 {
        let chosen = choice.make(&loads, Timestamp(0), random);
        assert_eq!(chosen.index, 1);
    }
}
