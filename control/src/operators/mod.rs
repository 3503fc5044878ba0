//! The operators' HTTP listener: plans, confirmations, status and history.

mod body;
mod listener;
mod plans;
mod refusal;
mod requests;
pub(crate) mod tokens;

use std::sync::Arc;

use cicadabend::fleet::spread::Topology;
use cicadabend_daemon::{
    bodies::Bodies,
    clock::Clock,
    metrics::Metrics,
    settings::ControlSettings, //
};

use crate::{
    calls::Calls,
    replication::ReplicationHandle,
    view::SharedView, //
};

pub(crate) use body::Answer;
pub(crate) use listener::serve;

/// The connections and settings that answering an operator's request needs.
pub(crate) struct Operators {
    /// The settings.
    pub(crate) settings: Arc<ControlSettings>,
    /// The processes that the settings name.
    pub(crate) topology: Topology,
    /// The tokens of the operators; without a token file every request is refused.
    pub(crate) tokens: Option<tokens::OperatorTokens>,
    /// Answers the calls that an edge translates; `None` without an edge.
    pub(crate) calls: Option<Calls>,
    /// The request bodies in memory.
    pub(crate) bodies: Bodies,
    /// The replicated log.
    pub(crate) replication: ReplicationHandle,
    /// The reports of the failure domains and the other control daemons' addresses.
    pub(crate) view: SharedView,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// This process's clock.
    pub(crate) clock: Clock,
}
