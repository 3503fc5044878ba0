//! Routing: chooses the replica that takes a request.
//!
//! [`Router::choose`] decides from a [`RoutingSnapshot`], the daemon's own requests in flight
//! ([`OwnLoad`]) and the speeds, failures and cached prefixes observed in earlier answers.
//! The router holds no lock, reads no clock and never blocks.

mod arm;
mod distance;
mod domains;
mod ejection;
mod estimate;
mod own_load;
mod policy;
mod prefix;
mod query;
mod router;
mod snapshot;
mod speed;

pub use arm::choose_arm;
pub use distance::Distances;
pub use estimate::estimated_outstanding;
pub use own_load::OwnLoad;
pub use prefix::{
    Prefix,
    PrefixCacheEstimate, //
};
pub use query::{
    Choice,
    ChoiceReason,
    RouteQuery,
    RouterSettings, //
};
pub use router::Router;
pub use snapshot::{
    CacheNotice,
    Replica,
    ReplicaId,
    RoutingSnapshot, //
};
pub use speed::{
    AnswerTiming,
    ReplicaSpeeds, //
};
