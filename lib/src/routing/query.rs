//! What is asked of the router, and its answer.

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

/// What the router needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The service the caller named.
    pub service: &'a ServiceName,
    /// The request; it decides the policy arm, so that retries stay in it.
    pub request: &'a RequestId,
    /// Hash of the session key; requests of one session share a prefix.
    pub session: Option<u64>,
    /// Hashes of the prompt's prefixes, the session's among them, the longest first.
    pub prefixes: &'a [Prefix],
    /// Replicas that this request has already failed on.
    pub excluded: &'a [ReplicaId],
    /// The daemon's own failure domain.
    pub home: &'a FailureDomain,
    /// Whether it may go to a replica that was slow or failing, to find out whether it
    /// still is; only for a request that may be repeated.
    pub may_probe: bool,
    /// Length of the prompt, zero if unknown or not a model's.
    pub prompt_tokens: TokenCount,
}

/// Where a request goes, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The replica, as the snapshot had it.
    pub replica: Replica,
    /// The policy that decided.
    pub policy: RoutingPolicy,
    /// What tipped the balance.
    pub reason: ChoiceReason,
    /// Whether the replica is in another failure domain than the daemon.
    pub is_remote: bool,
    /// How many requests the replica is expected to have, without this one.
    pub expected_outstanding: u32,
    /// Whether the replica is expected to queue this request rather than run it.
    pub is_saturated: bool,
    /// How many tokens of the prompt the replica is expected to hold.
    pub expected_cached_tokens: TokenCount,
}

/// What tipped the balance; closed, so that each has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChoiceReason {
    /// No other replica could take the request.
    OnlyReplica,
    /// It was the replica's turn.
    Turn,
    /// It had the fewest requests.
    LeastLoaded,
    /// It had fewer requests than the other one drawn.
    LessLoadedOfTwo,
    /// It holds the longest prefix.
    CachedPrefix,
    /// The prefix is unknown, and its hash names this replica.
    PrefixHash,
    /// The replica with the prefix was loaded beyond the bound.
    LoadBound,
    /// Its expected time to the first token was the lowest.
    LowestExpectedLatency,
    /// It was slow or failing, and this request finds out whether it still is.
    Probe,
}

impl ChoiceReason {
    /// Every reason, for counters.
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

    /// Returns the reason as it stands in counters.
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

/// Parameters of the policies; the defaults are those that measurement chose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// How far above the mean load a replica may be and still get its prefixes, as a factor.
    pub prefix_load_bound: f64,
    /// The most prefixes that are remembered.
    pub prefix_capacity: usize,
    /// How long doubt about a replica's cache takes to fall by half.
    pub doubt_half_life: Duration,
    /// How long a replica's measured slowness takes to be half forgotten without new answers.
    pub slowness_half_life: Duration,
    /// How much of the daemon's own new requests the other daemons are taken to have sent too.
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
