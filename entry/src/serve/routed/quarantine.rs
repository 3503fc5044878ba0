//! Whether a request may run, by the upstreams that ended with it.

use cicadabend::quarantine::{
    Observation,
    SuspectStatus,
    Suspicion, //
};
use http::Response;

use super::{
    body::RoutedBody,
    counts::RoutedRefusal,
    crash_look,
    crash_watch::BrokenOff,
    events::LogEvent,
    run::RoutedRun,
    trials::Trial, //
};

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
        crash_look::note(&self.server, (&replica.id, replica.address), broken);
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
    pub(super) fn standing(&self) -> SuspectStatus {
        SuspectStatus::of(self.suspicion().as_ref(), self.server.clock.now())
    }

    /// Returns how many crashes, one after the other, are known of the request.
    pub(super) fn known_crashes(&self) -> u32 {
        self.suspicion().map_or(0, |suspicion| suspicion.crashes)
    }

    /// Returns whether the request may be sent to a second upstream if the first fails.
    ///
    /// A request that ends whoever runs it would end two in one go.
    pub(super) fn may_be_repeated(&self) -> bool {
        matches!(
            self.standing(),
            SuspectStatus::Trusted | SuspectStatus::Suspected
        )
    }

    pub(super) fn is_quarantined(&self) -> bool {
        matches!(self.standing(), SuspectStatus::Quarantined { .. })
    }

    /// Returns whether the request may run now; begins its trial if it is time for one.
    pub(super) fn passes_quarantine(&mut self) -> bool {
        match self.standing() {
            SuspectStatus::Trusted | SuspectStatus::Suspected | SuspectStatus::Doubtful => true,
            SuspectStatus::Quarantined { .. } => false,
            SuspectStatus::OnTrial => {
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
            SuspectStatus::Trusted | SuspectStatus::Suspected => {}
            SuspectStatus::Doubtful
            | SuspectStatus::Quarantined { .. }
            | SuspectStatus::OnTrial => {
                let cleared = (self.plan.fingerprint(), Observation::Cleared);
                // A full ring loses the notice; the next good end gives another.
                let _ = self.server.crashes.push(vec![cleared]);
            }
        }
    }
}
