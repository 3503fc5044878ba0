//! When upstreams may be sent requests, by their own answers.

use std::time::Duration;

use cicadabend::{
    breaker::{
        Admission,
        Asked, //
    },
    prelude::*,
    registry::InstanceId,
};

use super::{
    counts::Routed,
    events::LogEvent,
    exchange::{
        Failure,
        Reservation, //
    },
    run::RoutedRun,
    server::Server, //
};
use crate::{
    edge::{
        AnswerWords,
        Named, //
    },
    members::RoutedReplica,
};

/// Takes note of what an upstream's answer says of its availability.
pub(super) fn note(server: &Server, request: &str, id: &InstanceId, words: &AnswerWords) {
    match &words.backoff {
        Named::Unsaid => {}
        Named::Named(backoff) => note_backoff(server, request, id, *backoff),
        Named::Unreadable(why) => note_unreadable(server, request, id, ("backoff", why)),
    }
    match &words.leaving {
        Named::Unsaid | Named::Named(false) => {}
        Named::Named(true) => note_leaving(server, request, id),
        Named::Unreadable(why) => note_unreadable(server, request, id, ("leaving", why)),
    }
}

fn note_backoff(server: &Server, request: &str, id: &InstanceId, backoff: BackoffTime) {
    let now = server.clock.now();
    let asked = Asked {
        backoff,
        daemons: server.view.load().entries,
        random: (server.random() % 1_000) as f64 / 1_000.0,
    };
    let until = server.breakers.borrow_mut().ask_backoff(id, &asked, now);
    server.counts.count(Routed::BackoffsAsked);
    server.log(&LogEvent::BackoffAsked {
        request: request.to_owned(),
        instance: id.clone(),
        backoff_ms: backoff.0.as_millis(),
        kept_for_ms: until.since(now).as_millis(),
    });
}

fn note_leaving(server: &Server, request: &str, id: &InstanceId) {
    let now = server.clock.now();
    if server.breakers.borrow_mut().tell_leaving(id, now) {
        server.log(&LogEvent::LeavingTold {
            request: request.to_owned(),
            instance: id.clone(),
        });
    }
}

fn note_unreadable(
    server: &Server,
    request: &str,
    id: &InstanceId,
    (what, why): (&'static str, &str),
) {
    server.log(&LogEvent::AvailabilityUnreadable {
        request: request.to_owned(),
        instance: id.clone(),
        what,
        why: why.to_owned(),
    });
}

/// Checks that a request that was decided on before may still be sent.
///
/// # Errors
///
/// Returns [`Failure::NotAdmitted`] if the upstream has asked for backoff, or said that it leaves,
/// while the request waited for a connection.
pub(super) fn check(server: &Server, id: &InstanceId) -> Result<(), Failure> {
    let now = server.clock.now();
    match server.breakers.borrow_mut().admission(id, now) {
        Admission::Admitted | Admission::OnTrial | Admission::TrialsTaken => Ok(()),
        Admission::BackoffUntil(_) => Err(Failure::NotAdmitted("asks for backoff")),
        Admission::Leaving => Err(Failure::NotAdmitted("leaves")),
    }
}

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
