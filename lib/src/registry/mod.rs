//! The registry of upstreams, built from their own reports.
//!
//! Each upstream reports to whichever daemon it reaches, and the daemons relay the reports to each
//! other. A [`Registry`] stores the newest report of each instance of an upstream. Sequence numbers
//! show which reports are outdated. A delayed report of an instance that has ended is recognised
//! because the registry remembers ended instances for a while, and knows the upstream's later
//! instance.

mod registration;
mod table;

pub use registration::{
    EngineStatus,
    GroupStatus,
    InstanceId,
    MemberState,
    Registration,
    UpstreamState, //
};
pub use table::{
    Alive,
    Ended,
    KnownInstance,
    ReceivedReport,
    Registry,
    ReportEffect, //
};
