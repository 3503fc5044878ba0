//! What one request has to do with upstreams that ended: its trial, and those that it met.

use std::rc::Rc;

use cicadabend::{
    quarantine::{
        Fingerprint,
        KnownCrashes, //
    },
    registry::InstanceId, //
};

use super::server::Server;

/// A request whose quarantine is over and that runs to find out whether it still ends upstreams.
pub(super) struct Trial {
    server: Rc<Server>,
    fingerprint: Fingerprint,
}

impl Trial {
    /// Begins a trial; `None` if there is one of the same request.
    pub(super) fn begin(server: &Rc<Server>, fingerprint: Fingerprint) -> Option<Self> {
        let is_first = server.trials.borrow_mut().insert(fingerprint);
        is_first.then(|| Self {
            server: Rc::clone(server),
            fingerprint,
        })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.server.trials.borrow_mut().remove(&self.fingerprint);
    }
}

/// What a request has met of upstreams that end, on its way from one to the next.
#[derive(Debug, Default)]
pub(super) struct CrashTrail {
    pub(super) known: KnownCrashes,
    /// The upstreams that broke it off, and may have ended by it.
    pub(super) broken_at: Vec<InstanceId>,
    /// Whether an upstream could not be reached, as one that another request has just ended.
    pub(super) found_none: bool,
}

impl CrashTrail {
    /// Notes that the request is sent, with so many crashes of its like known.
    pub(super) fn sent(&mut self, known_crashes: u32, is_first: bool) {
        self.known.at_last = known_crashes;
        if is_first {
            self.known.at_first = known_crashes;
        }
    }

    /// Returns whether an upstream may have ended before it answered the request.
    ///
    /// Its repeat is its last chance, and whatever ended that upstream is repeated as well.
    pub(super) fn has_met_an_end(&self) -> bool {
        self.is_broken() || self.found_none
    }

    /// Returns whether an upstream broke the request off.
    pub(super) fn is_broken(&self) -> bool {
        !self.broken_at.is_empty()
    }
}
