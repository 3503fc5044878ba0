//! Request rates that overloaded upstreams name, and the permits that enforce them.
//!
//! In its answers, an upstream can name the rate of requests that it accepts from all daemons
//! together. [`RateSpread`] propagates a rate that one daemon has read to the other daemons. From
//! then on, a request is sent to that upstream only with a permit. The leader of the control
//! daemons issues permits at the named rate ([`PermitIssuer`]) to the entry daemons that request
//! them ([`PermitClient`]). Each permit is for one request and expires soon, so the bound on the
//! total rate does not depend on the number of daemons.

mod client;
mod issuer;
mod ledger;
mod own_share;
mod permit_messages;
mod requester;
mod shares;
mod spread;
mod store;
mod stride_scheduler;

pub use client::{
    PermitChanges,
    PermitClient,
    PermitSourceChange, //
};
pub use issuer::{
    IssuerView,
    PermitIssuer,
    PoolShortageChange, //
};
pub use ledger::RateTable;
pub use permit_messages::{
    Caller,
    PermitAsk,
    PermitUpdate,
    Pool,
    PoolDemand,
    PoolShare, //
};
pub use spread::{
    RateChange,
    RateObservation,
    RateSpread,
    RateUpdate, //
};
pub use store::{
    PermitStore,
    Verdict, //
};
