//! Sends one attempt and reads its response up to the first bytes that may be passed on.

use bytes::Bytes;
use cicadabend::{
    request::{
        EventIdentity,
        StreamTracker, //
    },
    routing::Replica,
    upstream_api::HEADER_NOT_STARTED,
};
use displaydoc::Display;
use http::{
    HeaderMap,
    Response,
    StatusCode,
    header,
    response::Parts, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::Instant;

use super::{
    event_source::{
        AnswerFault,
        Batch,
        EventSource, //
    },
    headers,
    server::Server,
    spec::{
        Kind,
        Spec, //
    },
    upstream::{
        AttemptError,
        Lease,
        SentBytes,
        error_with_causes, //
    },
};

/// Largest body of a model's response that is not streamed.
const WHOLE_ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// A response of which the first bytes may be passed on to the caller.
pub(super) enum Answered {
    /// A stream of events, the first of which were received.
    Events {
        /// Status and headers.
        parts: Parts,
        first: Bytes,
        /// The source of the events after the first ones.
        source: EventSource,
        /// The position in the stream, and the identity that its events must have.
        tracker: StreamTracker,
    },
    /// A response that was received completely and checked.
    Whole {
        /// Status and headers.
        parts: Parts,
        body: Bytes,
    },
    /// A response that is passed on unchanged as it arrives.
    Passed {
        /// Status and headers.
        parts: Parts,
        /// The body.
        incoming: Incoming,
        /// The connection that the body arrives on.
        lease: Lease,
    },
}

/// Why an attempt failed; the variants differ in whether the upstream can have run the request.
#[derive(Debug, Display, Error)]
pub(super) enum Failure {
    /// {0}
    NothingWritten(AttemptError),
    /// the replica reported that it did not start the request ({status})
    NotStarted { status: StatusCode },
    /// {0}
    Broken(String),
    /// the replica failed with status {status}
    FailedByUpstream { status: StatusCode },
    /// the replica's response is invalid: {0}
    Invalid(String),
    /// the claim was granted too long ago
    ClaimLapsed,
    /// the group that gave the beginning of the response is no longer available
    GroupChanged,
    /// no first byte of the response arrived before the deadline
    DeadlinePassed {
        /// Whether a byte of the request was written.
        is_written: bool,
    },
}

impl Failure {
    /// Returns whether the upstream can have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Failure::NothingWritten(_)
            | Failure::NotStarted { .. }
            | Failure::ClaimLapsed
            | Failure::DeadlinePassed { is_written: false } => false,
            Failure::Broken(_)
            | Failure::FailedByUpstream { .. }
            | Failure::Invalid(_)
            | Failure::GroupChanged
            | Failure::DeadlinePassed { is_written: true } => true,
        }
    }

    /// Returns whether the replica caused the failure, not its load, this daemon or the caller.
    pub(super) fn is_replica_fault(&self) -> bool {
        match self {
            Failure::NothingWritten(error) => matches!(error, AttemptError::NotConnected { .. }),
            Failure::Broken(_) | Failure::FailedByUpstream { .. } | Failure::Invalid(_) => true,
            Failure::NotStarted { .. }
            | Failure::ClaimLapsed
            | Failure::GroupChanged
            | Failure::DeadlinePassed { .. } => false,
        }
    }
}

impl From<AttemptError> for Failure {
    fn from(error: AttemptError) -> Self {
        match error {
            AttemptError::NotConnected { .. } | AttemptError::NothingWritten { .. } => {
                Failure::NothingWritten(error)
            }
            AttemptError::Broken { .. } | AttemptError::BrokenHead { .. } => {
                Failure::Broken(error.to_string())
            }
        }
    }
}

impl From<AnswerFault> for Failure {
    fn from(fault: AnswerFault) -> Self {
        match fault {
            AnswerFault::Broken(_) | AnswerFault::EndedEarly => Failure::Broken(fault.to_string()),
            AnswerFault::Stream(_) | AnswerFault::NotText | AnswerFault::TooLarge => {
                Failure::Invalid(fault.to_string())
            }
        }
    }
}

/// Sends the request to a replica and waits for the first bytes of its response.
pub(super) async fn exchange(
    server: &Server,
    spec: &Spec,
    replica: &Replica,
    sent: &SentBytes,
) -> Result<Answered, Failure> {
    let lease = server.pool.lease(replica.address).await?;
    if Instant::now() >= spec.options.deadline {
        return Err(Failure::DeadlinePassed { is_written: false });
    }
    // After a long pause of this process, the control daemons may have dropped the claim, and a
    // client retry may have run; the request must then not be sent.
    if spec
        .claim
        .get()
        .is_some_and(|claim| !server.claims.may_start(claim))
    {
        return Err(Failure::ClaimLapsed);
    }
    let (response, lease) = send(server, spec, replica, lease, sent).await?;
    let status = response.status();
    if did_not_start(&response) {
        return Err(Failure::NotStarted { status });
    }
    let Kind::Completion { is_streamed } = spec.kind else {
        return Ok(passed_on(response, lease));
    };
    if status.is_server_error() {
        return Err(Failure::FailedByUpstream { status });
    }
    if status != StatusCode::OK {
        return Ok(passed_on(response, lease));
    }
    match is_streamed {
        true => read_first_events(spec, response, lease).await,
        false => read_whole(spec, response, lease).await,
    }
}

/// Sends the request, over a new connection if a pooled one turns out to be closed.
///
/// An upstream that restarts closes many connections at once. No byte was written to them, so the
/// second sending does not count as a retry and does not use the retry budget.
async fn send(
    server: &Server,
    spec: &Spec,
    replica: &Replica,
    lease: Lease,
    sent: &SentBytes,
) -> Result<(Response<Incoming>, Lease), AttemptError> {
    let is_reused = lease.is_reused();
    match lease.send(spec.request_to(replica, None), sent).await {
        Err(AttemptError::NothingWritten { .. }) if is_reused && spec.can_replay() => {
            let lease = server.pool.lease_new(replica.address).await?;
            lease.send(spec.request_to(replica, None), sent).await
        }
        outcome => outcome,
    }
}

/// Requests the rest of a response from a replica, from a stream position on.
pub(super) async fn resume(
    server: &Server,
    spec: &Spec,
    replica: &Replica,
    position: u64,
) -> Result<EventSource, Failure> {
    let lease = server.pool.lease(replica.address).await?;
    let request = spec.request_to(replica, Some(position));
    let (response, lease) = lease.send(request, &SentBytes::default()).await?;
    let status = response.status();
    if did_not_start(&response) {
        return Err(Failure::NotStarted { status });
    }
    if status != StatusCode::OK {
        return Err(Failure::FailedByUpstream { status });
    }
    check_is_event_stream(response.headers())?;
    Ok(EventSource::new(response.into_body(), lease))
}

/// Returns whether the replica reports that it did not start the request.
fn did_not_start(response: &Response<Incoming>) -> bool {
    headers::text(response.headers(), HEADER_NOT_STARTED) == Some("true")
}

/// Returns a response whose body is passed on unchanged.
fn passed_on(response: Response<Incoming>, lease: Lease) -> Answered {
    let (parts, incoming) = response.into_parts();
    Answered::Passed {
        parts,
        incoming,
        lease,
    }
}

/// Returns an error unless the content type is that of an event stream.
fn check_is_event_stream(map: &HeaderMap) -> Result<(), Failure> {
    let kind = headers::text(map, header::CONTENT_TYPE.as_str()).unwrap_or_default();
    if kind.starts_with("text/event-stream") {
        return Ok(());
    }
    Err(Failure::Invalid(format!(
        "content type {kind:?} is not an event stream"
    )))
}

/// Waits for the first events of a stream.
async fn read_first_events(
    spec: &Spec,
    response: Response<Incoming>,
    lease: Lease,
) -> Result<Answered, Failure> {
    check_is_event_stream(response.headers())?;
    let (parts, incoming) = response.into_parts();
    let mut source = EventSource::new(incoming, lease);
    let mut tracker = StreamTracker::new(spec.caller.request_id.clone());
    let first = std::future::poll_fn(|context| source.poll_events(&mut tracker, context)).await?;
    match first {
        Batch::Events(first) => Ok(Answered::Events {
            parts,
            first,
            source,
            tracker,
        }),
        Batch::End => Err(AnswerFault::EndedEarly.into()),
    }
}

/// Reads a response that is not streamed to its end, and checks that it answers this request.
async fn read_whole(
    spec: &Spec,
    response: Response<Incoming>,
    lease: Lease,
) -> Result<Answered, Failure> {
    let (parts, incoming) = response.into_parts();
    let limited = Limited::new(incoming, WHOLE_ANSWER_LIMIT_BYTES);
    let body = limited.collect().await.map_err(body_failure)?.to_bytes();
    let identity: EventIdentity<'_> =
        serde_json::from_slice(&body).map_err(|error| Failure::Invalid(error.to_string()))?;
    let expected = spec.caller.request_id.as_str();
    if identity
        .request_id
        .as_deref()
        .is_some_and(|id| id != expected)
    {
        let message = "the response belongs to another request";
        return Err(Failure::Invalid(message.to_owned()));
    }
    lease.return_to_pool();
    Ok(Answered::Whole { parts, body })
}

fn body_failure(error: Box<dyn std::error::Error + Send + Sync>) -> Failure {
    if error.is::<LengthLimitError>() {
        return Failure::Invalid("the response is too large".to_owned());
    }
    match error.downcast::<hyper::Error>() {
        Ok(error) => Failure::Broken(error_with_causes(&error)),
        Err(error) => Failure::Broken(error.to_string()),
    }
}
