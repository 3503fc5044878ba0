//! What entry daemons and the leader say to each other about permits.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// Upstreams that can stand in for each other.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Pool {
    /// What they serve.
    pub service: ServiceName,
    /// The model, if they are engines.
    pub model: Option<ModelName>,
}

/// For whom requests are sent, as far as it decides who goes first.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Caller {
    /// The team's or the route's rank; 0 goes first.
    pub rank: u8,
    /// The team.
    pub team: Option<TeamName>,
}

/// How many requests there were for upstreams of a pool some of which name a rate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolDemand {
    /// The pool.
    pub pool: Pool,
    /// Whose requests.
    pub caller: Caller,
    /// Requests since the last ask.
    pub requests: u32,
    /// Requests that wait for a permit now.
    pub waiting: u32,
}

/// An entry daemon asks for permits.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitAsk {
    /// The sender's own clock in milliseconds, which the answer repeats.
    pub sent_ms: u64,
    /// The highest [`PermitUpdate::number`] that the sender has heard in the present term.
    pub heard: u64,
    /// For what.
    pub asks: Vec<PoolDemand>,
}

/// What an entry daemon gets of a pool that is short: all its upstreams name rates, and requests
/// come faster than their sum.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolShare {
    /// The pool.
    pub pool: Pool,
    /// The daemon's part of the sum.
    pub rate: RequestRate,
    /// How many of a thousand requests of each caller may use a permit; those that are not named
    /// here get none.
    pub admitted: Vec<(Caller, u16)>,
}

/// The leader's answer: permits, each for one request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitUpdate {
    /// The leader's term; permits of an earlier one are void once a later one is heard.
    pub term: u64,
    /// Grows with each message of the term to the same daemon.
    pub number: u64,
    /// [`PermitAsk::sent_ms`] of the last ask; permits end a fixed time after that moment, so
    /// however long the answer is on its way, none is used later.
    pub echo_ms: u64,
    /// How many requests may be sent to which upstream.
    pub permits: Vec<(InstanceId, u32)>,
    /// Pools that are short; `None` if nothing about it has changed.
    pub shares: Option<Vec<PoolShare>>,
}
