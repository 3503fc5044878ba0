//! How daemons that find each other by seeds learn what upstreams report.
//!
//! An upstream reports to whichever control daemon it reaches. That daemon passes the
//! report on to the other control daemons; each control daemon passes all that it hears on
//! to the entry daemons that subscribe to it. [`ControlDiscovery`] and [`EntryDiscovery`]
//! are the two parts; both only return [`Action`]s.

mod action;
mod control;
mod entry;
mod news;

pub use action::{
    Action,
    Learnt, //
};
pub use control::{
    ControlDiscovery,
    NewestRoutes, //
};
pub use entry::{
    EntryDiscovery,
    EntryStatus, //
};
