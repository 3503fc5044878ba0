//! Turns one HTTP request into one response.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::dispatch::urgency;
use cicadabend_daemon::{
    bodies::HeldBody,
    connections::ConnectionRequest, //
};
use http::{
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header, //
};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{
    super::{
        caller_stream::BrokenEnd,
        unread_body::UnreadBody, //
    },
    admission::{
        Admitted,
        Refusal,
        admit,
        check_stop,
        pick_service, //
        read_body,
    },
    body::RoutedBody,
    counts::{
        Routed,
        RoutedRefusal, //
    },
    execution::RoutedExecution,
    prepared_request::{
        Precedence,
        PreparedRequest,
        Terms, //
    },
    refusal::refuse_early,
    server::Server, //
};
use crate::{
    edge::CallerHeaders,
    members::RoutedView, //
};

/// Answers one request; errors become responses too. `on_connection` and `connection_end` are those
/// of the caller's connection.
pub(super) async fn answer(
    server: Rc<Server>,
    request: Request<Incoming>,
    on_connection: &ConnectionRequest,
    connection_end: BrokenEnd,
) -> Response<RoutedBody> {
    let arrived = Instant::now();
    let (parts, mut body) = request.into_parts();
    let caller_headers = server.edge.read_caller(&parts.headers);
    let view = server.view.load_full();
    // All that the head shows is checked before the body is read.
    let admitted = match admit(&server, &view, &parts, &caller_headers) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let unread = UnreadBody::new(body, &parts.headers);
            return refuse_unadmitted(&server, &caller_headers, &refusal, unread);
        }
    };
    let terms = terms_of(&server, &view, admitted, &caller_headers, arrived);
    let held = match read_in_time(&server, &view, &mut body, terms.deadline).await {
        Ok(held) => held,
        Err(refusal) => {
            let unread = UnreadBody::new(body, &parts.headers);
            return refuse_unadmitted(&server, &caller_headers, &refusal, unread);
        }
    };
    on_connection.begin();
    server.counts.count(Routed::Requests);
    let prepared = PreparedRequest::new(terms, caller_headers, parts, held, connection_end);
    match RoutedExecution::new(&server, prepared) {
        Some(execution) => execution.drive().await,
        None => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "the request's state chart is invalid";
            refuse_early(&server, RoutedRefusal::NoReplica, status, None, message)
        }
    }
}

/// Reads the body of a request, unless the daemon stops before the request could be answered.
async fn read_in_time(
    server: &Server,
    view: &RoutedView,
    body: &mut Incoming,
    deadline: Instant,
) -> Result<HeldBody, Refusal> {
    check_stop(server, deadline)?;
    let held = read_body(server, view, body, deadline).await?;
    check_stop(server, deadline)?;
    Ok(held)
}

fn refuse_unadmitted(
    server: &Server,
    caller_headers: &CallerHeaders,
    refusal: &Refusal,
    unread: UnreadBody,
) -> Response<RoutedBody> {
    let id = caller_headers.request_id.as_deref();
    let mut response = refuse_early(server, refusal.reason, refusal.status, id, refusal.message);
    unread.discard(&server.discards, response.headers_mut());
    response
}

/// Returns the service, deadline and priority of an admitted request.
fn terms_of(
    server: &Server,
    view: &RoutedView,
    admitted: Admitted,
    caller_headers: &CallerHeaders,
    arrived: Instant,
) -> Terms {
    let Admitted { route, team, rank } = admitted;
    let timeout = route.timeout();
    let asked = caller_headers.deadline_ms.map(Duration::from_millis);
    Terms {
        service: pick_service(server, view, &route),
        team,
        precedence: Precedence {
            rank,
            urgency: urgency(rank, server.random()),
        },
        arrived,
        deadline: arrived + asked.unwrap_or(timeout).min(timeout),
        routes: view.routes_version(),
        route,
    }
}

/// Returns the response to a readiness check of the load balancer.
pub(super) fn readiness(server: &Server) -> Response<RoutedBody> {
    let (status, text) = match server.is_ready() {
        true => (StatusCode::OK, "{\"ready\":true}"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "{\"ready\":false}"),
    };
    let mut response = Response::new(RoutedBody::from_bytes(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
