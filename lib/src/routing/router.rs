//! The router, which chooses a replica for each request.

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
    PrefixCacheEstimate,
    Replica,
    ReplicaId,
    ReplicaSpeeds,
    RouteQuery,
    RouterSettings,
    RoutingSnapshot,
    choose_arm,
    domains::{
        has_home_reserve,
        retain_nearest_domain_with_capacity,
        retain_unsaturated, //
    },
    ejection::Ejections,
    estimate::{
        Estimate,
        PeerLoadEstimator, //
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

/// Round trip assumed for a failure domain to which none was measured.
///
/// The value only has to be longer than any measured round trip, so that an unmeasured domain
/// is tried last rather than never.
const UNMEASURED_ROUND_TRIP: Duration = Duration::from_millis(500);

/// Chooses replicas by load, distance, speed, failures and cached prefixes.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    round_robin_cursors: HashMap<ServiceName, usize>,
    prefixes: PrefixCacheEstimate,
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
    /// Returns a router without any measurements.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            round_robin_cursors: HashMap::new(),
            prefixes: PrefixCacheEstimate::new(settings.prefix_capacity, settings.doubt_half_life),
            speeds: ReplicaSpeeds::default(),
            distances: Distances::default(),
            ejections: Ejections::default(),
            median_steps_us: HashMap::new(),
        }
    }

    /// Chooses the replica for a request, or `None` if no replica can take it.
    ///
    /// `random` is a uniformly distributed number. The same inputs and earlier calls give the same
    /// choice.
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
        self.eject_outliers(query, snapshot, now);
        let all = self.candidates(query, snapshot, own, policy, now);
        if let Some(probed) = self.take_probe(query, &all, now) {
            return Some(choice(probed, policy, ChoiceReason::Probe, query));
        }
        let candidates = self.usable_candidates(all, query.home, policy);
        if candidates.is_empty() {
            return None;
        }
        let (index, reason) = self.pick(policy, query, &candidates, random);
        let chosen = candidates.get(index)?;
        Some(choice(chosen, policy, reason, query))
    }

    /// Returns the estimated number of requests of a service that can start now without waiting.
    ///
    /// Slots of ejected replicas do not count: only probes are sent to them, and the other
    /// replicas would get more requests than they have slots. If all replicas are ejected,
    /// all count.
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
        let estimator = PeerLoadEstimator::measure(&replicas, own, self.settings.peer_echo);
        let free: f64 = replicas
            .iter()
            .map(|replica| estimator.estimate(replica, own, now))
            .map(|load| load.free_slots().floor())
            .sum();
        free as u32
    }

    /// Returns the estimated contents of the replicas' prefix caches.
    pub fn prefixes(&self) -> &PrefixCacheEstimate {
        &self.prefixes
    }

    /// Applies a cache event that an engine reported.
    pub fn apply_cache_notice(&mut self, notice: &CacheNotice, now: Timestamp) {
        self.prefixes.apply(notice, now);
    }

    /// Records a complete answer: the replica's speed, and the prefixes that it has now cached.
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
            self.speeds.reset_replica(replica);
        }
        self.prefixes.record_answer(replica, prefixes, now);
    }

    /// Records that an attempt failed because of its replica.
    ///
    /// Not to be called when the replica refused for lack of capacity: such a replica is busy,
    /// not faulty.
    pub fn record_failure(&mut self, replica: &ReplicaId, now: Timestamp) {
        self.ejections.record_failure(replica, now);
    }

    /// Returns whether a replica is ejected for failures or slowness, so that only probes may be
    /// sent to it.
    pub fn is_ejected(&self, replica: &ReplicaId) -> bool {
        self.ejections.is_ejected(replica)
    }

    /// Records a measured round trip to a failure domain.
    pub fn record_round_trip(&mut self, domain: &FailureDomain, round_trip: Duration) {
        self.distances.record(domain, round_trip);
    }

    /// Returns the moving average of the time from sending a request to the end of its answer, or
    /// `None` before any answer.
    pub fn service_time(&self, service: &ServiceName) -> Option<Duration> {
        self.speeds.service_time(service)
    }

    /// Drops all measurements of replicas that are not in the snapshot.
    ///
    /// To be called with each new snapshot in which a replica is missing, so that memory stays
    /// bounded.
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
                let cursor = self
                    .round_robin_cursors
                    .entry(query.service.clone())
                    .or_default();
                policy::round_robin(candidates, cursor)
            }
            RoutingPolicy::LeastOutstanding => policy::least_outstanding(candidates, random),
            RoutingPolicy::PowerOfTwoChoices => policy::power_of_two(candidates, random),
            RoutingPolicy::PrefixAffinity => {
                policy::prefix_affinity(candidates, prefix_hash, &self.settings, random)
            }
            RoutingPolicy::ExpectedLatency => {
                policy::expected_latency(candidates, self.service_cost(query), random)
            }
        }
    }

    fn service_cost(&self, query: &RouteQuery<'_>) -> ServiceCost {
        let service_time = self.speeds.service_time(query.service);
        ServiceCost {
            service_us: service_time.map_or(1_000_000.0, |time| time.as_micros() as f64),
            prefill_us_per_token: self.speeds.prefill_us_per_token(query.service),
            prompt_tokens: query.prompt_tokens.0 as f64,
        }
    }

    /// Updates the service's median time between tokens; ejects outliers if a comparison is due.
    fn eject_outliers(
        &mut self,
        query: &RouteQuery<'_>,
        snapshot: &RoutingSnapshot,
        now: Timestamp,
    ) {
        let replicas = replicas_of(query.service, snapshot);
        let ids: Vec<&ReplicaId> = replicas.iter().map(|replica| &replica.id).collect();
        let median = self.speeds.median_step_us(ids.iter().copied());
        self.median_steps_us.insert(query.service.clone(), median);
        let half_life = self.settings.slowness_half_life;
        let speeds = &self.speeds;
        let slowness = |id: &ReplicaId| speeds.slowness(id, median, half_life, now);
        self.ejections
            .eject_outliers(query.service, &ids, slowness, now);
    }

    /// Returns the first candidate of the home domain that is due for a probe, if the request may
    /// probe.
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

    /// Returns the candidates that are not ejected, in the failure domains that the policy may use.
    ///
    /// If all candidates are ejected, all are used: a slow answer is better than none.
    fn usable_candidates<'a>(
        &self,
        mut all: Vec<Candidate<'a>>,
        home: &FailureDomain,
        policy: RoutingPolicy,
    ) -> Vec<Candidate<'a>> {
        let is_active =
            |candidate: &Candidate<'_>| !self.ejections.is_ejected(&candidate.replica.id);
        if all.iter().any(is_active) {
            all.retain(is_active);
        }
        match policy {
            RoutingPolicy::ExpectedLatency if !has_home_reserve(&all, home) => {
                retain_unsaturated(all, home)
            }
            _ => retain_nearest_domain_with_capacity(all, home),
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
        let estimator = PeerLoadEstimator::measure(&replicas, own, self.peer_load_weight(policy));
        let median = self.median_steps_us.get(query.service);
        let median = median.copied().unwrap_or(0.0);
        replicas
            .into_iter()
            .map(|replica| {
                self.candidate(
                    replica,
                    query,
                    estimator.estimate(replica, own, now),
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

    /// Returns the weight of the requests assumed of other daemons.
    ///
    /// The weight is zero for the simple policies, which compare reported and own requests alone,
    /// since they are the baselines of experiments.
    fn peer_load_weight(&self, policy: RoutingPolicy) -> f64 {
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
