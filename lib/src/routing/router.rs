//! The decision for one request.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::{
    AnswerTiming,
    CacheNotice,
    Choice,
    ChoiceReason,
    Distances,
    OwnLoad,
    Prefix,
    PrefixKnowledge,
    Replica,
    ReplicaId,
    ReplicaSpeeds,
    RouteQuery,
    RouterSettings,
    RoutingSnapshot,
    choose_arm,
    domains::{
        has_reserve,
        nearest_with_capacity,
        with_room, //
    },
    ejection::Ejections,
    estimate::{
        Estimate,
        PeerEcho, //
    },
    policy::{
        self,
        Candidate,
        Pick,
        ServiceCost, //
    }, //
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
    ejections: Ejections,
    median_steps_us: HashMap<ServiceName, f64>,
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
            ejections: Ejections::default(),
            median_steps_us: HashMap::new(),
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
        self.judge(query, snapshot, now);
        let all = self.candidates(query, snapshot, own, policy, now);
        if let Some(probed) = self.take_probe(query, &all, now) {
            return Some(choice(probed, policy, ChoiceReason::Probe, query));
        }
        let candidates = self.in_use(all, query.home, policy);
        if candidates.is_empty() {
            return None;
        }
        let (index, reason) = self.pick(policy, query, &candidates, random);
        let chosen = candidates.get(index)?;
        Some(choice(chosen, policy, reason, query))
    }

    /// Returns how many requests of a service may be sent now, by what is known.
    ///
    /// Slots of ejected replicas do not count: no ordinary request would go there, and
    /// the others would get more than they have room for.
    pub fn free_slots(
        &self,
        service: &ServiceName,
        snapshot: &RoutingSnapshot,
        own: &OwnLoad,
        now: Timestamp,
    ) -> u32 {
        let mut replicas = replicas_of(service, snapshot);
        if replicas.iter().any(|replica| !self.is_ejected(&replica.id)) {
            replicas.retain(|replica| !self.is_ejected(&replica.id));
        }
        let echo = PeerEcho::measure(&replicas, own, self.settings.peer_echo);
        let free: f64 = replicas
            .iter()
            .map(|replica| echo.estimate(replica, own, now))
            .map(|load| load.free_slots().floor())
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
        let median = self.median_steps_us.get(service).copied().unwrap_or(0.0);
        let is_slow = Ejections::is_slow(timing.step_us(), median);
        self.speeds.record(service, replica, timing, now);
        if self.ejections.record_success(replica, is_slow, now) {
            self.speeds.forget_one(replica);
        }
        self.prefixes.record_answer(replica, prefixes, now);
    }

    /// Notes that an attempt failed because of its replica.
    ///
    /// A refusal for want of room is none: it says that the replica is busy, not that
    /// it is broken.
    pub fn record_failure(&mut self, replica: &ReplicaId, now: Timestamp) {
        self.ejections.record_failure(replica, now);
    }

    /// Returns whether a replica takes no ordinary requests because it failed or lagged.
    pub fn is_ejected(&self, replica: &ReplicaId) -> bool {
        self.ejections.is_out(replica)
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
        self.ejections.forget(is_present);
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

    /// Compares the service's replicas with each other now and then.
    fn judge(&mut self, query: &RouteQuery<'_>, snapshot: &RoutingSnapshot, now: Timestamp) {
        let replicas = replicas_of(query.service, snapshot);
        let ids: Vec<&ReplicaId> = replicas.iter().map(|replica| &replica.id).collect();
        let median = self.speeds.median_step_us(ids.iter().copied());
        self.median_steps_us.insert(query.service.clone(), median);
        let half_life = self.settings.slowness_half_life;
        let speeds = &self.speeds;
        let slowness = |id: &ReplicaId| speeds.slowness(id, median, half_life, now);
        self.ejections.judge(query.service, &ids, slowness, now);
    }

    fn take_probe<'c, 'a>(
        &mut self,
        query: &RouteQuery<'_>,
        candidates: &'c [Candidate<'a>],
        now: Timestamp,
    ) -> Option<&'c Candidate<'a>> {
        if !query.may_probe {
            return None;
        }
        candidates
            .iter()
            .filter(|candidate| candidate.replica.failure_domain == *query.home)
            .find(|candidate| self.ejections.take_probe(&candidate.replica.id, now))
    }

    /// Returns the candidates that are not ejected, in the domains to use.
    ///
    /// If all are ejected they are used all the same: a slow answer is better than none.
    fn in_use<'a>(
        &self,
        mut all: Vec<Candidate<'a>>,
        home: &FailureDomain,
        policy: RoutingPolicy,
    ) -> Vec<Candidate<'a>> {
        let is_in = |candidate: &Candidate<'_>| !self.ejections.is_out(&candidate.replica.id);
        if all.iter().any(is_in) {
            all.retain(is_in);
        }
        match policy {
            RoutingPolicy::ExpectedLatency if !has_reserve(&all, home) => with_room(all, home),
            _ => nearest_with_capacity(all, home),
        }
    }

    fn candidates<'a>(
        &self,
        query: &RouteQuery<'_>,
        snapshot: &'a RoutingSnapshot,
        own: &OwnLoad,
        policy: RoutingPolicy,
        now: Timestamp,
    ) -> Vec<Candidate<'a>> {
        let mut replicas = replicas_of(query.service, snapshot);
        replicas.retain(|replica| !query.excluded.contains(&replica.id));
        let echo = PeerEcho::measure(&replicas, own, self.echo_weight(policy));
        let median = self.median_steps_us.get(query.service);
        let median = median.copied().unwrap_or(0.0);
        replicas
            .into_iter()
            .map(|replica| {
                self.candidate(
                    replica,
                    query,
                    echo.estimate(replica, own, now),
                    median,
                    now,
                )
            })
            .collect()
    }

    fn candidate<'a>(
        &self,
        replica: &'a Replica,
        query: &RouteQuery<'_>,
        mut load: Estimate,
        median_step_us: f64,
        now: Timestamp,
    ) -> Candidate<'a> {
        let half_life = self.settings.slowness_half_life;
        let id = &replica.id;
        load.outstanding += self.ejections.penalty(id, now);
        Candidate {
            replica,
            load,
            cached_tokens: self.prefixes.expected_tokens(id, query.prefixes, now),
            slowness: self.speeds.slowness(id, median_step_us, half_life, now),
            round_trip: self.round_trip(&replica.failure_domain, query.home),
        }
    }

    /// The simple policies count what they say they count; they are the baselines.
    fn echo_weight(&self, policy: RoutingPolicy) -> f64 {
        match policy {
            RoutingPolicy::RoundRobin
            | RoutingPolicy::LeastOutstanding
            | RoutingPolicy::PowerOfTwoChoices => 0.0,
            RoutingPolicy::PrefixAffinity | RoutingPolicy::ExpectedLatency => {
                self.settings.peer_echo
            }
        }
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

fn choice(
    chosen: &Candidate<'_>,
    policy: RoutingPolicy,
    reason: ChoiceReason,
    query: &RouteQuery<'_>,
) -> Choice {
    Choice {
        replica: chosen.replica.clone(),
        policy,
        reason,
        is_remote: chosen.replica.failure_domain != *query.home,
        expected_outstanding: chosen.load.outstanding as u32,
        is_saturated: chosen.load.is_saturated(),
        expected_cached_tokens: TokenCount(chosen.cached_tokens as u64),
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
