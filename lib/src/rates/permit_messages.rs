//! Messages between entry daemons and the leader about permits.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// The upstreams that can stand in for each other: those of one service and model.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pool {
    /// The service that the upstreams serve.
    pub service: ServiceName,
    /// The model that the upstreams serve; `None` for plain services.
    pub model: Option<ModelName>,
}

/// The origin of requests, as far as it decides their order of precedence.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Caller {
    /// The rank of the team or the route; rank 0 takes precedence over all others.
    pub rank: u8,
    /// The team that sends the requests, if known.
    pub team: Option<TeamName>,
}

/// One caller's demand for a pool in which at least one upstream names a rate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolDemand {
    /// The pool that the requests are for.
    pub pool: Pool,
    /// The caller that sends the requests.
    pub caller: Caller,
    /// Number of requests that arrived since the previous [`PermitAsk`].
    pub requests: u32,
    /// Number of requests that are waiting for a permit now.
    pub waiting: u32,
}

/// An entry daemon's request to the leader for permits.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitAsk {
    /// Send time in milliseconds on the sender's clock; the answer repeats it.
    pub sent_ms: u64,
    /// The highest [`PermitUpdate::number`] that the sender has received in the current term.
    pub heard: u64,
    /// The sender's demand, by pool and caller.
    pub asks: Vec<PoolDemand>,
}

/// An entry daemon's share of a pool that is short.
///
/// A pool is short if all its upstreams name rates and requests arrive faster than the sum of
/// these rates.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolShare {
    /// The pool that is short.
    pub pool: Pool,
    /// The part of the pool's total rate that goes to this daemon's requests.
    pub rate: RequestRate,
    /// Requests per thousand of each caller that may use a permit, set by the leader. For a caller
    /// that is not listed, the daemon estimates the number from the callers that are.
    pub admitted: Vec<(Caller, u16)>,
}

/// The leader's message to an entry daemon with new permits, each for one request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitUpdate {
    /// The leader's term. A daemon ignores updates of an earlier term than the latest it has seen.
    pub term: u64,
    /// Sequence number; grows with each update that the leader sends to a daemon in this term.
    pub number: u64,
    /// [`PermitAsk::sent_ms`] of the daemon's last request, in milliseconds. Permits expire a
    /// fixed time after it, so a delayed answer does not extend their validity.
    pub echo_ms: u64,
    /// Number of requests that may be sent to each upstream.
    pub permits: Vec<(InstanceId, u32)>,
    /// The daemon's shares of the pools that are short; `None` if this update does not answer a
    /// request, and earlier shares stay in force.
    pub shares: Option<Vec<PoolShare>>,
}
