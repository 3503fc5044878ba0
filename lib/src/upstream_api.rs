//! What upstreams send to entry daemons, and what they are told; JSON over HTTP.

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
/// On requests to engines: the group the sender believes it addresses.
pub const HEADER_GROUP: &str = "x-cicadabend-group";
/// On requests to engines: the fencing token of that group, as one number.
pub const HEADER_FENCING_TOKEN: &str = "x-cicadabend-fencing-token";
/// On requests to engines: the stream position from which to resume.
pub const HEADER_RESUME_FROM: &str = "x-cicadabend-resume-from";
/// On refusals by engines: `true` says that the request did not start.
pub const HEADER_NOT_STARTED: &str = "x-cicadabend-not-started";

/// Returns the hash by which cache events name the prefix that a session's prompts share.
pub fn session_prefix_hash(session: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(session.as_bytes())
}

/// One announcement; it is also the heartbeat and the load report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The machine.
    pub vm: VmId,
    /// Drawn when the upstream process started.
    pub boot: BootId,
    /// Grows by one with each announcement of this boot.
    pub sequence: u64,
    /// Where the upstream takes requests and commands.
    pub address: Address,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its fabric domain.
    pub fabric_domain: FabricDomain,
    /// What it is.
    pub kind: UpstreamKind,
    /// Whether it wants no new work.
    pub leaving: bool,
    /// How many requests it runs side by side.
    pub slots: Slots,
    /// Its load when the report was made.
    pub load: LoadReport,
    /// Cache events since the last announcement; sequence numbers show gaps.
    #[serde(default)]
    pub cache_events: Vec<CacheEvent>,
}

/// What an upstream is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine, one member of a group.
    Engine(EngineState),
    /// A plain service of this name.
    Plain {
        /// The service it offers.
        service: ServiceName,
    },
}

/// What an engine holds and which command it last obeyed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// Its accelerators.
    pub accelerators: Accelerators,
    /// Weights it holds, as `MODEL@VERSION`, whether or not it serves them.
    #[serde(default)]
    pub weights: Vec<String>,
    /// The group it believes to be in.
    pub membership: Option<Membership>,
    /// The highest fencing token it has obeyed.
    pub highest_token: FencingToken,
    /// Whether it refuses lower tokens.
    pub checks_tokens: bool,
}

/// An engine's own view of the group it is in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// The token of the command that put it there.
    pub token: FencingToken,
    /// What it serves there.
    pub service: ServiceName,
    /// All members in rank order; the first takes the requests.
    pub members: Vec<VmId>,
    /// Whether the weights are loaded and the engine can serve.
    pub ready: bool,
}

/// How busy an upstream was.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests queued in the upstream.
    pub queued: u32,
    /// Share of the KV cache in use.
    pub cache_used_percent: Percent,
    /// How old the report was when it was sent.
    pub age_ms: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// Grows by one with each event of the boot.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix was stored (`true`) or evicted.
    pub stored: bool,
    /// Length of the prefix.
    pub tokens: TokenCount,
}

/// The answer to an announcement.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementReply {
    /// When to announce next at the latest.
    pub interval_ms: u64,
    /// How long the announcement keeps the upstream in use.
    pub lease_ms: u64,
}

/// A command to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The machine it is for; another one refuses.
    pub vm: VmId,
    /// Orders it against other commands.
    pub token: FencingToken,
    /// What to do.
    pub action: CommandAction,
}

/// What a command asks for; every action may be repeated without harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandAction {
    /// Load weights and adapters and be a member of a group.
    JoinGroup {
        /// The group.
        group: GroupId,
        /// What it serves.
        service: ServiceName,
        /// The weights.
        model: ModelName,
        /// Their version.
        version: String,
        /// Adapters beside them.
        adapters: Vec<String>,
        /// All members in rank order.
        members: Vec<VmId>,
    },
    /// Stop being a member of any group, finishing what runs.
    LeaveGroup,
    /// Load weights without joining a group, as a spare.
    LoadWeights {
        /// The weights.
        model: ModelName,
        /// Their version.
        version: String,
    },
}

/// What became of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandReply {
    /// It is being carried out; announcements show progress.
    Accepted,
    /// The token is lower than one already obeyed.
    StaleToken {
        /// The highest token obeyed.
        highest: FencingToken,
    },
    /// The command is for another machine.
    WrongVm {
        /// The machine that answered.
        vm: VmId,
    },
}
