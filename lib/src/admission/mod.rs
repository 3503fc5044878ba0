//! Admission control: decides which request runs next and which is refused.
//!
//! [`AdmissionQueue`] orders the requests that wait in one entry daemon: teams by
//! weight, a team's own requests by priority and deadline. [`divide_shares`] splits a
//! team's limits between daemons. [`RetryBudget`] bounds the extra load that retries
//! and hedges cause; [`HedgeTimer`] says after which time a request is hedged.
//! [`OverloadDetector`] says when a thread must take no new connections. [`BodyMemory`]
//! bounds the memory that the bodies of all requests take.

mod body_memory;
mod hedge;
mod limits;
mod offer;
mod overload;
mod queue;
mod retry;
mod service_queue;
mod shares;

pub use body_memory::{
    BodyMemory,
    BodyNumber,
    Granted,
    NoRoom,
    RoomChange,
    SMALL_BODY, //
};
pub use hedge::HedgeTimer;
pub use offer::{
    AdmissionSettings,
    Offer,
    OfferOutcome,
    Refusal,
    RefusalReason,
    Started,
    Ticket, //
};
pub use overload::{
    OverloadChange,
    OverloadDetector, //
};
pub use queue::AdmissionQueue;
pub use retry::{
    Backoff,
    RetryBudget,
    RetryDecision,
    RetryReason,
    RetryRefusal,
    RetrySituation, //
};
pub use shares::{
    divide_shares,
    domain_limit,
    guaranteed_share,
    safe_grants, //
};
