//! What upstreams' answers say besides their status and body, as far as it outlasts the request.

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
    failure::Failure,
    server::{
        HeardRates,
        Server, //
    },
};
use crate::edge::{
    Named,
    NamedRate, //
    UpstreamSignals,
};

/// Takes note of what an upstream's answer says of its availability.
pub(super) fn note_availability(
    server: &Server,
    request: &str,
    id: &InstanceId,
    words: &UpstreamSignals,
) {
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
        random: server.random_share(),
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

/// Takes note of the rate that an upstream's answer names.
pub(super) fn note_rate(
    server: &Server,
    request: &str,
    id: &InstanceId,
    named: &NamedRate,
    sent_at: Timestamp,
) {
    let rate = match named {
        NamedRate::Unsaid => None,
        NamedRate::Named(rate) => Some(*rate),
        NamedRate::Unreadable(why) => {
            server.log(&LogEvent::RateUnreadable {
                request: request.to_owned(),
                instance: id.clone(),
                why: why.clone(),
            });
            return;
        }
    };
    let before = replace(&mut server.rates.borrow_mut(), id, rate);
    if before != rate {
        server.log(&LogEvent::RateNamed {
            request: request.to_owned(),
            instance: id.clone(),
            rate: RequestRate::text(rate),
            before: RequestRate::text(before),
        });
    }
    if rate.is_some() || before.is_some() || server.view.load().rates.contains_key(id) {
        // A full ring loses the notice; the next answer of the upstream gives another.
        let _ = server
            .rate_notices
            .push((id.clone(), rate, (sent_at, server.clock.now())));
    }
}

fn replace(
    rates: &mut HeardRates,
    id: &InstanceId,
    rate: Option<RequestRate>,
) -> Option<RequestRate> {
    match rate {
        Some(rate) => rates.insert(id.clone(), rate),
        None => rates.remove(id),
    }
}
