//! Admission of a request: finds its route, team and service, and reads its body.

use std::time::Duration;

use cicadabend::{
    prelude::*,
    routes::{
        Matched,
        Route,
        RouteIndex, //
    },
};
use cicadabend_daemon::bodies::{
    BodyReadError,
    HeldBody, //
};
use http::{
    StatusCode,
    request::Parts, //
};
use hyper::body::Incoming;
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    super::headers,
    counts::RoutedRefusal,
    server::Server, //
};
use crate::{
    edge::CallerHeaders,
    members::RoutedView, //
};

/// Why a request is not admitted, and the response that the daemon sends.
pub(super) struct Refusal {
    pub(super) reason: RoutedRefusal,
    pub(super) status: StatusCode,
    pub(super) message: &'static str,
}

fn refusal(reason: RoutedRefusal, status: StatusCode, message: &'static str) -> Refusal {
    Refusal {
        reason,
        status,
        message,
    }
}

/// The route and team of an admitted request.
pub(super) struct Admitted {
    pub(super) route: Route,
    pub(super) team: Option<TeamName>,
    /// Priority of the team or else of the route; 0 goes first.
    pub(super) rank: u8,
}

/// Finds the route and the team of a request.
///
/// # Errors
///
/// Returns a [`Refusal`] if there is no route or team, or the request's headers are too large.
pub(super) fn admit(
    server: &Server,
    view: &RoutedView,
    parts: &Parts,
    caller_headers: &CallerHeaders,
) -> Result<Admitted, Refusal> {
    let Some(routes) = &view.routes else {
        let message = "no routes are known yet";
        return Err(refusal(
            RoutedRefusal::NoRoutes,
            StatusCode::SERVICE_UNAVAILABLE,
            message,
        ));
    };
    // A daemon whose table of routes may be out of date must not answer that a route or key doesn't
    // exist: it may have been added since.
    let is_certain = server.clock.now() < view.certain_until;
    check_header_size(routes, parts)?;
    let host = parts
        .uri
        .host()
        .or_else(|| headers::text(&parts.headers, "host"));
    let route = routes.route(host.unwrap_or_default(), parts.uri.path());
    let Some(route) = route else {
        return Err(match is_certain {
            true => refusal(
                RoutedRefusal::UnknownRoute,
                StatusCode::NOT_FOUND,
                "no route matches",
            ),
            false => refusal(
                RoutedRefusal::RouteUncertain,
                StatusCode::SERVICE_UNAVAILABLE,
                "no route matches, and the routes may have changed",
            ),
        });
    };
    let (team, priority) = match routes.caller(caller_headers.key.as_deref()) {
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
    Ok(Admitted {
        route: route.clone(),
        team,
        rank,
    })
}

fn check_header_size(routes: &RouteIndex, parts: &Parts) -> Result<(), Refusal> {
    let Some(limit) = routes.table().limits.header_bytes else {
        return Ok(());
    };
    let path = parts
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let size = headers::size_bytes(&parts.headers) + path;
    match size as u64 <= limit {
        true => Ok(()),
        false => Err(refusal(
            RoutedRefusal::HeadTooLarge,
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the path and headers are too large",
        )),
    }
}

/// Picks the service at random by the route's weights; avoids services without replicas.
pub(super) fn pick_service(server: &Server, view: &RoutedView, route: &Route) -> ServiceName {
    let picked = RouteIndex::target(route, server.random());
    let has_replicas = |service: &&ServiceName| {
        let replicas = view.replicas.get(*service);
        replicas.is_some_and(|replicas| !replicas.is_empty())
    };
    let weighted = route.targets.iter().filter(|target| target.weight > 0);
    let mut others = weighted.map(|target| &target.service);
    let chosen = picked
        .filter(has_replicas)
        .or_else(|| others.find(has_replicas));
    let chosen = chosen.or(picked).or_else(|| {
        let first = route.targets.first();
        first.map(|target| &target.service)
    });
    // PANIC: the check of a table of routes refuses routes without targets.
    #[expect(clippy::expect_used, reason = "a checked route has a target")]
    chosen.expect("a checked route has a target").clone()
}

/// Checks that the daemon does not stop before a request could be answered.
///
/// # Errors
///
/// Returns a [`Refusal`] if the request might be cut off although it was passed on.
pub(super) fn check_stop(server: &Server, deadline: Instant) -> Result<(), Refusal> {
    match server.stop.leaves_time_until(deadline) {
        true => Ok(()),
        false => Err(refusal(
            RoutedRefusal::Stopping,
            StatusCode::SERVICE_UNAVAILABLE,
            "the daemon is stopping",
        )),
    }
}

/// Reads the whole request body, so that it can be sent again in a retry, until `deadline`.
///
/// # Errors
///
/// Returns a [`Refusal`] if the body is too large, has no room, arrives too slowly or breaks off.
pub(super) async fn read_body(
    server: &Server,
    view: &RoutedView,
    body: &mut Incoming,
    deadline: Instant,
) -> Result<HeldBody, Refusal> {
    let limits = view.routes.as_ref().map(|routes| routes.table().limits);
    let own = server.settings.callers.max_body_bytes;
    let configured = limits.and_then(|limits| limits.body_bytes);
    let limit = configured.map_or(own, ByteCount);
    let read_timeout = Duration::from_millis(server.settings.callers.read_timeout_ms);
    let until = deadline.min(Instant::now() + read_timeout);
    let incomplete = || {
        refusal(
            RoutedRefusal::BodyIncomplete,
            StatusCode::REQUEST_TIMEOUT,
            "the body did not come in time",
        )
    };
    match timeout_at(until, server.bodies.read(body, limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyReadError::TooLong)) => Err(refusal(
            RoutedRefusal::BodyTooLarge,
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Ok(Err(BodyReadError::NoRoom)) => Err(refusal(
            RoutedRefusal::NoBodyMemory,
            StatusCode::SERVICE_UNAVAILABLE,
            "other bodies take the memory",
        )),
        Ok(Err(BodyReadError::Broken(_))) | Err(_) => Err(incomplete()),
    }
}
