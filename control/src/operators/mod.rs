//! The operators' HTTP listener: plans, confirmations, status and history.

mod listener;
mod requests;
pub(crate) mod tokens;

use std::sync::Arc;

use cicadabend_daemon::{
    clock::Clock,
    settings::ControlSettings, //
};

use crate::{
    observed::ObservedFleet,
    replication::ReplicationHandle,
    spread::Acknowledged, //
};

pub(crate) use listener::serve;

/// What answering an operator needs.
pub(crate) struct Operators {
    /// The settings.
    pub(crate) settings: Arc<ControlSettings>,
    /// Who may ask.
    pub(crate) tokens: tokens::OperatorTokens,
    /// The log.
    pub(crate) replication: ReplicationHandle,
    /// The failure domains' reports.
    pub(crate) observed: ObservedFleet,
    /// The daemons' acknowledgements.
    pub(crate) acknowledged: Acknowledged,
    /// This process's clock.
    pub(crate) clock: Clock,
}
