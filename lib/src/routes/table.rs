//! Types of the route table.

use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::prelude::*;

/// Version of a route table, set by the operator; the table with the highest one is in force.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RouteVersion(pub u64);

impl fmt::Display for RouteVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A route table as the operator sent it, with its parsed form.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteDocument {
    /// Version of the table, set by the operator.
    pub version: RouteVersion,
    /// Bytes that the operator sent, returned unchanged when the operator reads the table.
    pub text: Vec<u8>,
    /// Table parsed from `text`.
    pub table: RouteTable,
}

/// Routes, services, limits and teams, by which requests are routed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteTable {
    /// Version of the table, set by the operator.
    pub version: RouteVersion,
    /// All routes of the table.
    pub routes: Vec<Route>,
    /// Services that routes name as targets.
    pub services: BTreeMap<ServiceName, RoutedService>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Teams whose keys are accepted; `None` accepts all callers, with or without a key.
    pub teams: Option<Vec<KeyedTeam>>,
}

/// Kind of a route's requests, by which retries and streaming are decided.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests are idempotent: each may run more than once.
    Safe,
    /// Requests must each run at most once.
    Unsafe,
    /// Requests are answered by a stream of numbered events.
    Stream {
        /// Whether another replica may resume a broken stream at the next event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether requests are idempotent, so that each may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A route: the requests of one host under one path prefix, with their targets and deadlines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route, shown to operators.
    pub name: String,
    /// Host that requests name, in lower case and without a port.
    pub host: String,
    /// Prefix of the requests' paths.
    pub path_prefix: String,
    /// Kind of the requests, by which retries and streaming are decided.
    pub kind: RouteKind,
    /// Longest time that a request may wait for its answer, in milliseconds.
    pub timeout_ms: u64,
    /// Objective for the time of an answer, in milliseconds; a later answer does not have its full
    /// value.
    pub objective_ms: u64,
    /// Objective for the longest pause between two events of a stream, in milliseconds.
    pub gap_objective_ms: Option<u64>,
    /// Priority of the requests; 0 is served first.
    pub priority: u8,
    /// Services among which the requests are split, by weight.
    pub targets: Vec<RouteTarget>,
    /// Largest number of upstreams to which one request may be sent, the first included.
    pub most_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
}

/// One of the services among which a route's requests are split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTarget {
    /// Service that takes the requests.
    pub service: ServiceName,
    /// Weight of the service; its share of the requests is the weight divided by the sum of the
    /// route's weights.
    pub weight: u64,
}

/// Properties of a service that routes may name as a target.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoutedService {
    /// Largest number of connections that one upstream accepts, from all its clients together.
    pub most_connections: u32,
    /// Properties of the service's engines; `None` if its upstreams are not engines.
    pub engine: Option<EngineTraits>,
}

/// Properties that all engines of a service share.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineTraits {
    /// Number of requests that a group runs at once.
    pub slots: u32,
    /// Capacity of a group's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Models that groups may serve.
    pub models: Vec<ModelTraits>,
    /// Times of the engines' prefill and decode steps, and network delays.
    pub timing: Timing,
    /// Largest rate of starts of weight loads, per second; 0 is no limit.
    pub loads_per_s: f64,
    /// Number of weight loads that run at full speed at once.
    pub loads_at_once: u32,
    /// Number of models whose weights a host keeps staged.
    pub staged_kept: u32,
    /// Factor by which a group that spans fabric domains is slower.
    pub far_factor: f64,
    /// Time that opening a group takes, in milliseconds.
    pub form_ms: f64,
}

/// Properties of one model that a service's engines may run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelTraits {
    /// Name of the model.
    pub name: ModelName,
    /// Number of engines in a group that serves the model.
    pub size: u32,
    /// Initial share of the service's engines that serve the model, 0 to 1.
    pub share: f64,
    /// Factor on all times of a group that serves the model.
    pub pace: f64,
    /// Time to load the model's weights from the store, in milliseconds.
    pub load_ms: f64,
    /// Time to start the model from weights staged on the host, in milliseconds.
    pub warmup_ms: f64,
}

/// Cost model of an engine: times of prefill and decode steps, and network delays.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Timing {
    /// Base time of one decode step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a decode step, in milliseconds.
    pub per_request_ms: f64,
    /// Time that each 1,000 tokens of a decoding request's context add to a decode step, in
    /// milliseconds.
    pub per_1000_context_ms: f64,
    /// Prefill rate, in prompt tokens per second.
    pub read_tokens_per_s: f64,
    /// Time that attention adds to prefill per million pairs of a token with an earlier one, in
    /// milliseconds.
    pub per_million_pairs_ms: f64,
    /// Largest number of prompt tokens in one prefill chunk.
    pub chunk_tokens: u64,
    /// Number of decode steps that the engine makes before it goes on with the next prompt, while
    /// any request decodes.
    pub steps_per_pass: u32,
    /// Mean number of prompt tokens of a request.
    pub usual_prompt_tokens: f64,
    /// Mean number of answer tokens of a request.
    pub usual_answer_tokens: f64,
    /// One-way network delays between failure domains; a pair that is not listed has none.
    pub delays: Vec<ZoneDelay>,
}

/// One-way network delay between two failure domains, the same in both directions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneDelay {
    /// One of the two failure domains.
    pub from: FailureDomain,
    /// The other failure domain.
    pub to: FailureDomain,
    /// Delay in one direction, in milliseconds.
    pub delay_ms: f64,
}

/// Limits on the size and duration of callers' requests.
///
/// The daemon's own settings apply to each size that the table does not set, and to the timeouts if
/// the table sets neither of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest size of a request's line and headers, in bytes.
    pub header_bytes: Option<u64>,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: Option<u64>,
    /// Longest time that receiving a request's line and headers may take, in milliseconds.
    pub header_timeout_ms: Option<u64>,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: Option<u64>,
}

/// A team with the keys that identify its callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyedTeam {
    /// Name of the team.
    pub name: TeamName,
    /// Keys of the team; a key belongs to one team only.
    pub keys: Vec<String>,
    /// Priority of the team's requests, which overrides the route's; 0 is served first.
    pub priority: Option<u8>,
}

impl Route {
    /// Returns the longest time that a request may wait for its answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

impl RouteTable {
    /// Returns the properties of a service's engines; `None` if the service is unknown or has no
    /// engines.
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineTraits> {
        self.services.get(service)?.engine.as_ref()
    }
}

impl EngineTraits {
    /// Returns the properties of a model; `None` if the engines may not run the model.
    pub fn model(&self, name: &ModelName) -> Option<&ModelTraits> {
        self.models.iter().find(|model| model.name == *name)
    }
}

impl Timing {
    /// Returns the one-way delay between two failure domains, in milliseconds; zero if the pair is
    /// not listed.
    pub fn delay_ms(&self, a: &FailureDomain, b: &FailureDomain) -> f64 {
        let joins = |delay: &&ZoneDelay| {
            (delay.from == *a && delay.to == *b) || (delay.from == *b && delay.to == *a)
        };
        self.delays.iter().find(joins).map_or(0.0, |d| d.delay_ms)
    }

    /// Returns the prefill time of a prompt on an otherwise idle engine, in milliseconds; zero if
    /// the prefill rate is not set.
    pub fn read_ms(&self, prompt_tokens: f64) -> f64 {
        if self.read_tokens_per_s <= 0.0 {
            return 0.0;
        }
        let pairs = prompt_tokens * prompt_tokens / 2.0;
        prompt_tokens / self.read_tokens_per_s * 1_000.0
            + pairs / 1_000_000.0 * self.per_million_pairs_ms
    }

    /// Returns the time of one decode step, in milliseconds, with `writing` requests that decode
    /// with a mean context of `context_tokens`.
    pub fn step_beside_ms(&self, writing: f64, context_tokens: f64) -> f64 {
        let per_writing_ms =
            self.per_request_ms + self.per_1000_context_ms * context_tokens / 1_000.0;
        self.step_ms + writing * per_writing_ms
    }
}
