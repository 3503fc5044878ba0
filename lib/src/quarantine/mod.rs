//! Quarantine of requests that crash the upstreams that execute them.
//!
//! A [`Fingerprint`] identifies a request that arrives again under another id or at another daemon.
//! A ledger records which requests upstreams were executing when they crashed, and decides which of
//! them are quarantined. [`CrashSpread`] owns the ledger and propagates crashes between daemons.
//! [`SuspectTable`] is the result, by which requests are admitted.
//!
//! An upstream executes many requests at once, so one crash says little about each. The next crash
//! shows which request caused the first: retries of the others run on other upstreams.
//!
//! Different requests may crash upstreams by a prompt part that they share. [`PartSpread`] and
//! [`PartTable`] do the same for parts, with answers as evidence for those that are harmless.

mod fingerprint;
mod ledger;
mod parts;
mod spread;
mod table;

pub use fingerprint::Fingerprint;
pub use ledger::Change;
pub use parts::{
    CrashId,
    CrashReport,
    ModelPart,
    PartChange,
    PartId,
    PartLimit,
    PartObservation,
    PartSpread,
    PartTable,
    PartUpdate, //
};
pub use spread::{
    CrashSpread,
    CrashUpdate,
    Observation, //
};
pub use table::{
    KnownCrashes,
    SuspectStatus,
    SuspectTable,
    Suspicion, //
};
