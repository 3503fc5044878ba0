//! Which upstream a request goes to: the one that is expected to give its first event soonest
//! or, where many daemons choose, one drawn by the room that is left.

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

/// An engine is full with so many requests for each of its slots.
///
/// Others' requests are seen late, so a little more than the slots is let through.
const FULL_FACTOR: f64 = 1.1;
/// What a request of a service of which nothing is learnt counts for, in milliseconds; it only
/// compares the service's upstreams.
const UNLEARNT_MS: f64 = 20.0;
/// A suspect is used only if it is better by this, in milliseconds.
const SUSPECT_MS: f64 = 4_000.0;
/// What an upstream that is left alone is worse by, in milliseconds.
const PAUSED_MS: f64 = 20_000.0;
/// So few daemons each send to the cheapest upstream.
const FEW_DAEMONS: u32 = 9;
/// What other daemons send before this one sees it, as a share of the requests that it knows.
const COMING_SHARE: f64 = 1.5;
/// An upstream that there is a permit for is used unless another is this many times as fast.
const PERMIT_WORTH_FACTOR: f64 = 2.0;
/// Differences below this share are decided at random, so that daemons which see the
/// same loads do not all choose the same upstream.
const NEAR_SHARE: f64 = 0.08;

/// An upstream that could take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Which run.
    pub id: &'a InstanceId,
    /// Where it is.
    pub failure_domain: &'a FailureDomain,
    /// How many requests it runs side by side.
    pub slots: u32,
    /// The model of its group, if it is the head of one.
    pub model: Option<&'a ModelTraits>,
    /// Whether there is doubt that it is whole.
    pub is_suspect: bool,
    /// Whether it names a rate of requests, and there is a permit to send it one.
    pub uses_permit: bool,
}

/// What the request needs.
#[derive(Clone, Copy, Debug)]
pub struct RequestNeeds<'a> {
    /// Where it was taken in.
    pub home: &'a FailureDomain,
    /// The tokens of its prompt.
    pub prompt_tokens: u64,
    /// How long engines' work takes, if engines run it.
    pub timing: Option<&'a Timing>,
    /// What half of the answers of its kind take at most, in milliseconds, if that was learnt.
    pub typical_ms: Option<f64>,
    /// How many daemons choose among the same upstreams.
    pub daemons: u32,
    /// Where this daemon stands among them by name, from zero on.
    pub daemon_index: u32,
    /// Whether it was at an upstream that ended, so that it must not meet the others again.
    pub is_isolated: bool,
}

/// The choice and what it is expected to take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Chosen {
    /// Its index among the candidates.
    pub index: usize,
    /// The expected time to the first event, in milliseconds, without any penalty.
    pub expected_ms: f64,
    /// The requests believed to be there.
    pub outstanding: f64,
    /// Whether it has no room, so that the request would wait behind others.
    pub is_full: bool,
    /// How much slower than usual it has been lately.
    pub slowness: f64,
}

/// Returns the best candidate; `random` decides between those that are nearly as good.
pub fn choose(
    candidates: &[Candidate<'_>],
    wanted: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
    random: u64,
) -> Option<Chosen> {
    let by_room = match wanted.daemons > FEW_DAEMONS {
        _ if wanted.is_isolated => draw_apart(candidates, wanted, loads, now, random),
        _ if let Some(index) = with_permit(candidates, wanted, loads, now) => Some(index),
        true => draw_by_room(candidates, loads, now, random),
        false => None,
    };
    let index = match by_room {
        Some(index) => index,
        None => draw_cheapest(candidates, wanted, loads, now, random)?,
    };
    let chosen = &candidates[index];
    let outstanding = loads.outstanding(chosen.id, now);
    let room = f64::from(chosen.slots) * FULL_FACTOR;
    Some(Chosen {
        is_full: wanted.timing.is_some() && outstanding >= room,
        index,
        expected_ms: expected_ms(chosen, wanted, loads, now),
        outstanding,
        slowness: loads.slowness(chosen.id, now),
    })
}

/// Draws one of those that are nearly as cheap as the cheapest.
fn draw_cheapest(
    candidates: &[Candidate<'_>],
    wanted: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
    random: u64,
) -> Option<usize> {
    let cost = |candidate: &Candidate<'_>| {
        expected_ms(candidate, wanted, loads, now) + penalty_ms(candidate, loads, now)
    };
    let costs: Vec<f64> = candidates.iter().map(cost).collect();
    let best = costs.iter().copied().reduce(f64::min)?;
    let limit = best * (1.0 + NEAR_SHARE) + 1.0;
    let near: Vec<usize> = (0..costs.len())
        .filter(|index| costs[*index] <= limit)
        .collect();
    let drawn = random.checked_rem(near.len() as u64)?;
    near.get(usize::try_from(drawn).ok()?).copied()
}

/// Draws one of the sound candidates that have room, those first that got no such request lately;
/// none if all are full or unsound.
///
/// When an upstream ends, all daemons send what it had elsewhere at the same moment. By the
/// cheapest they agree on one upstream, which the request that ended the first ends too, and
/// nothing tells it from the rest. So each daemon has upstreams of its own for them, and takes one
/// after the other. Only where those do not suffice are the others drawn from, evenly.
fn draw_apart(
    candidates: &[Candidate<'_>],
    wanted: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
    random: u64,
) -> Option<usize> {
    let has_room = |candidate: &Candidate<'_>| {
        let room = f64::from(candidate.slots) * FULL_FACTOR;
        is_sound(candidate, loads, now) && loads.outstanding(candidate.id, now) < room
    };
    let preference = |index: usize| {
        let candidate = &candidates[index];
        let is_alone = !loads.has_kept_apart(candidate.id, now);
        match is_alone {
            true if is_own(candidate, wanted) => 0,
            true => 1,
            false => 2,
        }
    };
    let with_room = (0..candidates.len()).filter(|index| has_room(&candidates[*index]));
    let with_room: Vec<(usize, u8)> = with_room.map(|index| (index, preference(index))).collect();
    let best = with_room.iter().map(|(_, preference)| *preference).min()?;
    let preferred = with_room
        .iter()
        .filter(|(_, preference)| *preference == best);
    let preferred: Vec<usize> = preferred.map(|(index, _)| *index).collect();
    let drawn = random.checked_rem(preferred.len() as u64)?;
    preferred.get(usize::try_from(drawn).ok()?).copied()
}

/// Returns whether an upstream is this daemon's own for requests that are to meet no others.
///
/// Daemons agree on that without a word, as far as they know of the same daemons.
fn is_own(candidate: &Candidate<'_>, wanted: &RequestNeeds<'_>) -> bool {
    let number = xxh3_64(candidate.id.name().as_bytes());
    number % u64::from(wanted.daemons.max(1)) == u64::from(wanted.daemon_index)
}

/// Returns the best of the candidates that there are permits for, unless others are much better.
///
/// A permit lasts for a moment and nobody else has it. If such upstreams were chosen like all
/// others, most permits would end unused, and an upstream in need would idle while others queue.
fn with_permit(
    candidates: &[Candidate<'_>],
    wanted: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
) -> Option<usize> {
    let cost = |index: &usize| expected_ms(&candidates[*index], wanted, loads, now);
    let is_usable = |index: &usize| {
        let candidate = &candidates[*index];
        candidate.uses_permit && is_sound(candidate, loads, now)
    };
    let permitted = (0..candidates.len()).filter(is_usable);
    let best = permitted.min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
    let cheapest = (0..candidates.len()).map(|index| cost(&index));
    let cheapest = cheapest.reduce(f64::min)?;
    (cost(&best) <= cheapest * PERMIT_WORTH_FACTOR).then_some(best)
}

fn is_sound(candidate: &Candidate<'_>, loads: &LoadTracker, now: Timestamp) -> bool {
    !candidate.is_suspect && !loads.is_paused(candidate.id, now)
}

/// Draws one of the sound candidates by the room that it has; none if there is no sound one.
///
/// Where many daemons choose, each seldom has a request at one and the same upstream, so what
/// it knows of the others' requests there is out of date. Whoever goes by the cheapest then sends
/// to what it knows least of, and some heads get many times the requests of others.
fn draw_by_room(
    candidates: &[Candidate<'_>],
    loads: &LoadTracker,
    now: Timestamp,
    random: u64,
) -> Option<usize> {
    let sound: Vec<usize> = (0..candidates.len())
        .filter(|index| is_sound(&candidates[*index], loads, now))
        .collect();
    let ids = sound.iter().map(|index| candidates[*index].id);
    let taken: Vec<f64> = ids.clone().map(|id| loads.outstanding(id, now)).collect();
    let room = room_below_level(&taken).into_iter().zip(ids);
    // A slow one gives its room back later.
    let weights: Vec<f64> = room
        .map(|(room, id)| room / loads.slowness(id, now).max(1.0))
        .collect();
    let random = SmallRng::seed_from_u64(random).random();
    draw(&weights, random).map(|drawn| sound[drawn])
}

/// Returns how much room each upstream has below the level to which what other daemons send
/// meanwhile fills the emptiest.
fn room_below_level(taken: &[f64]) -> Vec<f64> {
    let coming = taken.iter().sum::<f64>() * COMING_SHARE + 1.0;
    let mut lowest = taken.to_vec();
    lowest.sort_by(f64::total_cmp);
    let mut level = 0.0;
    let mut below = 0.0;
    for (number, load) in lowest.iter().enumerate() {
        // Upstreams above the level get nothing and do not raise it.
        if number > 0 && *load >= level {
            break;
        }
        below += load;
        level = (below + coming) / (number as f64 + 1.0);
    }
    taken.iter().map(|load| (level - load).max(0.0)).collect()
}

/// Draws an index with a chance in proportion to its weight; none if all weigh nothing.
fn draw(weights: &[f64], random: f64) -> Option<usize> {
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

fn penalty_ms(candidate: &Candidate<'_>, loads: &LoadTracker, now: Timestamp) -> f64 {
    let mut penalty = 0.0;
    if loads.is_paused(candidate.id, now) {
        penalty += PAUSED_MS;
    }
    if candidate.is_suspect {
        penalty += SUSPECT_MS;
    }
    penalty
}

fn expected_ms(
    candidate: &Candidate<'_>,
    wanted: &RequestNeeds<'_>,
    loads: &LoadTracker,
    now: Timestamp,
) -> f64 {
    let outstanding = loads.outstanding(candidate.id, now);
    let slots = f64::from(candidate.slots.max(1));
    let slowness = loads.slowness(candidate.id, now);
    let Some(timing) = wanted.timing else {
        let rounds = (outstanding + 1.0) / slots;
        let typical_ms = wanted.typical_ms.unwrap_or(UNLEARNT_MS);
        return typical_ms * rounds.max(0.3) * slowness;
    };
    let delay = 2.0 * timing.delay_ms(wanted.home, candidate.failure_domain);
    let pace = candidate.model.map_or(1.0, |model| model.pace);
    let unread = loads.unread_tokens(candidate.id) as f64;
    // Of what others have there some part is still to be read, too.
    let own = f64::from(loads.in_flight(candidate.id));
    let others = (outstanding - own).max(0.0);
    let read_ms = timing.read_ms(timing.usual_prompt_tokens);
    let context = timing.usual_prompt_tokens + timing.usual_answer_tokens / 2.0;
    let step = timing.step_beside_ms(outstanding.min(slots), context);
    let answer_ms = timing.usual_answer_tokens * step;
    let unread_share = read_ms / (read_ms + answer_ms).max(1.0);
    let reading = timing.read_ms(wanted.prompt_tokens as f64)
        + unread / timing.read_tokens_per_s.max(1.0) * 1_000.0
        + others * unread_share * read_ms;
    // A pass with writers takes several steps before the next prompt is read.
    let passes = f64::from(timing.steps_per_pass.max(1)) * step;
    let waiting = (outstanding + 1.0 - slots).max(0.0) * answer_ms / slots;
    delay + slowness * pace * (reading + passes + waiting)
}
