//! The permits that an entry daemon's requests can use now, and the daemon's demand for more.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    Caller,
    Pool,
    PoolDemand,
    PoolShare, //
};
use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// Maximum number of pairs of pool and caller whose requests are counted between two permit
/// requests; arrivals of further ones are not counted, but their waiting requests are still
/// reported.
const MAX_CALLERS: usize = 64;

/// Whether a request may be sent to an upstream that names a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request may use a permit, and wait for one.
    MayUse,
    /// The request may use no permit: the pool is short, and the request is not in the randomly
    /// picked part of its caller's requests that is admitted.
    Refused,
}

/// One caller's requests for one pool.
#[derive(Clone, Copy, Debug, Default)]
struct CallerDemand {
    /// Requests that arrived since the last permit request.
    requests: u32,
    /// Requests that are waiting for a permit now.
    waiting: u32,
}

/// A pool that is short, with the retry times assigned to refused requests.
#[derive(Clone, Debug)]
struct ShortPool {
    share: PoolShare,
    /// The last retry time assigned to a refused request.
    last_retry_at: Timestamp,
}

/// The permits of an entry daemon, and its demand for more.
#[derive(Debug, Default)]
pub struct PermitStore {
    /// Expiry times of the permits for each upstream, in order of arrival.
    permits: BTreeMap<InstanceId, VecDeque<Timestamp>>,
    demands: BTreeMap<(Pool, Caller), CallerDemand>,
    short_pools: BTreeMap<Pool, ShortPool>,
}

impl PermitStore {
    /// Adds permits, each with the time at which it expires.
    pub fn add(&mut self, permits: impl IntoIterator<Item = (InstanceId, Timestamp)>) {
        for (id, expires_at) in permits {
            self.permits.entry(id).or_default().push_back(expires_at);
        }
    }

    /// Replaces the shares of the pools that are short; pools that are not listed are not short.
    pub fn set_shares(&mut self, shares: Vec<PoolShare>) {
        let mut before = std::mem::take(&mut self.short_pools);
        for share in shares {
            let known = before.remove(&share.pool);
            let last_retry_at = known.map_or(Timestamp::default(), |known| known.last_retry_at);
            let pool = share.pool.clone();
            self.short_pools.insert(
                pool,
                ShortPool {
                    share,
                    last_retry_at,
                },
            );
        }
    }

    /// Returns whether there is a valid permit for an upstream.
    pub fn has_permit(&self, id: &InstanceId, now: Timestamp) -> bool {
        let permits = self.permits.get(id).into_iter().flatten();
        permits.copied().any(|expires_at| now < expires_at)
    }

    /// Consumes the oldest valid permit for an upstream; returns whether there was one.
    pub fn consume_permit(&mut self, id: &InstanceId, now: Timestamp) -> bool {
        let Some(permits) = self.permits.get_mut(id) else {
            return false;
        };
        permits.retain(|expires_at| now < *expires_at);
        permits.pop_front().is_some()
    }

    /// Drops expired permits; returns their number.
    pub fn drop_expired(&mut self, now: Timestamp) -> usize {
        let mut expired = 0;
        for permits in self.permits.values_mut() {
            let before = permits.len();
            permits.retain(|expires_at| now < *expires_at);
            expired += before - permits.len();
        }
        self.permits.retain(|_, permits| !permits.is_empty());
        expired
    }

    /// Counts a request for a pool in which at least one upstream names a rate.
    pub fn record_request(&mut self, pool: &Pool, caller: &Caller) {
        let key = (pool.clone(), caller.clone());
        if self.demands.len() < MAX_CALLERS || self.demands.contains_key(&key) {
            self.demands.entry(key).or_default().requests += 1;
        }
    }

    /// Records that a request begins to wait for a permit.
    pub fn begin_wait(&mut self, pool: &Pool, caller: &Caller) {
        let key = (pool.clone(), caller.clone());
        self.demands.entry(key).or_default().waiting += 1;
    }

    /// Records that a request no longer waits for a permit.
    pub fn end_wait(&mut self, pool: &Pool, caller: &Caller) {
        let key = (pool.clone(), caller.clone());
        if let Some(demand) = self.demands.get_mut(&key) {
            demand.waiting = demand.waiting.saturating_sub(1);
        }
    }

    /// Returns whether any request is waiting for a permit.
    pub fn has_waiting_requests(&self) -> bool {
        self.demands.values().any(|demand| demand.waiting > 0)
    }

    /// Returns the demand since the last call, for a permit request, and resets the request counts.
    pub fn take_demands(&mut self) -> Vec<PoolDemand> {
        let taken = self
            .demands
            .iter()
            .map(|((pool, caller), demand)| PoolDemand {
                pool: pool.clone(),
                caller: caller.clone(),
                requests: demand.requests,
                waiting: demand.waiting,
            });
        let taken = taken.collect();
        self.demands.retain(|_, demand| demand.waiting > 0);
        for demand in self.demands.values_mut() {
            demand.requests = 0;
        }
        taken
    }

    /// Decides whether a request for a pool may use a permit; `random` is a number from 0 to 1
    /// picked for this request.
    pub fn verdict(&self, pool: &Pool, caller: &Caller, random: f64) -> Verdict {
        let Some(short) = self.short_pools.get(pool) else {
            return Verdict::MayUse;
        };
        match random < f64::from(admitted_per_thousand(&short.share, caller)) / 1_000.0 {
            true => Verdict::MayUse,
            false => Verdict::Refused,
        }
    }

    /// Returns after how long the caller of a refused request should retry.
    ///
    /// Successive calls return successive times, spaced by the daemon's share of the pool's rate.
    /// Returns `None` if the time is more than `latest` away, or if the pool is not short or the
    /// daemon has no share of it.
    pub fn reserve_retry_time(
        &mut self,
        pool: &Pool,
        latest: Duration,
        now: Timestamp,
    ) -> Option<Duration> {
        let short = self.short_pools.get_mut(pool)?;
        let per_s = short.share.rate.per_s();
        if per_s <= 0.0 {
            return None;
        }
        let retry_at = short.last_retry_at.max(now) + Duration::from_secs_f64(1.0 / per_s);
        if retry_at.since(now) > latest {
            return None;
        }
        short.last_retry_at = retry_at;
        Some(retry_at.since(now))
    }
}

/// Returns how many of a thousand requests of a caller may use a permit.
///
/// A caller that the leader does not know yet gets the highest number among callers of the same
/// rank and of ranks that come after it.
fn admitted_per_thousand(share: &PoolShare, caller: &Caller) -> u16 {
    let known = share.admitted.iter().find(|(known, _)| known == caller);
    let ranked_no_higher = share
        .admitted
        .iter()
        .filter(|(known, _)| known.rank >= caller.rank);
    let most = ranked_no_higher.map(|(_, thousandths)| *thousandths).max();
    known.map_or(most.unwrap_or_default(), |(_, thousandths)| *thousandths)
}
