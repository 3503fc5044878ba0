//! The routing policies; each picks one of the candidates.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    ChoiceReason,
    Replica,
    estimate::Estimate,
    query::RouterSettings, //
};

/// A replica that may be chosen, with what is believed of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub replica: &'a Replica,
    pub load: Estimate,
    pub cached_tokens: f64,
    pub slowness: f64,
    pub round_trip: Duration,
}

/// The chosen candidate's index and what tipped the balance.
pub(super) type Pick = (usize, ChoiceReason);

/// Gives each candidate its turn.
pub(super) fn round_robin(candidates: &[Candidate<'_>], turn: &mut usize) -> Pick {
    let index = *turn % candidates.len();
    *turn = turn.wrapping_add(1);
    (index, ChoiceReason::Turn)
}

/// Picks the lowest utilization; ties fall to a random one.
///
/// Always taking the first of equals would send all daemons to the same replica.
pub(super) fn least_outstanding(candidates: &[Candidate<'_>], random: u64) -> Pick {
    let index = lowest(candidates, random, |candidate| candidate.load.utilization());
    (index, ChoiceReason::LeastLoaded)
}

/// Draws two different candidates and picks the less loaded one.
pub(super) fn power_of_two(candidates: &[Candidate<'_>], random: u64) -> Pick {
    let (first, second) = two_of(candidates.len(), random);
    let is_second_better =
        candidates[second].load.utilization() < candidates[first].load.utilization();
    let index = if is_second_better { second } else { first };
    (index, ChoiceReason::LessLoadedOfTwo)
}

/// Picks the candidate with the longest prefix whose load is within the bound.
///
/// The bound keeps a popular prefix from melting one replica: beyond it the next
/// best holder is taken, which then holds the prefix too. A prefix that nobody is
/// known to hold goes where its hash points, so that daemons that have not heard of
/// each other's requests agree on a place.
pub(super) fn prefix_affinity(
    candidates: &[Candidate<'_>],
    prefix_hash: Option<u64>,
    settings: &RouterSettings,
    random: u64,
) -> Pick {
    let Some(prefix_hash) = prefix_hash else {
        return power_of_two(candidates, random);
    };
    let bound = load_bound(candidates, settings.prefix_load_bound);
    let is_within =
        |candidate: &Candidate<'_>| (candidate.load.outstanding + 1.0) <= bound(candidate);
    let best_holder = best(candidates, |c| c.cached_tokens, |c| c.cached_tokens > 0.0);
    let best_within = best(
        candidates,
        |c| c.cached_tokens,
        |c| c.cached_tokens > 0.0 && is_within(c),
    );
    if let Some(index) = best_within {
        return (index, ChoiceReason::CachedPrefix);
    }
    let by_hash = best(candidates, |c| hash_rank(c, prefix_hash), is_within);
    match (best_holder, by_hash) {
        (None, Some(index)) => (index, ChoiceReason::PrefixHash),
        (Some(_), Some(index)) => (index, ChoiceReason::LoadBound),
        (_, None) => power_of_two(candidates, random),
    }
}

/// Returns the most requests each candidate may have: the mean utilization times the factor.
fn load_bound(candidates: &[Candidate<'_>], factor: f64) -> impl Fn(&Candidate<'_>) -> f64 {
    let outstanding: f64 = candidates.iter().map(|c| c.load.outstanding).sum();
    let slots: f64 = candidates.iter().map(|c| c.load.slots).sum();
    let mean = (outstanding + 1.0) / slots.max(1.0);
    move |candidate| (factor * mean * candidate.load.slots).ceil()
}

fn hash_rank(candidate: &Candidate<'_>, prefix_hash: u64) -> f64 {
    let name = candidate.replica.id.to_string();
    xxh3_64_with_seed(name.as_bytes(), prefix_hash) as f64
}

/// What the scoring policy knows of the service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceCost {
    /// How long a request occupies a slot.
    pub service_us: f64,
    /// What a token of an uncached prompt costs.
    pub prefill_us_per_token: f64,
    /// Length of the prompt.
    pub prompt_tokens: f64,
}

/// Picks the lowest sum of expected queueing, prefill and network time.
pub(super) fn expected_latency(
    candidates: &[Candidate<'_>],
    cost: ServiceCost,
    random: u64,
) -> Pick {
    let index = lowest(candidates, random, |candidate| {
        expected_first_token_us(candidate, cost)
    });
    (index, ChoiceReason::LowestExpectedLatency)
}

/// Returns the expected time from sending a request to its first token.
fn expected_first_token_us(candidate: &Candidate<'_>, cost: ServiceCost) -> f64 {
    let load = candidate.load;
    let queued_ahead = (load.outstanding + 1.0 - load.slots).max(0.0);
    let queueing = queued_ahead * cost.service_us / load.slots;
    // The load is an estimate: a nearly full replica may have filled since its report.
    let may_have_filled = load.utilization().min(1.0).powi(4) * cost.service_us / load.slots;
    let uncached = (cost.prompt_tokens - candidate.cached_tokens).max(0.0);
    let prefill = uncached * cost.prefill_us_per_token;
    let network = candidate.round_trip.as_micros() as f64;
    (queueing + may_have_filled + prefill) * candidate.slowness + network
}

fn two_of(count: usize, random: u64) -> (usize, usize) {
    let first = (random as u32 as usize) % count;
    if count == 1 {
        return (first, first);
    }
    let step = 1 + ((random >> 32) as usize) % (count - 1);
    (first, (first + step) % count)
}

/// Returns the index of the lowest score; the search starts at a random place.
fn lowest(
    candidates: &[Candidate<'_>],
    random: u64,
    score: impl Fn(&Candidate<'_>) -> f64,
) -> usize {
    let count = candidates.len();
    let start = (random as u32 as usize) % count;
    let mut best = start;
    let mut best_score = score(&candidates[start]);
    for offset in 1..count {
        let index = (start + offset) % count;
        let candidate_score = score(&candidates[index]);
        if candidate_score < best_score {
            best = index;
            best_score = candidate_score;
        }
    }
    best
}

fn best(
    candidates: &[Candidate<'_>],
    rank: impl Fn(&Candidate<'_>) -> f64,
    is_allowed: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_allowed(candidate))
        .max_by(|(_, a), (_, b)| rank(a).total_cmp(&rank(b)))
        .map(|(index, _)| index)
}
