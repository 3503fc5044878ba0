//! Settings that every daemon has.

use cicadabend::{
    ids::Address,
    prelude::*, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// One process of the cluster, as the others reach it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    /// Its name.
    pub daemon: DaemonId,
    /// What it does.
    pub role: PeerRole,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where this process reaches it.
    pub address: Address,
}

/// What a process of the cluster does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRole {
    /// Serves callers and coordinates its failure domain.
    Entry,
    /// Keeps the agreed configuration on disk.
    Control,
}

/// How daemons find each other without a list.
///
/// Daemons that do so are named by their IP number, so that a seed's address names it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipSettings {
    /// Addresses of a few control daemons; only their IP numbers count.
    pub seeds: Vec<Address>,
    /// The port on which every daemon hears its peers.
    pub peer_port: u16,
    /// Where other daemons reach this one, if not at `peer_listen`: behind an address
    /// translation or a proxy.
    #[serde(default)]
    pub advertised_peer: Option<Address>,
    /// Whether the seeds found the fleet; only at its very first start, on empty disks.
    #[serde(default)]
    pub may_found: bool,
    /// How often daemons say hello to control daemons.
    #[serde(default = "default_hello_interval_ms")]
    pub hello_interval_ms: u64,
}

/// Bytes of memory in the unit of the settings.
const BYTES_PER_MB: u64 = 1_000_000;

/// Returns one of `parts` equal parts of a process's memory.
pub fn memory_share(memory_mb: u64, parts: u64) -> ByteCount {
    ByteCount(memory_mb.saturating_mul(BYTES_PER_MB) / parts)
}

pub(super) fn default_memory_mb() -> u64 {
    256
}

fn default_hello_interval_ms() -> u64 {
    400
}

impl MembershipSettings {
    /// Returns the seeds by name, with the addresses at which they hear their peers.
    pub fn seed_peers(&self) -> Vec<(DaemonId, Address)> {
        let peer = |seed: &Address| {
            let name = seed.ip().to_string().parse().ok()?;
            Some((name, Address::new(seed.ip(), self.peer_port)))
        };
        self.seeds.iter().filter_map(peer).collect()
    }
}

/// Where log lines go and which ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The lowest level written.
    pub level: LogLevel,
    /// Where lines go if no file is named.
    pub output: LogOutput,
    /// The file that lines are appended to.
    pub file: Option<String>,
    /// How a line is written.
    pub format: LogFormat,
}

/// The stream that log lines go to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    #[default]
    Stderr,
}

/// The lowest level of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Something is lost or will be.
    Error,
    /// Something unexpected that the system handles by itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Detail for a developer.
    Debug,
    /// Everything, that of libraries included.
    Trace,
}

/// How a log line is written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Time, level, thread, code, text, then `key=value`.
    #[default]
    Text,
    /// One JSON object on each line.
    Json,
}

/// Where counters go.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricSettings {
    /// The StatsD server that takes UDP packets; no metrics are sent if absent.
    pub statsd: Option<Address>,
    /// Where `GET /metrics` answers the counters as JSON; not served if absent.
    pub listen: Option<Address>,
}
