//! A request's relation to crashed upstreams: its trial after a quarantine, and its past crashes.

use std::rc::Rc;

use cicadabend::{
    quarantine::{
        Fingerprint,
        KnownCrashes,
        PartId, //
    },
    registry::InstanceId, //
};

use super::server::Server;

/// What a trial run tests: a request, or a part of its prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Suspect {
    Request(Fingerprint),
    Part(PartId),
}

/// The trial run of a request after a quarantine, which shows whether it still crashes upstreams.
///
/// Dropping this ends the trial.
pub(super) struct QuarantineTrial {
    server: Rc<Server>,
    suspects: Vec<Suspect>,
}

impl QuarantineTrial {
    /// Begins a trial; returns `None` while another request tests any of the suspects.
    pub(super) fn begin(server: &Rc<Server>, suspects: Vec<Suspect>) -> Option<Self> {
        let mut trials = server.quarantine_trials.borrow_mut();
        if suspects.iter().any(|suspect| trials.contains(suspect)) {
            return None;
        }
        trials.extend(&suspects);
        Some(Self {
            server: Rc::clone(server),
            suspects,
        })
    }
}

impl Drop for QuarantineTrial {
    fn drop(&mut self) {
        let mut trials = self.server.quarantine_trials.borrow_mut();
        for suspect in &self.suspects {
            trials.remove(suspect);
        }
    }
}

/// The crashes that a request may have met or caused in its attempts so far.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    /// Numbers of crashes with the request's fingerprint that were known at its first and last
    /// attempt.
    pub(super) known: KnownCrashes,
    /// Upstreams that broke the request off and that it may have crashed.
    pub(super) broken_off_by: Vec<InstanceId>,
    /// Whether a connect failed, as happens when another request has just crashed the upstream.
    pub(super) has_failed_connect: bool,
}

impl CrashHistory {
    /// Records that an attempt begins while `known_crashes` crashes with its fingerprint are known.
    pub(super) fn record_sent(&mut self, known_crashes: u32, is_first: bool) {
        self.known.at_last = known_crashes;
        if is_first {
            self.known.at_first = known_crashes;
        }
    }

    /// Returns whether an upstream may have crashed before it answered the request.
    ///
    /// The retry is this request's last chance, and the request that caused the crash is retried
    /// too: both must not meet again at one upstream.
    pub(super) fn may_have_met_crash(&self) -> bool {
        self.was_broken_off() || self.has_failed_connect
    }

    /// Returns whether any upstream broke the request off.
    pub(super) fn was_broken_off(&self) -> bool {
        !self.broken_off_by.is_empty()
    }
}
