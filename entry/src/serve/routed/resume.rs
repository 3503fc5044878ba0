//! Asks another replica for the rest of a stream, while the one that pauses may still go on.

use std::{
    future::{
        Future,
        pending,
        poll_fn, //
    },
    pin::{
        Pin,
        pin, //
    },
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use cicadabend::{
    chart::RequestEvent,
    registry::InstanceId,
    retry_budget::RoutedRetryReason, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::{
    super::{
        upstream::SentBytes,
        wait::wait_until, //
    },
    counts::{
        BrokenAnswer,
        RoutedRetry, //
    },
    crash_probe,
    crash_watch::BrokenRequest,
    events::LogEvent,
    exchange::{
        Answered,
        exchange, //
    },
    execution::RoutedExecution,
    failure::Failure,
    hedge::HedgedAttempt,
    reservation::replica_name,
    server::Server,
    source::EventSource,
};

/// Time for another replica to send the next event of a stream, after which a further one is asked
/// if that is allowed.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The first events of a resumed stream, and the source of the rest; `None` if it ends there.
type ResumedStream = (Bytes, Option<EventSource>);

/// Returns a stream's execution, and how the stream goes on.
pub(super) type Resuming = Pin<Box<dyn Future<Output = (RoutedExecution, Continuation)>>>;

/// How a stream goes on after another replica was asked for its rest.
pub(super) enum Continuation {
    /// By these events of either replica, and the source of the next ones; `None` if it ends there.
    Events(Bytes, Option<EventSource>),
    /// By the replica that pauses, if it goes on: no other one has taken the stream over.
    Waiting(EventSource, NotResumed),
    /// Not at all.
    Lost(NotResumed),
}

/// Why a stream was not resumed, and the reason by which it counts if it is lost.
pub(super) struct NotResumed {
    pub(super) reason: BrokenAnswer,
    pub(super) why: String,
    /// Whether the replica that was asked broke off, and may have crashed because of the request.
    has_broken_off: bool,
}

impl NotResumed {
    pub(super) fn new(reason: BrokenAnswer, why: impl Into<String>) -> Self {
        Self {
            reason,
            why: why.into(),
            has_broken_off: false,
        }
    }
}

/// A stream that pauses, whose replica may go on until another one has taken it over.
pub(super) struct PausedStream {
    server: Rc<Server>,
    attempt: HedgedAttempt,
    source: EventSource,
    last_event_at: Instant,
    /// What to record if the replica breaks the stream off.
    broken: BrokenRequest,
}

impl PausedStream {
    /// Takes the current replica's attempt out of an execution; `None` if there is none.
    pub(super) fn take(
        execution: &mut RoutedExecution,
        source: EventSource,
        last_event_at: Instant,
    ) -> Option<Self> {
        let broken = execution.broken_request()?;
        Some(Self {
            server: Rc::clone(&execution.server),
            attempt: execution.take_current(Instant::now())?,
            source,
            last_event_at,
            broken,
        })
    }

    /// Waits for the next events; `None` is the stream's regular end.
    async fn next_events(&mut self) -> Option<Result<Bytes, String>> {
        poll_fn(|context| self.source.poll_events(context)).await
    }

    /// Records that the replica broke the stream off, and drops the connection to it; returns the
    /// replica.
    fn record_broken(mut self, why: &str) -> InstanceId {
        let replica = self.attempt.replica();
        self.server.log(&LogEvent::StreamBroke {
            request: self.broken.request.clone(),
            replica: replica_name(&replica.id, replica.group.as_ref()),
            after_event: self.source.last_event().unwrap_or_default(),
            pause_ms: self.last_event_at.elapsed().as_millis(),
            timer_late_ms: 0,
            why: why.to_owned(),
        });
        self.broken.broken_at = self.server.clock.now();
        crash_probe::record_broken_request(&self.server, replica, self.broken);
        replica.id.clone()
    }

    /// Makes the replica the current one again; returns the source of its next events.
    fn restore(self, execution: &mut RoutedExecution) -> EventSource {
        execution.set_current(self.attempt);
        execution.life.apply(RequestEvent::Resumed, |_| true);
        self.source
    }

    /// Passes on what the replica has sent before another one did; `None` is the stream's end.
    fn go_on(self, execution: &mut RoutedExecution, events: Option<Bytes>) -> Continuation {
        let asked = execution.current_replica_name();
        let source = self.restore(execution);
        execution.ticket = None;
        execution.record_continued(source.last_event(), asked);
        match events {
            Some(events) => {
                execution.record_progress(source.relay());
                Continuation::Events(events, Some(source))
            }
            None => {
                source.return_to_pool();
                Continuation::Events(Bytes::new(), None)
            }
        }
    }

    /// Waits on for the replica, as no other one has taken the stream over.
    fn wait_on(self, execution: &mut RoutedExecution, failure: NotResumed) -> Continuation {
        let source = self.restore(execution);
        Continuation::Waiting(source, failure)
    }
}

/// What comes first while another replica is asked for the rest of a stream.
enum CameFirst {
    /// The replica that paused has sent events, or ended the stream if there are none.
    Paused(Box<PausedStream>, Option<Bytes>),
    /// The request for the rest has ended.
    Asked(Box<Result<ResumedStream, NotResumed>>),
}

/// Asks another replica for the events after `last_event`, once the retry budget allows it.
///
/// The stream goes on by the replica that sends events first: that one, or the one that `paused`.
/// Nothing of the other is passed on afterwards. `why` is why the stream paused or broke off.
pub(super) async fn resume(
    mut execution: RoutedExecution,
    mut paused: Option<PausedStream>,
    last_event: Option<u64>,
    why: String,
) -> (RoutedExecution, Continuation) {
    let mut broken_off = None;
    let first = {
        let mut asking = pin!(request_rest(&mut execution, last_event, why));
        loop {
            let next = async {
                match &mut paused {
                    Some(paused) => paused.next_events().await,
                    None => pending().await,
                }
            };
            let next = tokio::select! {
                biased;
                next = next => next,
                outcome = asking.as_mut() => break CameFirst::Asked(Box::new(outcome)),
            };
            match (next, paused.take()) {
                (Some(Err(why)), broken) => {
                    broken_off = broken.map(|broken| (broken.record_broken(&why), why));
                }
                (Some(Ok(events)), Some(paused)) => {
                    break CameFirst::Paused(Box::new(paused), Some(events));
                }
                (None, Some(paused)) => break CameFirst::Paused(Box::new(paused), None),
                (_, None) => {}
            }
        }
    };
    if let Some((replica, why)) = broken_off {
        execution.record_break_after_pause(replica, &why);
    }
    let outcome = match first {
        CameFirst::Asked(outcome) => *outcome,
        CameFirst::Paused(paused, events) => {
            let continuation = paused.go_on(&mut execution, events);
            return (execution, continuation);
        }
    };
    if outcome
        .as_ref()
        .is_err_and(|failure| failure.has_broken_off)
    {
        execution.record_broken_off();
    }
    let continuation = match (outcome, paused) {
        (Ok((events, source)), _) => {
            execution.record_resumed(last_event);
            Continuation::Events(events, source)
        }
        (Err(failure), Some(paused)) => paused.wait_on(&mut execution, failure),
        (Err(failure), None) => Continuation::Lost(failure),
    };
    (execution, continuation)
}

/// Asks another replica for the events after `last_event`, once the retry budget allows it.
async fn request_rest(
    execution: &mut RoutedExecution,
    last_event: Option<u64>,
    why: String,
) -> Result<ResumedStream, NotResumed> {
    if !execution.obtain_retry(RoutedRetryReason::Broken).await {
        return Err(NotResumed::new(BrokenAnswer::NoRetry, why));
    }
    execution
        .server
        .counts
        .count_retry(RoutedRetry::StreamBroke);
    execution.attempts += 1;
    let outcome = ask_for_rest(execution, last_event).await;
    if let Err(failure) = &outcome {
        execution.record_not_resumed(last_event, failure);
    }
    outcome
}

/// Asks a replica that was not tried for the events after `last_event`.
async fn ask_for_rest(
    execution: &mut RoutedExecution,
    last_event: Option<u64>,
) -> Result<ResumedStream, NotResumed> {
    let is_chosen = execution.choose_or_request_permit().await;
    let reservation = execution.reservation.as_ref().filter(|_| is_chosen);
    let Some(replica) = reservation.map(|reservation| reservation.replica.clone()) else {
        let why = "no other replica can resume the stream";
        return Err(NotResumed::new(BrokenAnswer::NoReplica, why));
    };
    let sent = SentBytes::default();
    let prepared = Rc::clone(&execution.prepared);
    let server = Rc::clone(&execution.server);
    let mut work = pin!(exchange(&server, &prepared, &replica, &sent, last_event));
    let deadline = prepared.terms.deadline;
    let late_at = Some(Instant::now() + RESUME_TIMEOUT).filter(|late_at| *late_at < deadline);
    let in_time = match late_at {
        Some(late_at) => wait_until(late_at, work.as_mut()).await.ok(),
        None => None,
    };
    let outcome = match in_time {
        Some(outcome) => outcome,
        None if late_at.is_some() && execution.withdraw_resume() => {
            let why = "another replica did not resume the stream in time";
            return Err(NotResumed::new(BrokenAnswer::ResumeLate, why));
        }
        // No further one can be asked, and silence alone is no reason to end the stream sooner.
        None => match timeout_at(deadline, work).await {
            Ok(outcome) => outcome,
            Err(_) => {
                let why = "the deadline passed";
                return Err(NotResumed::new(BrokenAnswer::DeadlinePassed, why));
            }
        },
    };
    match outcome {
        Ok(Answered::Stream { first, source, .. }) => Ok((first, Some(source))),
        // An empty success means that the stream's last event has already been passed on.
        Ok(Answered::Whole { parts, body }) if parts.status.is_success() && body.is_empty() => {
            Ok((Bytes::new(), None))
        }
        Ok(_) => {
            let why = "another replica could not resume the stream";
            Err(NotResumed::new(BrokenAnswer::ResumeFailed, why))
        }
        Err(failure) => {
            if !failure.is_sent() {
                execution.take_back_retry();
            }
            Err(NotResumed {
                reason: BrokenAnswer::ResumeFailed,
                why: failure.to_string(),
                has_broken_off: matches!(failure, Failure::Broken(_)),
            })
        }
    }
}
