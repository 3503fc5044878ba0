//! JSON settings of the daemons: typed, with units in field names, checked before anything starts.

mod check;
mod control;
mod entry;
mod intent;
mod load;
mod read;
mod repair;
mod shared;

pub use control::{
    AgreementSettings,
    ControlSettings,
    GroupSettings,
    OperatorSettings, //
};
pub use entry::{
    CallerSettings,
    DomainSettings,
    EntrySettings,
    RetrySettings,
    UpstreamSettings, //
};
pub use load::{
    DaemonSettings,
    Problem,
    ProblemList,
    Settings,
    SettingsError,
    load,
    parse, //
};
pub use shared::{
    LogFormat,
    LogLevel,
    LogOutput,
    LogSettings,
    MembershipSettings,
    MetricSettings,
    PeerAddress,
    PeerRole,
    memory_share, //
};
