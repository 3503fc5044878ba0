//! Choice of the upstream for a request: the one with the lowest expected time to the first event
//! or, if many daemons choose, a random one weighted by its free capacity.

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    prelude::*,
    registry::InstanceId,
    routes::{
        ModelTraits,
        Timing, //
    },
};

use super::load_tracker::LoadTracker;

/// An engine counts as full with this many requests per slot.
///
/// Other daemons' requests are seen late, so the limit is a little above the number of slots.
const FULL_FACTOR: f64 = 1.1;
/// Assumed time of a request, in milliseconds, if the service has no baseline yet. The value only
/// serves to compare the service's upstreams with each other.
const DEFAULT_REQUEST_MS: f64 = 20.0;
/// Added to the cost of a suspect upstream, in milliseconds.
const SUSPECT_PENALTY_MS: f64 = 4_000.0;
/// Added to the cost of a paused upstream, in milliseconds.
const PAUSED_PENALTY_MS: f64 = 20_000.0;
/// Up to this many daemons choose the cheapest upstream; more of them choose by free capacity.
const MAX_DAEMONS_BY_COST: u32 = 9;
/// Estimated number of requests that other daemons send before this daemon sees them, as a share of
/// the requests that it knows of.
const UNSEEN_SHARE: f64 = 1.5;
/// An upstream for which there is a permit is chosen unless its cost is more than this many times
/// the lowest cost.
const PERMIT_COST_FACTOR: f64 = 2.0;
/// Upstreams whose costs exceed the lowest one by less than this share are chosen from at random,
/// so that daemons that see the same loads do not all choose the same upstream.
const COST_TOLERANCE: f64 = 0.08;

/// An upstream that could take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream instance.
    pub id: &'a InstanceId,
    /// The failure domain of the upstream.
    pub failure_domain: &'a FailureDomain,
    /// Number of requests that the upstream executes concurrently.
    pub slots: u32,
    /// The model of the upstream's group, if the upstream is the head of one.
    pub model: Option<&'a ModelTraits>,
    /// Whether the upstream's group may be incomplete.
    pub is_suspect: bool,
    /// Whether the upstream names a rate and this daemon has a permit to send it a request.
    pub uses_permit: bool,
}

/// The properties of a request by which its upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct RequestNeeds<'a> {
    /// The failure domain of the daemon that accepted the request.
    pub home: &'a FailureDomain,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Parameters of the engines' speed; `None` if the service has no engines.
    pub timing: Option<&'a Timing>,
    /// Median time of similar answers in milliseconds, if there is a baseline.
    pub typical_ms: Option<f64>,
    /// Number of daemons that choose among the same upstreams.
    pub daemons: u32,
    /// Index of this daemon among them, from 0, in the order of their names.
    pub daemon_index: u32,
    /// Whether the request is isolated: it may have met or caused a crash, since an upstream broke
    /// it off, a connect failed, or crashes with its fingerprint are known. It must not meet other
    /// such requests at one upstream.
    pub is_isolated: bool,
}

/// The chosen upstream and its expected time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Chosen {
    /// Index of the upstream among the candidates.
    pub index: usize,
    /// Expected time to the first event, in milliseconds, without penalties.
    pub expected_ms: f64,
    /// Estimated number of requests at the upstream.
    pub outstanding: f64,
    /// Whether the upstream has no free slots, so that the request would wait in its queue.
    pub is_full: bool,
    /// Recent ratio of the upstream's measured times to the expected ones.
    pub slowness: f64,
}

/// Chooses an upstream for a request; `random` picks among candidates that are about equally good.
pub fn choose(
    candidates: &[Candidate<'_>],
    needs: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
    random: u64,
) -> Option<Chosen> {
    let preselected = match needs.daemons > MAX_DAEMONS_BY_COST {
        _ if needs.is_isolated => pick_isolated(candidates, needs, loads, now, random),
        _ if let Some(index) = cheapest_with_permit(candidates, needs, loads, now) => Some(index),
        true => pick_by_free_capacity(candidates, loads, now, random),
        false => None,
    };
    let index = match preselected {
        Some(index) => index,
        None => pick_cheapest(candidates, needs, loads, now, random)?,
    };
    let chosen = &candidates[index];
    let outstanding = loads.outstanding(chosen.id, now);
    let capacity = f64::from(chosen.slots) * FULL_FACTOR;
    Some(Chosen {
        is_full: needs.timing.is_some() && outstanding >= capacity,
        index,
        expected_ms: expected_ms(chosen, needs, loads, now),
        outstanding,
        slowness: loads.slowness(chosen.id, now),
    })
}

/// Picks one of the candidates whose costs are close to the lowest one.
fn pick_cheapest(
    candidates: &[Candidate<'_>],
    needs: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
    random: u64,
) -> Option<usize> {
    let cost = |candidate: &Candidate<'_>| {
        expected_ms(candidate, needs, loads, now) + penalty_ms(candidate, loads, now)
    };
    let costs: Vec<f64> = candidates.iter().map(cost).collect();
    let best = costs.iter().copied().reduce(f64::min)?;
    let limit = best * (1.0 + COST_TOLERANCE) + 1.0;
    let near: Vec<usize> = (0..costs.len())
        .filter(|index| costs[*index] <= limit)
        .collect();
    let picked = random.checked_rem(near.len() as u64)?;
    near.get(usize::try_from(picked).ok()?).copied()
}

/// Picks one of the healthy candidates with free slots for an isolated request, or returns `None`
/// if there is none.
///
/// When an upstream crashes, all daemons send its requests elsewhere at the same time. If all chose
/// the cheapest upstream, the request that caused the crash would crash that one too, and could not
/// be told from the others. Each daemon therefore prefers the upstreams assigned to it that got no
/// isolated request recently, then other upstreams that got none, then the rest.
fn pick_isolated(
    candidates: &[Candidate<'_>],
    needs: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
    random: u64,
) -> Option<usize> {
    let has_free_slots = |candidate: &Candidate<'_>| {
        let capacity = f64::from(candidate.slots) * FULL_FACTOR;
        is_healthy(candidate, loads, now) && loads.outstanding(candidate.id, now) < capacity
    };
    let preference = |index: usize| {
        let candidate = &candidates[index];
        let got_none_recently = !loads.has_recent_isolated(candidate.id, now);
        match got_none_recently {
            true if is_assigned_to_this_daemon(candidate, needs) => 0,
            true => 1,
            false => 2,
        }
    };
    let with_free_slots = (0..candidates.len()).filter(|index| has_free_slots(&candidates[*index]));
    let with_free_slots: Vec<(usize, u8)> = with_free_slots
        .map(|index| (index, preference(index)))
        .collect();
    let best = with_free_slots
        .iter()
        .map(|(_, preference)| *preference)
        .min()?;
    let preferred = with_free_slots
        .iter()
        .filter(|(_, preference)| *preference == best);
    let preferred: Vec<usize> = preferred.map(|(index, _)| *index).collect();
    let picked = random.checked_rem(preferred.len() as u64)?;
    preferred.get(usize::try_from(picked).ok()?).copied()
}

/// Returns whether an upstream is assigned to this daemon for isolated requests.
///
/// Daemons that know of the same daemons agree on the assignment without exchanging messages.
fn is_assigned_to_this_daemon(candidate: &Candidate<'_>, needs: &RequestNeeds<'_>) -> bool {
    let number = xxh3_64(candidate.id.name().as_bytes());
    number % u64::from(needs.daemons.max(1)) == u64::from(needs.daemon_index)
}

/// Returns the cheapest candidate for which there is a permit, unless another is much cheaper.
///
/// A permit expires soon, and no other daemon can use it. If upstreams that name a rate were chosen
/// like all others, most permits would expire unused, and these upstreams would idle while others
/// have queues.
fn cheapest_with_permit(
    candidates: &[Candidate<'_>],
    needs: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
) -> Option<usize> {
    let cost = |index: &usize| expected_ms(&candidates[*index], needs, loads, now);
    let is_usable = |index: &usize| {
        let candidate = &candidates[*index];
        candidate.uses_permit && is_healthy(candidate, loads, now)
    };
    let permitted = (0..candidates.len()).filter(is_usable);
    let best = permitted.min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
    let cheapest = (0..candidates.len()).map(|index| cost(&index));
    let cheapest = cheapest.reduce(f64::min)?;
    (cost(&best) <= cheapest * PERMIT_COST_FACTOR).then_some(best)
}

/// Returns whether a candidate is neither suspect nor paused.
fn is_healthy(candidate: &Candidate<'_>, loads: &LoadTracker, now: Timestamp) -> bool {
    !candidate.is_suspect && !loads.is_paused(candidate.id, now)
}

/// Picks a healthy candidate at random, weighted by its free capacity; `None` if there is none.
///
/// If many daemons choose, each seldom has a request at any one upstream, so its knowledge of other
/// daemons' requests there is out of date. The cheapest upstream would then often be the one with
/// the oldest data, and some heads would get many times the requests of others.
fn pick_by_free_capacity(
    candidates: &[Candidate<'_>],
    loads: &LoadTracker,
    now: Timestamp,
    random: u64,
) -> Option<usize> {
    let healthy: Vec<usize> = (0..candidates.len())
        .filter(|index| is_healthy(&candidates[*index], loads, now))
        .collect();
    let ids = healthy.iter().map(|index| candidates[*index].id);
    let outstanding: Vec<f64> = ids.clone().map(|id| loads.outstanding(id, now)).collect();
    let free = free_capacity_below_level(&outstanding).into_iter().zip(ids);
    // On a slow upstream, slots become free later.
    let weights: Vec<f64> = free
        .map(|(free, id)| free / loads.slowness(id, now).max(1.0))
        .collect();
    let random = SmallRng::seed_from_u64(random).random();
    pick_weighted(&weights, random).map(|picked| healthy[picked])
}

/// Returns each upstream's free capacity, in requests, below a common level.
///
/// The level is the one that the least loaded upstreams reach if the requests that other daemons
/// send in the meantime fill them up evenly.
fn free_capacity_below_level(outstanding: &[f64]) -> Vec<f64> {
    let unseen = outstanding.iter().sum::<f64>() * UNSEEN_SHARE + 1.0;
    let mut lowest = outstanding.to_vec();
    lowest.sort_by(f64::total_cmp);
    let mut level = 0.0;
    let mut below = 0.0;
    for (number, load) in lowest.iter().enumerate() {
        // Upstreams above the level get nothing and do not raise it.
        if number > 0 && *load >= level {
            break;
        }
        below += load;
        level = (below + unseen) / (number as f64 + 1.0);
    }
    outstanding
        .iter()
        .map(|load| (level - load).max(0.0))
        .collect()
}

/// Picks an index with a probability in proportion to its weight; `None` if all weights are zero.
fn pick_weighted(weights: &[f64], random: f64) -> Option<usize> {
    let mut left = weights.iter().sum::<f64>() * random;
    let heavy = weights
        .iter()
        .enumerate()
        .filter(|(_, weight)| **weight > 0.0);
    let mut last = None;
    for (index, weight) in heavy {
        last = Some(index);
        left -= weight;
        if left <= 0.0 {
            break;
        }
    }
    last
}

/// Returns what is added to a candidate's cost if it is paused or suspect, in milliseconds.
fn penalty_ms(candidate: &Candidate<'_>, loads: &LoadTracker, now: Timestamp) -> f64 {
    let mut penalty = 0.0;
    if loads.is_paused(candidate.id, now) {
        penalty += PAUSED_PENALTY_MS;
    }
    if candidate.is_suspect {
        penalty += SUSPECT_PENALTY_MS;
    }
    penalty
}

/// Returns the expected time to the request's first event at a candidate, in milliseconds.
fn expected_ms(
    candidate: &Candidate<'_>,
    needs: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
) -> f64 {
    let outstanding = loads.outstanding(candidate.id, now);
    let slots = f64::from(candidate.slots.max(1));
    let slowness = loads.slowness(candidate.id, now);
    let Some(timing) = needs.timing else {
        let rounds = (outstanding + 1.0) / slots;
        let typical_ms = needs.typical_ms.unwrap_or(DEFAULT_REQUEST_MS);
        return typical_ms * rounds.max(0.3) * slowness;
    };
    let delay = 2.0 * timing.delay_ms(needs.home, candidate.failure_domain);
    let pace = candidate.model.map_or(1.0, |model| model.pace);
    let unread = loads.unread_tokens(candidate.id) as f64;
    // Some of the other daemons' prompts are still to be read, too.
    let own = f64::from(loads.in_flight(candidate.id));
    let others = (outstanding - own).max(0.0);
    let read_ms = timing.read_ms(timing.usual_prompt_tokens);
    let context = timing.usual_prompt_tokens + timing.usual_answer_tokens / 2.0;
    let step = timing.step_beside_ms(outstanding.min(slots), context);
    let answer_ms = timing.usual_answer_tokens * step;
    let unread_share = read_ms / (read_ms + answer_ms).max(1.0);
    let reading = timing.read_ms(needs.prompt_tokens as f64)
        + unread / timing.read_tokens_per_s.max(1.0) * 1_000.0
        + others * unread_share * read_ms;
    // While the engine generates tokens, a pass takes several steps before the next prompt is read.
    let passes = f64::from(timing.steps_per_pass.max(1)) * step;
    let waiting = (outstanding + 1.0 - slots).max(0.0) * answer_ms / slots;
    delay + slowness * pace * (reading + passes + waiting)
}
