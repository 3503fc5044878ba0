//! Answers of the daemon's own: which, and when the caller should come back.

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
    failure::Failure,
    run::RoutedRun,
    server::Server, //
};
use crate::edge::OwnAnswer;

/// The soonest to come back to a daemon that has no routes yet.
///
/// A whole fleet that starts at once takes about as long until its entries have routes; a caller
/// told to come sooner is only refused again.
const RETRY_NO_ROUTES: Duration = Duration::from_millis(800);
/// How much later others are told to come, so that they do not all come at once.
const RETRY_NO_ROUTES_SPREAD: Duration = Duration::from_millis(500);
/// The part of the time left after which a refused caller should come back.
const RETRY_SHARE: f64 = 0.33;
/// By what part of that the time varies between callers.
const RETRY_SPREAD: f64 = 0.5;
/// The part of the time to come back within which callers are spread when no upstream takes
/// requests until later than that.
const RETRY_LATE_SHARE: f64 = 0.9;
/// The soonest that a refused caller should come back.
const RETRY_LEAST: Duration = Duration::from_millis(60);

impl RoutedRun {
    pub(super) fn refusal_for(&self, failure: &Failure) -> RoutedRefusal {
        use cicadabend::chart::RequestState;
        match (self.life.state(), failure) {
            (RequestState::RefusedNotRun, Failure::NotConnected(_)) => RoutedRefusal::NotConnected,
            (RequestState::RefusedNotRun, Failure::NotAdmitted(_)) => RoutedRefusal::BackoffAsked,
            (RequestState::RefusedNotRun, Failure::TimeOver { .. }) => RoutedRefusal::TooLate,
            (RequestState::RefusedNotRun, _) => RoutedRefusal::NotStarted,
            (_, Failure::TimeOver { .. }) => RoutedRefusal::TimedOut,
            _ => RoutedRefusal::OutcomeUnknown,
        }
    }

    /// Answers with an answer of the daemon's own.
    pub(super) fn refuse(mut self, reason: RoutedRefusal, why: &str) -> Response<RoutedBody> {
        let (status, retry_after) = match reason {
            RoutedRefusal::NoReplica
            | RoutedRefusal::NotConnected
            | RoutedRefusal::NoRoom
            | RoutedRefusal::RateUsedUp
            | RoutedRefusal::BackoffAsked
            | RoutedRefusal::NotStarted
            | RoutedRefusal::Quarantined => (
                StatusCode::SERVICE_UNAVAILABLE,
                Some(self.come_back_after()),
            ),
            RoutedRefusal::TooLate => (StatusCode::SERVICE_UNAVAILABLE, None),
            RoutedRefusal::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
            _ => (StatusCode::BAD_GATEWAY, None),
        };
        self.is_over = true;
        self.server.counts.refusal(reason);
        let promises = status == StatusCode::SERVICE_UNAVAILABLE;
        self.server.log(&LogEvent::RequestRefused {
            request: self.plan.id().to_owned(),
            route: self.plan.terms.route.name.clone(),
            reason: format!("{reason:?}"),
            status: status.as_u16(),
            may_have_run: !promises,
            attempts: self.attempts,
            took_ms: self.took_ms(),
            routes: self.plan.terms.routes,
            why: why.to_owned(),
        });
        let answer = OwnAnswer {
            status,
            request_id: self.plan.words.request_id.as_deref(),
            retry_after,
            code: match promises {
                true => "not_run",
                false => "outcome_unknown",
            },
            message: why,
        };
        self.server.edge.own_answer(&answer).map(RoutedBody::whole)
    }

    /// Returns when the caller should come back.
    ///
    /// A caller comes back a few times at the most, so each time should find room: it is
    /// told to use the time that it has, spread so that not all come back at once. What is
    /// quarantined is refused until its quarantine ends, however often it comes.
    pub(super) fn come_back_after(&self) -> Duration {
        if let SuspectStatus::Quarantined { until } = self.standing() {
            return until.since(self.server.clock.now());
        }
        let left = self.plan.time_left();
        let latest = left.mul_f64(RETRY_SHARE);
        if let Some(after) = self.come_back_for_permit(latest) {
            return after.max(RETRY_LEAST);
        }
        let spread = self.server.random_share();
        if let Some(soonest) = self.next_admission() {
            let soonest = soonest.min(latest.mul_f64(RETRY_LATE_SHARE));
            return (soonest + (latest - soonest).mul_f64(spread)).max(RETRY_LEAST);
        }
        let share = RETRY_SHARE * (1.0 - RETRY_SPREAD * spread);
        left.mul_f64(share).max(RETRY_LEAST)
    }
}

/// Answers with an answer of the daemon's own to a request that has no plan yet.
pub(super) fn refuse_early(
    server: &Server,
    reason: RoutedRefusal,
    status: StatusCode,
    request_id: Option<&str>,
    message: &str,
) -> Response<RoutedBody> {
    server.counts.refusal(reason);
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
    let spread = server.random_share();
    let retry_after = RETRY_NO_ROUTES + RETRY_NO_ROUTES_SPREAD.mul_f64(spread);
    let answer = OwnAnswer {
        status,
        request_id,
        retry_after: (status == StatusCode::SERVICE_UNAVAILABLE).then_some(retry_after),
        code: "not_run",
        message,
    };
    let response: Response<Bytes> = server.edge.own_answer(&answer);
    response.map(RoutedBody::whole)
}
