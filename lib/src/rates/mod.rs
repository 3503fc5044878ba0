//! Rates of requests that upstreams in need name, and who may send at them.
//!
//! An upstream names the rate that it takes from all daemons together, in its answers. What one
//! daemon reads there [`RateSpread`] tells the others. From then on a request goes to that
//! upstream only with a permit. The leader of the control daemons issues permits at the named rate
//! ([`PermitIssuer`]), each for one request and for a short time, to entry daemons that ask
//! ([`PermitClient`]), so the bound on the sum does not depend on how many daemons there are.

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
    PermitChanges, //
    PermitClient,
    PermitSourceChange,
};
pub use issuer::{
    IssuerView,
    PermitIssuer, //
    PoolShortageChange,
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
    RateSpread, //
    RateUpdate,
};
pub use store::{
    PermitStore,
    Verdict, //
};
