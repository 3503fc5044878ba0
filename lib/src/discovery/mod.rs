//! Discovery of daemons from seed addresses, and propagation of upstream reports among them.
//!
//! An upstream reports to whichever control daemon it reaches. That daemon relays the report to all
//! live control daemons, and relays all reports that it receives to the entry daemons that
//! subscribe to it. An entry daemon subscribes to just enough control daemons to get the reports
//! that any live control daemon receives from upstreams.
//!
//! [`ControlDiscovery`] is the logic of a control daemon, [`EntryDiscovery`] that of an entry
//! daemon. Neither does any I/O: both return [`Action`]s.

mod action;
mod control;
mod entry;
mod sources;
mod updates;

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
