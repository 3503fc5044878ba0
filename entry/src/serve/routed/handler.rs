//! From one HTTP request to one answer.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::dispatch::urgency;
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
    admission::{
        Admitted,
        Refusal,
        admit,
        read_body,
        target, //
    },
    body::RoutedBody,
    counts::{
        Routed,
        RoutedRefusal, //
    },
    plan::{
        Plan,
        Precedence,
        Terms, //
    },
    refusal::refuse_early,
    run::RoutedRun,
    server::Server, //
};
use crate::{
    edge::CallerHeaders,
    members::RoutedView, //
};

/// Answers one request; every outcome is an answer.
pub(super) async fn answer(server: Rc<Server>, request: Request<Incoming>) -> Response<RoutedBody> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let words = server.edge.read_caller(&head.headers);
    let view = server.view.load_full();
    let body = read_body(&server, &view, body).await;
    let admitted = body.and_then(|body| Ok((body, admit(&server, &view, &head, &words)?)));
    let (body, admitted) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refused(&server, &words, &refusal),
    };
    server.counts.count(Routed::Requests);
    let terms = terms(&server, &view, admitted, &words, arrived);
    let plan = Plan::new(terms, words, head, body);
    match RoutedRun::new(&server, plan) {
        Some(run) => run.drive().await,
        None => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "the request's chart is faulty";
            refuse_early(&server, RoutedRefusal::NoReplica, status, None, message)
        }
    }
}

fn refused(server: &Server, words: &CallerHeaders, refusal: &Refusal) -> Response<RoutedBody> {
    let id = words.request_id.as_deref();
    refuse_early(server, refusal.reason, refusal.status, id, refusal.message)
}

/// Returns the terms on which a request is served that was let in.
fn terms(
    server: &Server,
    view: &RoutedView,
    admitted: Admitted,
    words: &CallerHeaders,
    arrived: Instant,
) -> Terms {
    let Admitted { route, team, rank } = admitted;
    let timeout = route.timeout();
    let asked = words.deadline_ms.map(Duration::from_millis);
    Terms {
        service: target(server, view, &route),
        team,
        precedence: Precedence {
            rank,
            urgency: urgency(rank, server.random()),
        },
        arrived,
        deadline: arrived + asked.unwrap_or(timeout).min(timeout),
        routes: view.routes.as_ref().map_or(0, |routes| routes.version().0),
        route,
    }
}

/// Answers the balancer's question.
pub(super) fn readiness(server: &Server) -> Response<RoutedBody> {
    let (status, text) = match server.is_ready() {
        true => (StatusCode::OK, "{\"ready\":true}"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "{\"ready\":false}"),
    };
    let mut response = Response::new(RoutedBody::whole(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
