//! A response whose head is here, whichever way it took.

use cicadabend::prelude::*;
use http::Response;
use hyper::body::Incoming;

use super::{
    super::upstream::Lease,
    links::RelayUse, //
};

/// A response's head, and the connection that its body arrives on.
pub(super) struct Delivered {
    pub(super) response: Response<Incoming>,
    pub(super) lease: Lease,
    pub(super) sent_at: Timestamp,
    /// Whether the upstream's head tells where the body ends; if not, a connection that is closed early
    /// looks like the body's end.
    pub(super) tells_length: bool,
    /// The relay that the response came through, if any.
    pub(super) relay: Option<RelayUse>,
}
