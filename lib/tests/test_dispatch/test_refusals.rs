//! Where requests go while an upstream refuses some of them at once.

use cicadabend::{
    dispatch::{
        LoadTracker,
        Outcome, //
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

const HEADS: usize = 4;
const SLOTS: u32 = 26;
/// The time from one request of all daemons together to the next.
const PAUSE_MS: u64 = 12;
/// How long a request takes where it runs.
const RUN_MS: u64 = 200;
/// How long daemons learn before arrivals are counted: under 20 refusals each.
const LEARN_MS: u64 = 10_000;
const COUNTED_MS: u64 = 30_000;
/// The least time after which a daemon asks an upstream again that refuses all.
const LEAST_PROBE_MS: f64 = 1_800.0;

/// A request on its way: at which daemon and head, and when it ends.
type Running = (u64, usize, usize);

/// Returns the share of all arrivals that the first of the heads gets, which refuses a part.
fn share_of_refusing(daemons: usize, refuses: f64) -> f64 {
    let ids = heads(HEADS);
    let choice = Choice {
        daemons: daemons as u32,
        ..Choice::among(&ids, SLOTS)
    };
    let mut random = SmallRng::seed_from_u64(1);
    let mut loads: Vec<LoadTracker> = (0..daemons).map(|_| LoadTracker::default()).collect();
    let mut running: Vec<Running> = Vec::new();
    let (mut all, mut at_refusing) = (0, 0);
    for now_ms in (0..LEARN_MS + COUNTED_MS).step_by(PAUSE_MS as usize) {
        let now = Timestamp(now_ms);
        let over: Vec<Running> = running.extract_if(.., |(end, ..)| *end <= now_ms).collect();
        for (_, daemon, head) in over {
            loads[daemon].record_end(&ids[head]);
        }
        let daemon = random.random_range(0..daemons);
        let loads = &mut loads[daemon];
        let drawn = random.random();
        let chosen = choice.make(loads, now, drawn).index;
        let counts = u32::from(now_ms >= LEARN_MS);
        all += counts;
        at_refusing += counts * u32::from(chosen == 0);
        if chosen == 0 && random.random_bool(refuses) {
            loads.record_outcome(&ids[0], Outcome::Refused, now);
            continue;
        }
        loads.record_start(&ids[chosen], 0);
        loads.record_outcome(&ids[chosen], Outcome::Answered, now);
        running.push((now_ms + RUN_MS, daemon, chosen));
    }
    f64::from(at_refusing) / f64::from(all)
}

/// Guards against an upstream that refuses at once, has nothing outstanding and draws requests.
#[rstest]
fn an_upstream_that_refuses_gets_no_more_than_the_share_that_it_takes(
    #[values(1, 9)] daemons: usize,
    #[values(1.0, 0.4)] refuses: f64,
) {
    let share = share_of_refusing(daemons, refuses);

    let taken = (1.0 - refuses) / HEADS as f64;
    let probes = daemons as f64 * PAUSE_MS as f64 / LEAST_PROBE_MS;
    let most = taken.max(probes);
    assert!(
        share <= most,
        "{share:.3} of all arrivals, allowed {most:.3}"
    );
}

#[test]
fn an_upstream_that_takes_requests_again_gets_its_share_within_two_seconds() {
    let ids = heads(HEADS);
    let choice = Choice::among(&ids, SLOTS);
    let mut loads = LoadTracker::default();
    for number in 0..40 {
        loads.record_outcome(&ids[0], Outcome::Refused, Timestamp(number));
    }

    let now = Timestamp(40 + 2_000);
    let chosen = (0..400).filter(|random| choice.make(&loads, now, *random).index == 0);

    assert!(chosen.count() >= 80);
}

/// Guards against upstreams that are left idle after a moment in which all of them were full.
#[test]
fn an_upstream_that_was_full_is_left_alone_for_a_moment_only() {
    let ids = heads(HEADS);
    let mut loads = LoadTracker::default();
    for number in 0..40 {
        loads.record_outcome(&ids[0], Outcome::Full, Timestamp(number));
    }

    assert!(loads.is_paused(&ids[0], Timestamp(41)));
    assert!(!loads.is_paused(&ids[0], Timestamp(40 + 120)));
}
