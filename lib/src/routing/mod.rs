//! Which replica takes a request.

mod snapshot;

pub use snapshot::{
    CacheNotice,
    Replica,
    ReplicaId,
    RoutingSnapshot, //
};
