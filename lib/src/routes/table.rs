//! The table's types.

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

/// The operator's own number of a table; the highest one is in force.
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

/// A table as an operator sent it: the bytes to give back, and what they mean.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteDocument {
    /// The table's number.
    pub version: RouteVersion,
    /// What the operator sent, byte for byte.
    pub text: Vec<u8>,
    /// What it means.
    pub table: RouteTable,
}

/// Everything that decides where a request may go.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteTable {
    /// The table's number.
    pub version: RouteVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// What the routes lead to.
    pub services: BTreeMap<ServiceName, RoutedService>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may call; `None` lets everybody in.
    pub teams: Option<Vec<KeyedTeam>>,
}

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// A request is answered by a stream of numbered events.
    Stream {
        /// Whether another replica may go on where one broke off.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        match self {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Requests of one host under one path, and what becomes of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Its name, for people.
    pub name: String,
    /// The host that requests name, in lower case and without a port.
    pub host: String,
    /// What their path begins with.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// The longest pause between events that counts as on time, in milliseconds.
    pub gap_objective_ms: Option<u64>,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Where requests go, by weight.
    pub targets: Vec<RouteTarget>,
    /// To how many upstreams one request may be sent.
    pub most_attempts: u32,
    /// Whether a request needs no key.
    pub is_public: bool,
}

/// One service of a route's split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, against the sum of all weights.
    pub weight: u64,
}

/// A service that routes lead to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoutedService {
    /// How many connections one upstream accepts from all callers together.
    pub most_connections: u32,
    /// What its upstreams are, if they are engines.
    pub engine: Option<EngineTraits>,
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineTraits {
    /// How many requests a group runs side by side.
    pub slots: u32,
    /// The tokens that a group's memory holds.
    pub kv_tokens: u64,
    /// The models that groups may serve.
    pub models: Vec<ModelTraits>,
    /// How long the engine's work takes.
    pub timing: Timing,
    /// How many loads of weights may start in a second; 0 is no limit.
    pub loads_per_s: f64,
    /// How many loads run at full speed side by side.
    pub loads_at_once: u32,
    /// How many models a host keeps staged.
    pub staged_kept: u32,
    /// How much slower a group across fabric domains is.
    pub far_factor: f64,
    /// How long a group takes to open, in milliseconds.
    pub form_ms: f64,
}

/// One model of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelTraits {
    /// Its name.
    pub name: ModelName,
    /// How many engines make a group.
    pub size: u32,
    /// Its share of the engines at the start, 0 to 1.
    pub share: f64,
    /// A factor on all of a group's times.
    pub pace: f64,
    /// How long loading its weights from the store takes, in milliseconds.
    pub load_ms: f64,
    /// How long starting it from the host's copy takes, in milliseconds.
    pub warmup_ms: f64,
}

/// How long an engine's work takes; all times in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Timing {
    /// One step of writing a token.
    pub step_ms: f64,
    /// What each request that is writing adds to a step.
    pub per_request_ms: f64,
    /// What 1,000 tokens of context of a request that is writing add to a step.
    pub per_1000_context_ms: f64,
    /// How many prompt tokens are read in a second.
    pub read_tokens_per_s: f64,
    /// What a million pairs of a token with an earlier one add to reading.
    pub per_million_pairs_ms: f64,
    /// The most prompt tokens read in one step.
    pub chunk_tokens: u64,
    /// How many steps one pass has while something is written.
    pub steps_per_pass: u32,
    /// The mean number of prompt tokens.
    pub usual_prompt_tokens: f64,
    /// The mean number of answer tokens.
    pub usual_answer_tokens: f64,
    /// One-way delays between failure domains.
    pub delays: Vec<ZoneDelay>,
}

/// The one-way delay between two failure domains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneDelay {
    /// One of them.
    pub from: FailureDomain,
    /// The other.
    pub to: FailureDomain,
    /// The delay in milliseconds.
    pub delay_ms: f64,
}

/// What callers may send, and how long they may take or stay idle.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The most bytes of a request's head.
    pub header_bytes: Option<u64>,
    /// The most bytes of a request's body.
    pub body_bytes: Option<u64>,
    /// How long a head may take, in milliseconds.
    pub header_timeout_ms: Option<u64>,
    /// How long a connection may be idle, in milliseconds.
    pub idle_timeout_ms: Option<u64>,
}

/// A team and its keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyedTeam {
    /// Its name.
    pub name: TeamName,
    /// Every key that belongs to it.
    pub keys: Vec<String>,
    /// Its rank, which goes before the route's; 0 goes first.
    pub priority: Option<u8>,
}

impl Route {
    /// Returns the longest time that a request is kept waiting.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

impl RouteTable {
    /// Returns a service's engines' common traits, if it has engines.
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineTraits> {
        self.services.get(service)?.engine.as_ref()
    }
}

impl EngineTraits {
    /// Returns a model's traits.
    pub fn model(&self, name: &ModelName) -> Option<&ModelTraits> {
        self.models.iter().find(|model| model.name == *name)
    }
}

impl Timing {
    /// Returns the one-way delay between two failure domains, zero if none is told.
    pub fn delay_ms(&self, a: &FailureDomain, b: &FailureDomain) -> f64 {
        let joins = |delay: &&ZoneDelay| {
            (delay.from == *a && delay.to == *b) || (delay.from == *b && delay.to == *a)
        };
        self.delays.iter().find(joins).map_or(0.0, |d| d.delay_ms)
    }

    /// Returns how long reading a prompt alone takes, in milliseconds.
    pub fn read_ms(&self, prompt_tokens: f64) -> f64 {
        if self.read_tokens_per_s <= 0.0 {
            return 0.0;
        }
        let pairs = prompt_tokens * prompt_tokens / 2.0;
        prompt_tokens / self.read_tokens_per_s * 1_000.0
            + pairs / 1_000_000.0 * self.per_million_pairs_ms
    }

    /// Returns how long one step takes beside so many requests that are writing.
    pub fn step_beside_ms(&self, writing: f64, context_tokens: f64) -> f64 {
        let each = self.per_request_ms + self.per_1000_context_ms * context_tokens / 1_000.0;
        self.step_ms + writing * each
    }
}
