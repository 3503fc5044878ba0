//! What callers see: headers, error codes and the form of an error.

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// `Authorization: Bearer KEY` names the team.
pub const HEADER_AUTHORIZATION: &str = "authorization";
/// The id of the request in all logs; made by the entry daemon if absent.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// The published name of the key by which a resend is recognised (IETF httpapi draft).
pub const HEADER_IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `true` says that the request must run at most once; needs an idempotency key.
pub const HEADER_NOT_REPEATABLE: &str = "x-cicadabend-not-repeatable";
/// RFC 9218 priority: `u=0` (first) to `u=7` (last); `u=3` if absent.
pub const HEADER_PRIORITY: &str = "priority";
/// Milliseconds that the caller is still willing to wait for the first byte.
pub const HEADER_DEADLINE_MS: &str = "x-cicadabend-deadline-ms";
/// Requests with the same session key share a prompt prefix.
pub const HEADER_SESSION: &str = "x-cicadabend-session";
/// Names the plain service; a path of `/services/NAME/…` does the same.
pub const HEADER_SERVICE: &str = "x-cicadabend-service";
/// On answers: which routing policy chose the replica.
pub const HEADER_POLICY: &str = "x-cicadabend-policy";
/// On answers: `true` says that this is the answer to an earlier sending of the request.
pub const HEADER_REPLAYED: &str = "x-cicadabend-replayed";
/// On answers: which group served.
pub const HEADER_GROUP: &str = "x-cicadabend-group";
/// On answers: the revision the request was served by.
pub const HEADER_REVISION: &str = "x-cicadabend-revision";

/// Path prefix under which plain services are reached by name.
pub const PLAIN_SERVICE_PREFIX: &str = "/services/";
/// Readiness for the balancer.
pub const PATH_READY: &str = "/health/ready";
/// Liveness for the balancer.
pub const PATH_LIVE: &str = "/health/live";

/// The closed set of codes in errors that cicadabend itself answers.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// the request is malformed
    BadRequest,
    /// the API key is missing or unknown
    Unauthorized,
    /// no service or model of this name is configured
    UnknownService,
    /// the request's headers or body exceed a limit
    TooLarge,
    /// the caller sent too slowly
    CallerTooSlow,
    /// the team is over its limit; the request did not run
    OverLimit,
    /// the deadline cannot be met; the request did not run
    DeadlineCannotBeMet,
    /// the queue is full of more valuable work; the request did not run
    Overloaded,
    /// no whole group can take the request; the request did not run
    NotRun,
    /// the daemon is shutting down; the request did not run
    ShuttingDown,
    /// a request with this idempotency key is still running
    InProgress,
    /// the idempotency key was used for a different request
    KeyReused,
    /// the request may have run; its outcome is not known
    OutcomeUnknown,
    /// the answer broke off after part of it was delivered
    AnswerBroken,
    /// the upstream's answer could not be understood; the request may have run
    UpstreamInvalid,
}

impl ErrorCode {
    /// Every code, for counters and documentation.
    pub const ALL: [ErrorCode; 15] = [
        ErrorCode::BadRequest,
        ErrorCode::Unauthorized,
        ErrorCode::UnknownService,
        ErrorCode::TooLarge,
        ErrorCode::CallerTooSlow,
        ErrorCode::OverLimit,
        ErrorCode::DeadlineCannotBeMet,
        ErrorCode::Overloaded,
        ErrorCode::NotRun,
        ErrorCode::ShuttingDown,
        ErrorCode::InProgress,
        ErrorCode::KeyReused,
        ErrorCode::OutcomeUnknown,
        ErrorCode::AnswerBroken,
        ErrorCode::UpstreamInvalid,
    ];

    /// Returns the code as it stands in errors and counters.
    pub fn name(self) -> &'static str {
        match self {
            ErrorCode::BadRequest => "bad_request",
            ErrorCode::Unauthorized => "unauthorized",
            ErrorCode::UnknownService => "unknown_service",
            ErrorCode::TooLarge => "too_large",
            ErrorCode::CallerTooSlow => "caller_too_slow",
            ErrorCode::OverLimit => "over_limit",
            ErrorCode::DeadlineCannotBeMet => "deadline_cannot_be_met",
            ErrorCode::Overloaded => "overloaded",
            ErrorCode::NotRun => "not_run",
            ErrorCode::ShuttingDown => "shutting_down",
            ErrorCode::InProgress => "in_progress",
            ErrorCode::KeyReused => "key_reused",
            ErrorCode::OutcomeUnknown => "outcome_unknown",
            ErrorCode::AnswerBroken => "answer_broken",
            ErrorCode::UpstreamInvalid => "upstream_invalid",
        }
    }

    /// Returns the HTTP status that carries the code.
    pub fn http_status(self) -> u16 {
        match self {
            ErrorCode::BadRequest => 400,
            ErrorCode::Unauthorized => 401,
            ErrorCode::UnknownService => 404,
            ErrorCode::CallerTooSlow => 408,
            ErrorCode::InProgress => 409,
            ErrorCode::TooLarge => 413,
            ErrorCode::KeyReused => 422,
            ErrorCode::OverLimit => 429,
            ErrorCode::OutcomeUnknown | ErrorCode::AnswerBroken | ErrorCode::UpstreamInvalid => 502,
            ErrorCode::DeadlineCannotBeMet
            | ErrorCode::Overloaded
            | ErrorCode::NotRun
            | ErrorCode::ShuttingDown => 503,
        }
    }

    /// Returns whether the code promises that no upstream ran the request.
    ///
    /// `InProgress` makes no such promise: the first copy of the request may be running.
    pub fn promises_not_run(self) -> bool {
        match self {
            ErrorCode::BadRequest
            | ErrorCode::Unauthorized
            | ErrorCode::UnknownService
            | ErrorCode::TooLarge
            | ErrorCode::CallerTooSlow
            | ErrorCode::OverLimit
            | ErrorCode::DeadlineCannotBeMet
            | ErrorCode::Overloaded
            | ErrorCode::NotRun
            | ErrorCode::ShuttingDown
            | ErrorCode::KeyReused => true,
            ErrorCode::InProgress
            | ErrorCode::OutcomeUnknown
            | ErrorCode::AnswerBroken
            | ErrorCode::UpstreamInvalid => false,
        }
    }
}

/// The one form of every error that cicadabend itself answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// What went wrong, whether the request ran, and what the caller may do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// The closed code.
    pub code: ErrorCode,
    /// One sentence for people.
    pub message: String,
    /// The request's id in all logs.
    pub request_id: String,
    /// Whether no upstream ran the request.
    pub not_run: bool,
    /// Whether sending the same request again cannot run it twice.
    pub retry_is_safe: bool,
    /// When to come back, if that helps.
    pub retry_after_ms: Option<u64>,
    /// How many stream positions were delivered before the answer broke off.
    pub delivered_positions: Option<u64>,
}
