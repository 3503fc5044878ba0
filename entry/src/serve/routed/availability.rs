//! Which upstreams may be sent requests, by the backoff and shutdown that they signalled.

use std::time::Duration;

use cicadabend::{
    breaker::Admission,
    prelude::*, //
};

use super::{
    counts::Routed,
    events::LogEvent,
    execution::RoutedExecution, //
    reservation::Reservation,
};
use crate::members::RoutedReplica;

impl RoutedExecution {
    /// Returns whether a replica may be sent a request now, by its own signals.
    pub(super) fn admission(&self, replica: &RoutedReplica) -> Admission {
        let now = self.server.clock.now();
        let mut breakers = self.server.breakers.borrow_mut();
        breakers.admission(&replica.id, now)
    }

    /// Returns the replicas that may be sent the request now.
    ///
    /// A retry becomes a trial request only if no other replica is left: a second refusal would use
    /// up the request's attempts while other replicas have room.
    pub(super) fn select_admitted<'a>(
        &self,
        replicas: Vec<&'a RoutedReplica>,
    ) -> Vec<&'a RoutedReplica> {
        let admissions = replicas.into_iter().map(|one| (one, self.admission(one)));
        let (admitted, others): (Vec<_>, Vec<_>) =
            admissions.partition(|(_, admission)| *admission == Admission::Admitted);
        let on_trial = others
            .into_iter()
            .filter(|(_, admission)| admission.is_admitted());
        let excludes_trials = !self.tried.is_empty() && !admitted.is_empty();
        let selected = admitted
            .into_iter()
            .chain(on_trial.filter(|_| !excludes_trials));
        selected.map(|(replica, _)| replica).collect()
    }

    /// Returns whether there are replicas, and none can be reached directly or through a relay.
    pub(super) fn is_out_of_reach(&self) -> bool {
        let view = self.server.view.load();
        let model = self.prepared.caller_headers.model.as_deref();
        let replicas = view.replicas_of(&self.prepared.terms.service, model);
        let mut replicas = replicas.peekable();
        replicas.peek().is_some()
            && replicas.all(|replica| !self.server.is_in_reach(&view, replica))
    }

    /// Counts and logs the request if it is a trial request to a replica after its backoff.
    pub(super) fn record_trial(&self, reservation: &Reservation) {
        if !reservation.is_trial() {
            return;
        }
        self.server.counts.count(Routed::TrialsSent);
        self.server.log(&LogEvent::TrialSent {
            request: self.prepared.id().to_owned(),
            instance: reservation.replica.id.clone(),
        });
    }

    /// Returns the time until the first replica may be sent a request again.
    ///
    /// `None` if a replica may be sent one now, there are no replicas, or all are shutting down.
    pub(super) fn time_to_next_admission(&self) -> Option<Duration> {
        let view = self.server.view.load();
        let model = self.prepared.caller_headers.model.as_deref();
        let replicas = view.replicas_of(&self.prepared.terms.service, model);
        let now = self.server.clock.now();
        let mut soonest = None;
        for replica in replicas {
            let at = match self.admission(replica) {
                Admission::Admitted | Admission::OnTrial => return None,
                Admission::Leaving => continue,
                Admission::TrialsTaken => now,
                Admission::BackoffUntil(until) => until,
            };
            soonest = Some(soonest.map_or(at, |soonest: Timestamp| soonest.min(at)));
        }
        soonest.map(|at| at.since(now))
    }
}
