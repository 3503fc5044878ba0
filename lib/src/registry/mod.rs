//! What upstreams tell about themselves, as several daemons hear it.
//!
//! Each upstream reports to whichever daemon it reaches. The daemons pass on what they
//! hear, and every holder of a [`Registry`] keeps, for each run of an upstream, the
//! newest report. A report that was delayed is recognised by its sequence number, and
//! one of a run that has ended by what is known of its successor.

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
    Taken, //
};
