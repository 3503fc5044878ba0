//! The HTTP API for callers: header names, paths, error codes and the error body.

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// Carries the caller's API key as `Bearer KEY`; the key identifies the team.
pub const HEADER_AUTHORIZATION: &str = "authorization";
/// The request's id in all logs; the entry daemon generates one if the header is absent.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// The key by which a client retry is recognised (the name is from the IETF httpapi draft).
pub const HEADER_IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `true` means that the request must run at most once; requires an idempotency key.
pub const HEADER_NOT_REPEATABLE: &str = "x-cicadabend-not-repeatable";
/// RFC 9218 priority: `u=0` (most urgent) to `u=7` (least urgent); `u=3` if absent.
pub const HEADER_PRIORITY: &str = "priority";
/// The time in milliseconds for which the caller still waits for the answer's first byte.
pub const HEADER_DEADLINE_MS: &str = "x-cicadabend-deadline-ms";
/// Requests with the same session key share a prompt prefix.
pub const HEADER_SESSION: &str = "x-cicadabend-session";
/// Names the plain service that the request is for; a path of `/services/NAME/…` does the same.
pub const HEADER_SERVICE: &str = "x-cicadabend-service";
/// On answers: the routing policy that chose the replica.
pub const HEADER_POLICY: &str = "x-cicadabend-policy";
/// On answers: `true` means that the answer is the stored one of an earlier request with the
/// same idempotency key.
pub const HEADER_REPLAYED: &str = "x-cicadabend-replayed";
/// On answers: the group that served the request.
pub const HEADER_GROUP: &str = "x-cicadabend-group";
/// On answers: the revision of the configuration by which the request was served.
pub const HEADER_REVISION: &str = "x-cicadabend-revision";

/// The path prefix of requests to plain services; the service's name follows.
pub const PLAIN_SERVICE_PREFIX: &str = "/services/";
/// The path at which a load balancer asks whether the daemon is ready for requests.
pub const PATH_READY: &str = "/health/ready";
/// The path at which a load balancer asks whether the daemon is live.
pub const PATH_LIVE: &str = "/health/live";

/// The codes of all errors that cicadabend itself answers; upstreams' errors have none of them.
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
    /// All codes, for counters and documentation.
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

    /// Returns the code's name in error bodies and counters.
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

    /// Returns the HTTP status of answers with this code.
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

    /// Returns whether the code guarantees that no upstream ran the request.
    ///
    /// `InProgress` gives no guarantee: the first request with the same key may be running.
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

/// The JSON body of every error that cicadabend itself answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The error's details.
    pub error: ErrorDetail,
}

/// An error's cause, whether the request ran, and whether the caller may retry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// The error's code, for programs.
    pub code: ErrorCode,
    /// One sentence that explains the error to a person.
    pub message: String,
    /// The request's id in all logs.
    pub request_id: String,
    /// Whether it is certain that no upstream ran the request.
    pub not_run: bool,
    /// Whether a client retry is safe: the request did not run, is idempotent, or is protected by
    /// its idempotency key.
    pub retry_is_safe: bool,
    /// The time in milliseconds after which the caller should retry; `None` if none is known.
    pub retry_after_ms: Option<u64>,
    /// The number of stream positions that were delivered before the answer broke off; `None`
    /// for all other errors.
    pub delivered_positions: Option<u64>,
}
