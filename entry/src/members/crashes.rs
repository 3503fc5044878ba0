//! The notices by which the serving thread reports crashes of upstreams.

use cicadabend::{
    prelude::*,
    quarantine::{
        CrashReport,
        Fingerprint,
        ModelPart,
        Observation, //
    },
};

/// What the serving thread observed about requests and the parts of their prompts.
#[derive(Clone, Debug)]
pub(crate) enum CrashNotice {
    /// Requests that ran on an upstream when it crashed, or that have completed since.
    Requests(Vec<(Fingerprint, Observation)>),
    /// Prompt parts of the requests that an upstream had when it crashed.
    Parts(CrashReport),
    /// A suspected part, and when the request with it had been sent that is being answered.
    Answered(ModelPart, Timestamp),
}
