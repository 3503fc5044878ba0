//! The claim of one request, and the recorded response that a client retry gets.

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
    headers,
    response::Refusal, //
};

/// Largest response body that is recorded for client retries.
const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;
const CONTENT_TYPE_JSON: &str = "application/json";
/// Longest time that a response is held back until a majority of the control daemons has recorded
/// the outcome or the release of the claim.
const SETTLING_TIMEOUT_MS: u64 = 500;

/// The state of a request's claim; empty for a request that needs none.
#[derive(Default)]
pub(super) struct HeldClaim {
    /// The attempt that the claim was requested for, until it is completed or released.
    attempt: Option<u64>,
    /// The response as far as it was recorded.
    outcome: Option<StoredOutcome>,
    /// Why the claim was not granted.
    refusal: Option<ClaimRefusal>,
    /// Set while the control daemons record the outcome or the release.
    settling: Option<Settling>,
}

/// A claim whose release or outcome the control daemons are recording.
pub(super) struct Settling {
    attempt: u64,
    settled: oneshot::Receiver<()>,
}

impl Settling {
    /// Waits until a majority of the control daemons has recorded the outcome or the release.
    ///
    /// # Errors
    ///
    /// Returns the attempt's number if no majority has done so in time.
    pub(super) async fn wait(self, client: &ClaimClient) -> Result<(), u64> {
        let limit = Duration::from_millis(SETTLING_TIMEOUT_MS);
        if let Ok(Ok(())) = timeout(limit, self.settled).await {
            return Ok(());
        }
        client.stop_awaiting(self.attempt);
        Err(self.attempt)
    }
}

impl HeldClaim {
    /// Sets the attempt that the claim was requested for.
    pub(super) fn set_attempt(&mut self, attempt: u64) {
        self.attempt = Some(attempt);
    }

    /// Records why the claim was not granted.
    pub(super) fn record_refusal(&mut self, refusal: ClaimRefusal) {
        self.refusal = Some(refusal);
    }

    /// Returns whether the claim is held and has no outcome yet.
    pub(super) fn is_held(&self) -> bool {
        self.attempt.is_some()
    }

    /// Starts to record the response, if the request has a claim.
    pub(super) fn begin_recording(&mut self, status: StatusCode, content_type: &str) {
        if self.attempt.is_some() {
            self.outcome = Some(StoredOutcome {
                status: status.as_u16(),
                content_type: content_type.to_owned(),
                body: Some(Vec::new()),
            });
        }
    }

    /// Records more of the response body; drops the whole body once it is too large.
    pub(super) fn record_body(&mut self, data: &Bytes) {
        let Some(outcome) = &mut self.outcome else {
            return;
        };
        if let Some(body) = &mut outcome.body {
            body.extend_from_slice(data);
            if body.len() > MAX_RECORDED_BODY_BYTES {
                outcome.body = None;
            }
        }
    }

    /// Releases the claim, because the request did not run.
    pub(super) fn release(&mut self, client: &ClaimClient) {
        if let Some(attempt) = self.attempt.take() {
            let settled = client.release(attempt);
            self.settling = Some(Settling { attempt, settled });
        }
    }

    /// Takes the claim that must be settled before the caller gets the end of its response.
    pub(super) fn take_settling(&mut self) -> Option<Settling> {
        self.settling.take()
    }

    /// Completes the claim with an unknown outcome, so that no client retry runs the request again.
    pub(super) fn retain_as_unknown(&mut self, client: &ClaimClient, request_id: &str) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let error = unknown_outcome_refusal();
        let outcome = StoredOutcome {
            status: error.code.http_status(),
            content_type: CONTENT_TYPE_JSON.to_owned(),
            body: serde_json::to_vec(&error.body(request_id)).ok(),
        };
        client.complete(attempt, outcome);
        // No need to wait for the record: until then, a client retry gets no outcome either.
        client.stop_awaiting(attempt);
    }

    /// Completes the claim with the recorded response.
    pub(super) fn complete(&mut self, client: &ClaimClient) {
        let outcome = self.outcome.take();
        if let Some((attempt, outcome)) = self.attempt.take().zip(outcome) {
            let settled = client.complete(attempt, outcome);
            self.settling = Some(Settling { attempt, settled });
        }
    }

    /// Returns the recorded response of the first request, or the error if there is none.
    pub(super) fn first_answer(&mut self) -> Result<Response<ResponseBody>, Refusal> {
        match self.refusal.take() {
            Some(ClaimRefusal::AlreadyCompleted(outcome)) => replay_response(outcome),
            Some(refusal) => Err(Self::refusal(&refusal).unwrap_or_else(unknown_outcome_refusal)),
            None => Err(unknown_outcome_refusal()),
        }
    }

    /// Returns the error for a request that did not run, although its claim may still be recorded
    /// as held by a majority.
    pub(super) fn not_withdrawn() -> Refusal {
        outcome_unknown("The request did not run, but that could not be recorded safely.")
    }

    /// Returns the error for a claim that was not granted; `None` if there is a recorded response.
    pub(super) fn refusal(refusal: &ClaimRefusal) -> Option<Refusal> {
        let message = match refusal {
            ClaimRefusal::AlreadyCompleted(_) => return None,
            ClaimRefusal::InProgress { .. } => {
                "The first request with this idempotency key is still running."
            }
            ClaimRefusal::OutcomeUnknown => {
                "An earlier request with this idempotency key may have run."
            }
            ClaimRefusal::KeyReused => "The idempotency key was used for a different request.",
            ClaimRefusal::Contended { .. } => {
                "Several requests with this idempotency key arrived at once; this one did not run."
            }
            ClaimRefusal::NoMajority { .. } => "The claim could not be recorded safely.",
        };
        let mut error = Refusal::new(refusal.code()?, message);
        let after = refusal.retry_after();
        error.retry_after_ms = after.and_then(|after| u64::try_from(after.as_millis()).ok());
        // The claim prevents that a further attempt runs, whatever the first one's outcome is.
        error.retry_is_safe = true;
        Some(error)
    }
}

/// Returns the error for a request that may have run before.
fn unknown_outcome_refusal() -> Refusal {
    outcome_unknown("An earlier request with this idempotency key may have run.")
}

/// Returns the error for an unknown outcome; a client retry is safe, since the claim prevents that
/// it runs.
fn outcome_unknown(message: impl Into<String>) -> Refusal {
    let mut error = Refusal::new(ErrorCode::OutcomeUnknown, message);
    error.retry_is_safe = true;
    error
}

/// Returns the recorded response, or an error if its body was too large to record.
fn replay_response(outcome: StoredOutcome) -> Result<Response<ResponseBody>, Refusal> {
    let Some(body) = outcome.body else {
        let status = outcome.status;
        return Err(outcome_unknown(format!(
            "The request ran once, with status {status}; its response was too large to store."
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
