//! The leader's side of permits: issues them at the rates that upstreams name.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    Caller,
    PermitAsk,
    PermitUpdate,
    Pool,
    PoolShare,
    RateTable,
    client::VALID_FOR,
    requester::{
        Precedence,
        Requester,
        serve_first_waiting, //
    },
    shares::allocate_shares,
    stride_scheduler::StrideScheduler, //
};
use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// How long a new leader waits before it issues permits, so that those of its predecessor have
/// expired.
const ISSUE_DELAY: Duration = Duration::from_millis(VALID_FOR.as_millis() as u64 + 500);
/// Part of the capacity of an upstream's token bucket, in seconds of the upstream's rate. Unused
/// permits are retained since requests arrive unevenly.
const BUCKET_CAPACITY_S: f64 = 0.3;
/// Fixed part of the capacity of an upstream's token bucket, in permits.
const BUCKET_CAPACITY_PERMITS: f64 = 2.0;
/// One request per interval is permitted to an upstream that names a lower rate. Without these
/// requests, no answer would show that the upstream names a higher rate again.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// How often the set of short pools is updated.
const SHORTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Share of a pool's total rate that is allocated to callers while the pool is short. Requests
/// arrive unevenly: if the whole rate were allocated, a request that takes precedence might get
/// no permit within the time that it can wait.
const ALLOCATED_SHARE: f64 = 0.9;
/// An entry daemon that has sent no permit request for this long gets no permits.
const REQUESTER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Most updates that a leader sends in a millisecond, so that its numbers stay below those of a
/// later issuer. A leader whose lease comes back in the same term starts a new issuer, and daemons
/// ignore numbers that do not grow.
const MAX_UPDATES_PER_MS: u64 = 1_000;
/// A pool stops being short once the demand is at most this share of its total rate.
const SHORTAGE_END_SHARE: f64 = 0.8;

/// The state of the cluster by which the leader issues permits.
#[derive(Clone, Copy, Debug)]
pub struct IssuerView<'a> {
    /// The rates that upstreams name.
    pub rates: &'a RateTable,
    /// The pool of each upstream that names a rate.
    pub pools: &'a BTreeMap<InstanceId, Pool>,
    /// Pools that also contain upstreams which name no rate.
    pub mixed: &'a BTreeSet<Pool>,
    /// Number of entry daemons that send messages at present.
    pub live_entries: usize,
    /// Number of entry daemons, including those that became silent recently. A silent daemon may
    /// still be running and issue permits to itself, so its part of the rates is not issued to
    /// others.
    pub known_entries: usize,
    /// The current time on the leader's clock.
    pub now: Timestamp,
}

/// The start or the end of a pool's shortage.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolShortageChange {
    /// The pool.
    pub pool: Pool,
    /// Whether the pool is short from now on.
    pub is_short: bool,
    /// Requests per second that callers of all daemons send to the pool.
    pub asked_per_s: f64,
    /// Permits per second that are issued for all upstreams of the pool together.
    pub rates_per_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

/// Issues permits for one term of the leader.
#[derive(Debug)]
pub struct PermitIssuer {
    term: u64,
    issue_start: Timestamp,
    requesters: BTreeMap<DaemonId, Requester>,
    buckets: BTreeMap<InstanceId, TokenBucket>,
    pools: BTreeMap<Pool, StrideScheduler>,
    shortage_check_due: Timestamp,
    /// Number of the last update sent. All daemons share this sequence: the leader drops the state
    /// of a silent daemon, and a new sequence for that daemon would start with lower numbers, which
    /// the daemon ignores as outdated.
    number: u64,
    changes: Vec<PoolShortageChange>,
}

impl PermitIssuer {
    /// Returns an issuer for a term that begins `now`.
    pub fn new(term: u64, now: Timestamp) -> Self {
        Self {
            term,
            issue_start: now + ISSUE_DELAY,
            requesters: BTreeMap::new(),
            buckets: BTreeMap::new(),
            pools: BTreeMap::new(),
            shortage_check_due: Timestamp::default(),
            number: now.0.saturating_mul(MAX_UPDATES_PER_MS),
            changes: Vec::new(),
        }
    }

    /// Returns the shortages that have begun or ended since the last call.
    pub fn take_changes(&mut self) -> Vec<PoolShortageChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records a daemon's demand; returns whether any request there is waiting for a permit that
    /// has not been sent yet.
    pub fn handle_permit_request(
        &mut self,
        from: &DaemonId,
        request: &PermitAsk,
        now: Timestamp,
    ) -> bool {
        let requester = self.requesters.entry(from.clone()).or_default();
        // The period that a first request covers is unknown, so its counts are left out.
        let is_first = requester.last_contact == Timestamp::default();
        let passed_s = now.since(requester.last_contact).as_secs_f64().max(0.001);
        if !is_first {
            requester.record_demand(&request.asks, passed_s);
        }
        requester.echo_ms = request.sent_ms;
        requester.last_contact = now;
        requester.is_reply_due = true;
        requester.waiting.clear();
        // The last permits have not arrived yet and may cover the same requests. If they do not,
        // the daemon's next request repeats the demand.
        if request.heard < requester.last_permits_number {
            return false;
        }
        let mut is_request_waiting = false;
        for demand in request.asks.iter().filter(|demand| demand.waiting > 0) {
            let scheduler = self.pools.entry(demand.pool.clone()).or_default();
            let precedence = Precedence {
                rank: demand.caller.rank,
                exceeds_share: scheduler.is_limited(&demand.caller),
            };
            scheduler.has_waiting_requests = true;
            is_request_waiting = true;
            let waiting = requester.waiting.entry(demand.pool.clone()).or_default();
            *waiting.entry(precedence).or_default() += demand.waiting;
        }
        is_request_waiting
    }

    /// Issues the permits that are due; returns the updates to send, each with its recipient.
    pub fn tick(&mut self, view: IssuerView<'_>) -> Vec<(DaemonId, PermitUpdate)> {
        let now = view.now;
        self.requesters
            .retain(|_, requester| now.since(requester.last_contact) < REQUESTER_TIMEOUT);
        self.buckets.retain(|id, _| view.rates.contains_key(id));
        if now >= self.shortage_check_due {
            self.shortage_check_due = now + SHORTAGE_CHECK_INTERVAL;
            self.update_shortages(view);
        }
        let issued = match now >= self.issue_start {
            true => self.issue(view),
            false => BTreeMap::new(),
        };
        self.build_updates(issued)
    }

    /// Updates which pools are short and the share of each caller's requests that is admitted
    /// there.
    fn update_shortages(&mut self, view: IssuerView<'_>) {
        let pool_rates = pool_rates(view);
        let mut total_demand = self.total_demand();
        self.pools.retain(|pool, _| pool_rates.contains_key(pool));
        for (pool, rates_per_s) in pool_rates {
            let demand = total_demand.remove(&pool).unwrap_or_default();
            let asked_per_s: f64 = demand.values().sum();
            let scheduler = self.pools.entry(pool.clone()).or_default();
            let requesters = self.requesters.iter();
            let weight = |(daemon, requester): (&DaemonId, &Requester)| {
                (daemon.clone(), requester.demand_per_s(&pool))
            };
            scheduler.set_weights(requesters.map(weight));
            let was_short = scheduler.shares.is_some();
            let enough = match was_short {
                true => rates_per_s * SHORTAGE_END_SHARE,
                false => rates_per_s,
            };
            let is_short = !view.mixed.contains(&pool) && asked_per_s > enough;
            scheduler.shares =
                is_short.then(|| allocate_shares(&demand, rates_per_s * ALLOCATED_SHARE));
            if is_short != was_short {
                self.changes.push(PoolShortageChange {
                    pool,
                    is_short,
                    asked_per_s,
                    rates_per_s,
                });
            }
        }
    }

    /// Returns the requests per second of all daemons together, by pool and caller.
    fn total_demand(&self) -> BTreeMap<Pool, BTreeMap<Caller, f64>> {
        let mut all: BTreeMap<Pool, BTreeMap<Caller, f64>> = BTreeMap::new();
        let demand = self
            .requesters
            .values()
            .flat_map(|requester| &requester.demand);
        for (pool, demand) in demand {
            let of_pool = all.entry(pool.clone()).or_default();
            for (caller, per_s) in demand {
                *of_pool.entry(caller.clone()).or_default() += per_s;
            }
        }
        all
    }

    /// Refills the token buckets and issues the permits in them; returns the number of permits by
    /// daemon and upstream.
    fn issue(&mut self, view: IssuerView<'_>) -> BTreeMap<DaemonId, BTreeMap<InstanceId, u32>> {
        let mut issued: BTreeMap<DaemonId, BTreeMap<InstanceId, u32>> = BTreeMap::new();
        for (id, rate) in view.rates {
            let Some(pool) = view.pools.get(id) else {
                continue;
            };
            self.refill_bucket(id, issue_rate_per_s(*rate, view), view.now);
            while let Some(requester) = self.next_recipient(id, pool, view) {
                if let Some(bucket) = self.buckets.get_mut(id) {
                    bucket.tokens -= 1.0;
                }
                *issued
                    .entry(requester)
                    .or_default()
                    .entry(id.clone())
                    .or_default() += 1;
            }
        }
        issued
    }

    /// Adds the tokens that have accrued since the last call, up to the bucket's capacity.
    fn refill_bucket(&mut self, id: &InstanceId, per_s: f64, now: Timestamp) {
        let bucket = self.buckets.entry(id.clone()).or_insert(TokenBucket {
            tokens: 0.0,
            refilled_at: now,
        });
        let passed_s = now.since(bucket.refilled_at).as_secs_f64();
        let capacity = BUCKET_CAPACITY_PERMITS + per_s * BUCKET_CAPACITY_S;
        bucket.tokens = (bucket.tokens + per_s * passed_s).min(capacity);
        bucket.refilled_at = now;
    }

    /// Returns the daemon that gets the next permit for an upstream, if the bucket holds one.
    ///
    /// A daemon at which requests are waiting goes first, by [`Precedence`]. If none is waiting and
    /// other upstreams of the pool name no rate, daemons get permits in advance, in proportion to
    /// their demand, since requests never wait for permits in such a pool.
    fn next_recipient(
        &mut self,
        id: &InstanceId,
        pool: &Pool,
        view: IssuerView<'_>,
    ) -> Option<DaemonId> {
        if self.buckets.get(id)?.tokens < 1.0 {
            return None;
        }
        let scheduler = self.pools.get_mut(pool)?;
        if scheduler.has_waiting_requests {
            if let Some(daemon) = serve_first_waiting(&mut self.requesters, pool) {
                return Some(daemon);
            }
            scheduler.has_waiting_requests = false;
        }
        match view.mixed.contains(pool) {
            true => scheduler.next_daemon(),
            false => None,
        }
    }

    /// Returns one update for each daemon that has new permits or awaits an answer.
    fn build_updates(
        &mut self,
        mut issued: BTreeMap<DaemonId, BTreeMap<InstanceId, u32>>,
    ) -> Vec<(DaemonId, PermitUpdate)> {
        let mut updates = Vec::new();
        for (daemon, requester) in &mut self.requesters {
            let permits = issued.remove(daemon).unwrap_or_default();
            if permits.is_empty() && !requester.is_reply_due {
                continue;
            }
            let is_reply = std::mem::take(&mut requester.is_reply_due);
            let shares = is_reply.then(|| short_pool_shares(requester, &self.pools));
            self.number += 1;
            if !permits.is_empty() {
                requester.last_permits_number = self.number;
            }
            updates.push((
                daemon.clone(),
                PermitUpdate {
                    term: self.term,
                    number: self.number,
                    echo_ms: requester.echo_ms,
                    permits: permits.into_iter().collect(),
                    shares,
                },
            ));
        }
        updates
    }
}

/// Returns the permits per second that are issued for each pool.
fn pool_rates(view: IssuerView<'_>) -> BTreeMap<Pool, f64> {
    let mut pool_rates: BTreeMap<Pool, f64> = BTreeMap::new();
    for (id, rate) in view.rates {
        if let Some(pool) = view.pools.get(id) {
            *pool_rates.entry(pool.clone()).or_default() += issue_rate_per_s(*rate, view);
        }
    }
    pool_rates
}

/// Returns the permits per second that the leader issues for an upstream.
///
/// Silent daemons may use their own part of the rate, which is not issued here.
fn issue_rate_per_s(rate: RequestRate, view: IssuerView<'_>) -> f64 {
    let live_share = view.live_entries as f64 / view.known_entries.max(1) as f64;
    rate.per_s().max(1.0 / PROBE_INTERVAL.as_secs_f64()) * live_share.min(1.0)
}

/// Returns a daemon's share of each pool that is short.
fn short_pool_shares(
    requester: &Requester,
    pools: &BTreeMap<Pool, StrideScheduler>,
) -> Vec<PoolShare> {
    let short = pools.iter().filter_map(|(pool, scheduler)| {
        let shares = scheduler.shares.as_ref()?;
        let admitted = shares.iter().map(|(caller, share)| {
            let thousandths = (share * 1_000.0).round() as u16;
            (caller.clone(), thousandths)
        });
        let demand = requester.demand.get(pool).into_iter().flatten();
        let share = |caller| shares.get(caller).copied().unwrap_or_default();
        let per_s: f64 = demand.map(|(caller, per_s)| per_s * share(caller)).sum();
        Some(PoolShare {
            pool: pool.clone(),
            rate: RequestRate((per_s * 1_000.0) as u64),
            admitted: admitted.collect(),
        })
    });
    short.collect()
}
