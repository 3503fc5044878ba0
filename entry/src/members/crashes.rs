//! What the serving thread tells of upstreams that end.

use cicadabend::quarantine::{
    Fingerprint,
    Observation, //
};

/// What the serving thread has seen of requests at one moment.
pub(crate) type CrashNotice = Vec<(Fingerprint, Observation)>;
