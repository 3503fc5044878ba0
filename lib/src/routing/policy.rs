//! The routing policies; each picks one of the candidates.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    ChoiceReason,
    Replica,
    estimate::Estimate,
    query::RouterSettings, //
};

/// A replica that may be chosen, with the estimates by which policies compare replicas.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub replica: &'a Replica,
    /// Estimated present load, the penalty for recent failures included.
    pub load: Estimate,
    /// Expected number of the prompt's tokens in the replica's prefix cache.
    pub cached_tokens: f64,
    /// Ratio of the replica's time between tokens to the median, at least 1.
    pub slowness: f64,
    /// Round-trip time to the replica's failure domain; zero within the home domain.
    pub round_trip: Duration,
}

/// Index of the chosen candidate, and the reason for the choice.
pub(super) type Pick = (usize, ChoiceReason);

/// Picks the candidates one after the other; `cursor` holds the next index between calls.
pub(super) fn round_robin(candidates: &[Candidate<'_>], cursor: &mut usize) -> Pick {
    let index = *cursor % candidates.len();
    *cursor = cursor.wrapping_add(1);
    (index, ChoiceReason::Turn)
}

/// Picks the candidate with the lowest utilization, and a random one among equals.
///
/// If ties always went to the first one, all daemons would choose the same replica.
pub(super) fn least_outstanding(candidates: &[Candidate<'_>], random: u64) -> Pick {
    let index = index_of_lowest(candidates, random, |candidate| candidate.load.utilization());
    (index, ChoiceReason::LeastLoaded)
}

/// Samples two different candidates and picks the less utilized one.
pub(super) fn power_of_two(candidates: &[Candidate<'_>], random: u64) -> Pick {
    let (first, second) = pick_two(candidates.len(), random);
    let is_second_better =
        candidates[second].load.utilization() < candidates[first].load.utilization();
    let index = if is_second_better { second } else { first };
    (index, ChoiceReason::LessLoadedOfTwo)
}

/// Picks the candidate with the longest cached prefix among those within the load bound.
///
/// The bound keeps a popular prefix from overloading one replica. If no holder of the prefix
/// is within the bound, or no holder is known, rendezvous hashing of the prefix picks among
/// the candidates within the bound. Daemons that do not know of each other's requests
/// thereby choose the same replica, which then caches the prefix.
pub(super) fn prefix_affinity(
    candidates: &[Candidate<'_>],
    prefix_hash: Option<u64>,
    settings: &RouterSettings,
    random: u64,
) -> Pick {
    let Some(prefix_hash) = prefix_hash else {
        return power_of_two(candidates, random);
    };
    let bound = max_outstanding(candidates, settings.prefix_load_bound);
    let is_within_bound =
        |candidate: &Candidate<'_>| (candidate.load.outstanding + 1.0) <= bound(candidate);
    let best_holder = index_of_highest(candidates, |c| c.cached_tokens, |c| c.cached_tokens > 0.0);
    let best_within = index_of_highest(
        candidates,
        |c| c.cached_tokens,
        |c| c.cached_tokens > 0.0 && is_within_bound(c),
    );
    if let Some(index) = best_within {
        return (index, ChoiceReason::CachedPrefix);
    }
    let by_hash = index_of_highest(candidates, |c| hash_score(c, prefix_hash), is_within_bound);
    match (best_holder, by_hash) {
        (None, Some(index)) => (index, ChoiceReason::PrefixHash),
        (Some(_), Some(index)) => (index, ChoiceReason::LoadBound),
        (_, None) => power_of_two(candidates, random),
    }
}

/// Returns a function that computes a candidate's largest allowed number of outstanding requests:
/// its slots times the mean utilization times `factor`.
fn max_outstanding(candidates: &[Candidate<'_>], factor: f64) -> impl Fn(&Candidate<'_>) -> f64 {
    let outstanding: f64 = candidates.iter().map(|c| c.load.outstanding).sum();
    let slots: f64 = candidates.iter().map(|c| c.load.slots).sum();
    let mean = (outstanding + 1.0) / slots.max(1.0);
    move |candidate| (factor * mean * candidate.load.slots).ceil()
}

/// Returns a pseudo-random score of a candidate for a prefix, the same in all daemons.
fn hash_score(candidate: &Candidate<'_>, prefix_hash: u64) -> f64 {
    let name = candidate.replica.id.to_string();
    xxh3_64_with_seed(name.as_bytes(), prefix_hash) as f64
}

/// Measured costs of a service's requests, for the expected-latency policy.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceCost {
    /// Mean time for which a request occupies a slot.
    pub service_us: f64,
    /// Prefill time per prompt token that is not cached.
    pub prefill_us_per_token: f64,
    /// Length of this request's prompt, zero if unknown.
    pub prompt_tokens: f64,
}

/// Picks the candidate with the lowest expected time to the first token: queueing, prefill and
/// network time.
pub(super) fn expected_latency(
    candidates: &[Candidate<'_>],
    cost: ServiceCost,
    random: u64,
) -> Pick {
    let index = index_of_lowest(candidates, random, |candidate| {
        expected_first_token_us(candidate, cost)
    });
    (index, ChoiceReason::LowestExpectedLatency)
}

/// Returns the expected time from sending a request to its first token.
fn expected_first_token_us(candidate: &Candidate<'_>, cost: ServiceCost) -> f64 {
    let load = candidate.load;
    let queued_ahead = (load.outstanding + 1.0 - load.slots).max(0.0);
    let queueing = queued_ahead * cost.service_us / load.slots;
    // The load is an estimate: a nearly full replica may have become full since its report.
    let lag_queueing = load.utilization().min(1.0).powi(4) * cost.service_us / load.slots;
    let uncached = (cost.prompt_tokens - candidate.cached_tokens).max(0.0);
    let prefill = uncached * cost.prefill_us_per_token;
    let network = candidate.round_trip.as_micros() as f64;
    (queueing + lag_queueing + prefill) * candidate.slowness + network
}

/// Returns two different indices below `count`, or the same one twice if `count` is 1.
fn pick_two(count: usize, random: u64) -> (usize, usize) {
    let first = (random as u32 as usize) % count;
    if count == 1 {
        return (first, first);
    }
    let step = 1 + ((random >> 32) as usize) % (count - 1);
    (first, (first + step) % count)
}

/// Returns the index of the lowest score, of a random one among equal scores.
///
/// The search starts at an index given by `random`.
fn index_of_lowest(
    candidates: &[Candidate<'_>],
    random: u64,
    score: impl Fn(&Candidate<'_>) -> f64,
) -> usize {
    let count = candidates.len();
    let start = (random as u32 as usize) % count;
    let mut best_index = start;
    let mut best_score = score(&candidates[start]);
    for offset in 1..count {
        let index = (start + offset) % count;
        let candidate_score = score(&candidates[index]);
        if candidate_score < best_score {
            best_index = index;
            best_score = candidate_score;
        }
    }
    best_index
}

/// Returns the index of the allowed candidate with the highest score.
fn index_of_highest(
    candidates: &[Candidate<'_>],
    score: impl Fn(&Candidate<'_>) -> f64,
    is_allowed: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_allowed(candidate))
        .max_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)))
        .map(|(index, _)| index)
}
