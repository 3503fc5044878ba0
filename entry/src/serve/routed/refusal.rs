//! The daemon's own responses: their status, and when the caller should retry.

use std::time::Duration;

use bytes::Bytes;
use cicadabend::quarantine::SuspectStatus;
use http::{
    Response,
    StatusCode, //
};

use super::{
    body::RoutedBody,
    counts::RoutedRefusal,
    events::LogEvent,
    execution::RoutedExecution,
    failure::Failure,
    server::Server, //
};
use crate::edge::OwnAnswer;

/// Least retry delay for callers whose request was not admitted.
///
/// When a whole fleet starts at once, its entry daemons need about this long to get the routes, and
/// bodies that make no progress lose their room somewhat sooner. An earlier client retry would only
/// be refused again.
const RETRY_UNADMITTED: Duration = Duration::from_millis(800);
/// Largest random addition to [`RETRY_UNADMITTED`], so that callers don't all retry at once.
const RETRY_UNADMITTED_SPREAD: Duration = Duration::from_millis(500);
/// Share of the time until the deadline after which a refused caller should retry.
const RETRY_SHARE: f64 = 0.33;
/// Share of the retry delay by which it varies at random between callers.
const RETRY_SPREAD: f64 = 0.5;
/// Largest start of the range of random retry delays, as a share of its end.
///
/// Limits the start when no upstream takes requests until after the range's end, so that callers
/// are still spread.
const RETRY_LATE_SHARE: f64 = 0.9;
/// Least retry delay of a refused caller.
const RETRY_MIN: Duration = Duration::from_millis(60);

impl RoutedExecution {
    /// Returns the reason of refusal for a request whose last attempt failed.
    pub(super) fn refusal_for(&self, failure: &Failure) -> RoutedRefusal {
        use cicadabend::chart::RequestState;
        match (self.life.state(), failure) {
            (RequestState::RefusedNotRun, Failure::NotConnected(_)) => RoutedRefusal::NotConnected,
            (RequestState::RefusedNotRun, Failure::NotAdmitted(_)) => RoutedRefusal::BackoffAsked,
            (RequestState::RefusedNotRun, Failure::DeadlinePassed { .. }) => RoutedRefusal::TooLate,
            (RequestState::RefusedNotRun, _) => RoutedRefusal::NotStarted,
            (_, Failure::DeadlinePassed { .. }) => RoutedRefusal::TimedOut,
            _ => RoutedRefusal::OutcomeUnknown,
        }
    }

    /// Ends the request with a response of the daemon's own.
    pub(super) fn refuse(mut self, reason: RoutedRefusal, why: &str) -> Response<RoutedBody> {
        let (status, retry_after) = match reason {
            RoutedRefusal::NoReplica
            | RoutedRefusal::NotConnected
            | RoutedRefusal::OutOfReach
            | RoutedRefusal::NoRoom
            | RoutedRefusal::RateUsedUp
            | RoutedRefusal::BackoffAsked
            | RoutedRefusal::NotStarted
            | RoutedRefusal::Quarantined
            | RoutedRefusal::PartQuarantined => (
                StatusCode::SERVICE_UNAVAILABLE,
                Some(self.caller_retry_after()),
            ),
            RoutedRefusal::TooLate => (StatusCode::SERVICE_UNAVAILABLE, None),
            RoutedRefusal::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
            _ => (StatusCode::BAD_GATEWAY, None),
        };
        self.is_over = true;
        self.server.counts.count_refusal(reason);
        let promises = status == StatusCode::SERVICE_UNAVAILABLE;
        self.server.log(&LogEvent::RequestRefused {
            request: self.prepared.id().to_owned(),
            route: self.prepared.terms.route.name.clone(),
            reason: format!("{reason:?}"),
            status: status.as_u16(),
            may_have_run: !promises,
            attempts: self.attempts,
            took_ms: self.took_ms(),
            routes: self.prepared.terms.routes,
            why: why.to_owned(),
        });
        let answer = OwnAnswer {
            status,
            request_id: self.prepared.caller_headers.request_id.as_deref(),
            retry_after,
            code: match promises {
                true => "not_run",
                false => "outcome_unknown",
            },
            message: why,
        };
        self.server
            .edge
            .own_answer(&answer)
            .map(RoutedBody::from_bytes)
    }

    /// Returns after what time the caller should retry.
    ///
    /// A caller retries only a few times, so each retry should find room. The delay therefore uses
    /// up a good share of the time until the deadline, with a random spread so that callers don't
    /// retry together. A quarantined request is refused until its quarantine ends, however often
    /// the caller retries.
    pub(super) fn caller_retry_after(&self) -> Duration {
        if let SuspectStatus::Quarantined { until } = self.suspect_status() {
            return until.since(self.server.clock.now());
        }
        let left = self.prepared.time_left();
        let latest = left.mul_f64(RETRY_SHARE);
        if let Some(after) = self.retry_after_for_permit(latest) {
            return after.max(RETRY_MIN);
        }
        let spread = self.server.random_fraction();
        if let Some(soonest) = self.time_to_next_admission() {
            let soonest = soonest.min(latest.mul_f64(RETRY_LATE_SHARE));
            return (soonest + (latest - soonest).mul_f64(spread)).max(RETRY_MIN);
        }
        let share = RETRY_SHARE * (1.0 - RETRY_SPREAD * spread);
        left.mul_f64(share).max(RETRY_MIN)
    }
}

/// Refuses a request that was not admitted, with a response of the daemon's own.
pub(super) fn refuse_early(
    server: &Server,
    reason: RoutedRefusal,
    status: StatusCode,
    request_id: Option<&str>,
    message: &str,
) -> Response<RoutedBody> {
    server.counts.count_refusal(reason);
    server.log(&LogEvent::RequestRefused {
        request: request_id.unwrap_or_default().to_owned(),
        route: String::new(),
        reason: format!("{reason:?}"),
        status: status.as_u16(),
        may_have_run: false,
        attempts: 0,
        took_ms: 0,
        routes: server
            .view
            .load()
            .routes
            .as_ref()
            .map_or(0, |routes| routes.version().0),
        why: message.to_owned(),
    });
    let retry_after = match reason {
        // Another daemon takes the request at once.
        RoutedRefusal::Stopping => RETRY_MIN,
        _ => RETRY_UNADMITTED + RETRY_UNADMITTED_SPREAD.mul_f64(server.random_fraction()),
    };
    let answer = OwnAnswer {
        status,
        request_id,
        retry_after: (status == StatusCode::SERVICE_UNAVAILABLE).then_some(retry_after),
        code: "not_run",
        message,
    };
    let response: Response<Bytes> = server.edge.own_answer(&answer);
    response.map(RoutedBody::from_bytes)
}
