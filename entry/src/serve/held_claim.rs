//! The claim of one request, and the outcome that a resend gets.

use std::time::Duration;

use bytes::Bytes;
use cicadabend::{
    caller_api::{
        ErrorCode,
        HEADER_REPLAYED, //
    },
    claims::ClaimRefusal,
    peer_api::StoredOutcome,
};
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header, //
};
use tokio::{
    sync::oneshot,
    time::timeout, //
};

use super::{
    body::ResponseBody,
    claim_client::ClaimClient,
    headers, //
    response::Refusal,
};

/// The largest body that is kept for resends.
const KEPT_BODY_LIMIT_BYTES: usize = 64 * 1024;
const CONTENT_TYPE_JSON: &str = "application/json";
/// How long a caller waits until a majority knows what became of its request.
const SETTLING_LIMIT_MS: u64 = 500;

/// What is known of the claim; nothing for a request that needs none.
#[derive(Default)]
pub(super) struct HeldClaim {
    attempt: Option<u64>,
    outcome: Option<StoredOutcome>,
    refusal: Option<ClaimRefusal>,
    settling: Option<Settling>,
}

/// A claim that was given back or got its outcome, while the control daemons are being told.
pub(super) struct Settling {
    attempt: u64,
    settled: oneshot::Receiver<()>,
}

impl Settling {
    /// Waits until a majority of the control daemons knows.
    ///
    /// # Errors
    ///
    /// Returns the attempt's number if they could not be told in time.
    pub(super) async fn wait(self, desk: &ClaimClient) -> Result<(), u64> {
        let limit = Duration::from_millis(SETTLING_LIMIT_MS);
        if let Ok(Ok(())) = timeout(limit, self.settled).await {
            return Ok(());
        }
        desk.stop_awaiting(self.attempt);
        Err(self.attempt)
    }
}

impl HeldClaim {
    /// Notes the attempt that the claim was asked for.
    pub(super) fn set_attempt(&mut self, attempt: u64) {
        self.attempt = Some(attempt);
    }

    /// Notes why the claim was not granted.
    pub(super) fn record_refusal(&mut self, refusal: ClaimRefusal) {
        self.refusal = Some(refusal);
    }

    /// Returns whether the claim is held and has no outcome yet.
    pub(super) fn is_held(&self) -> bool {
        self.attempt.is_some()
    }

    /// Starts to keep the answer.
    pub(super) fn begin_recording(&mut self, status: StatusCode, content_type: &str) {
        if self.attempt.is_some() {
            self.outcome = Some(StoredOutcome {
                status: status.as_u16(),
                content_type: content_type.to_owned(),
                body: Some(Vec::new()),
            });
        }
    }

    /// Keeps a part of the answer, unless it grows too large.
    pub(super) fn record_body(&mut self, data: &Bytes) {
        let Some(outcome) = &mut self.outcome else {
            return;
        };
        if let Some(body) = &mut outcome.body {
            body.extend_from_slice(data);
            if body.len() > KEPT_BODY_LIMIT_BYTES {
                outcome.body = None;
            }
        }
    }

    /// Gives the claim back: nothing ran.
    pub(super) fn release(&mut self, desk: &ClaimClient) {
        if let Some(attempt) = self.attempt.take() {
            let settled = desk.release(attempt);
            self.settling = Some(Settling { attempt, settled });
        }
    }

    /// Returns what is to be waited for before the caller has all of its answer.
    pub(super) fn take_settling(&mut self) -> Option<Settling> {
        self.settling.take()
    }

    /// Leaves the claim taken with the outcome that nobody knows the outcome.
    pub(super) fn retain_as_unknown(&mut self, desk: &ClaimClient, request_id: &str) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let error = unknown();
        let outcome = StoredOutcome {
            status: error.code.http_status(),
            content_type: CONTENT_TYPE_JSON.to_owned(),
            body: serde_json::to_vec(&error.body(request_id)).ok(),
        };
        desk.complete(attempt, outcome);
        // Whoever asks meanwhile learns as little.
        desk.stop_awaiting(attempt);
    }

    /// Stores the answer under the claim.
    pub(super) fn complete(&mut self, desk: &ClaimClient) {
        let outcome = self.outcome.take();
        if let Some((attempt, outcome)) = self.attempt.take().zip(outcome) {
            let settled = desk.complete(attempt, outcome);
            self.settling = Some(Settling { attempt, settled });
        }
    }

    /// Returns what the first copy of the request got, or why that cannot be told.
    pub(super) fn first_answer(&mut self) -> Result<Response<ResponseBody>, Refusal> {
        match self.refusal.take() {
            Some(ClaimRefusal::AlreadyCompleted(outcome)) => replay(outcome),
            Some(refusal) => Err(Self::refusal(&refusal).unwrap_or_else(unknown)),
            None => Err(unknown()),
        }
    }

    /// Returns the error for a request that did not run, while a majority may take it for running.
    pub(super) fn not_withdrawn() -> Refusal {
        outcome_unknown("The request did not run, but that could not be recorded safely.")
    }

    /// Returns the error that tells the caller; `None` where the first outcome does.
    pub(super) fn refusal(refusal: &ClaimRefusal) -> Option<Refusal> {
        let message = match refusal {
            ClaimRefusal::AlreadyCompleted(_) => return None,
            ClaimRefusal::InProgress { .. } => "The first copy of this request is running.",
            ClaimRefusal::OutcomeUnknown => "The first copy of this request may have run.",
            ClaimRefusal::KeyReused => "The idempotency key was used for a different request.",
            ClaimRefusal::Contended { .. } => "Several copies came at once; this one did not run.",
            ClaimRefusal::NoMajority { .. } => "The claim could not be recorded safely.",
        };
        let mut error = Refusal::new(refusal.code()?, message);
        let after = refusal.retry_after();
        error.retry_after_ms = after.and_then(|after| u64::try_from(after.as_millis()).ok());
        // Whatever became of the first copy, the claim keeps a further one from running.
        error.retry_is_safe = true;
        Some(error)
    }
}

fn unknown() -> Refusal {
    outcome_unknown("The first copy of this request may have run.")
}

/// Returns the error of a request whose claim keeps any further copy from running.
fn outcome_unknown(message: impl Into<String>) -> Refusal {
    let mut error = Refusal::new(ErrorCode::OutcomeUnknown, message);
    error.retry_is_safe = true;
    error
}

/// Answers again what the first copy got.
fn replay(outcome: StoredOutcome) -> Result<Response<ResponseBody>, Refusal> {
    let Some(body) = outcome.body else {
        let status = outcome.status;
        return Err(outcome_unknown(format!(
            "The request ran once, with status {status}; its answer was too large to keep."
        )));
    };
    let mut answer = Response::new(ResponseBody::whole(Bytes::from(body)));
    *answer.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let map = answer.headers_mut();
    if let Ok(kind) = HeaderValue::from_str(&outcome.content_type) {
        map.insert(header::CONTENT_TYPE, kind);
    }
    headers::set(map, HEADER_REPLAYED, "true");
    Ok(answer)
}
