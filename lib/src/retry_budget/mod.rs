//! The budget for retries of routed requests, which all entry daemons share.
//!
//! In every sliding window, the retries of a service stay within a ratio of its requests plus a
//! slack, summed over all daemons. A daemon's part never depends on what it remembers, so a process
//! that has just started can't spend anew what its predecessor has spent. Three parts add up:
//!
//! - [`OwnPart`]: the ratio, by the daemon's own requests, which needs no other daemon.
//! - [`EqualPart`]: an equal part of some of the slack, which accrues from zero.
//! - [`GrantIssuer`]: the rest of the slack, which the leader grants to daemons that need it.
//!
//! [`RetryBudget`] combines them at an entry daemon; [`GrantClient`] and [`GrantStore`] are its
//! side of the grants. [`RetryBound`] checks recorded arrivals against the bound.

mod bound;
mod budget;
mod client;
mod equal_part;
mod issuer;
mod messages;
mod own_part;
mod settings;
mod store;

pub use bound::{
    RetryBound,
    WindowCount, //
};
pub use budget::{
    BudgetUsage,
    RetryBudget,
    RetrySource, //
};
pub use client::GrantClient;
pub use equal_part::EqualPart;
pub use issuer::{
    GrantIssuer,
    GrantsUsedUp, //
};
pub use messages::{
    GrantAnswer,
    GrantDemand,
    GrantRequest,
    GrantUpdate, //
};
pub use own_part::OwnPart;
pub use settings::{
    BudgetSettings,
    RoutedRetryReason, //
};
pub use store::GrantStore;
