//! Sends requests of other entry daemons on to upstreams that they can't reach themselves.
//!
//! A relay makes one attempt, at the upstream that is named, and decides nothing else: route, team,
//! retries and permits are those of the daemon that asks. It checks what only it can know: its own
//! link, and whether the upstream takes requests from it.

use std::{
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    breaker::Admission,
    prelude::*,
    reach::LinkUse, //
};
use cicadabend_daemon::{
    bodies::{
        BodyReadError,
        HeldBody, //
    },
    connections::{
        ConnectionRequest,
        ConnectionTable,
        OpenConnection, //
    },
    response_head::tells_length,
};
use http::{
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header,
    request::Parts, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        Instant,
        timeout, //
    },
};

use super::{
    super::{
        body::RequestBody,
        connections::{
            accept_all,
            header_buffer, //
        },
        guarded_body::GuardedBody,
        headers,
        upstream::{
            AttemptError,
            SentBytes, //
        },
    },
    counts::Routed,
    direct::DirectRequest,
    events::LogEvent,
    liveness::{
        Liveness,
        check_liveness, //
    },
    relay_body::{
        PassedAnswer,
        RelayBody, //
    },
    relay_headers::{
        RelayAction,
        RelayReport,
        RelayRequest,
        write_report,
        write_tells_length, //
    },
    relay_state::RelayedRequest,
    reservation::Reservation,
    server::Server,
    source::AnswerRest,
    upstream_signals,
};
use crate::{
    edge::CallerHeaders,
    members::RoutedReplica, //
};

/// Connections of other daemons that are open at once.
const MAX_CONNECTIONS: usize = 512;
/// Largest body of a relayed request.
const MAX_BODY: ByteCount = ByteCount(32 * 1024 * 1024);
/// Time for which a connection may be idle; longer than daemons keep it in their pools.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the rest of a request's body may stay away.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// An idle connection is used only if the upstream was heard so recently; otherwise it may have
/// gone silent, and a new one shows that before the request is sent.
const HEARD_RECENTLY: Duration = Duration::from_millis(300);
/// Time after which a missing response counts as late; a relay knows no baseline of such requests.
const LATE_AFTER: Duration = Duration::from_millis(400);

/// Accepts connections of other daemons until the listener is dropped.
///
/// A daemon that stops goes on answering here that it does. If it closed these connections instead,
/// requests that are just being written would be lost with them, and nobody could tell whether
/// they had run.
pub(super) async fn serve(listener: TcpListener, server: Rc<Server>) {
    let open = ConnectionTable::new(MAX_CONNECTIONS);
    let on_full = || server.counts.count(Routed::RelayConnectionsRefused);
    let serve = |stream, connection| serve_daemon(stream, connection, Rc::clone(&server));
    accept_all(&open, &listener, || true, on_full, serve).await;
}

async fn serve_daemon(stream: TcpStream, connection: OpenConnection, server: Rc<Server>) {
    let _ = stream.set_nodelay(true);
    let buffer = header_buffer(server.settings.callers.max_header_bytes.0);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(buffer);
    let service = service_fn(move |request| {
        let server = Rc::clone(&server);
        let on_connection = connection.request();
        async move {
            let response = answer(server, request, &on_connection).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, on_connection)))
        }
    });
    // The daemon that asked sees by itself that its connection broke.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    server: Rc<Server>,
    request: Request<Incoming>,
    on_connection: &ConnectionRequest,
) -> Response<RelayBody> {
    let arrived = Instant::now();
    let (mut parts, body) = request.into_parts();
    let asked = RelayRequest::take(&mut parts.headers);
    let Some(asked) = asked.filter(|asked| asked.key == server.relay.key) else {
        server.counts.count(Routed::RelayStrangers);
        return own_answer(RelayReport::Stranger);
    };
    on_connection.begin();
    let caller = server.edge.read_caller(&parts.headers);
    let outcome = relay(&server, &asked, &caller, parts, body).await;
    let (report, why) = match &outcome {
        Ok(_) => (RelayReport::Passed, String::new()),
        Err(NotRelayed { report, why }) => (*report, why.clone()),
    };
    server.counts.count(Routed::Relayed);
    server.log(&LogEvent::Relayed {
        request: caller.request_id.unwrap_or_default(),
        instance: asked.instance,
        outcome: report.name(),
        took_ms: arrived.elapsed().as_millis(),
        why,
    });
    outcome.unwrap_or_else(|_| own_answer(report))
}

/// Why a relay passes no response on.
struct NotRelayed {
    report: RelayReport,
    /// Details of a failed attempt, for the log.
    why: String,
}

impl From<RelayReport> for NotRelayed {
    fn from(report: RelayReport) -> Self {
        let why = String::new();
        Self { report, why }
    }
}

impl From<AttemptError> for NotRelayed {
    fn from(error: AttemptError) -> Self {
        let why = error.to_string();
        let report = RelayReport::from(error);
        Self { report, why }
    }
}

/// Returns a response of the relay's own.
fn own_answer(report: RelayReport) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Empty(Full::default()));
    *response.status_mut() = match report {
        RelayReport::Passed | RelayReport::Connected => StatusCode::NO_CONTENT,
        RelayReport::Stranger => StatusCode::FORBIDDEN,
        RelayReport::Broken => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let headers = response.headers_mut();
    write_report(headers, report);
    if report == RelayReport::Stopping {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Makes one attempt at the upstream that is named.
async fn relay(
    server: &Rc<Server>,
    asked: &RelayRequest,
    caller: &CallerHeaders,
    mut parts: Parts,
    mut body: Incoming,
) -> Result<Response<RelayBody>, NotRelayed> {
    if server.stop.is_stopping() {
        return Err(RelayReport::Stopping.into());
    }
    let replica = find_replica(server, asked)?;
    if asked.action == RelayAction::Connect {
        return Err(match check_liveness(server, &replica).await {
            Liveness::Alive => RelayReport::Connected,
            Liveness::Ended => RelayReport::Refused,
            Liveness::Unknown => RelayReport::Unreached,
        }
        .into());
    }
    check_link(server, &replica)?;
    check_admission(server, &replica)?;
    let counted = RelayedRequest::begin(server).ok_or(RelayReport::NoRoom)?;
    let body = read_body(server, &mut body).await?;
    headers::remove_hop_by_hop(&mut parts.headers);
    let tokens = caller.prompt_tokens.unwrap_or(0);
    let mut reservation = Reservation::for_relay(server, replica.clone(), tokens);
    let outgoing = Outgoing {
        parts,
        body,
        request_id: caller.request_id.as_deref().unwrap_or_default(),
        is_idempotent: asked.action == RelayAction::SendIdempotent,
    };
    let (response, rest) = send(server, &replica, &outgoing).await?;
    reservation.read();
    reservation.end_trial(true);
    let answer = PassedAnswer::new(server, outgoing.request_id, rest, reservation, counted);
    let (mut parts, ()) = response.into_parts();
    let tells_length = tells_length(&parts.headers);
    write_tells_length(&mut parts.headers, tells_length);
    headers::remove_hop_by_hop(&mut parts.headers);
    write_report(&mut parts.headers, RelayReport::Passed);
    let body = RelayBody::Passed(Box::new(answer));
    Ok(Response::from_parts(parts, body))
}

fn find_replica(server: &Server, asked: &RelayRequest) -> Result<RoutedReplica, RelayReport> {
    let view = server.view.load();
    let mut all = view.replicas.values().flatten();
    let found = all.find(|replica| replica.id == asked.instance);
    found.cloned().ok_or(RelayReport::UnknownInstance)
}

/// Checks that no connection has failed by this daemon's own link, so that requests go over one
/// relay at most. Silence is no proof; a new connection is, which is made before a request is sent.
fn check_link(server: &Server, replica: &RoutedReplica) -> Result<(), RelayReport> {
    let view = server.view.load();
    let is_lost = server.link_use(&view, replica) == LinkUse::Relayed;
    if !is_lost || !server.has_failed_connection(replica) {
        return Ok(());
    }
    Err(match server.is_group_lost(&replica.link_group()) {
        true => RelayReport::GroupLost,
        false => RelayReport::Unreached,
    })
}

fn check_admission(server: &Server, replica: &RoutedReplica) -> Result<(), RelayReport> {
    let now = server.clock.now();
    let admission = server.breakers.borrow_mut().admission(&replica.id, now);
    match admission {
        Admission::Admitted | Admission::OnTrial => Ok(()),
        Admission::TrialsTaken | Admission::BackoffUntil(_) => Err(RelayReport::BackoffAsked),
        Admission::Leaving => Err(RelayReport::UnknownInstance),
    }
}

async fn read_body(server: &Server, body: &mut Incoming) -> Result<Rc<HeldBody>, RelayReport> {
    match timeout(BODY_TIMEOUT, server.bodies.read(body, MAX_BODY)).await {
        Ok(Ok(body)) => Ok(Rc::new(body)),
        Ok(Err(BodyReadError::TooLong | BodyReadError::NoRoom)) => Err(RelayReport::NoRoom),
        Ok(Err(BodyReadError::Broken(_))) | Err(_) => Err(RelayReport::BodyIncomplete),
    }
}

impl From<AttemptError> for RelayReport {
    fn from(error: AttemptError) -> Self {
        match error {
            AttemptError::Broken { .. } | AttemptError::BrokenHead { .. } => RelayReport::Broken,
            error if error.is_refused() => RelayReport::Refused,
            AttemptError::NotConnected { .. } | AttemptError::NothingWritten { .. } => {
                RelayReport::Unreached
            }
        }
    }
}

/// A request as it is sent to the upstream.
struct Outgoing<'a> {
    parts: Parts,
    body: Rc<HeldBody>,
    request_id: &'a str,
    is_idempotent: bool,
}

impl Outgoing<'_> {
    fn request(&self) -> Request<RequestBody> {
        let body = RequestBody::held(&self.body);
        let mut request = Request::from_parts(self.parts.clone(), body);
        // The daemon that asked has given the body's length, if the request has a body.
        if self.body.length() > 0 {
            let length = HeaderValue::from(self.body.length());
            let headers = request.headers_mut();
            headers.insert(header::CONTENT_LENGTH, length);
        }
        request
    }
}

/// Sends the request and waits for the head of its response.
async fn send(
    server: &Rc<Server>,
    replica: &RoutedReplica,
    outgoing: &Outgoing<'_>,
) -> Result<(Response<()>, AnswerRest), NotRelayed> {
    let idle = match server.was_heard_within(replica, HEARD_RECENTLY) {
        true => {
            let pool = &server.pool;
            pool.idle_lease(replica.address, outgoing.is_idempotent)
        }
        false => None,
    };
    let direct = DirectRequest {
        replica,
        request: &|| outgoing.request(),
        sent: &SentBytes::default(),
        late_after: LATE_AFTER,
        on_late: &|_| {},
    };
    let check_admission = || check_admission(server, replica).map_err(NotRelayed::from);
    let (response, lease, _) = direct.send(server, idle, check_admission).await?;
    let (parts, incoming) = response.into_parts();
    let signals = server.edge.read_answer(parts.status, &parts.headers);
    let id = outgoing.request_id;
    upstream_signals::record_availability(server, id, &replica.id, &signals);
    let is_reused = lease.is_reused();
    let is_own = upstream_signals::is_answer_to(id, &signals, is_reused, parts.status);
    if !is_own {
        return Err(RelayReport::Broken.into());
    }
    let keep_for = upstream_signals::keep_alive(&signals);
    let rest = AnswerRest::new(incoming, lease, keep_for);
    Ok((Response::from_parts(parts, ()), rest))
}
