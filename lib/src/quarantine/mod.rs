//! Requests that end the upstreams which run them.
//!
//! A [`Fingerprint`] knows a request again that comes under another id or at another daemon. A
//! ledger holds which requests upstreams had when they ended, and decides which of them are
//! quarantined. [`CrashSpread`] keeps it and tells the other daemons; [`SuspectTable`] is what
//! requests are judged by.
//!
//! An upstream runs many requests at once, so one crash says little. What tells the one that
//! caused it from those that were only there is the next crash: the others end up elsewhere.

mod fingerprint;
mod ledger;
mod spread;
mod table;

pub use fingerprint::Fingerprint;
pub use ledger::Change;
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
