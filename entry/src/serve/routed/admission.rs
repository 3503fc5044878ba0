//! Whether a request is let in: its body, its route and its team.

use std::time::Duration;

use bytes::Bytes;
use cicadabend::{
    prelude::*,
    routes::{
        Matched,
        Route,
        RouteIndex, //
    },
};
use http::{
    StatusCode,
    request::Parts, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{
    super::headers,
    counts::RoutedRefusal,
    server::Server, //
};
use crate::{
    edge::CallerHeaders,
    members::RoutedView, //
};

/// An answer of the daemon's own, before it is written.
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

/// Who calls for what.
pub(super) struct Admitted {
    pub(super) route: Route,
    pub(super) team: Option<TeamName>,
    /// The team's or the route's rank; 0 goes first.
    pub(super) rank: u8,
}

/// Finds the route and the team of a request.
pub(super) fn admit(
    server: &Server,
    view: &RoutedView,
    head: &Parts,
    words: &CallerHeaders,
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
    Ok(Admitted {
        route: route.clone(),
        team,
        rank,
    })
}

fn check_head(routes: &RouteIndex, head: &Parts) -> Result<(), Refusal> {
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

/// Draws the service; one without any replica is left out if there is another.
pub(super) fn target(server: &Server, view: &RoutedView, route: &Route) -> ServiceName {
    let drawn = RouteIndex::target(route, server.random());
    let has_replicas = |service: &&ServiceName| {
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

/// Reads the whole body, so that it can be sent twice.
pub(super) async fn read_body(
    server: &Server,
    view: &RoutedView,
    body: Incoming,
) -> Result<Bytes, Refusal> {
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
