//! The control daemon's edge: translates the HTTP formats of operators, upstreams and engines.
//!
//! An edge translates an HTTP request into a [`Call`], a [`CallAnswer`] into an HTTP response,
//! and a command ([`EngineCommand`]) into an HTTP request to an engine. The edge decides nothing: the
//! daemon decides whether a call is granted and how it is answered.

use bytes::Bytes;
use cicadabend::{
    grouping::{
        EngineCommand,
        EngineCommandOutcome, //
    },
    ids::Address,
    prelude::*,
    registry::{
        InstanceId,
        Registration, //
    },
    routes::{
        RouteDocument,
        RouteTableError, //
    },
};
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};

/// A call that came in over HTTP.
#[derive(Debug)]
pub enum Call {
    /// An operator replaces the table of routes.
    ReplaceRoutes(Result<Box<RouteDocument>, RouteTableError>),
    /// An operator reads the table in force.
    ReadRoutes,
    /// An upstream reports its current state.
    Report(Box<Registration>),
    /// An upstream announces that it is leaving.
    Leave(InstanceId),
    /// The call belongs to this edge, but cannot be parsed, for this reason.
    Malformed(String),
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, PartialEq)]
pub enum CallAnswer {
    /// The call has been carried out, now or by an earlier call.
    Done,
    /// The table in force, as its operator sent it.
    Document(Bytes),
    /// The call is invalid, for this reason, and changed nothing.
    Invalid(String),
    /// The body is longer than allowed.
    TooLong,
    /// The caller should send the call to the control daemon at this address.
    AskInstead(Address),
    /// The call cannot be answered now, for this reason; the caller should retry at any daemon.
    Unavailable(String),
}

/// Translates between HTTP messages and the daemon's own types.
pub trait ControlEdge: Send + Sync + 'static {
    /// Returns whether this edge translates the call; all others belong to the operators' API.
    fn knows(&self, method: &Method, path: &str) -> bool;

    /// Returns the length of the longest body of calls of a path; `None` if only the settings limit
    /// it.
    fn longest_body(&self, path: &str) -> Option<ByteCount>;

    /// Parses a call for which [`Self::knows`] has returned true.
    fn read(&self, method: &Method, path: &str, body: &[u8]) -> Call;

    /// Returns the HTTP response for the answer to a call of this path.
    fn answer(&self, path: &str, answer: &CallAnswer) -> Response<Bytes>;

    /// Returns the HTTP request that sends a command to its engine.
    fn order(&self, order: &EngineCommand) -> Request<Bytes>;

    /// Returns the outcome of a command, read from the engine's response.
    fn outcome(
        &self,
        order: &EngineCommand,
        status: StatusCode,
        body: &[u8],
    ) -> EngineCommandOutcome;
}
