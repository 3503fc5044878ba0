//! The thread `members`: finds control daemons by seeds and stores the state that they send.
//!
//! Control daemons send the table of routes and the upstreams' reports. The thread combines both
//! into one [`RoutedView`], which the serving thread reads.

mod changes;
mod crashes;
mod demand;
mod events;
mod grants;
mod permits;
mod shared_store;
mod thread;
mod view;

pub(crate) use crashes::CrashNotice;
pub(crate) use demand::{
    Demand,
    Demanded, //
};
pub(crate) use grants::{
    GrantWait,
    Grants, //
};
pub(crate) use permits::{
    Permits,
    RateNotice, //
};
pub(crate) use thread::{
    MembersSetup,
    MembersThread,
    Notices,
    member_address, //
};
pub use view::{
    RoutedReplica,
    RoutedView, //
};
