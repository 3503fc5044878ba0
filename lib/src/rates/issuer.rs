//! The leader's part: it issues permits at the rates that upstreams name.

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
    shares::share_out,
    stride_scheduler::StrideScheduler, //
};
use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// How long a new leader waits, so that the permits of the one before it have ended.
const ISSUE_AFTER: Duration = Duration::from_millis(VALID_FOR.as_millis() as u64 + 500);
/// For how much time permits are kept that nobody asks for, and how many besides: requests come
/// unevenly.
const SAVED_FOR_S: f64 = 0.3;
const MOST_SAVED: f64 = 2.0;
/// One request goes to an upstream that names less than one in this time: otherwise nothing is
/// sent to it, and nothing tells when it names more.
pub(super) const LONGEST_TRIAL: Duration = Duration::from_secs(10);
/// How often it is found out which pools are short.
const WEIGHED_EVERY: Duration = Duration::from_millis(200);
/// Which part of the sum is let in while a pool is short. Requests come unevenly: if all permits
/// were spoken for, one that goes first would find none in the time that it can wait.
const LET_IN_PART: f64 = 0.9;
/// An entry daemon that has not asked for so long gets nothing.
const ASKS_HOLD: Duration = Duration::from_millis(1_200);
/// A pool is short no longer once less than this part of the sum is asked for.
const ENOUGH_PART: f64 = 0.8;

/// What the leader goes by.
#[derive(Clone, Copy, Debug)]
pub struct IssuerView<'a> {
    /// The rates in force.
    pub rates: &'a RateTable,
    /// The pools of the upstreams that name them.
    pub pools: &'a BTreeMap<InstanceId, Pool>,
    /// Pools that also have upstreams which name no rate.
    pub mixed: &'a BTreeSet<Pool>,
    /// How many entry daemons are heard.
    pub live_entries: usize,
    /// How many there are, with those that fell silent a short while ago: they may go on by
    /// themselves, so their parts are not given to others.
    pub known_entries: usize,
    /// The time.
    pub now: Timestamp,
}

/// A pool that has become short, or is so no longer.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolShortageChange {
    /// Which.
    pub pool: Pool,
    /// Whether it is short.
    pub is_short: bool,
    /// How many requests a second come for it.
    pub asked_per_s: f64,
    /// How many a second its upstreams take together.
    pub rates_per_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    at: Timestamp,
}

/// Issues permits as long as this daemon leads.
#[derive(Debug)]
pub struct PermitIssuer {
    term: u64,
    issues_from: Timestamp,
    requesters: BTreeMap<DaemonId, Requester>,
    buckets: BTreeMap<InstanceId, Bucket>,
    pools: BTreeMap<Pool, StrideScheduler>,
    weighing_due: Timestamp,
    /// The number of the last message. One sequence for all daemons: the leader forgets a daemon
    /// that is silent for a while, and one that began anew would be taken for old messages there.
    number: u64,
    changes: Vec<PoolShortageChange>,
}

impl PermitIssuer {
    /// Begins to lead in a term.
    pub fn new(term: u64, now: Timestamp) -> Self {
        Self {
            term,
            issues_from: now + ISSUE_AFTER,
            requesters: BTreeMap::new(),
            buckets: BTreeMap::new(),
            pools: BTreeMap::new(),
            weighing_due: Timestamp::default(),
            number: 0,
            changes: Vec::new(),
        }
    }

    /// Returns pools that have become short, or are so no longer, since the last call.
    pub fn take_changes(&mut self) -> Vec<PoolShortageChange> {
        std::mem::take(&mut self.changes)
    }

    /// Takes an ask in; returns whether somebody waits for the answer.
    pub fn handle_permit_request(
        &mut self,
        from: &DaemonId,
        ask: &PermitAsk,
        now: Timestamp,
    ) -> bool {
        let requester = self.requesters.entry(from.clone()).or_default();
        // The first ask does not tell over which time its requests came.
        let is_first = requester.heard_at == Timestamp::default();
        let passed_s = now.since(requester.heard_at).as_secs_f64().max(0.001);
        if !is_first {
            requester.note_asked(&ask.asks, passed_s);
        }
        requester.echo_ms = ask.sent_ms;
        requester.heard_at = now;
        requester.is_answer_due = true;
        requester.waiting.clear();
        // Permits on their way may be for the same requests; if not, the next ask says so.
        if ask.heard < requester.number_of_permits {
            return false;
        }
        let mut somebody_waits = false;
        for one in ask.asks.iter().filter(|one| one.waiting > 0) {
            let turns = self.pools.entry(one.pool.clone()).or_default();
            let precedence = Precedence {
                rank: one.caller.rank,
                asks_for_more: turns.is_cut(&one.caller),
            };
            turns.is_waited_for = true;
            somebody_waits = true;
            let waiting = requester.waiting.entry(one.pool.clone()).or_default();
            *waiting.entry(precedence).or_default() += one.waiting;
        }
        somebody_waits
    }

    /// Returns what is to be sent to whom.
    pub fn tick(&mut self, view: IssuerView<'_>) -> Vec<(DaemonId, PermitUpdate)> {
        let now = view.now;
        self.requesters
            .retain(|_, requester| now.since(requester.heard_at) < ASKS_HOLD);
        self.buckets.retain(|id, _| view.rates.contains_key(id));
        if now >= self.weighing_due {
            self.weighing_due = now + WEIGHED_EVERY;
            self.weigh_pools(view);
        }
        let issued = match now >= self.issues_from {
            true => self.issue(view),
            false => BTreeMap::new(),
        };
        self.answer(issued)
    }

    /// Finds out which pools are short, and who goes first there.
    fn weigh_pools(&mut self, view: IssuerView<'_>) {
        let sums = sums(view);
        let mut all_asked = self.all_asked();
        self.pools.retain(|pool, _| sums.contains_key(pool));
        for (pool, rates_per_s) in sums {
            let asked = all_asked.remove(&pool).unwrap_or_default();
            let asked_per_s: f64 = asked.values().sum();
            let turns = self.pools.entry(pool.clone()).or_default();
            let requesters = self.requesters.iter();
            let weight = |(daemon, requester): (&DaemonId, &Requester)| {
                (daemon.clone(), requester.asked_per_s(&pool))
            };
            turns.set_weights(requesters.map(weight));
            let was_short = turns.parts.is_some();
            let enough = match was_short {
                true => rates_per_s * ENOUGH_PART,
                false => rates_per_s,
            };
            let is_short = !view.mixed.contains(&pool) && asked_per_s > enough;
            turns.parts = is_short.then(|| share_out(&asked, rates_per_s * LET_IN_PART));
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

    /// Returns how many requests a second all daemons have, by pool and caller.
    fn all_asked(&self) -> BTreeMap<Pool, BTreeMap<Caller, f64>> {
        let mut all: BTreeMap<Pool, BTreeMap<Caller, f64>> = BTreeMap::new();
        let asked = self
            .requesters
            .values()
            .flat_map(|requester| &requester.asked);
        for (pool, asked) in asked {
            let of_pool = all.entry(pool.clone()).or_default();
            for (caller, per_s) in asked {
                *of_pool.entry(caller.clone()).or_default() += per_s;
            }
        }
        all
    }

    /// Fills the buckets and gives out what is in them.
    fn issue(&mut self, view: IssuerView<'_>) -> BTreeMap<DaemonId, BTreeMap<InstanceId, u32>> {
        let mut issued: BTreeMap<DaemonId, BTreeMap<InstanceId, u32>> = BTreeMap::new();
        for (id, rate) in view.rates {
            let Some(pool) = view.pools.get(id) else {
                continue;
            };
            self.fill(id, issued_per_s(*rate, view), view.now);
            while let Some(requester) = self.next(id, pool, view) {
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

    fn fill(&mut self, id: &InstanceId, per_s: f64, now: Timestamp) {
        let bucket = self.buckets.entry(id.clone()).or_insert(Bucket {
            tokens: 0.0,
            at: now,
        });
        let passed_s = now.since(bucket.at).as_secs_f64();
        let most = MOST_SAVED + per_s * SAVED_FOR_S;
        bucket.tokens = (bucket.tokens + per_s * passed_s).min(most);
        bucket.at = now;
    }

    /// Returns who gets the next permit: whoever has a request that waits, the first by
    /// precedence. If none waits, others can stand in for the upstream, and each daemon gets
    /// permits in turn before it asks, by how many requests it has: nobody waits for a permit then.
    fn next(&mut self, id: &InstanceId, pool: &Pool, view: IssuerView<'_>) -> Option<DaemonId> {
        if self.buckets.get(id)?.tokens < 1.0 {
            return None;
        }
        let turns = self.pools.get_mut(pool)?;
        if turns.is_waited_for {
            if let Some(daemon) = serve_first_waiting(&mut self.requesters, pool) {
                return Some(daemon);
            }
            turns.is_waited_for = false;
        }
        match view.mixed.contains(pool) {
            true => turns.take_turn(),
            false => None,
        }
    }

    fn answer(
        &mut self,
        mut issued: BTreeMap<DaemonId, BTreeMap<InstanceId, u32>>,
    ) -> Vec<(DaemonId, PermitUpdate)> {
        let mut news = Vec::new();
        for (daemon, requester) in &mut self.requesters {
            let permits = issued.remove(daemon).unwrap_or_default();
            if permits.is_empty() && !requester.is_answer_due {
                continue;
            }
            let is_answer = std::mem::take(&mut requester.is_answer_due);
            let shares = is_answer.then(|| shares(requester, &self.pools));
            self.number += 1;
            if !permits.is_empty() {
                requester.number_of_permits = self.number;
            }
            news.push((
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
        news
    }
}

/// Returns what the upstreams of each pool take together.
fn sums(view: IssuerView<'_>) -> BTreeMap<Pool, f64> {
    let mut sums: BTreeMap<Pool, f64> = BTreeMap::new();
    for (id, rate) in view.rates {
        if let Some(pool) = view.pools.get(id) {
            *sums.entry(pool.clone()).or_default() += issued_per_s(*rate, view);
        }
    }
    sums
}

/// Returns at which rate permits for an upstream are issued here.
fn issued_per_s(rate: RequestRate, view: IssuerView<'_>) -> f64 {
    let heard = view.live_entries as f64 / view.known_entries.max(1) as f64;
    rate.per_s().max(1.0 / LONGEST_TRIAL.as_secs_f64()) * heard.min(1.0)
}

/// Returns what a daemon gets of the pools that are short.
fn shares(requester: &Requester, pools: &BTreeMap<Pool, StrideScheduler>) -> Vec<PoolShare> {
    let short = pools.iter().filter_map(|(pool, turns)| {
        let parts = turns.parts.as_ref()?;
        let admitted = parts.iter().map(|(caller, part)| {
            let thousandths = (part * 1_000.0).round() as u16;
            (caller.clone(), thousandths)
        });
        let asked = requester.asked.get(pool).into_iter().flatten();
        let part = |caller| parts.get(caller).copied().unwrap_or_default();
        let per_s: f64 = asked.map(|(caller, per_s)| per_s * part(caller)).sum();
        Some(PoolShare {
            pool: pool.clone(),
            rate: RequestRate((per_s * 1_000.0) as u64),
            admitted: admitted.collect(),
        })
    });
    short.collect()
}
