//! What entry daemons ask the leader for.

use std::collections::BTreeMap;

use super::{
    Caller,
    Pool, //
    PoolDemand,
};
use crate::prelude::*;

/// What is asked for less often than this counts as not asked for.
const LEAST_ASKED_PER_S: f64 = 0.001;
/// How fast what an entry daemon asks for is averaged.
const AVERAGED_OVER_S: f64 = 2.0;
/// What the leader knows of one entry daemon that asks for permits.
#[derive(Clone, Debug, Default)]
pub(super) struct Requester {
    pub(super) echo_ms: u64,
    pub(super) heard_at: Timestamp,
    /// The number of the last message that held permits.
    pub(super) number_of_permits: u64,
    pub(super) is_answer_due: bool,
    /// Requests a second, averaged.
    pub(super) asked: BTreeMap<Pool, BTreeMap<Caller, f64>>,
    /// How many requests that waited were served.
    served: u64,
    /// Requests that wait for a permit.
    pub(super) waiting: BTreeMap<Pool, BTreeMap<Precedence, u32>>,
}

/// Who goes first of those that wait: higher ranks, then callers that ask for less than their
/// part, as nobody else lacks what these get.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Precedence {
    pub(super) rank: u8,
    pub(super) asks_for_more: bool,
}

impl Requester {
    /// Returns which of the requests that wait goes first.
    fn first_waiting(&self, pool: &Pool) -> Option<Precedence> {
        let mut waiting = self.waiting.get(pool)?.iter();
        let first = waiting.find(|(_, count)| **count > 0);
        first.map(|(precedence, _)| *precedence)
    }

    /// Notes that a request has its permit.
    fn serve_waiting(&mut self, pool: &Pool, precedence: Precedence) {
        self.served += 1;
        let waiting = self.waiting.get_mut(pool);
        if let Some(count) = waiting.and_then(|waiting| waiting.get_mut(&precedence)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns how many requests a second it has for a pool.
    pub(super) fn asked_per_s(&self, pool: &Pool) -> f64 {
        self.asked
            .get(pool)
            .into_iter()
            .flatten()
            .map(|(_, per_s)| per_s)
            .sum()
    }

    /// Averages what it asks for, over the time since its last ask.
    pub(super) fn note_asked(&mut self, asks: &[PoolDemand], passed_s: f64) {
        let weight = 1.0 - (-passed_s / AVERAGED_OVER_S).exp();
        for asked in self.asked.values_mut() {
            asked.values_mut().for_each(|per_s| *per_s *= 1.0 - weight);
            asked.retain(|_, per_s| *per_s > LEAST_ASKED_PER_S);
        }
        self.asked.retain(|_, asked| !asked.is_empty());
        for ask in asks.iter().filter(|ask| ask.requests > 0) {
            let asked = self.asked.entry(ask.pool.clone()).or_default();
            *asked.entry(ask.caller.clone()).or_default() +=
                f64::from(ask.requests) / passed_s * weight;
        }
    }
}

/// Gives a permit to the first of the requests that wait for a pool; returns where it is.
pub(super) fn serve_first_waiting(
    requesters: &mut BTreeMap<DaemonId, Requester>,
    pool: &Pool,
) -> Option<DaemonId> {
    let waiting = requesters.iter_mut().filter_map(|(daemon, requester)| {
        let precedence = requester.first_waiting(pool)?;
        Some((precedence, requester.served, daemon, requester))
    });
    // Of equals the daemon that was served least.
    let first = waiting.min_by_key(|(precedence, served, ..)| (*precedence, *served));
    let (precedence, _, daemon, requester) = first?;
    requester.serve_waiting(pool, precedence);
    Some(daemon.clone())
}
