//! The decision for one request.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::{
    AnswerTiming, CacheNotice, Choice, ChoiceReason, Distances, OwnLoad, Prefix, PrefixKnowledge,
    Replica, ReplicaId, ReplicaSpeeds, RouteQuery, RouterSettings, RoutingSnapshot, choose_arm,
    estimate::PeerEcho,
    policy::{
        self,
        Candidate,
        Pick,
        ServiceCost, //
    },
};
use crate::{
    fleet::{
        FleetConfig,
        RoutingArm,
        RoutingPolicy,
        Service, //
    },
    prelude::*,
};

/// The distance taken for a domain whose path was never measured.
///
/// It only has to be longer than any measured path, so that the unmeasured domain
/// is tried last rather than never.
const UNMEASURED_ROUND_TRIP: Duration = Duration::from_millis(500);

/// Chooses replicas, and remembers what earlier answers told.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    turns: HashMap<ServiceName, usize>,
    prefixes: PrefixKnowledge,
    speeds: ReplicaSpeeds,
    distances: Distances,
}

impl Default for Router {
    fn default() -> Self {
        Self::new(RouterSettings::default())
    }
}

impl Router {
    /// Makes a router that knows nothing yet.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            turns: HashMap::new(),
            prefixes: PrefixKnowledge::new(settings.prefix_capacity, settings.doubt_half_life),
            speeds: ReplicaSpeeds::default(),
            distances: Distances::default(),
        }
    }

    /// Chooses the replica for a request, or `None` if no replica can take it.
    ///
    /// `random` is any evenly spread number; the same inputs give the same choice.
    pub fn choose(
        &mut self,
        query: &RouteQuery<'_>,
        snapshot: &RoutingSnapshot,
        own: &OwnLoad,
        now: Timestamp,
        random: u64,
    ) -> Option<Choice> {
        let arms = routing_arms(&snapshot.config, query.service)?;
        let policy = choose_arm(arms, query.request);
        let candidates = self.candidates(query, snapshot, own, now);
        if candidates.is_empty() {
            return None;
        }
        let (index, reason) = self.pick(policy, query, &candidates, random);
        let chosen = candidates.get(index)?;
        Some(Choice {
            replica: chosen.replica.clone(),
            policy,
            reason,
            is_remote: chosen.replica.failure_domain != *query.home,
            expected_outstanding: chosen.load.outstanding as u32,
            is_saturated: chosen.load.is_saturated(),
            expected_cached_tokens: TokenCount(chosen.cached_tokens as u64),
        })
    }

    /// Returns how many requests of a service could start at once, by what is known.
    pub fn free_slots(
        &self,
        service: &ServiceName,
        snapshot: &RoutingSnapshot,
        own: &OwnLoad,
        now: Timestamp,
    ) -> u32 {
        let replicas = replicas_of(service, snapshot);
        let echo = PeerEcho::measure(&replicas, own, self.settings.peer_echo);
        let free: f64 = replicas
            .iter()
            .map(|replica| echo.estimate(replica, own, now).free_slots().floor())
            .sum();
        free as u32
    }

    /// Returns what is believed about the replicas' caches.
    pub fn prefixes(&self) -> &PrefixKnowledge {
        &self.prefixes
    }

    /// Takes in a cache event.
    pub fn apply_cache_notice(&mut self, notice: &CacheNotice, now: Timestamp) {
        self.prefixes.apply(notice, now);
    }

    /// Notes a complete answer: the replica's speed, and that it now holds the prefixes.
    pub fn record_answer(
        &mut self,
        service: &ServiceName,
        replica: &ReplicaId,
        prefixes: &[Prefix],
        timing: AnswerTiming,
        now: Timestamp,
    ) {
        self.speeds.record(service, replica, timing, now);
        self.prefixes.record_answer(replica, prefixes, now);
    }

    /// Notes a measured round trip to a failure domain.
    pub fn record_round_trip(&mut self, domain: &FailureDomain, round_trip: Duration) {
        self.distances.record(domain, round_trip);
    }

    /// Returns the mean time that a request of the service occupies a replica.
    pub fn service_time(&self, service: &ServiceName) -> Option<Duration> {
        self.speeds.service_time(service)
    }

    /// Drops what is remembered of replicas that the snapshot no longer has.
    ///
    /// To be called with each new snapshot that lost a replica, so that memory stays bounded.
    pub fn forget_absent(&mut self, snapshot: &RoutingSnapshot) {
        let is_present = |id: &ReplicaId| snapshot.replicas.iter().any(|replica| replica.id == *id);
        self.prefixes.forget(is_present);
        self.speeds.forget(is_present);
    }

    fn pick(
        &mut self,
        policy: RoutingPolicy,
        query: &RouteQuery<'_>,
        candidates: &[Candidate<'_>],
        random: u64,
    ) -> Pick {
        if candidates.len() == 1 {
            return (0, ChoiceReason::OnlyReplica);
        }
        let shortest = query.prefixes.last().map(|prefix| prefix.hash);
        let prefix_hash = query.session.or(shortest);
        match policy {
            RoutingPolicy::RoundRobin => {
                let turn = self.turns.entry(query.service.clone()).or_default();
                policy::round_robin(candidates, turn)
            }
            RoutingPolicy::LeastOutstanding => policy::least_outstanding(candidates, random),
            RoutingPolicy::PowerOfTwoChoices => policy::power_of_two(candidates, random),
            RoutingPolicy::PrefixAffinity => {
                policy::prefix_affinity(candidates, prefix_hash, &self.settings, random)
            }
            RoutingPolicy::ExpectedLatency => {
                policy::expected_latency(candidates, self.cost(query), random)
            }
        }
    }

    fn cost(&self, query: &RouteQuery<'_>) -> ServiceCost {
        let service_time = self.speeds.service_time(query.service);
        ServiceCost {
            service_us: service_time.map_or(1_000_000.0, |time| time.as_micros() as f64),
            prefill_us_per_token: self.speeds.prefill_us_per_token(query.service),
            prompt_tokens: query.prompt_tokens.0 as f64,
        }
    }

    fn candidates<'a>(
        &self,
        query: &RouteQuery<'_>,
        snapshot: &'a RoutingSnapshot,
        own: &OwnLoad,
        now: Timestamp,
    ) -> Vec<Candidate<'a>> {
        let mut replicas = replicas_of(query.service, snapshot);
        replicas.retain(|replica| !query.excluded.contains(&replica.id));
        let echo = PeerEcho::measure(&replicas, own, self.settings.peer_echo);
        let median = self
            .speeds
            .median_step_us(replicas.iter().map(|replica| &replica.id));
        let half_life = self.settings.slowness_half_life;
        let all = replicas
            .into_iter()
            .map(|replica| Candidate {
                replica,
                load: echo.estimate(replica, own, now),
                cached_tokens: self
                    .prefixes
                    .expected_tokens(&replica.id, query.prefixes, now),
                slowness: self.speeds.slowness(&replica.id, median, half_life, now),
                round_trip: self.round_trip(&replica.failure_domain, query.home),
            })
            .collect();
        nearest_with_capacity(all, query.home)
    }

    fn round_trip(&self, domain: &FailureDomain, home: &FailureDomain) -> Duration {
        if domain == home {
            return Duration::ZERO;
        }
        self.distances
            .round_trip(domain)
            .unwrap_or(UNMEASURED_ROUND_TRIP)
    }
}

fn routing_arms<'a>(config: &'a FleetConfig, service: &ServiceName) -> Option<&'a [RoutingArm]> {
    match config.services.get(service)? {
        Service::Model(model) => Some(&model.routing),
        Service::Plain(plain) => Some(&plain.routing),
    }
}

fn replicas_of<'a>(service: &ServiceName, snapshot: &'a RoutingSnapshot) -> Vec<&'a Replica> {
    snapshot
        .replicas
        .iter()
        .filter(|replica| replica.service == *service)
        .collect()
}

/// Keeps the home domain if it has room; else the nearest domain that has; else all.
///
/// Without room anywhere the home domain alone is kept, since a longer way to
/// another queue gains nothing; without a home replica all domains are.
fn nearest_with_capacity<'a>(
    candidates: Vec<Candidate<'a>>,
    home: &FailureDomain,
) -> Vec<Candidate<'a>> {
    let has_room = |c: &&Candidate<'_>| !c.load.is_saturated();
    let nearest = candidates
        .iter()
        .filter(has_room)
        .min_by_key(|c| (c.replica.failure_domain != *home, c.round_trip))
        .map(|c| c.replica.failure_domain.clone());
    let has_home = candidates.iter().any(|c| c.replica.failure_domain == *home);
    let domain = match nearest {
        Some(domain) => domain,
        None if has_home => home.clone(),
        None => return candidates,
    };
    candidates
        .into_iter()
        .filter(|c| c.replica.failure_domain == domain)
        .collect()
}
