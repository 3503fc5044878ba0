//! The notices by which the serving thread reports crashes of upstreams.

use cicadabend::quarantine::{
    Fingerprint,
    Observation, //
};

/// The observations about requests that the serving thread reports together: which requests ran on
/// an upstream when it crashed, or have completed since.
pub(crate) type CrashNotice = Vec<(Fingerprint, Observation)>;
