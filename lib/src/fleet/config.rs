//! The configuration that an operator states and every daemon serves by.
//!
//! The same types are the intent file (JSON) and the accepted state that spreads
//! between daemons (postcard), so no attribute here may need a self-describing format.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// Everything that operators decide; the whole of it is replaced by each revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// What callers can name, by the name they use.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Who may call, and how much.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, Team>,
    /// VMs that must not be members of any group.
    #[serde(default)]
    pub drained_vms: BTreeSet<VmId>,
    /// How incomplete groups are repaired.
    #[serde(default)]
    pub recovery: RecoverySettings,
}

/// What stands behind a name that callers use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// A language model served by groups of VMs.
    Model(ModelService),
    /// A plain HTTP service.
    Plain(PlainService),
}

/// A model service: what runs, how many groups of how many VMs, and how requests are routed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelService {
    /// The weights to load.
    pub model: ModelName,
    /// The version of the weights.
    pub version: String,
    /// Adapters to load beside the weights.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// How many VMs make one group.
    pub vms_per_group: u32,
    /// How many groups each failure domain should have.
    pub groups_by_failure_domain: BTreeMap<FailureDomain, u32>,
    /// How many VMs each failure domain keeps ready with the weights loaded.
    #[serde(default)]
    pub spare_vms_by_failure_domain: BTreeMap<FailureDomain, u32>,
    /// Whether one group may take VMs of several fabric domains.
    #[serde(default)]
    pub may_span_fabric_domains: bool,
    /// Routing policies under trial and their share of the traffic; shares sum to 100.
    pub routing: Vec<RoutingArm>,
}

/// One routing policy and the share of requests it decides.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingArm {
    /// The policy.
    pub policy: RoutingPolicy,
    /// Its share of the service's requests.
    pub share_percent: Percent,
}

/// How a replica is chosen for a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// Each replica in turn; the baseline.
    RoundRobin,
    /// The replica with the fewest requests by its last report and the daemon's own count.
    LeastOutstanding,
    /// The less loaded of two drawn at random.
    PowerOfTwoChoices,
    /// The replica that holds the longest prefix, unless it is loaded beyond a bound.
    PrefixAffinity,
    /// The lowest sum of expected queueing, prefill and network time.
    ExpectedLatency,
}

/// A plain service: requests are passed through unchanged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Routing policies under trial and their share of the traffic; shares sum to 100.
    pub routing: Vec<RoutingArm>,
    /// Whether methods that HTTP calls unsafe may be sent again after a failure.
    #[serde(default)]
    pub unsafe_methods_are_repeatable: bool,
}

/// A team: its key and its limits over all entry daemons together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of the API key, in hexadecimal.
    pub api_key_sha256: String,
    /// Share of the capacity against other teams when all want more than there is.
    pub weight: u32,
    /// The most requests a second over the whole fleet.
    pub requests_per_second: RatePerSecond,
    /// The most requests at once over the whole fleet.
    pub max_concurrent_requests: u32,
}

/// How incomplete groups are repaired, and what the deployment weighs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RecoverySettings {
    /// The policy in force.
    pub policy: RecoveryPolicy,
    /// Cost of one second in which one group does not serve.
    pub group_downtime_weight: u32,
    /// Cost of one second in which one healthy accelerator cannot serve.
    pub stranded_accelerator_weight: u32,
    /// How long a lost VM is expected to need to come back.
    pub expected_return_ms: u64,
    /// How long loading the weights on one VM takes when nothing else loads.
    pub weight_load_ms: u64,
    /// How many VMs the weight store serves at full rate at once.
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
    /// Rebuilds at once from whatever VMs are free; the second baseline.
    AlwaysRebuild,
    /// Compares waiting, a spare, rebuilding and merging by the deployment's weights.
    LowestCost,
}

/// A control daemon that votes.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Voter {
    /// The daemon's name.
    pub daemon: DaemonId,
    /// Drawn when its data folder was made; a new disk is a new voter.
    pub disk: u64,
}
