//! When upstreams may be sent requests, by their own answers.

use std::time::Duration;

use cicadabend::{
    breaker::Admission,
    prelude::*, //
};

use super::{
    counts::Routed,
    events::LogEvent,
    reservation::Reservation,
    run::RoutedRun, //
};
use crate::members::RoutedReplica;

impl RoutedRun {
    /// Returns whether a replica may be sent a request now, by its own answers.
    pub(super) fn admission(&self, replica: &RoutedReplica) -> Admission {
        let now = self.server.clock.now();
        let mut breakers = self.server.breakers.borrow_mut();
        breakers.admission(&replica.id, now)
    }

    /// Keeps the replicas that may be sent the request now.
    ///
    /// One that was tried elsewhere before is sent on trial only if nothing else is left: a second
    /// refusal would use up its attempts while others have room.
    pub(super) fn admitted<'a>(&self, replicas: Vec<&'a RoutedReplica>) -> Vec<&'a RoutedReplica> {
        let admissions = replicas.into_iter().map(|one| (one, self.admission(one)));
        let (sure, others): (Vec<_>, Vec<_>) =
            admissions.partition(|(_, admission)| *admission == Admission::Admitted);
        let on_trial = others
            .into_iter()
            .filter(|(_, admission)| admission.is_admitted());
        let only_sure = !self.tried.is_empty() && !sure.is_empty();
        let kept = sure.into_iter().chain(on_trial.filter(|_| !only_sure));
        kept.map(|(replica, _)| replica).collect()
    }

    /// Tells that a request finds out whether its replica takes requests again.
    pub(super) fn note_trial(&self, reservation: &Reservation) {
        if !reservation.is_trial() {
            return;
        }
        self.server.counts.count(Routed::TrialsSent);
        self.server.log(&LogEvent::TrialSent {
            request: self.plan.id().to_owned(),
            instance: reservation.replica.id.clone(),
        });
    }

    /// Returns in what time the first replica may be sent a request again, if there are replicas
    /// and none may now.
    pub(super) fn next_admission(&self) -> Option<Duration> {
        let view = self.server.view.load();
        let model = self.plan.words.model.as_deref();
        let replicas = view.replicas_of(&self.plan.terms.service, model);
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
