//! Whether a request may run, by the upstreams that ended with it.

use std::{
    collections::HashSet,
    rc::Rc, //
};

use cicadabend::{
    quarantine::{
        Fingerprint,
        Known,
        Observation,
        Standing,
        Suspicion, //
    },
    registry::InstanceId,
};
use http::Response;

use super::{
    body::RoutedBody,
    counts::RoutedRefusal,
    crash_watch::{
        BrokenOff,
        CrashWatch, //
    },
    events::LogEvent,
    run::RoutedRun,
    server::Server, //
};

/// Requests on trial here; one of each runs at a time.
pub(super) type Trials = HashSet<Fingerprint>;

/// A request whose quarantine is over and that runs to find out whether it still ends upstreams.
pub(super) struct Trial {
    server: Rc<Server>,
    fingerprint: Fingerprint,
}

impl Trial {
    /// Begins a trial; `None` if there is one of the same request.
    fn begin(server: &Rc<Server>, fingerprint: Fingerprint) -> Option<Self> {
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
    known: Known,
    /// The upstreams that broke it off, and may have ended by it.
    broken_at: Vec<InstanceId>,
}

impl CrashTrail {
    /// Notes that the request is sent, with so many crashes of its like known.
    pub(super) fn sent(&mut self, known_crashes: u32, is_first: bool) {
        self.known.at_last = known_crashes;
        if is_first {
            self.known.at_first = known_crashes;
        }
    }

    /// Returns whether an upstream broke the request off.
    pub(super) fn is_broken(&self) -> bool {
        !self.broken_at.is_empty()
    }
}

impl RoutedRun {
    /// Notes that the present replica broke the request off; it may have ended by it.
    pub(super) fn suspect(&mut self) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        let replica = &reservation.replica;
        let broken = BrokenOff {
            request: self.plan.id().to_owned(),
            fingerprint: self.plan.fingerprint(),
            known: self.trail.known,
            broken_before: self.trail.broken_at.clone(),
        };
        CrashWatch::note(&self.server, (&replica.id, replica.address), broken);
        self.trail.broken_at.push(replica.id.clone());
    }

    /// Returns what is known of crashes with such a request.
    fn suspicion(&self) -> Option<Suspicion> {
        let view = self.server.view.load();
        // The fingerprint takes a pass over the body, which nobody needs on a calm day.
        if view.suspects.is_empty() {
            return None;
        }
        view.suspects.get(&self.plan.fingerprint()).copied()
    }

    /// Returns how the request stands, by all crashes that this daemon knows of.
    pub(super) fn standing(&self) -> Standing {
        Standing::of(self.suspicion().as_ref(), self.server.clock.now())
    }

    /// Returns how many crashes, one after the other, are known of the request.
    pub(super) fn known_crashes(&self) -> u32 {
        self.suspicion().map_or(0, |suspicion| suspicion.crashes)
    }

    /// Returns whether the request may be sent to a second upstream if the first fails.
    ///
    /// A request that ends whoever runs it would end two in one go.
    pub(super) fn may_be_repeated(&self) -> bool {
        matches!(self.standing(), Standing::Trusted | Standing::Suspected)
    }

    pub(super) fn is_quarantined(&self) -> bool {
        matches!(self.standing(), Standing::Quarantined { .. })
    }

    /// Returns whether the request may run now; begins its trial if it is time for one.
    pub(super) fn passes_quarantine(&mut self) -> bool {
        match self.standing() {
            Standing::Trusted | Standing::Suspected | Standing::Doubtful => true,
            Standing::Quarantined { .. } => false,
            Standing::OnTrial => {
                self.trial = Trial::begin(&self.server, self.plan.fingerprint());
                self.trial.is_some()
            }
        }
    }

    pub(super) fn refuse_quarantined(self) -> Response<RoutedBody> {
        let crashes = self.known_crashes();
        let fingerprint = self.plan.fingerprint();
        self.server.log(&LogEvent::RequestHeld {
            request: self.plan.id().to_owned(),
            fingerprint,
            crashes,
            left_ms: self.come_back_after().as_millis(),
        });
        let why = format!(
            "{crashes} upstreams ended, one after the other, while they ran a request of this \
             team with this path and body ({fingerprint})"
        );
        self.refuse(RoutedRefusal::Quarantined, &why)
    }

    /// Tells that the request ran to a good end, if it was under several crashes.
    pub(super) fn survived(&self) {
        match self.standing() {
            Standing::Trusted | Standing::Suspected => {}
            Standing::Doubtful | Standing::Quarantined { .. } | Standing::OnTrial => {
                let cleared = (self.plan.fingerprint(), Observation::Cleared);
                // A full ring loses the notice; the next good end gives another.
                let _ = self.server.crashes.push(vec![cleared]);
            }
        }
    }
}
