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
    replication::ReplicationHandle,
    view::SharedView, //
};

pub(crate) use listener::serve;

/// What answering an operator needs.
pub(crate) struct Operators {
    /// The settings.
    pub(crate) settings: Arc<ControlSettings>,
    /// The processes that the settings name.
    pub(crate) topology: Topology,
    /// Who may ask.
    pub(crate) tokens: tokens::OperatorTokens,
    /// The log.
    pub(crate) replication: ReplicationHandle,
    /// What the failure domains and the other control daemons say.
    pub(crate) view: SharedView,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// This process's clock.
    pub(crate) clock: Clock,
}
