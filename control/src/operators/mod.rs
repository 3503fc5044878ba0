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

/// What answering an operator needs.
pub(crate) struct Operators {
    /// The settings.
    pub(crate) settings: Arc<ControlSettings>,
    /// The processes that the settings name.
    pub(crate) topology: Topology,
    /// Who may ask; nobody, if there is no token file.
    pub(crate) tokens: Option<tokens::OperatorTokens>,
    /// Calls that an edge translates.
    pub(crate) calls: Option<Calls>,
    /// The log.
    pub(crate) replication: ReplicationHandle,
    /// What the failure domains and the other control daemons say.
    pub(crate) view: SharedView,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// This process's clock.
    pub(crate) clock: Clock,
}
