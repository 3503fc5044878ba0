//! The leader's record of entry daemons that request permits.

use std::collections::BTreeMap;

use super::{
    Caller,
    Pool,
    PoolDemand, //
};
use crate::prelude::*;

/// A caller's demand below this average, in requests per second, counts as none.
const MIN_DEMAND_PER_S: f64 = 0.001;
/// Time constant, in seconds, of the moving average of an entry daemon's demand.
const AVERAGING_TIME_S: f64 = 2.0;

/// The leader's state for one entry daemon that requests permits.
#[derive(Clone, Debug, Default)]
pub(super) struct Requester {
    /// Send time of the last request, in milliseconds on the daemon's clock.
    pub(super) echo_ms: u64,
    /// When the last request arrived.
    pub(super) last_contact: Timestamp,
    /// Number of the last update to the daemon that held permits.
    pub(super) last_permits_number: u64,
    /// Whether the last request is still unanswered.
    pub(super) is_reply_due: bool,
    /// Average requests per second.
    pub(super) demand: BTreeMap<Pool, BTreeMap<Caller, f64>>,
    /// Number of permits issued to waiting requests of this daemon so far.
    served: u64,
    /// Number of requests that are waiting for a permit.
    pub(super) waiting: BTreeMap<Pool, BTreeMap<Precedence, u32>>,
}

/// Order in which waiting requests get permits; the lowest value goes first.
///
/// Lower rank numbers go first. Within a rank, callers whose demand is within their share go
/// first, since what they get is taken from no other caller's share.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Precedence {
    pub(super) rank: u8,
    /// Whether the caller's demand exceeds its share.
    pub(super) exceeds_share: bool,
}

impl Requester {
    /// Returns the precedence of the first of the requests that are waiting.
    fn first_waiting_precedence(&self, pool: &Pool) -> Option<Precedence> {
        let mut waiting = self.waiting.get(pool)?.iter();
        let first = waiting.find(|(_, count)| **count > 0);
        first.map(|(precedence, _)| *precedence)
    }

    /// Records that a waiting request got a permit.
    fn record_served(&mut self, pool: &Pool, precedence: Precedence) {
        self.served += 1;
        let waiting = self.waiting.get_mut(pool);
        if let Some(count) = waiting.and_then(|waiting| waiting.get_mut(&precedence)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the daemon's average requests per second for a pool.
    pub(super) fn demand_per_s(&self, pool: &Pool) -> f64 {
        self.demand
            .get(pool)
            .into_iter()
            .flatten()
            .map(|(_, per_s)| per_s)
            .sum()
    }

    /// Adds the requests that arrived within the last `passed_s` seconds to the moving average.
    pub(super) fn record_demand(&mut self, demands: &[PoolDemand], passed_s: f64) {
        let weight = 1.0 - (-passed_s / AVERAGING_TIME_S).exp();
        for by_caller in self.demand.values_mut() {
            by_caller
                .values_mut()
                .for_each(|per_s| *per_s *= 1.0 - weight);
            by_caller.retain(|_, per_s| *per_s > MIN_DEMAND_PER_S);
        }
        self.demand.retain(|_, by_caller| !by_caller.is_empty());
        for demand in demands.iter().filter(|demand| demand.requests > 0) {
            let by_caller = self.demand.entry(demand.pool.clone()).or_default();
            *by_caller.entry(demand.caller.clone()).or_default() +=
                f64::from(demand.requests) / passed_s * weight;
        }
    }
}

/// Assigns a permit to the first of the requests that are waiting for a pool; returns the daemon
/// at which the request is waiting.
pub(super) fn serve_first_waiting(
    requesters: &mut BTreeMap<DaemonId, Requester>,
    pool: &Pool,
) -> Option<DaemonId> {
    let waiting = requesters.iter_mut().filter_map(|(daemon, requester)| {
        let precedence = requester.first_waiting_precedence(pool)?;
        Some((precedence, requester.served, daemon, requester))
    });
    // Ties go to the daemon that has got the fewest permits for waiting requests.
    let first = waiting.min_by_key(|(precedence, served, ..)| (*precedence, *served));
    let (precedence, _, daemon, requester) = first?;
    requester.record_served(pool, precedence);
    Some(daemon.clone())
}
