//! Choice of the next upstream for requests whose upstream has crashed.

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
/// Number of requests that each daemon had at the crashed upstream.
const BROKEN_PER_DAEMON: usize = 5;
const ROUNDS: usize = 200;

/// Returns each daemon's state after load reports: nine heads are nearly full, one was just formed.
fn trackers_after_reports(ids: &[InstanceId], random: &mut SmallRng) -> Vec<LoadTracker> {
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

/// Returns the share of the broken innocent requests that are sent to the same head as the request
/// that caused the crash.
fn share_beside_guilty(is_isolated: bool) -> f64 {
    let ids = heads(HEADS);
    let mut choice = Choice {
        daemons: DAEMONS as u32,
        is_isolated,
        ..Choice::among(&ids, SLOTS)
    };
    let mut random = SmallRng::seed_from_u64(1);
    let (mut innocent, mut beside_guilty) = (0, 0);
    for _ in 0..ROUNDS {
        let mut loads = trackers_after_reports(choice.ids, &mut random);
        let mut chosen = Vec::new();
        for (daemon_index, loads) in loads.iter_mut().enumerate() {
            choice.daemon_index = daemon_index as u32;
            for _ in 0..BROKEN_PER_DAEMON {
                let random_value = random.random();
                let head = choice.make(loads, Timestamp(10), random_value).index;
                loads.record_start(&choice.ids[head], 700);
                loads.record_isolated(&choice.ids[head], Timestamp(10));
                chosen.push(head);
            }
        }
        let guilty = chosen[random.random_range(0..chosen.len())];
        let at_guilty = chosen.iter().filter(|head| **head == guilty).count();
        beside_guilty += at_guilty - 1;
        innocent += chosen.len() - 1;
    }
    beside_guilty as f64 / innocent as f64
}

#[test]
fn requests_of_a_crashed_head_do_not_run_beside_the_guilty_one_again() {
    // Guards against harmless requests that fail because they run beside one that crashes its
    // upstream, and are retried beside it again: all daemons sent the broken requests to the
    // cheapest head, which had just been formed. Of 45 requests from one crashed head, 32 went to
    // one of seven others, which crashed half a second later.
    let share = share_beside_guilty(true);

    // One of the ten heads gets the guilty request.
    assert!(share <= 0.15, "{share}");
    let share_if_cheapest = share_beside_guilty(false);
    assert!(
        share_if_cheapest > 2.0 * share,
        "{share_if_cheapest} and {share}"
    );
}

/// Guards against harmless requests that fail twice beside the same guilty one, although there are
/// enough upstreams to give each broken request its own.
#[test]
fn broken_requests_of_two_daemons_each_get_their_own_upstream() {
    const MANY_HEADS: usize = 18;
    const BROKEN: usize = 3;
    let ids = heads(MANY_HEADS);
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
fn an_isolated_request_does_not_go_to_a_full_head() {
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
