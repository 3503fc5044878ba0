//! From one HTTP request to one answer.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::{
    dispatch::urgency,
    routes::{
        Matched,
        Route,
        RouteIndex, //
    },
};
use http::{
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use tokio::time::{
    Instant,
    timeout, //
};

use super::{
    super::headers,
    body::RoutedBody,
    counts::{
        Routed,
        RoutedRefusal, //
    },
    plan::{
        Plan,
        Precedence, //
    },
    refusal::refuse_early,
    run::RoutedRun,
    server::Server, //
};
use crate::{
    edge::CallerWords,
    members::RoutedView, //
};

/// An answer of the daemon's own, before it is written.
struct Refusal {
    reason: RoutedRefusal,
    status: StatusCode,
    message: &'static str,
}

fn refusal(reason: RoutedRefusal, status: StatusCode, message: &'static str) -> Refusal {
    Refusal {
        reason,
        status,
        message,
    }
}

/// Answers one request; every outcome is an answer.
pub(super) async fn answer(server: Rc<Server>, request: Request<Incoming>) -> Response<RoutedBody> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let words = server.edge.read_caller(&head.headers);
    let view = server.view.load_full();
    let body = read_body(&server, &view, body).await;
    let admitted = body.and_then(|body| {
        let (route, team, rank) = admit(&server, &view, &head, &words)?;
        Ok((body, route, team, rank))
    });
    let (body, route, team, rank) = match admitted {
        Ok(admitted) => admitted,
        Err(Refusal {
            reason,
            status,
            message,
        }) => {
            let id = words.request_id.as_deref();
            return refuse_early(&server, reason, status, id, message);
        }
    };
    server.counts.count(Routed::Requests);
    let timeout = route.timeout();
    let asked = words.deadline_ms.map(Duration::from_millis);
    let deadline = arrived + asked.unwrap_or(timeout).min(timeout);
    let routes = view.routes.as_ref().map_or(0, |routes| routes.version().0);
    let service = target(&server, &view, &route);
    let precedence = Precedence {
        rank,
        urgency: urgency(rank, server.random()),
    };
    let plan = Plan::new(
        route, service, words, team, precedence, arrived, deadline, routes, head, body,
    );
    match RoutedRun::new(&server, plan) {
        Some(run) => run.drive().await,
        None => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "the request's chart is faulty";
            refuse_early(&server, RoutedRefusal::NoReplica, status, None, message)
        }
    }
}

/// Draws the service; one without any replica is left out if there is another.
fn target(server: &Server, view: &RoutedView, route: &Route) -> cicadabend::prelude::ServiceName {
    let drawn = RouteIndex::target(route, server.random());
    let has_replicas = |service: &&cicadabend::prelude::ServiceName| {
        let replicas = view.replicas.get(*service);
        replicas.is_some_and(|replicas| !replicas.is_empty())
    };
    let weighted = route.targets.iter().filter(|target| target.weight > 0);
    let mut others = weighted.map(|target| &target.service);
    let chosen = drawn
        .filter(has_replicas)
        .or_else(|| others.find(has_replicas));
    let chosen = chosen.or(drawn).or_else(|| {
        let first = route.targets.first();
        first.map(|target| &target.service)
    });
    // PANIC: a table whose route leads nowhere is refused by its check.
    #[expect(clippy::expect_used, reason = "a checked route has a target")]
    chosen.expect("a checked route has a target").clone()
}

type Admitted = (Route, Option<cicadabend::prelude::TeamName>, u8);

/// Finds the route and the team of a request.
fn admit(
    server: &Server,
    view: &RoutedView,
    head: &http::request::Parts,
    words: &CallerWords,
) -> Result<Admitted, Refusal> {
    let Some(routes) = &view.routes else {
        let message = "no routes are known yet";
        return Err(refusal(
            RoutedRefusal::NoRoutes,
            StatusCode::SERVICE_UNAVAILABLE,
            message,
        ));
    };
    // A daemon that cannot tell whether its table is the newest must not say that
    // something is not there: it may have been added where it cannot see.
    let is_certain = server.clock.now() < view.certain_until;
    check_head(routes, head)?;
    let host = head
        .uri
        .host()
        .or_else(|| headers::text(&head.headers, "host"));
    let route = routes.route(host.unwrap_or_default(), head.uri.path());
    let Some(route) = route else {
        return Err(match is_certain {
            true => refusal(
                RoutedRefusal::UnknownRoute,
                StatusCode::NOT_FOUND,
                "no route fits",
            ),
            false => refusal(
                RoutedRefusal::RouteUncertain,
                StatusCode::SERVICE_UNAVAILABLE,
                "no route fits, and the routes may have changed",
            ),
        });
    };
    let (team, priority) = match routes.caller(words.key.as_deref()) {
        Matched::Everybody => (None, None),
        Matched::Team(team) => (Some(team.name.clone()), team.priority),
        Matched::Nobody if route.is_public => (None, None),
        Matched::Nobody if is_certain => {
            return Err(refusal(
                RoutedRefusal::UnknownKey,
                StatusCode::UNAUTHORIZED,
                "the key is unknown",
            ));
        }
        Matched::Nobody => {
            return Err(refusal(
                RoutedRefusal::KeyUncertain,
                StatusCode::SERVICE_UNAVAILABLE,
                "the key is unknown, and the keys may have changed",
            ));
        }
    };
    let rank = priority.unwrap_or(route.priority);
    Ok((route.clone(), team, rank))
}

fn check_head(routes: &RouteIndex, head: &http::request::Parts) -> Result<(), Refusal> {
    let Some(limit) = routes.table().limits.header_bytes else {
        return Ok(());
    };
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let size = headers::size_bytes(&head.headers) + path;
    match size as u64 <= limit {
        true => Ok(()),
        false => Err(refusal(
            RoutedRefusal::HeadTooLarge,
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the head is too large",
        )),
    }
}

/// Reads the whole body, so that it can be sent twice.
async fn read_body(server: &Server, view: &RoutedView, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = view.routes.as_ref().map(|routes| routes.table().limits);
    let own = server.settings.callers.max_body_bytes.0;
    let limit = limits.and_then(|limits| limits.body_bytes).unwrap_or(own);
    let limited = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    let patience = Duration::from_millis(server.settings.callers.read_timeout_ms);
    match timeout(patience, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(refusal(
            RoutedRefusal::BodyTooLarge,
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Ok(Err(_)) | Err(_) => Err(refusal(
            RoutedRefusal::BodyIncomplete,
            StatusCode::REQUEST_TIMEOUT,
            "the body did not come in time",
        )),
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
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
