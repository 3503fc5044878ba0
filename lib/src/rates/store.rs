//! What an entry daemon's requests may use now: permits, and who goes first.

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

/// How many callers are told apart in one ask; the rest are not told.
const MOST_CALLERS: usize = 64;

/// What becomes of a request that only upstreams which name a rate could take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may use a permit, and ask for one.
    MayUse,
    /// Others go first: the upstreams take only a part of such requests.
    Refused,
}

/// Requests of one caller since the last ask.
#[derive(Clone, Copy, Debug, Default)]
struct Wanted {
    requests: u32,
    waiting: u32,
}

/// A pool that is short, and who was told to come back when.
#[derive(Clone, Debug)]
struct Short {
    share: PoolShare,
    /// When all that were refused so far can have been served.
    free_at: Timestamp,
}

/// The permits of an entry daemon, and what it is to ask for.
#[derive(Debug, Default)]
pub struct PermitStore {
    permits: BTreeMap<InstanceId, VecDeque<Timestamp>>,
    wanted: BTreeMap<(Pool, Caller), Wanted>,
    short: BTreeMap<Pool, Short>,
}

impl PermitStore {
    /// Adds permits, each with the time until which it can be used.
    pub fn add(&mut self, permits: impl IntoIterator<Item = (InstanceId, Timestamp)>) {
        for (id, until) in permits {
            self.permits.entry(id).or_default().push_back(until);
        }
    }

    /// Replaces what is known of pools that are short.
    pub fn set_shares(&mut self, shares: Vec<PoolShare>) {
        let mut before = std::mem::take(&mut self.short);
        for share in shares {
            let known = before.remove(&share.pool);
            let free_at = known.map_or(Timestamp::default(), |known| known.free_at);
            let pool = share.pool.clone();
            self.short.insert(pool, Short { share, free_at });
        }
    }

    /// Returns whether there is a permit for an upstream.
    pub fn has_permit(&self, id: &InstanceId, now: Timestamp) -> bool {
        let permits = self.permits.get(id).into_iter().flatten();
        permits.copied().any(|until| now < until)
    }

    /// Uses a permit, the one that ends first.
    pub fn consume_permit(&mut self, id: &InstanceId, now: Timestamp) -> bool {
        let Some(permits) = self.permits.get_mut(id) else {
            return false;
        };
        permits.retain(|until| now < *until);
        permits.pop_front().is_some()
    }

    /// Drops permits that have ended; returns how many there were.
    pub fn drop_expired(&mut self, now: Timestamp) -> usize {
        let mut ended = 0;
        for permits in self.permits.values_mut() {
            let before = permits.len();
            permits.retain(|until| now < *until);
            ended += before - permits.len();
        }
        self.permits.retain(|_, permits| !permits.is_empty());
        ended
    }

    /// Counts a request for a pool some of whose upstreams name a rate.
    pub fn record_request(&mut self, pool: &Pool, caller: &Caller) {
        let key = (pool.clone(), caller.clone());
        if self.wanted.len() < MOST_CALLERS || self.wanted.contains_key(&key) {
            self.wanted.entry(key).or_default().requests += 1;
        }
    }

    /// Counts a request that begins to wait for a permit.
    pub fn begin_wait(&mut self, pool: &Pool, caller: &Caller) {
        let key = (pool.clone(), caller.clone());
        self.wanted.entry(key).or_default().waiting += 1;
    }

    /// Counts a request that waits no more.
    pub fn end_wait(&mut self, pool: &Pool, caller: &Caller) {
        let key = (pool.clone(), caller.clone());
        if let Some(wanted) = self.wanted.get_mut(&key) {
            wanted.waiting = wanted.waiting.saturating_sub(1);
        }
    }

    /// Returns whether any request waits for a permit.
    pub fn has_waiting_requests(&self) -> bool {
        self.wanted.values().any(|wanted| wanted.waiting > 0)
    }

    /// Returns what to ask for; requests are counted anew from here on.
    pub fn take_demands(&mut self) -> Vec<PoolDemand> {
        let asks = self
            .wanted
            .iter()
            .map(|((pool, caller), wanted)| PoolDemand {
                pool: pool.clone(),
                caller: caller.clone(),
                requests: wanted.requests,
                waiting: wanted.waiting,
            });
        let asks = asks.collect();
        self.wanted.retain(|_, wanted| wanted.waiting > 0);
        for wanted in self.wanted.values_mut() {
            wanted.requests = 0;
        }
        asks
    }

    /// Returns whether a request of a pool may use a permit; `random` lies from 0 to 1.
    pub fn verdict(&self, pool: &Pool, caller: &Caller, random: f64) -> Verdict {
        let Some(short) = self.short.get(pool) else {
            return Verdict::MayUse;
        };
        match random < f64::from(admitted(&short.share, caller)) / 1_000.0 {
            true => Verdict::MayUse,
            false => Verdict::Refused,
        }
    }

    /// Returns when a refused request of a pool can find a permit, one refused after the other;
    /// `None` if that is not before `latest`, or not known.
    pub fn reserve_retry_time(
        &mut self,
        pool: &Pool,
        latest: Duration,
        now: Timestamp,
    ) -> Option<Duration> {
        let short = self.short.get_mut(pool)?;
        let per_s = short.share.rate.per_s();
        if per_s <= 0.0 {
            return None;
        }
        let after = short.free_at.max(now) + Duration::from_secs_f64(1.0 / per_s);
        if after.since(now) > latest {
            return None;
        }
        short.free_at = after;
        Some(after.since(now))
    }
}

/// Returns how many of a thousand requests of a caller may use a permit.
///
/// A caller that the leader has not heard of yet goes like those of its rank that may go.
fn admitted(share: &PoolShare, caller: &Caller) -> u16 {
    let known = share.admitted.iter().find(|(known, _)| known == caller);
    let like_it = share
        .admitted
        .iter()
        .filter(|(known, _)| known.rank >= caller.rank);
    let most = like_it.map(|(_, thousandths)| *thousandths).max();
    known.map_or(most.unwrap_or_default(), |(_, thousandths)| *thousandths)
}
