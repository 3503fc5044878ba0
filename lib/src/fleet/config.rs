//! The configuration that operators write and all daemons use.
//!
//! The same types are the intent file (JSON) and the accepted state that is sent between daemons
//! (postcard), so no attribute here may need a self-describing format.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// The whole configuration of the fleet; each revision replaces all of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The services, by the name that callers use.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// The teams that may call, with their keys and limits.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, Team>,
    /// VMs that must not be members of any group.
    #[serde(default)]
    pub drained_vms: BTreeSet<VmId>,
    /// How incomplete groups are repaired.
    #[serde(default)]
    pub recovery: RecoverySettings,
}

/// A service that callers can name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// A language model served by groups of VMs.
    Model(ModelService),
    /// A plain HTTP service.
    Plain(PlainService),
}

/// A model service: its weights, the number and size of its groups, and its routing policies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelService {
    /// The model whose weights to load.
    pub model: ModelName,
    /// The version of the weights.
    pub version: String,
    /// Adapters to load beside the weights.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// The number of VMs of each group.
    pub vms_per_group: u32,
    /// The number of groups that each failure domain should have.
    pub groups_by_failure_domain: BTreeMap<FailureDomain, u32>,
    /// The number of VMs that each failure domain keeps ready with the weights loaded.
    #[serde(default)]
    pub spare_vms_by_failure_domain: BTreeMap<FailureDomain, u32>,
    /// Whether one group may span VMs of several fabric domains.
    #[serde(default)]
    pub may_span_fabric_domains: bool,
    /// Routing policies under trial and their share of the traffic; shares sum to 100.
    pub routing: Vec<RoutingArm>,
}

/// One routing policy and the share of requests that it routes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingArm {
    /// The policy.
    pub policy: RoutingPolicy,
    /// The share of the service's requests that this policy routes, in percent.
    pub share_percent: Percent,
}

/// How a replica is chosen for a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// Each replica in turn; the baseline.
    RoundRobin,
    /// The replica with the fewest outstanding requests, by its last report and the daemon's own
    /// count.
    LeastOutstanding,
    /// The less loaded of two replicas picked at random.
    PowerOfTwoChoices,
    /// The replica with the longest cached prefix of the prompt, unless its load exceeds a bound.
    PrefixAffinity,
    /// The replica with the lowest sum of expected queueing, prefill and network time.
    ExpectedLatency,
}

/// A plain service: requests are passed through unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Routing policies under trial and their share of the traffic; shares sum to 100.
    pub routing: Vec<RoutingArm>,
    /// Whether requests with methods that HTTP calls unsafe may be retried after a failure.
    #[serde(default)]
    pub unsafe_methods_are_repeatable: bool,
}

/// A team: its key and its limits over all entry daemons together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of the API key, in hexadecimal.
    pub api_key_sha256: String,
    /// The weight of the team against others when demand exceeds capacity.
    pub weight: u32,
    /// The highest rate of requests over all entry daemons, per second.
    pub requests_per_second: RatePerSecond,
    /// The highest number of concurrent requests over all entry daemons.
    pub max_concurrent_requests: u32,
}

/// The repair policy for incomplete groups, and the costs by which it decides.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RecoverySettings {
    /// The policy in force.
    pub policy: RecoveryPolicy,
    /// The cost of one second in which one group does not serve.
    pub group_downtime_weight: u32,
    /// The cost of one second in which one healthy accelerator cannot serve.
    pub stranded_accelerator_weight: u32,
    /// The expected time until a lost VM returns, in milliseconds.
    pub expected_return_ms: u64,
    /// The time to load the weights on one VM while no other VM loads, in milliseconds.
    pub weight_load_ms: u64,
    /// The number of VMs that the weight store serves at full rate at once.
    pub concurrent_weight_loads: u32,
}

impl Default for RecoverySettings {
    fn default() -> Self {
        Self {
            policy: RecoveryPolicy::LowestCost,
            group_downtime_weight: 1,
            stranded_accelerator_weight: 1,
            expected_return_ms: 60_000,
            weight_load_ms: 30_000,
            concurrent_weight_loads: 4,
        }
    }
}

/// How a group that lost a member is repaired.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecoveryPolicy {
    /// Waits for the lost VM, however long; the baseline.
    AlwaysWait,
    /// Rebuilds at once from any free VMs; the second baseline.
    AlwaysRebuild,
    /// Compares waiting, a spare, rebuilding and merging by the deployment's weights.
    LowestCost,
}

/// A voting member among the control daemons.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Voter {
    /// The daemon's name.
    pub daemon: DaemonId,
    /// A random number, chosen when the data folder was created; a new disk is a new voter.
    pub disk: u64,
}
