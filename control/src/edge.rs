//! The control daemon's edge: how operators, upstreams and engines write what they say.
//!
//! An edge only translates. Whether a call is granted, what it changes and what it is
//! answered is decided here; an edge turns a call into a [`Call`], a [`CallAnswer`] into
//! an answer, and an [`EngineCommand`] into a request.

use bytes::Bytes;
use cicadabend::{
    grouping::{
        EngineCommand,
        EngineCommandOutcome, //
    },
    ids::Address,
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
    /// An upstream reports.
    Report(Box<Registration>),
    /// An upstream says that it leaves.
    Leave(InstanceId),
    /// It is written as a call of this edge, but cannot be understood.
    Malformed(String),
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAnswer {
    /// It is done, or was so before.
    Done,
    /// The table in force, as its operator sent it.
    Document(Bytes),
    /// It is invalid and changes nothing.
    Invalid(String),
    /// Another daemon can answer it.
    AskInstead(Address),
    /// Nobody can tell now; the caller asks again, here or elsewhere.
    Unavailable(String),
}

/// Translates between HTTP and the daemon's own words.
pub trait ControlEdge: Send + Sync + 'static {
    /// Returns whether a call is one of this edge; others are operators' own calls.
    fn knows(&self, method: &Method, path: &str) -> bool;

    /// Reads a call that [`Self::knows`] has accepted.
    fn read(&self, method: &Method, path: &str, body: &[u8]) -> Call;

    /// Writes an answer to a call of this path.
    fn answer(&self, path: &str, answer: &CallAnswer) -> Response<Bytes>;

    /// Writes an order.
    fn order(&self, order: &EngineCommand) -> Request<Bytes>;

    /// Reads what an engine answered to an order.
    fn outcome(
        &self,
        order: &EngineCommand,
        status: StatusCode,
        body: &[u8],
    ) -> EngineCommandOutcome;
}
