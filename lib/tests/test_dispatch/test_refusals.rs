//! Choice of upstreams while one of them refuses some requests at once.

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
/// Interval between requests of all daemons together.
const REQUEST_INTERVAL_MS: u64 = 12;
/// How long a request is executed.
const RUN_MS: u64 = 200;
/// How long daemons learn before requests are counted; each gets fewer than 20 refusals.
const LEARN_MS: u64 = 10_000;
const COUNTED_MS: u64 = 30_000;
/// The shortest interval at which a daemon tries an upstream that refuses all requests.
const MIN_PROBE_INTERVAL_MS: f64 = 1_800.0;

/// A request in progress: its end time in milliseconds, and the indices of its daemon and its head.
type Running = (u64, usize, usize);

/// Returns the share of all requests that are sent to the first head, which refuses a share of
/// `refused_share`.
fn share_of_refusing(daemons: usize, refused_share: f64) -> f64 {
    let ids = heads(HEADS);
    let choice = Choice {
        daemons: daemons as u32,
        ..Choice::among(&ids, SLOTS)
    };
    let mut random = SmallRng::seed_from_u64(1);
    let mut loads: Vec<LoadTracker> = (0..daemons).map(|_| LoadTracker::default()).collect();
    let mut running: Vec<Running> = Vec::new();
    let (mut all, mut at_refusing) = (0, 0);
    for now_ms in (0..LEARN_MS + COUNTED_MS).step_by(REQUEST_INTERVAL_MS as usize) {
        let now = Timestamp(now_ms);
        let over: Vec<Running> = running.extract_if(.., |(end, ..)| *end <= now_ms).collect();
        for (_, daemon, head) in over {
            loads[daemon].record_end(&ids[head]);
        }
        let daemon = random.random_range(0..daemons);
        let loads = &mut loads[daemon];
        let random_value = random.random();
        let chosen = choice.make(loads, now, random_value).index;
        let counts = u32::from(now_ms >= LEARN_MS);
        all += counts;
        at_refusing += counts * u32::from(chosen == 0);
        if chosen == 0 && random.random_bool(refused_share) {
            loads.record_outcome(&ids[0], Outcome::Refused, now);
            continue;
        }
        loads.record_start(&ids[chosen], 0);
        loads.record_outcome(&ids[chosen], Outcome::Answered, now);
        running.push((now_ms + RUN_MS, daemon, chosen));
    }
    f64::from(at_refusing) / f64::from(all)
}

/// Guards against an upstream that attracts requests because it refuses them at once and so has
/// none outstanding.
#[rstest]
fn an_upstream_that_refuses_gets_no_more_than_the_share_that_it_accepts(
    #[values(1, 9)] daemons: usize,
    #[values(1.0, 0.4)] refused_share: f64,
) {
    let share = share_of_refusing(daemons, refused_share);

    let taken = (1.0 - refused_share) / HEADS as f64;
    let probes = daemons as f64 * REQUEST_INTERVAL_MS as f64 / MIN_PROBE_INTERVAL_MS;
    let most = taken.max(probes);
    assert!(
        share <= most,
        "{share:.3} of all arrivals, allowed {most:.3}"
    );
}

#[test]
fn an_upstream_that_accepts_requests_again_gets_its_share_within_two_seconds() {
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

/// Guards against upstreams that are left idle after all of them were full for a moment.
#[test]
fn an_upstream_that_was_full_is_paused_only_briefly() {
    let ids = heads(HEADS);
    let mut loads = LoadTracker::default();
    for number in 0..40 {
        loads.record_outcome(&ids[0], Outcome::Full, Timestamp(number));
    }

    assert!(loads.is_paused(&ids[0], Timestamp(41)));
    assert!(!loads.is_paused(&ids[0], Timestamp(40 + 120)));
}
