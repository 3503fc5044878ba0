//! Whether a request may run, judged by the upstreams that crashed with it.

use cicadabend::quarantine::{
    Observation,
    SuspectStatus,
    Suspicion, //
};
use http::Response;

use super::{
    body::RoutedBody,
    counts::RoutedRefusal,
    crash_probe,
    crash_watch::BrokenRequest,
    events::LogEvent,
    execution::RoutedExecution,
    trials::QuarantineTrial, //
};

impl RoutedExecution {
    /// Records that the current replica broke the request off, and may have crashed because of it.
    pub(super) fn record_broken_off(&mut self) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        let replica = &reservation.replica;
        let broken = BrokenRequest {
            request: self.prepared.id().to_owned(),
            fingerprint: self.prepared.fingerprint(),
            parts: self.prepared.caller_headers.prompt_parts.clone(),
            known: self.crash_history.known,
            broken_before: self.crash_history.broken_off_by.clone(),
        };
        crash_probe::record_broken_request(&self.server, replica, broken);
        self.crash_history.broken_off_by.push(replica.id.clone());
    }

    /// Returns the crashes that are known for the request's fingerprint.
    fn suspicion(&self) -> Option<Suspicion> {
        let view = self.server.view.load();
        // The fingerprint hashes the whole body; this is skipped while no request is suspected.
        if view.suspects.is_empty() {
            return None;
        }
        view.suspects.get(&self.prepared.fingerprint()).copied()
    }

    /// Returns the request's quarantine status by all crashes that this daemon knows of.
    pub(super) fn suspect_status(&self) -> SuspectStatus {
        SuspectStatus::of(self.suspicion().as_ref(), self.server.clock.now())
    }

    /// Returns the number of successive crashes that are known for the request's fingerprint.
    pub(super) fn known_crashes(&self) -> u32 {
        self.suspicion().map_or(0, |suspicion| suspicion.crashes)
    }

    /// Returns whether the request may be sent to a second upstream if the first one fails.
    ///
    /// A request that crashes every upstream would otherwise crash two of them.
    pub(super) fn may_run_on_second_upstream(&self) -> bool {
        matches!(
            self.suspect_status(),
            SuspectStatus::Trusted | SuspectStatus::Suspected
        )
    }

    pub(super) fn is_quarantined(&self) -> bool {
        matches!(self.suspect_status(), SuspectStatus::Quarantined { .. })
    }

    /// Returns whether the request may run now.
    ///
    /// After its quarantine, the request runs only as a trial, which this begins; returns `false`
    /// if another request with its fingerprint is on trial at this daemon.
    pub(super) fn passes_quarantine(&mut self) -> bool {
        match self.suspect_status() {
            SuspectStatus::Trusted | SuspectStatus::Suspected | SuspectStatus::Doubtful => true,
            SuspectStatus::Quarantined { .. } => false,
            SuspectStatus::OnTrial => {
                self.trial = QuarantineTrial::begin(&self.server, self.prepared.fingerprint());
                self.trial.is_some()
            }
        }
    }

    pub(super) fn refuse_quarantined(self) -> Response<RoutedBody> {
        let crashes = self.known_crashes();
        let fingerprint = self.prepared.fingerprint();
        self.server.log(&LogEvent::RequestHeld {
            request: self.prepared.id().to_owned(),
            fingerprint,
            crashes,
            left_ms: self.caller_retry_after().as_millis(),
        });
        let why = format!(
            "{crashes} upstreams ended, one after the other, while they ran a request of this \
             team with this path and body ({fingerprint})"
        );
        self.refuse(RoutedRefusal::Quarantined, &why)
    }

    /// Reports that the request succeeded, if it was suspected of several crashes.
    pub(super) fn report_cleared(&self) {
        match self.suspect_status() {
            SuspectStatus::Trusted | SuspectStatus::Suspected => {}
            SuspectStatus::Doubtful
            | SuspectStatus::Quarantined { .. }
            | SuspectStatus::OnTrial => {
                let cleared = (self.prepared.fingerprint(), Observation::Cleared);
                // A full ring drops the notice; the next success sends another one.
                let _ = self.server.crashes.push(vec![cleared]);
            }
        }
    }
}
