//! One attempt: from the connection to the first part of the answer.

use std::{
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use cicadabend::{
    dispatch::Outcome,
    prelude::*,
    registry::InstanceId,
    request::first_event_len, //
};
use displaydoc::Display;
use http::{
    StatusCode,
    response::Parts, //
};
use http_body::Body;
use hyper::body::Incoming;
use thiserror::Error;

use super::{
    super::upstream::{
        AttemptError,
        Lease,
        SentBytes,
        reason, //
    },
    plan::Plan,
    server::Server,
};
use crate::{
    edge::AnswerWords,
    members::{
        Demanded,
        RoutedReplica, //
    },
};

/// The largest answer that is read whole before any of it is passed on.
///
/// An answer that breaks off can then still be asked for elsewhere.
const WHOLE_LIMIT_BYTES: usize = 256 * 1024;
/// The largest event; an engine that sends more without a blank line sends garbage.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;
/// How long a connection is kept if the upstream does not say.
pub(super) const KEEP_UNSAID: Duration = Duration::from_secs(4);
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

/// Why an attempt gave no answer.
#[derive(Debug, Display, Error)]
pub(super) enum Failure {
    /// {0}
    NotConnected(AttemptError),
    /// the upstream did not run it ({status}), at fault: {at_fault}
    NotStarted {
        status: StatusCode,
        at_fault: String,
    },
    /// {0}
    Broken(String),
    /// the upstream failed with status {0}
    Status(StatusCode),
    /// nothing came for {0} ms
    Slow(u128),
    /// its time is over
    TimeOver { is_written: bool },
}

impl Failure {
    /// Returns whether an upstream can have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Failure::NotConnected(_)
            | Failure::NotStarted { .. }
            | Failure::TimeOver { is_written: false } => false,
            Failure::Broken(_)
            | Failure::Status(_)
            | Failure::Slow(_)
            | Failure::TimeOver { is_written: true } => true,
        }
    }
}

impl From<AttemptError> for Failure {
    fn from(error: AttemptError) -> Self {
        match error {
            AttemptError::NotConnected { .. } | AttemptError::NothingWritten { .. } => {
                Failure::NotConnected(error)
            }
            AttemptError::Broken { .. } => Failure::Broken(error.to_string()),
        }
    }
}

/// Counts a request at its replica, and stops counting it once when dropped.
pub(super) struct Reservation {
    server: Rc<Server>,
    pub(super) replica: RoutedReplica,
    prompt_tokens: u64,
    is_read: bool,
    _demanded: Option<Demanded>,
}

impl Reservation {
    pub(super) fn make(server: &Rc<Server>, replica: RoutedReplica, prompt_tokens: u64) -> Self {
        server
            .loads
            .borrow_mut()
            .started(&replica.id, prompt_tokens);
        let model = replica.model.as_ref();
        let demanded = model.map(|model| server.demand.count(&replica.service, model));
        Self {
            _demanded: demanded,
            server: Rc::clone(server),
            replica,
            prompt_tokens,
            is_read: false,
        }
    }

    /// Notes that the prompt has been read: the first event has come.
    pub(super) fn read(&mut self) {
        if !std::mem::replace(&mut self.is_read, true) {
            let mut loads = self.server.loads.borrow_mut();
            loads.read(&self.replica.id, self.prompt_tokens);
        }
    }

    /// Notes how the attempt ended.
    pub(super) fn outcome(&self, outcome: Outcome) {
        let now = self.server.clock.now();
        let mut loads = self.server.loads.borrow_mut();
        loads.outcome(&self.replica.id, outcome, now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.read();
        self.server.loads.borrow_mut().ended(&self.replica.id);
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
    let is_repeatable = plan.route.kind.is_repeatable();
    let lease = match is_repeatable {
        true => server.pool.lease(replica.address).await?,
        false => server.pool.lease_young(replica.address).await?,
    };
    let was_kept = lease.was_kept();
    let request = plan.request_to(&*server.edge, replica, last_event);
    let (response, lease) = match lease.send(request, sent).await {
        Err(AttemptError::NothingWritten { .. }) if was_kept => {
            let lease = server.pool.lease_new(replica.address).await?;
            let request = plan.request_to(&*server.edge, replica, last_event);
            lease.send(request, sent).await?
        }
        outcome => outcome?,
    };
    let (head, incoming) = response.into_parts();
    let words = server.edge.read_answer(head.status, &head.headers);
    check_identity(plan, &words, lease.was_kept(), head.status)?;
    if let Some(load) = words.load {
        let now = server.clock.now();
        server.loads.borrow_mut().reported(&replica.id, load, now);
    }
    let rest = AnswerRest {
        incoming,
        lease,
        keep_for: words
            .keeps_for
            .unwrap_or(KEEP_UNSAID)
            .saturating_sub(KEEP_MARGIN),
    };
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
    if plan.route.kind.is_stream() && head.status == StatusCode::OK {
        return first_events(head, rest, last_event.or(plan.words.last_event)).await;
    }
    beginning(head, rest).await
}

/// An answer that belongs to another request must reach nobody.
fn check_identity(
    plan: &Plan,
    words: &AnswerWords,
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

/// The rest of an answer and the connection it comes over.
pub(super) struct AnswerRest {
    incoming: Incoming,
    lease: Lease,
    keep_for: Duration,
}

impl AnswerRest {
    /// Waits for more of the body; `None` is its end.
    pub(super) fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, String>>> {
        loop {
            let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
            return Poll::Ready(match frame {
                None => None,
                Some(Err(error)) => Some(Err(reason(&error))),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Some(Ok(data)),
                    Err(_) => continue,
                },
            });
        }
    }

    /// Keeps the connection for a later request; the answer must have ended.
    pub(super) fn keep(self) {
        self.lease.give_back_for(self.keep_for);
    }

    /// Reads what is left of a short answer, so that the connection can be kept.
    fn drain(mut self) {
        tokio::task::spawn_local(async move {
            let read = async {
                while let Some(data) = std::future::poll_fn(|context| self.poll_data(context)).await
                {
                    if data.is_err() {
                        return;
                    }
                }
                self.keep();
            };
            // What does not end soon is not worth its connection.
            let _ = tokio::time::timeout(Duration::from_millis(200), read).await;
        });
    }
}

/// The events of a stream as they come over one connection.
pub(super) struct EventSource {
    rest: AnswerRest,
    buffer: BytesMut,
    /// The last event that may be passed on.
    last_event: Option<u64>,
    /// Whether the next event must follow the last one without a gap.
    must_follow: bool,
    /// What is wrong with the event after those that were handed out.
    fault: Option<String>,
}

impl EventSource {
    fn new(rest: AnswerRest, last_event: Option<u64>) -> Self {
        Self {
            rest,
            buffer: BytesMut::new(),
            last_event,
            must_follow: last_event.is_some(),
            fault: None,
        }
    }

    /// Returns the last event that was handed out or was known before.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Keeps the connection for a later request; the stream must have ended.
    pub(super) fn keep(self) {
        self.rest.keep();
    }

    /// Waits for whole events; `None` is the end of a stream that is whole.
    pub(super) fn poll_events(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, String>>> {
        if let Some(fault) = self.fault.take() {
            return Poll::Ready(Some(Err(fault)));
        }
        loop {
            match ready!(self.rest.poll_data(context)) {
                None if self.buffer.is_empty() => return Poll::Ready(None),
                None => {
                    let reason = "the stream ended in the middle of an event".to_owned();
                    return Poll::Ready(Some(Err(reason)));
                }
                Some(Err(reason)) => return Poll::Ready(Some(Err(reason))),
                Some(Ok(data)) => self.buffer.extend_from_slice(&data),
            }
            match self.take_events() {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Poll::Ready(Some(Ok(events))),
                Err(reason) => return Poll::Ready(Some(Err(reason))),
            }
        }
    }

    /// Takes all whole events out of the buffer and leaves out those passed before.
    fn take_events(&mut self) -> Result<Bytes, String> {
        let mut taken = BytesMut::new();
        while let Some(length) = first_event_len(&self.buffer) {
            let number = event_number(&self.buffer[..length]);
            let event = self.buffer.split_to(length);
            let Some(number) = number else {
                taken.unsplit(event);
                continue;
            };
            match self.last_event {
                Some(last) if number <= last => continue,
                Some(last) if number > last + 1 && self.must_follow => {
                    let fault = format!("event {number} came after event {last}");
                    if taken.is_empty() {
                        return Err(fault);
                    }
                    self.fault = Some(fault);
                    return Ok(taken.freeze());
                }
                _ => {}
            }
            self.last_event = Some(number);
            self.must_follow = true;
            taken.unsplit(event);
        }
        match self.buffer.len() > EVENT_LIMIT_BYTES {
            true => Err("an event is too large".to_owned()),
            false => Ok(taken.freeze()),
        }
    }
}

/// Returns the number in an event's `id` field.
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

/// Returns the name of a replica for logs.
pub(super) fn replica_name(id: &InstanceId, group: Option<&GroupId>) -> String {
    match group {
        Some(group) => format!("{id}/{group}"),
        None => id.to_string(),
    }
}
