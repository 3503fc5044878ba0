//! One attempt: from the connection to the first chunk of the response.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    StatusCode,
    response::Parts, //
};

use super::{
    super::upstream::SentBytes,
    delivered::Delivered,
    failure::Failure,
    held_answer::HeldAnswer,
    prepared_request::PreparedRequest,
    server::Server,
    source::{
        AnswerRest,
        EventSource, //
    },
    transport, upstream_signals,
};
use crate::{
    edge::{
        NamedRate, //
        UpstreamSignals,
    },
    members::RoutedReplica,
};

/// Time for which a connection to a relay stays pooled; relays keep theirs longer.
const RELAY_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// A response whose first chunk is here and may be passed on.
pub(super) enum Answered {
    /// The whole body is here.
    Whole { parts: Parts, body: HeldAnswer },
    /// The beginning of a large body; the rest is passed on as it arrives.
    Passed {
        parts: Parts,
        beginning: HeldAnswer,
        rest: AnswerRest,
    },
    /// The first events of an event stream.
    Stream {
        parts: Parts,
        first: Bytes,
        source: EventSource,
    },
}

impl Answered {
    /// Returns the status of the upstream's response.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Answered::Whole { parts, .. }
            | Answered::Passed { parts, .. }
            | Answered::Stream { parts, .. } => parts.status,
        }
    }
}

/// Sends the request to a replica and waits for the first chunk of its response.
///
/// `last_event` is the id of the last event that the caller has, to get the rest of a stream.
pub(super) async fn exchange(
    server: &Rc<Server>,
    prepared: &PreparedRequest,
    replica: &RoutedReplica,
    sent: &SentBytes,
    last_event: Option<u64>,
) -> Result<Answered, Failure> {
    let Delivered {
        response,
        lease,
        sent_at,
        tells_length,
        relay,
    } = transport::send(server, prepared, replica, sent, last_event).await?;
    let (parts, incoming) = response.into_parts();
    let signals = server.edge.read_answer(parts.status, &parts.headers);
    upstream_signals::record_availability(server, prepared.id(), &replica.id, &signals);
    check_identity(prepared, &signals, lease.is_reused(), parts.status)?;
    // 421 comes from another instance at the address, whose rate is not this one's. A response
    // without the upstream's mark may have lost its rate header on the way.
    let names_rate = signals.rate != NamedRate::Unsaid;
    if parts.status != StatusCode::MISDIRECTED_REQUEST && (signals.is_marked || names_rate) {
        upstream_signals::record_rate(server, prepared.id(), &replica.id, &signals.rate, sent_at);
    }
    if let Some(load) = signals.load {
        let now = server.clock.now();
        server
            .loads
            .borrow_mut()
            .observe_load_report(&replica.id, load, now);
    }
    let keep_for = match relay {
        Some(_) => RELAY_KEEP_ALIVE,
        None => upstream_signals::keep_alive(&signals),
    };
    let rest = AnswerRest::new(incoming, lease, keep_for).through(relay);
    if signals.did_not_run && parts.status != StatusCode::BAD_REQUEST {
        rest.drain();
        return Err(Failure::NotStarted {
            status: parts.status,
            at_fault: signals.at_fault.unwrap_or_default(),
        });
    }
    if parts.status.is_success() && !signals.is_marked {
        return Err(Failure::Broken(
            "the response lacks the mark of an upstream's own response".to_owned(),
        ));
    }
    if prepared.terms.route.kind.is_stream() && parts.status == StatusCode::OK {
        return read_first_events(
            server,
            parts,
            (rest, tells_length),
            last_event.or(prepared.caller_headers.last_event),
        )
        .await;
    }
    read_beginning(server, parts, rest).await
}

/// Checks that a response belongs to the request, so that no caller gets another one's response.
fn check_identity(
    prepared: &PreparedRequest,
    signals: &UpstreamSignals,
    is_reused: bool,
    status: StatusCode,
) -> Result<(), Failure> {
    let is_own = upstream_signals::is_answer_to(prepared.id(), signals, is_reused, status);
    match is_own {
        true => Ok(()),
        false => Err(Failure::Broken(
            "the answer belongs to another request".to_owned(),
        )),
    }
}

async fn read_beginning(
    server: &Server,
    parts: Parts,
    mut rest: AnswerRest,
) -> Result<Answered, Failure> {
    let mut beginning = HeldAnswer::new(&server.held_answers);
    loop {
        let data = std::future::poll_fn(|context| rest.poll_data(context)).await;
        match data {
            Some(Ok(data)) => beginning.push(&data),
            Some(Err(reason)) => return Err(Failure::Broken(reason)),
            None => {
                rest.return_to_pool();
                return Ok(Answered::Whole {
                    parts,
                    body: beginning,
                });
            }
        }
        if beginning.may_grow() {
            continue;
        }
        if rest.is_at_end() {
            rest.return_to_pool();
            return Ok(Answered::Whole {
                parts,
                body: beginning,
            });
        }
        return Ok(Answered::Passed {
            parts,
            beginning,
            rest,
        });
    }
}

async fn read_first_events(
    server: &Server,
    parts: Parts,
    (rest, tells_length): (AnswerRest, bool),
    last_event: Option<u64>,
) -> Result<Answered, Failure> {
    let mut source = EventSource::new(rest, last_event);
    let next = std::future::poll_fn(|context| source.poll_events(context)).await;
    match next {
        Some(Ok(first)) => Ok(Answered::Stream {
            parts,
            first,
            source,
        }),
        Some(Err(reason)) => Err(Failure::Broken(reason)),
        // Only the end of its connection says that it is complete, and its upstream may have died.
        None if !tells_length => Err(Failure::Broken(
            "the connection ended before the stream's first event".to_owned(),
        )),
        // A stream without events is complete: the caller may already have the last event.
        None => {
            source.return_to_pool();
            let body = HeldAnswer::new(&server.held_answers);
            Ok(Answered::Whole { parts, body })
        }
    }
}
