//! Messages between entry daemons and the leader about retries that are granted from the slack.

use serde::{
    Deserialize,
    Serialize, //
};

use super::RoutedRetryReason;
use crate::prelude::*;

/// Requests of one service that wait for a retry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantDemand {
    /// The service.
    pub service: ServiceName,
    /// Why the requests are to be retried.
    pub reason: RoutedRetryReason,
    /// Number of requests that wait for a retry.
    pub waiting: u32,
}

/// An entry daemon's request for retries from the slack.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRequest {
    /// Send time in milliseconds on the sender's clock; the answer repeats it.
    pub sent_ms: u64,
    /// Retries that the sender's settings allow in a window beyond the ratio.
    pub slack: u32,
    /// Length of the window in the sender's settings, in milliseconds.
    pub window_ms: u64,
    /// The requests that wait; empty to learn [`GrantUpdate::daemons`] only.
    pub demands: Vec<GrantDemand>,
}

/// The leader's answer to one demand.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantAnswer {
    /// The service.
    pub service: ServiceName,
    /// Why the requests are to be retried.
    pub reason: RoutedRetryReason,
    /// Number of retries that are granted.
    pub granted: u32,
    /// Number of requests that get none, since the slack is used up.
    pub denied: u32,
}

/// The leader's answer to a [`GrantRequest`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantUpdate {
    /// The leader's term. A daemon ignores updates of an earlier term than the latest it has seen.
    pub term: u64,
    /// Sequence number; grows with each update in this term.
    pub number: u64,
    /// [`GrantRequest::sent_ms`] of the request that is answered.
    pub echo_ms: u64,
    /// Number of entry daemons that share the slack; `None` while the leader doesn't know it.
    pub daemons: Option<u32>,
    /// The answer to each demand of the request.
    pub answers: Vec<GrantAnswer>,
}
