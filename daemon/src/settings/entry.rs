//! Settings of an entry daemon.

use cicadabend::{
    ids::Address,
    prelude::*, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    LogSettings,
    MembershipSettings,
    MetricSettings,
    PeerAddress,
    shared::default_memory_mb, //
};

/// Everything an entry daemon is told when it starts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The deployment.
    pub cluster: ClusterName,
    /// This daemon's name.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Megabytes of memory that the process may use; the bodies of all requests together get a
    /// quarter of it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Towards callers.
    pub callers: CallerSettings,
    /// Towards upstreams.
    pub upstreams: UpstreamSettings,
    /// Where this daemon listens for peers.
    pub peer_listen: Address,
    /// Where other entry daemons connect to have requests relayed; `None` if this one relays none.
    #[serde(default)]
    pub relay_listen: Option<Address>,
    /// All processes of the cluster, if they are listed; this one may be among them.
    #[serde(default)]
    pub peers: Vec<PeerAddress>,
    /// How daemons find each other if they are not listed.
    #[serde(default)]
    pub membership: Option<MembershipSettings>,
    /// How often requests may be sent once more.
    #[serde(default)]
    pub retries: RetrySettings,
    /// Timing inside the failure domain.
    #[serde(default)]
    pub domain: DomainSettings,
    /// Logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricSettings,
}

/// Connections of callers for each megabyte of memory; each may take some 190 KB with its buffers.
const CONNECTIONS_PER_MB: u64 = 5;

impl EntrySettings {
    /// Returns the most connections of callers at once, by the settings and by the memory.
    pub fn max_connections(&self) -> usize {
        let by_memory = self.memory_mb.saturating_mul(CONNECTIONS_PER_MB);
        let limit = u64::from(self.callers.max_connections).min(by_memory);
        usize::try_from(limit).unwrap_or(usize::MAX)
    }
}

/// The listener for callers and its limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Where callers connect.
    pub listen: Address,
    /// Where the balancer asks whether to send callers here; any path answers.
    #[serde(default)]
    pub ready_listen: Option<Address>,
    /// The most connections at once.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// The most bytes of headers of one request.
    #[serde(default = "default_max_header_bytes")]
    pub max_header_bytes: ByteCount,
    /// The most bytes of one body.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: ByteCount,
    /// How long a caller may take for its headers, and between parts of its body.
    #[serde(default = "default_read_timeout_ms")]
    pub read_timeout_ms: u64,
    /// How long a request may wait for its first byte if the caller names no deadline.
    #[serde(default = "default_first_byte_timeout_ms")]
    pub first_byte_timeout_ms: u64,
    /// How long the listener stays open after readiness went, so that the balancer sees it.
    #[serde(default = "default_drain_notice_ms")]
    pub drain_notice_ms: u64,
    /// How long running requests may take to end after that; later ones with a later deadline are refused.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// How many requests may wait in this daemon.
    #[serde(default = "default_queue_capacity")]
    pub queue_capacity: u32,
}

/// The listener for announcements and the terms on which they count.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Where upstreams announce themselves; needed where daemons are listed.
    #[serde(default)]
    pub listen: Option<Address>,
    /// How often an upstream is asked to announce itself.
    #[serde(default = "default_announce_interval_ms")]
    pub announce_interval_ms: u64,
    /// How long an announcement keeps its upstream in use.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// How long a connection to an upstream may take.
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_timeout_ms: u64,
}

/// How often requests may be sent once more, over all entry daemons together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySettings {
    /// Repeats for each request in the window.
    pub budget_ratio: f64,
    /// Repeats that are free in each window, for all entry daemons together.
    pub budget_slack: u32,
    /// The window.
    pub window_ms: u64,
    /// The part of a service's answers that are not late, by what was learnt of them.
    pub late_quantile: f64,
    /// How many times as long as that an answer may take before a second upstream is asked.
    pub late_factor: f64,
    /// How much longer still, for the daemon's own scheduling.
    pub late_margin_ms: u64,
    /// How many times the time that is expected of its size a request to an engine may take at
    /// least before a second one is asked.
    pub expected_factor: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget_ratio: 0.2,
            budget_slack: 100,
            window_ms: 10_000,
            late_quantile: 0.99,
            late_factor: 1.25,
            late_margin_ms: 5,
            expected_factor: 4.0,
        }
    }
}

/// Timing inside the failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DomainSettings {
    /// How long the domain leader's lease lasts without renewal.
    pub leader_lease_ms: u64,
    /// How often it is renewed.
    pub heartbeat_ms: u64,
    /// By how many hundredths two clocks' rates may differ.
    pub clock_rate_error_percent: Percent,
    /// How long a new leader listens to announcements before its first command.
    pub settle_ms: u64,
}

impl Default for DomainSettings {
    fn default() -> Self {
        Self {
            leader_lease_ms: 2_000,
            heartbeat_ms: 400,
            clock_rate_error_percent: Percent(5),
            settle_ms: 1_500,
        }
    }
}

fn default_max_connections() -> u32 {
    4_096
}

fn default_max_header_bytes() -> ByteCount {
    ByteCount(32 * 1024)
}

fn default_max_body_bytes() -> ByteCount {
    ByteCount(16 * 1024 * 1024)
}

fn default_read_timeout_ms() -> u64 {
    15_000
}

fn default_first_byte_timeout_ms() -> u64 {
    30_000
}

fn default_drain_notice_ms() -> u64 {
    2_000
}

fn default_drain_timeout_ms() -> u64 {
    60_000
}

fn default_queue_capacity() -> u32 {
    2_048
}

fn default_announce_interval_ms() -> u64 {
    500
}

fn default_lease_ms() -> u64 {
    2_000
}

fn default_connect_timeout_ms() -> u64 {
    1_000
}
