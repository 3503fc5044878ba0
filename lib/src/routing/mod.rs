//! Which replica takes a request.
//!
//! [`Router::choose`] answers from a [`RoutingSnapshot`], the daemon's own
//! [`OwnLoad`] and what the router learned from earlier answers. It holds no lock,
//! reads no clock and never waits.

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
    PrefixKnowledge, //
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
