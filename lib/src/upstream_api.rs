//! The API between upstreams and entry daemons, JSON over HTTP: announcements and commands.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::Address,
    prelude::*, //
};

/// Upstreams `POST` an [`Announcement`] here, on the upstream-facing listener.
pub const PATH_ANNOUNCE: &str = "/cicadabend/v1/announce";
/// Entry daemons `POST` a [`Command`] here, on the upstream.
pub const PATH_COMMANDS: &str = "/cicadabend/v1/commands";
/// Entry daemons `POST` to `PATH_CANCEL/REQUEST_ID` to stop a stream.
pub const PATH_CANCEL: &str = "/cicadabend/v1/cancel";
/// On requests to engines: the group for which the sender means the request.
pub const HEADER_GROUP: &str = "x-cicadabend-group";
/// On requests to engines: the fencing token of the group, as one number.
pub const HEADER_FENCING_TOKEN: &str = "x-cicadabend-fencing-token";
/// On requests to engines: the stream position from which to resume.
pub const HEADER_RESUME_FROM: &str = "x-cicadabend-resume-from";
/// On refusals by engines: `true` means that the request did not start.
pub const HEADER_NOT_STARTED: &str = "x-cicadabend-not-started";

/// Returns the hash by which cache events name the prefix that a session's prompts share.
pub fn session_prefix_hash(session: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(session.as_bytes())
}

/// An upstream's announcement, which is also its heartbeat and its load report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The upstream's VM.
    pub vm: VmId,
    /// The random number that the upstream process picked at its start.
    pub boot: BootId,
    /// The announcement's number; grows by one with each announcement of this process.
    pub sequence: u64,
    /// The address at which the upstream takes requests and commands.
    pub address: Address,
    /// The VM's failure domain.
    pub failure_domain: FailureDomain,
    /// The VM's fabric domain.
    pub fabric_domain: FabricDomain,
    /// Whether the upstream is a model engine or a plain service, with the engine's state.
    pub kind: UpstreamKind,
    /// Whether the upstream is leaving and must get no new requests.
    pub leaving: bool,
    /// The number of requests that the upstream runs concurrently.
    pub slots: Slots,
    /// The upstream's load when the report was made.
    pub load: LoadReport,
    /// Cache events since the last announcement; gaps in their sequence numbers show lost events.
    #[serde(default)]
    pub cache_events: Vec<CacheEvent>,
}

/// The kind of an upstream: a model engine or a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine, which can be a member of a group.
    Engine(EngineState),
    /// A plain service.
    Plain {
        /// The service that the upstream offers.
        service: ServiceName,
    },
}

/// An engine's weights, its group and its highest fencing token.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// The number of the engine's accelerators.
    pub accelerators: Accelerators,
    /// Weights that the engine has loaded, as `MODEL@VERSION`, whether or not it serves them.
    #[serde(default)]
    pub weights: Vec<String>,
    /// The group that the engine is a member of, by its own account.
    pub membership: Option<Membership>,
    /// The highest fencing token of the commands that the engine has accepted.
    pub highest_token: FencingToken,
    /// Whether the engine refuses commands with a lower token.
    pub checks_tokens: bool,
}

/// The group that an engine is a member of, by the engine's own account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// The token of the command by which the engine joined the group.
    pub token: FencingToken,
    /// The service that the group serves.
    pub service: ServiceName,
    /// All members in rank order; the first is the head and takes the requests.
    pub members: Vec<VmId>,
    /// Whether the weights are loaded and the engine can serve.
    pub ready: bool,
}

/// An upstream's load at one time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// The number of requests that run in the upstream.
    pub running: u32,
    /// The number of requests that wait in the upstream's queue.
    pub queued: u32,
    /// The share of the KV cache that is in use, in percent.
    pub cache_used_percent: Percent,
    /// The report's age in milliseconds when it was sent.
    pub age_ms: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// The event's number; grows by one with each event of the engine process.
    pub sequence: u64,
    /// The hash of the prefix, by [`session_prefix_hash`].
    pub prefix_hash: u64,
    /// Whether the prefix was stored (`true`) or evicted (`false`).
    pub stored: bool,
    /// The length of the prefix in tokens.
    pub tokens: TokenCount,
}

/// The answer to an announcement.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementReply {
    /// The time in milliseconds within which the upstream must announce itself again.
    pub interval_ms: u64,
    /// The length of the lease that the announcement renews, in milliseconds. The upstream counts
    /// as dead when the lease ends without another announcement.
    pub lease_ms: u64,
}

/// A command to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The VM that the command is for; the engine of any other VM refuses it.
    pub vm: VmId,
    /// The fencing token, by which the engine recognises an outdated command.
    pub token: FencingToken,
    /// The action that the engine carries out.
    pub action: CommandAction,
}

/// The action that a command requests; every action is idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandAction {
    /// Loads weights and adapters and joins a group.
    JoinGroup {
        /// The group.
        group: GroupId,
        /// The service that the group serves.
        service: ServiceName,
        /// The model whose weights are loaded.
        model: ModelName,
        /// The version of the weights.
        version: String,
        /// The adapters that are loaded in addition to the weights.
        adapters: Vec<String>,
        /// All members in rank order.
        members: Vec<VmId>,
    },
    /// Leaves the group, if any; the engine finishes the requests that run.
    LeaveGroup,
    /// Loads weights without joining a group, so that a spare VM can join faster later.
    LoadWeights {
        /// The model whose weights are loaded.
        model: ModelName,
        /// The version of the weights.
        version: String,
    },
}

/// An engine's answer to a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandReply {
    /// The engine carries out the command; its announcements show the progress.
    Accepted,
    /// The command's token is lower than that of a command already accepted.
    StaleToken {
        /// The highest token of the commands that the engine has accepted.
        highest: FencingToken,
    },
    /// The command is for another VM.
    WrongVm {
        /// The VM of the engine that answered.
        vm: VmId,
    },
}
