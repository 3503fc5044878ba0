//! One attempt: from the connection to the first part of the answer.

use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    StatusCode,
    response::Parts, //
};

use super::{
    super::upstream::{
        AttemptError,
        SentBytes, //
    },
    failure::Failure,
    plan::Plan,
    server::Server,
    source::{
        AnswerRest,
        EventSource,
        KEEP_UNSAID, //
    },
    upstream_words,
};
use crate::{
    edge::{
        NamedRate, //
        UpstreamSignals,
    },
    members::RoutedReplica,
};

/// The largest answer that is read whole before any of it is passed on.
///
/// An answer that breaks off can then still be asked for elsewhere.
const WHOLE_LIMIT_BYTES: usize = 256 * 1024;
/// What is taken off the time that an upstream keeps a connection: the way there, and a
/// daemon that is not scheduled for a while.
const KEEP_MARGIN: Duration = Duration::from_millis(700);

/// An answer whose first part may be passed on.
pub(super) enum Answered {
    /// All of it is here.
    Whole { head: Parts, body: Bytes },
    /// The beginning of a body that is passed on as it comes.
    Passed {
        head: Parts,
        beginning: Bytes,
        rest: AnswerRest,
    },
    /// The first events of a stream.
    Stream {
        head: Parts,
        first: Bytes,
        source: EventSource,
    },
}

impl Answered {
    /// Returns the upstream's status.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Answered::Whole { head, .. }
            | Answered::Passed { head, .. }
            | Answered::Stream { head, .. } => head.status,
        }
    }
}

/// Sends the request to a replica and waits for the first part of its answer.
pub(super) async fn exchange(
    server: &Server,
    plan: &Plan,
    replica: &RoutedReplica,
    sent: &SentBytes,
    last_event: Option<u64>,
) -> Result<Answered, Failure> {
    // What may run once only must not meet a connection that its upstream is closing:
    // nobody could tell afterwards whether the request had been read.
    let is_repeatable = plan.terms.route.kind.is_repeatable();
    let lease = match is_repeatable {
        true => server.pool.lease(replica.address).await?,
        false => server.pool.lease_young(replica.address).await?,
    };
    let was_kept = lease.was_kept();
    upstream_words::check(server, &replica.id)?;
    let sent_at = server.clock.now();
    let request = plan.request_to(&*server.edge, replica, last_event);
    let (response, lease) = match lease.send(request, sent).await {
        Err(AttemptError::NothingWritten { .. }) if was_kept => {
            let lease = server.pool.lease_new(replica.address).await?;
            upstream_words::check(server, &replica.id)?;
            let request = plan.request_to(&*server.edge, replica, last_event);
            lease.send(request, sent).await?
        }
        outcome => outcome?,
    };
    let (head, incoming) = response.into_parts();
    let words = server.edge.read_answer(head.status, &head.headers);
    upstream_words::note_availability(server, plan.id(), &replica.id, &words);
    check_identity(plan, &words, lease.was_kept(), head.status)?;
    // Another run at the address speaks for itself only, and what bears no mark may have lost
    // what the upstream named on its way.
    let names_rate = words.rate != NamedRate::Unsaid;
    if head.status != StatusCode::MISDIRECTED_REQUEST && (words.is_marked || names_rate) {
        upstream_words::note_rate(server, plan.id(), &replica.id, &words.rate, sent_at);
    }
    if let Some(load) = words.load {
        let now = server.clock.now();
        server.loads.borrow_mut().reported(&replica.id, load, now);
    }
    let keep_for = words
        .keeps_for
        .unwrap_or(KEEP_UNSAID)
        .saturating_sub(KEEP_MARGIN);
    let rest = AnswerRest::new(incoming, lease, keep_for);
    if words.did_not_run && head.status != StatusCode::BAD_REQUEST {
        rest.drain();
        return Err(Failure::NotStarted {
            status: head.status,
            at_fault: words.at_fault.unwrap_or_default(),
        });
    }
    if head.status.is_success() && !words.is_marked {
        return Err(Failure::Broken("the answer bears no mark".to_owned()));
    }
    if plan.terms.route.kind.is_stream() && head.status == StatusCode::OK {
        return first_events(head, rest, last_event.or(plan.words.last_event)).await;
    }
    beginning(head, rest).await
}

/// An answer that belongs to another request must reach nobody.
fn check_identity(
    plan: &Plan,
    words: &UpstreamSignals,
    was_kept: bool,
    status: StatusCode,
) -> Result<(), Failure> {
    let is_own = match &words.request_id {
        Some(id) => id == plan.id(),
        // Nothing can have been left over on a connection that was just made.
        None => !was_kept && !status.is_success(),
    };
    match is_own {
        true => Ok(()),
        false => Err(Failure::Broken(
            "the answer belongs to another request".to_owned(),
        )),
    }
}

async fn beginning(head: Parts, mut rest: AnswerRest) -> Result<Answered, Failure> {
    let mut beginning = BytesMut::new();
    loop {
        let data = std::future::poll_fn(|context| rest.poll_data(context)).await;
        match data {
            Some(Ok(data)) => beginning.extend_from_slice(&data),
            Some(Err(reason)) => return Err(Failure::Broken(reason)),
            None => {
                rest.keep();
                let body = beginning.freeze();
                return Ok(Answered::Whole { head, body });
            }
        }
        if beginning.len() > WHOLE_LIMIT_BYTES {
            let beginning = beginning.freeze();
            return Ok(Answered::Passed {
                head,
                beginning,
                rest,
            });
        }
    }
}

async fn first_events(
    head: Parts,
    rest: AnswerRest,
    last_event: Option<u64>,
) -> Result<Answered, Failure> {
    let mut source = EventSource::new(rest, last_event);
    let next = std::future::poll_fn(|context| source.poll_events(context)).await;
    match next {
        Some(Ok(first)) => Ok(Answered::Stream {
            head,
            first,
            source,
        }),
        Some(Err(reason)) => Err(Failure::Broken(reason)),
        // A stream without any event is whole: the caller may have had the last one.
        None => {
            source.keep();
            let body = Bytes::new();
            Ok(Answered::Whole { head, body })
        }
    }
}
