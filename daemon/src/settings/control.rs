//! Settings of a control daemon.

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

/// Everything a control daemon is told when it starts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The deployment.
    pub cluster: ClusterName,
    /// This daemon's name.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The one folder for everything that must survive.
    pub data_folder: String,
    /// Megabytes of memory that the process may use; the bodies of all requests together get a
    /// quarter of it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Towards operators.
    pub operators: OperatorSettings,
    /// Where this daemon listens for peers.
    pub peer_listen: Address,
    /// All processes of the cluster, if they are listed; this one may be among them.
    #[serde(default)]
    pub peers: Vec<PeerAddress>,
    /// How daemons find each other if they are not listed.
    #[serde(default)]
    pub membership: Option<MembershipSettings>,
    /// Groups that control forms from engines that report to it.
    #[serde(default)]
    pub groups: GroupSettings,
    /// Timing of the agreement.
    #[serde(default)]
    pub agreement: AgreementSettings,
    /// How long the key of a request that must run at most once is remembered.
    #[serde(default = "default_claim_retention_ms")]
    pub claim_retention_ms: u64,
    /// Logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricSettings,
}

/// The listener for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Where operators connect.
    pub listen: Address,
    /// The file that holds one accepted token on each line, as `OPERATOR TOKEN`; without
    /// one nobody is an operator by token.
    #[serde(default)]
    pub token_file: Option<String>,
    /// The most bytes of one request.
    #[serde(default = "default_max_request_bytes")]
    pub max_request_bytes: ByteCount,
}

/// Groups that control forms from engines that report to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct GroupSettings {
    /// How long a new leader listens to reports before its first order.
    pub settle_ms: u64,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self { settle_ms: 1_600 }
    }
}

/// Timing of the agreement among control daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgreementSettings {
    /// The shortest time without a leader's message before an election.
    pub election_timeout_ms: u64,
    /// How often the leader sends.
    pub heartbeat_ms: u64,
    /// By how many hundredths two clocks' rates may differ.
    pub clock_rate_error_percent: Percent,
    /// How many log entries are kept behind a snapshot before the log is compacted.
    pub compact_after_entries: u64,
}

impl Default for AgreementSettings {
    fn default() -> Self {
        Self {
            election_timeout_ms: 1_000,
            heartbeat_ms: 150,
            clock_rate_error_percent: Percent(5),
            compact_after_entries: 1_024,
        }
    }
}

fn default_max_request_bytes() -> ByteCount {
    ByteCount(4 * 1024 * 1024)
}

fn default_claim_retention_ms() -> u64 {
    3_600_000
}
