//! Records what upstreams signal by their response headers beyond the single request: backoff,
//! shutdown and request rates.

use std::time::Duration;

use cicadabend::{
    breaker::{
        Admission,
        BackoffRequest, //
    },
    prelude::*,
    registry::InstanceId,
};

use super::source::DEFAULT_KEEP_ALIVE;
use http::StatusCode;

use super::{
    counts::Routed,
    events::LogEvent,
    failure::Failure,
    server::{
        LastNamedRates,
        Server, //
    },
};
use crate::edge::{
    Named,
    NamedRate, //
    UpstreamSignals,
};

/// Time that is subtracted from the upstream's keep-alive time for pooled connections.
///
/// Covers the network delay and a daemon that the kernel doesn't schedule for a while.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Records the backoff and the shutdown that an upstream's response signals.
pub(super) fn record_availability(
    server: &Server,
    request: &str,
    id: &InstanceId,
    signals: &UpstreamSignals,
) {
    match &signals.backoff {
        Named::Unsaid => {}
        Named::Named(backoff) => record_backoff(server, request, id, *backoff),
        Named::Unreadable(why) => log_unreadable(server, request, id, ("backoff", why)),
    }
    match &signals.leaving {
        Named::Unsaid | Named::Named(false) => {}
        Named::Named(true) => record_leaving(server, request, id),
        Named::Unreadable(why) => log_unreadable(server, request, id, ("leaving", why)),
    }
}

fn record_backoff(server: &Server, request: &str, id: &InstanceId, backoff: BackoffTime) {
    let now = server.clock.now();
    let asked = BackoffRequest {
        backoff,
        daemons: server.view.load().entries,
        random: server.random_fraction(),
    };
    let until = server.breakers.borrow_mut().record_backoff(id, &asked, now);
    server.counts.count(Routed::BackoffsAsked);
    server.log(&LogEvent::BackoffAsked {
        request: request.to_owned(),
        instance: id.clone(),
        backoff_ms: backoff.0.as_millis(),
        kept_for_ms: until.since(now).as_millis(),
    });
}

fn record_leaving(server: &Server, request: &str, id: &InstanceId) {
    let now = server.clock.now();
    if server.breakers.borrow_mut().record_leaving(id, now) {
        server.log(&LogEvent::LeavingTold {
            request: request.to_owned(),
            instance: id.clone(),
        });
    }
}

fn log_unreadable(
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

/// Returns whether a response belongs to the request with this id.
pub(super) fn is_answer_to(
    request: &str,
    signals: &UpstreamSignals,
    is_reused: bool,
    status: StatusCode,
) -> bool {
    match &signals.request_id {
        Some(id) => id == request,
        // A new connection can't hold a response to an earlier request.
        None => !is_reused && !status.is_success(),
    }
}

/// Returns the time for which a connection may be pooled after a response with these signals.
pub(super) fn keep_alive(signals: &UpstreamSignals) -> Duration {
    let keeps_for = signals.keeps_for.unwrap_or(DEFAULT_KEEP_ALIVE);
    keeps_for.saturating_sub(KEEP_ALIVE_MARGIN)
}

/// Checks that the upstream still takes requests, after the request has waited for a connection.
///
/// # Errors
///
/// Returns [`Failure::NotAdmitted`] if the upstream has asked for backoff or announced its shutdown
/// in the meantime.
pub(super) fn check_admission(server: &Server, id: &InstanceId) -> Result<(), Failure> {
    let now = server.clock.now();
    match server.breakers.borrow_mut().admission(id, now) {
        Admission::Admitted | Admission::OnTrial | Admission::TrialsTaken => Ok(()),
        Admission::BackoffUntil(_) => Err(Failure::NotAdmitted("asks for backoff")),
        Admission::Leaving => Err(Failure::NotAdmitted("leaves")),
    }
}

/// Records the request rate that an upstream's response names, and reports it to `members`.
pub(super) fn record_rate(
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
    let before = replace_rate(&mut server.rates.borrow_mut(), id, rate);
    if before != rate {
        server.log(&LogEvent::RateNamed {
            request: request.to_owned(),
            instance: id.clone(),
            rate: RequestRate::text(rate),
            before: RequestRate::text(before),
        });
    }
    if rate.is_some() || before.is_some() || server.view.load().rates.contains_key(id) {
        // A full ring drops the notice; the upstream's next response sends another one.
        let _ = server
            .rate_notices
            .push((id.clone(), rate, (sent_at, server.clock.now())));
    }
}

/// Stores an upstream's last named rate; returns the one stored before.
fn replace_rate(
    rates: &mut LastNamedRates,
    id: &InstanceId,
    rate: Option<RequestRate>,
) -> Option<RequestRate> {
    match rate {
        Some(rate) => rates.insert(id.clone(), rate),
        None => rates.remove(id),
    }
}
