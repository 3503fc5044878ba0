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

/// Where log lines go and which ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The lowest level written.
    pub level: LogLevel,
    /// The file that lines are appended to; standard error if absent.
    pub file: Option<String>,
    /// How a line is written.
    pub format: LogFormat,
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
