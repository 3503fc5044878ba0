//! Sends requests through other entry daemons, which relay them to upstreams.

use std::{
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    reach::{
        Relay,
        RelayFailure, //
    },
};
use http::{
    Request,
    Response, //
};
use hyper::body::Incoming;

use super::{
    super::{
        body::RequestBody,
        upstream::{
            AttemptError,
            Lease,
            SentBytes, //
        },
        wait::wait_for,
    },
    counts::Routed,
    delivered::Delivered,
    events::LogEvent,
    failure::Failure,
    links::RelayUse,
    prepared_request::PreparedRequest,
    relay_headers::{
        self,
        RelayAction,
        RelayReport,
        RelayRequest, //
    },
    server::Server,
    source::{
        AnswerRest,
        DEFAULT_KEEP_ALIVE, //
    },
    upstream_signals,
};
use crate::members::RoutedReplica;

/// Relays that one attempt asks.
const MAX_RELAYS: usize = 6;
/// Relays that may say that they don't reach an upstream either; it is the upstream's fault then.
const MAX_UNREACHED: usize = 3;
/// Time for a connection to a relay; behind a cut there are others to try.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for a relay to report whether it can connect to an upstream.
const CONNECT_REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a response after which another relay is preferred.
const RELAY_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Why a relay brought no response.
enum RelayOutcome {
    /// Neither this daemon nor the relay has sent anything on.
    NotSent(RelayReport),
    /// The relay could not be reached.
    NoConnection(AttemptError),
    /// The upstream may have run the request.
    Failed(Failure),
}

/// Sends the request through relays, one after the other, until one has sent it on; `failure` is
/// why it was not sent directly.
pub(super) async fn send_relayed(
    server: &Rc<Server>,
    prepared: &PreparedRequest,
    replica: &RoutedReplica,
    sent: &SentBytes,
    last_event: Option<u64>,
    mut failure: Failure,
) -> Result<Delivered, Failure> {
    let group = replica.link_group();
    let mut tried = Vec::new();
    let mut unreached: Vec<DaemonId> = Vec::new();
    while tried.len() < MAX_RELAYS && unreached.len() < MAX_UNREACHED {
        let relay = server.choose_relay(&server.view.load(), &group, &tried);
        let Some(relay) = relay else {
            break;
        };
        let sending = send_through(server, prepared, (replica, &relay), sent, last_event);
        let outcome = sending.await;
        log_relayed(server, prepared, (replica, &relay), &outcome);
        let report = match outcome {
            Ok(delivered) => {
                // The upstream is in reach, so what kept the others from it is on their side.
                for daemon in unreached {
                    let failure = RelayFailure::Unreached(group.clone());
                    server.record_relay_failure(&daemon, failure);
                }
                return Ok(delivered);
            }
            Err(RelayOutcome::Failed(failure)) => return Err(failure),
            Err(RelayOutcome::NoConnection(error)) => {
                failure = Failure::NotConnected(error);
                None
            }
            Err(RelayOutcome::NotSent(report)) => Some(report),
        };
        // Neither side has written a byte that reached an upstream.
        sent.forget();
        let relay_failure = match report {
            None | Some(RelayReport::Stranger) => Some(RelayFailure::Unusable),
            Some(RelayReport::Stopping) => Some(RelayFailure::Stopping),
            Some(RelayReport::NoRoom) => Some(RelayFailure::NoRoom),
            Some(RelayReport::GroupLost) => Some(RelayFailure::Unreached(group.clone())),
            Some(RelayReport::BackoffAsked) => {
                failure = Failure::NotAdmitted("asks all relays for backoff");
                None
            }
            Some(RelayReport::UnknownInstance) => {
                failure = Failure::NotAdmitted("is not known to the relay");
                None
            }
            Some(_) => {
                unreached.push(relay.daemon.clone());
                None
            }
        };
        if let Some(relay_failure) = relay_failure {
            server.record_relay_failure(&relay.daemon, relay_failure);
        }
        tried.push(relay.daemon);
    }
    Err(failure)
}

/// Sends the request through one relay.
async fn send_through(
    server: &Rc<Server>,
    prepared: &PreparedRequest,
    (replica, relay): (&RoutedReplica, &Relay),
    sent: &SentBytes,
    last_event: Option<u64>,
) -> Result<Delivered, RelayOutcome> {
    upstream_signals::check_admission(server, &replica.id).map_err(RelayOutcome::Failed)?;
    let is_idempotent = prepared.terms.route.kind.is_repeatable();
    let relay_use = RelayUse::begin(server, relay);
    let asked = RelayRequest {
        key: relay.offer.key,
        instance: replica.id.clone(),
        action: match is_idempotent {
            true => RelayAction::SendIdempotent,
            false => RelayAction::SendOnce,
        },
    };
    let request = || {
        let mut request = prepared.request_to(&*server.edge, replica, last_event);
        asked.write(request.headers_mut());
        request
    };
    let sent_at = server.clock.now();
    let sending = send_to_relay(server, relay, request, (sent, is_idempotent));
    let mut sending = pin!(sending);
    let outcome = match wait_for(RELAY_SILENCE_LIMIT, sending.as_mut()).await {
        Ok(outcome) => outcome,
        Err(_) => {
            prepared.record_unanswered(sent_at);
            let failure = RelayFailure::Late(replica.link_group());
            server.record_relay_failure(&relay.daemon, failure);
            sending.await
        }
    };
    let (mut response, lease) = outcome.map_err(|error| match error {
        AttemptError::Broken { .. } | AttemptError::BrokenHead { .. } => {
            RelayOutcome::Failed(Failure::from(error))
        }
        error => RelayOutcome::NoConnection(error),
    })?;
    match relay_headers::take_report(response.headers_mut()) {
        Some(RelayReport::Passed) => Ok(Delivered {
            tells_length: relay_headers::take_tells_length(response.headers_mut()),
            response,
            lease,
            sent_at,
            relay: Some(relay_use),
        }),
        Some(RelayReport::Broken | RelayReport::Connected) | None => {
            let why = format!("relay {} got no complete response", relay.daemon);
            Err(RelayOutcome::Failed(Failure::Broken(why)))
        }
        Some(report) => {
            AnswerRest::new(response.into_body(), lease, DEFAULT_KEEP_ALIVE).drain();
            Err(RelayOutcome::NotSent(report))
        }
    }
}

/// Asks relays whether they can connect to a replica; `None` if none answers that.
pub(super) async fn ask_to_connect(
    server: &Rc<Server>,
    replica: &RoutedReplica,
) -> Option<RelayReport> {
    let mut tried = Vec::new();
    while tried.len() < MAX_RELAYS {
        let view = server.view.load_full();
        let relay = server.choose_relay(&view, &replica.link_group(), &tried)?;
        let asked = RelayRequest {
            key: relay.offer.key,
            instance: replica.id.clone(),
            action: RelayAction::Connect,
        };
        let request = || {
            let mut request = Request::new(RequestBody::empty());
            asked.write(request.headers_mut());
            request
        };
        let sent = SentBytes::default();
        let sending = send_to_relay(server, &relay, request, (&sent, true));
        if let Ok(Ok((mut response, lease))) = wait_for(CONNECT_REPORT_TIMEOUT, sending).await {
            let report = relay_headers::take_report(response.headers_mut());
            AnswerRest::new(response.into_body(), lease, DEFAULT_KEEP_ALIVE).drain();
            let is_answer = |report: &RelayReport| {
                matches!(report, RelayReport::Connected | RelayReport::Refused)
            };
            if let Some(report) = report.filter(is_answer) {
                return Some(report);
            }
        }
        tried.push(relay.daemon);
    }
    None
}

/// Sends a request to a relay by a pooled connection or a new one.
async fn send_to_relay(
    server: &Server,
    relay: &Relay,
    request: impl Fn() -> Request<RequestBody>,
    (sent, is_idempotent): (&SentBytes, bool),
) -> Result<(Response<Incoming>, Lease), AttemptError> {
    let address = relay.offer.address;
    if let Some(lease) = server.pool.idle_lease(address, is_idempotent) {
        match lease.send(request(), sent).await {
            Err(AttemptError::NothingWritten { .. }) => {}
            outcome => return outcome,
        }
    }
    let connecting = server.pool.lease_new(address);
    let Ok(connected) = wait_for(RELAY_CONNECT_TIMEOUT, connecting).await else {
        return Err(AttemptError::NotConnected {
            address,
            reason: "the relay did not accept a connection in time".to_owned(),
            is_refused: false,
        });
    };
    connected?.send(request(), sent).await
}

fn log_relayed(
    server: &Server,
    prepared: &PreparedRequest,
    (replica, relay): (&RoutedReplica, &Relay),
    outcome: &Result<Delivered, RelayOutcome>,
) {
    server.counts.count(Routed::SentToRelays);
    let outcome = match outcome {
        Ok(_) => RelayReport::Passed.name().to_owned(),
        Err(RelayOutcome::NotSent(report)) => report.name().to_owned(),
        Err(RelayOutcome::NoConnection(error)) => error.to_string(),
        Err(RelayOutcome::Failed(failure)) => failure.to_string(),
    };
    server.log(&LogEvent::SentToRelay {
        request: prepared.id().to_owned(),
        instance: replica.id.clone(),
        relay: relay.daemon.clone(),
        outcome,
    });
}
