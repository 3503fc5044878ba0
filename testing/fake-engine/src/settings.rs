//! Settings of a process of fake upstreams.

use std::collections::BTreeMap;

use cicadabend::{
    ids::Address,
    prelude::*, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Everything a process of fake upstreams is told when it starts.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VMs that this process plays.
    pub vms: Vec<VmSettings>,
    /// Where VMs of other processes listen; `POST /fake/peers` adds to it.
    #[serde(default)]
    pub peers: BTreeMap<VmId, Address>,
}

/// One VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Its name.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its fabric domain.
    pub fabric_domain: FabricDomain,
    /// Where it listens; port 0 takes one from the operating system.
    pub listen: Address,
    /// The address it announces, if it is not the one it listens on: a proxy's, for instance.
    #[serde(default)]
    pub advertise: Option<Address>,
    /// The upstream-facing listeners of entry daemons; `POST /fake/announce-to` replaces it.
    #[serde(default)]
    pub announce_to: Vec<Address>,
    /// The longest time between two announcements; an entry daemon's reply may shorten it.
    #[serde(default = "default_announce_interval_ms")]
    pub announce_interval_ms: u64,
    /// How old the load is that announcements report.
    #[serde(default)]
    pub report_lag_ms: u64,
    /// How long the VM goes on listening after it announced that it is leaving.
    #[serde(default = "default_leave_notice_ms")]
    pub leave_notice_ms: u64,
    /// How long running requests may take to end after that.
    #[serde(default = "default_leave_timeout_ms")]
    pub leave_timeout_ms: u64,
    /// How many requests run side by side.
    #[serde(default = "default_slots")]
    pub slots: Slots,
    /// What it is.
    pub kind: KindSettings,
}

/// What a VM plays.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KindSettings {
    /// A model engine.
    Engine(EngineSettings),
    /// A plain service.
    Plain(PlainSettings),
}

/// A model engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Its accelerators.
    pub accelerators: Accelerators,
    /// Weights it holds from the start, as `MODEL@VERSION`.
    pub weights: Vec<String>,
    /// How many weights it holds at once.
    pub max_weights: usize,
    /// Whether it refuses outdated tokens.
    pub checks_tokens: bool,
    /// How long it loads weights that it does not hold.
    pub weight_load_ms: u64,
    /// Prefill time of one prompt token that is not cached.
    pub prefill_us_per_token: u64,
    /// Time between two tokens of a request that runs alone.
    pub token_interval_us: u64,
    /// By how much each further running request lengthens that time.
    pub batch_slowdown_percent: u64,
    /// The memory of the prefix cache, in tokens.
    pub cache_tokens: TokenCount,
    /// How often a first member looks whether the others are alive.
    pub member_check_ms: u64,
    /// After what silence another member counts as dead.
    pub member_timeout_ms: u64,
    /// A group that it is a member of from the start, for use without entry daemons.
    pub initial_group: Option<InitialGroup>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            accelerators: Accelerators(8),
            weights: Vec::new(),
            max_weights: 2,
            checks_tokens: true,
            weight_load_ms: 500,
            prefill_us_per_token: 20,
            token_interval_us: 5_000,
            batch_slowdown_percent: 3,
            cache_tokens: TokenCount(65_536),
            member_check_ms: 100,
            member_timeout_ms: 500,
            initial_group: None,
        }
    }
}

/// A group that exists without a command.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InitialGroup {
    /// The group.
    pub group: GroupId,
    /// What it serves.
    pub service: ServiceName,
    /// All members in rank order.
    pub members: Vec<VmId>,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainSettings {
    /// The service it offers.
    pub service: ServiceName,
    /// How long one request takes.
    #[serde(default)]
    pub service_time_ms: u64,
}

fn default_announce_interval_ms() -> u64 {
    200
}

fn default_leave_notice_ms() -> u64 {
    1_000
}

fn default_leave_timeout_ms() -> u64 {
    60_000
}

fn default_slots() -> Slots {
    Slots(16)
}
