//! How daemons that find each other by seeds learn what upstreams report.
//!
//! An upstream reports to whichever control daemon it reaches. That daemon passes the
//! report on to the control daemons that it hears, and all that it hears of to the entry
//! daemons that subscribe to it. An entry daemon subscribes to as many control daemons as it
//! takes to learn what each one that it reaches was told. [`ControlDiscovery`] and
//! [`EntryDiscovery`] are the two parts; both only return [`Action`]s.

mod action;
mod control;
mod entry;
mod news;
mod sources;

pub use action::{
    Action,
    DiscoveryEvent, //
};
pub use control::{
    ControlDiscovery,
    NewestRoutes, //
};
pub use entry::{
    EntryDiscovery,
    EntryStatus, //
};
