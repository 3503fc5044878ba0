//! JSON settings of the daemons: typed, with units in field names, checked before anything starts.

mod control;
mod entry;
mod shared;

pub use control::{
    AgreementSettings,
    ControlSettings,
    OperatorSettings, //
};
pub use entry::{
    CallerSettings,
    DomainSettings,
    EntrySettings,
    UpstreamSettings, //
};
pub use shared::{
    LogSettings,
    MetricSettings,
    PeerAddress,
    PeerRole, //
};
