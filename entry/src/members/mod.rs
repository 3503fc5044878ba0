//! The thread `members`: finds control daemons by seeds and keeps what they tell.
//!
//! Control daemons send the table of routes and what upstreams report. The thread puts
//! both into one [`RoutedView`], which the serving thread reads.

mod changes;
mod crashes;
mod demand;
mod events;
mod permits;
mod thread;
mod view;

pub(crate) use crashes::CrashNotice;
pub(crate) use demand::{
    Demand,
    Demanded, //
};
pub(crate) use permits::{
    Permits,
    RateNotice, //
};
pub(crate) use thread::{
    MembersSetup,
    MembersThread,
    Notices,
    me, //
};
pub use view::{
    RoutedReplica,
    RoutedView, //
};
