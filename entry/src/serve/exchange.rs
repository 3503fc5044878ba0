//! Sends one attempt and reads its answer up to the first part that may be passed on.

use std::time::Duration;

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

/// The largest answer of a model that is not streamed.
const WHOLE_ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// An answer whose first part may be passed on.
pub(super) enum Answered {
    /// A stream of events, the first of which are in hand.
    Events {
        /// Status and headers.
        head: Parts,
        /// The first events.
        first: Bytes,
        /// Where the rest comes from.
        source: EventSource,
        /// What has been passed.
        tracker: StreamTracker,
    },
    /// A whole document.
    Whole {
        /// Status and headers.
        head: Parts,
        /// The document.
        body: Bytes,
    },
    /// An answer that is passed on as it comes.
    Passed {
        /// Status and headers.
        head: Parts,
        /// The rest.
        incoming: Incoming,
        /// The connection it comes over.
        lease: Lease,
    },
}

/// Why an attempt got no answer; the variants differ in what the upstream can have done.
#[derive(Debug, Display, Error)]
pub(super) enum Failure {
    /// {0}
    NothingWritten(AttemptError),
    /// the replica said that it did not start the request ({status})
    NotStarted {
        /// The status it said so with.
        status: StatusCode,
    },
    /// {0}
    Broken(String),
    /// the replica failed with status {status}
    FailedByUpstream {
        /// The status.
        status: StatusCode,
    },
    /// the replica's answer could not be understood: {0}
    Invalid(String),
    /// the claim was granted too long ago
    ClaimLapsed,
    /// the group that gave the beginning of the answer is no longer whole
    GroupChanged,
    /// no first byte came in time
    DeadlinePassed {
        /// Whether a byte was written.
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

    /// Returns whether the replica is to blame, rather than its load, the daemon or the caller.
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
            AttemptError::Broken { .. } => Failure::Broken(error.to_string()),
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

/// Sends the request to a replica and waits for the first part of its answer.
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
    // A daemon that was paused here for long must not send: the claim may have been
    // forgotten, and another copy of the request may have run.
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
        return Ok(passed(response, lease));
    };
    if status.is_server_error() {
        return Err(Failure::FailedByUpstream { status });
    }
    if status != StatusCode::OK {
        return Ok(passed(response, lease));
    }
    match is_streamed {
        true => first_events(spec, response, lease).await,
        false => whole(spec, response, lease).await,
    }
}

/// Sends the request; over a new connection if a kept one turns out to be closed.
///
/// An upstream that restarts closes many connections at once. Nothing was written,
/// so this is no retry, and the budget for retries is not spent on it.
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

/// Asks a replica for the rest of an answer.
pub(super) async fn resume(
    server: &Server,
    spec: &Spec,
    replica: &Replica,
    position: u64,
    timeout: Duration,
) -> Result<EventSource, Failure> {
    let sent = SentBytes::default();
    let asked = async {
        let lease = server.pool.lease(replica.address).await?;
        let request = spec.request_to(replica, Some(position));
        lease.send(request, &sent).await
    };
    let Ok(asked) = tokio::time::timeout(timeout, asked).await else {
        return Err(Failure::DeadlinePassed { is_written: true });
    };
    let (response, lease) = asked?;
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

fn did_not_start(response: &Response<Incoming>) -> bool {
    headers::text(response.headers(), HEADER_NOT_STARTED) == Some("true")
}

fn passed(response: Response<Incoming>, lease: Lease) -> Answered {
    let (head, incoming) = response.into_parts();
    Answered::Passed {
        head,
        incoming,
        lease,
    }
}

fn check_is_event_stream(map: &HeaderMap) -> Result<(), Failure> {
    let kind = headers::text(map, header::CONTENT_TYPE.as_str()).unwrap_or_default();
    if kind.starts_with("text/event-stream") {
        return Ok(());
    }
    Err(Failure::Invalid(format!("{kind:?} is no event stream")))
}

async fn first_events(
    spec: &Spec,
    response: Response<Incoming>,
    lease: Lease,
) -> Result<Answered, Failure> {
    check_is_event_stream(response.headers())?;
    let (head, incoming) = response.into_parts();
    let mut source = EventSource::new(incoming, lease);
    let mut tracker = StreamTracker::new(spec.caller.request_id.clone());
    let first = std::future::poll_fn(|context| source.poll_events(&mut tracker, context)).await?;
    match first {
        Batch::Events(first) => Ok(Answered::Events {
            head,
            first,
            source,
            tracker,
        }),
        Batch::End => Err(AnswerFault::EndedEarly.into()),
    }
}

async fn whole(
    spec: &Spec,
    response: Response<Incoming>,
    lease: Lease,
) -> Result<Answered, Failure> {
    let (head, incoming) = response.into_parts();
    let limited = Limited::new(incoming, WHOLE_ANSWER_LIMIT_BYTES);
    let body = limited.collect().await.map_err(whole_failure)?.to_bytes();
    let identity: EventIdentity<'_> =
        serde_json::from_slice(&body).map_err(|error| Failure::Invalid(error.to_string()))?;
    let expected = spec.caller.request_id.as_str();
    if identity
        .request_id
        .as_deref()
        .is_some_and(|id| id != expected)
    {
        let message = "the answer belongs to another request";
        return Err(Failure::Invalid(message.to_owned()));
    }
    lease.return_to_pool();
    Ok(Answered::Whole { head, body })
}

fn whole_failure(error: Box<dyn std::error::Error + Send + Sync>) -> Failure {
    if error.is::<LengthLimitError>() {
        return Failure::Invalid("the answer is too large".to_owned());
    }
    match error.downcast::<hyper::Error>() {
        Ok(error) => Failure::Broken(error_with_causes(&error)),
        Err(error) => Failure::Broken(error.to_string()),
    }
}
