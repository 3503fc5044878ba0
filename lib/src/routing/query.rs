//! Input and output of the router: the query for one request, the choice, and the settings.

use std::time::Duration;

use super::{
    Prefix,
    Replica,
    ReplicaId, //
};
use crate::{
    fleet::RoutingPolicy,
    prelude::*, //
};

/// Properties of a request by which the router chooses a replica.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Service that the caller named.
    pub service: &'a ServiceName,
    /// Id of the request, which selects the experiment's arm, so that retries stay in the same arm.
    pub request: &'a RequestId,
    /// Hash of the session key, if there is one; requests of one session share a prefix.
    pub session: Option<u64>,
    /// Hashes of the prompt's prefixes, the session's among them, the longest first.
    pub prefixes: &'a [Prefix],
    /// Replicas on which an earlier attempt of this request failed.
    pub excluded: &'a [ReplicaId],
    /// Failure domain of this daemon.
    pub home: &'a FailureDomain,
    /// Whether the request may be sent as a probe to an ejected replica; only for an idempotent
    /// request.
    pub may_probe: bool,
    /// Length of the prompt; zero if unknown, or for a plain service.
    pub prompt_tokens: TokenCount,
}

/// The replica chosen for a request, with the reason and the expected state of the replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Chosen replica, copied from the snapshot.
    pub replica: Replica,
    /// Policy of the request's arm, which made the choice.
    pub policy: RoutingPolicy,
    /// Reason for the choice.
    pub reason: ChoiceReason,
    /// Whether the replica is in another failure domain than the daemon.
    pub is_remote: bool,
    /// Expected number of requests that the replica runs or queues, without this one.
    pub expected_outstanding: u32,
    /// Whether the replica is expected to queue this request rather than run it.
    pub is_saturated: bool,
    /// Expected number of the prompt's tokens in the replica's prefix cache.
    pub expected_cached_tokens: TokenCount,
}

/// Reason for a choice; a closed set, so that each reason has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChoiceReason {
    /// The replica was the only candidate.
    OnlyReplica,
    /// Round robin reached the replica.
    Turn,
    /// The replica had the lowest utilization.
    LeastLoaded,
    /// The replica had the lower utilization of two sampled at random.
    LessLoadedOfTwo,
    /// The replica is expected to hold the longest cached prefix.
    CachedPrefix,
    /// No replica is known to hold the prefix, and the hash of the prefix picks this one.
    PrefixHash,
    /// All holders of the prefix were above the load bound; the hash of the prefix picks this one.
    LoadBound,
    /// The replica had the lowest expected time to the first token.
    LowestExpectedLatency,
    /// The replica is ejected, and this request probes whether it has recovered.
    Probe,
}

impl ChoiceReason {
    /// All reasons; a counter is registered for each.
    pub const ALL: [ChoiceReason; 9] = [
        ChoiceReason::OnlyReplica,
        ChoiceReason::Turn,
        ChoiceReason::LeastLoaded,
        ChoiceReason::LessLoadedOfTwo,
        ChoiceReason::CachedPrefix,
        ChoiceReason::PrefixHash,
        ChoiceReason::LoadBound,
        ChoiceReason::LowestExpectedLatency,
        ChoiceReason::Probe,
    ];

    /// Returns the reason's label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ChoiceReason::OnlyReplica => "only_replica",
            ChoiceReason::Turn => "turn",
            ChoiceReason::LeastLoaded => "least_loaded",
            ChoiceReason::LessLoadedOfTwo => "less_loaded_of_two",
            ChoiceReason::CachedPrefix => "cached_prefix",
            ChoiceReason::PrefixHash => "prefix_hash",
            ChoiceReason::LoadBound => "load_bound",
            ChoiceReason::LowestExpectedLatency => "lowest_expected_latency",
            ChoiceReason::Probe => "probe",
        }
    }
}

/// Parameters of the routing policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Factor on the mean utilization above which a replica gets no requests for its cached
    /// prefixes.
    pub prefix_load_bound: f64,
    /// Largest number of prefixes whose holders are stored.
    pub prefix_capacity: usize,
    /// Half-life of the doubt about a replica's cache after lost cache events.
    pub doubt_half_life: Duration,
    /// Half-life of a replica's measured slowness while no new answers arrive.
    pub slowness_half_life: Duration,
    /// Weight of the requests that other daemons are assumed to have sent since a load report, in
    /// proportion to this daemon's own; 0 assumes none.
    pub peer_echo: f64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            prefix_load_bound: 1.25,
            prefix_capacity: 65_536,
            doubt_half_life: Duration::from_secs(30),
            slowness_half_life: Duration::from_secs(30),
            peer_echo: 0.5,
        }
    }
}
