//! Answers that are passed on as they come; streams go on elsewhere if they break off.

use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use http_body::{
    Frame,
    SizeHint, //
};
use tokio::time::{
    Instant,
    Sleep,
    sleep_until, //
};

use super::{
    super::{
        body::BodyError,
        upstream::SentBytes, //
    },
    counts::Routed,
    exchange::{
        Answered,
        exchange, //
    },
    failure::Failure,
    run::RoutedRun,
    source::{
        AnswerRest,
        EventSource, //
    },
};

/// The shortest pause between events after which another replica is asked to go on.
const LEAST_PATIENCE: Duration = Duration::from_millis(600);
/// A pause counts as a break if it is longer than the route's objective by this factor.
const PATIENCE_FACTOR: f64 = 2.0;
/// If only this stream waits, its replica still works, and much longer is waited.
const ONE_WAITS_FACTOR: u32 = 3;
/// How long another replica may take to go on.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);

type PolledFrame = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// An upstream's body that passes through unchanged.
pub(super) struct PassedBody {
    run: RoutedRun,
    beginning: Option<Bytes>,
    rest: Option<AnswerRest>,
}

impl PassedBody {
    pub(super) fn new(run: RoutedRun, beginning: Bytes, rest: AnswerRest) -> Self {
        Self {
            run,
            beginning: Some(beginning),
            rest: Some(rest),
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }

    pub(super) fn poll_frame(&mut self, context: &mut Context<'_>) -> PolledFrame {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        match rest.poll_data(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(Err(why))) => {
                self.rest = None;
                self.run.suspect();
                self.run.lost(None, &why);
                // The error ends the caller's connection without the last chunk, so
                // that the caller cannot take the part it has for the whole.
                Poll::Ready(Some(Err(BodyError::AnswerBroken)))
            }
            Poll::Ready(None) => {
                if let Some(rest) = self.rest.take() {
                    rest.keep();
                }
                self.run.ended("answered");
                Poll::Ready(None)
            }
        }
    }
}

type Resuming =
    Pin<Box<dyn Future<Output = (RoutedRun, Result<(Bytes, Option<EventSource>), String>)>>>;

/// Where the next part of a stream comes from.
enum Stage {
    /// Events of which the first are in hand.
    First(RoutedRun, Bytes, EventSource),
    /// A connection to a replica.
    Live(RoutedRun, EventSource),
    /// Nowhere, until another replica goes on after the last event that was passed on.
    Resuming(Resuming, Option<u64>),
    /// It has ended whole.
    Over,
    /// It has broken off.
    Broken,
}

/// The body with the request it answers; dropping it before its end means that the caller left.
pub(super) struct StreamBody {
    stage: Stage,
    deadline: Instant,
    patience: Option<Duration>,
    last_at: Instant,
    /// Whether this stream waits while others of its replica go on.
    waits_alone: bool,
    timer: Pin<Box<Sleep>>,
}

impl StreamBody {
    pub(super) fn new(run: RoutedRun, first: Bytes, source: EventSource) -> Self {
        let deadline = run.plan.terms.deadline;
        let objective = run.plan.terms.route.gap_objective_ms.unwrap_or_default();
        let objective = Duration::from_millis(objective);
        let is_repeatable = run.plan.terms.route.kind.is_repeatable();
        let patience = is_repeatable.then(|| {
            let usual = objective.mul_f64(PATIENCE_FACTOR);
            LEAST_PATIENCE.max(usual)
        });
        let last_at = Instant::now();
        let due = patience.map_or(deadline, |patience| deadline.min(last_at + patience));
        Self {
            stage: Stage::First(run, first, source),
            deadline,
            patience,
            last_at,
            waits_alone: false,
            timer: Box::pin(sleep_until(due)),
        }
    }

    pub(super) fn poll_frame(&mut self, context: &mut Context<'_>) -> PolledFrame {
        loop {
            let polled = match std::mem::replace(&mut self.stage, Stage::Broken) {
                Stage::First(run, first, source) => {
                    self.stage = Stage::Live(run, source);
                    Some(Poll::Ready(Some(Ok(Frame::data(first)))))
                }
                Stage::Live(run, source) => self.poll_live(run, source, context),
                Stage::Resuming(resuming, last_event) => {
                    self.poll_resuming(resuming, last_event, context)
                }
                Stage::Over => {
                    self.stage = Stage::Over;
                    Some(Poll::Ready(None))
                }
                Stage::Broken => Some(Poll::Ready(Some(Err(BodyError::AnswerBroken)))),
            };
            if let Some(polled) = polled {
                return polled;
            }
        }
    }

    fn poll_live(
        &mut self,
        mut run: RoutedRun,
        mut source: EventSource,
        context: &mut Context<'_>,
    ) -> Option<PolledFrame> {
        match source.poll_events(context) {
            Poll::Ready(Some(Ok(events))) => {
                self.last_at = Instant::now();
                run.progressed();
                self.stage = Stage::Live(run, source);
                Some(Poll::Ready(Some(Ok(Frame::data(events)))))
            }
            Poll::Ready(None) => {
                source.keep();
                run.server.counts.count(Routed::StreamsWhole);
                run.ended("streamed");
                self.stage = Stage::Over;
                Some(Poll::Ready(None))
            }
            Poll::Ready(Some(Err(why))) => {
                run.suspect();
                self.broke(run, source.last_event(), &why)
            }
            Poll::Pending => match self.poll_time(context) {
                Late::No => {
                    self.stage = Stage::Live(run, source);
                    Some(Poll::Pending)
                }
                Late::Pause if !run.stands_still(self.last_at.elapsed()) && !self.waits_alone => {
                    // Other streams of the replica go on.
                    self.waits_alone = true;
                    self.patience = self.patience.map(|usual| usual * ONE_WAITS_FACTOR);
                    self.stage = Stage::Live(run, source);
                    None
                }
                Late::Pause if run.may_resume() => {
                    self.resume(run, source.last_event(), "nothing came for too long");
                    None
                }
                Late::Pause => {
                    // Nobody else may go on with it; it may still come.
                    self.patience = None;
                    self.stage = Stage::Live(run, source);
                    None
                }
                Late::TimeOver => {
                    run.lost(source.last_event(), "its time is over");
                    Some(Poll::Ready(Some(Err(BodyError::AnswerBroken))))
                }
            },
        }
    }

    /// Returns whether the stream is late; the timer is moved only when it fires.
    fn poll_time(&mut self, context: &mut Context<'_>) -> Late {
        loop {
            if self.timer.as_mut().poll(context).is_pending() {
                return Late::No;
            }
            let now = Instant::now();
            if now >= self.deadline {
                return Late::TimeOver;
            }
            let pause_ends = self.patience.map(|patience| self.last_at + patience);
            if pause_ends.is_some_and(|ends| now >= ends) {
                return Late::Pause;
            }
            let due = pause_ends.map_or(self.deadline, |ends| ends.min(self.deadline));
            self.timer.as_mut().reset(due);
        }
    }

    /// Asks another replica for the rest, or ends the answer visibly broken.
    fn broke(
        &mut self,
        mut run: RoutedRun,
        last_event: Option<u64>,
        why: &str,
    ) -> Option<PolledFrame> {
        if run.may_resume() {
            self.resume(run, last_event, why);
            return None;
        }
        run.lost(last_event, why);
        Some(Poll::Ready(Some(Err(BodyError::AnswerBroken))))
    }

    fn resume(&mut self, mut run: RoutedRun, last_event: Option<u64>, why: &str) {
        run.broke_off(last_event, why);
        self.stage = Stage::Resuming(Box::pin(resume(run, last_event)), last_event);
    }

    fn poll_resuming(
        &mut self,
        mut resuming: Resuming,
        last_event: Option<u64>,
        context: &mut Context<'_>,
    ) -> Option<PolledFrame> {
        match resuming.as_mut().poll(context) {
            Poll::Pending => {
                self.stage = Stage::Resuming(resuming, last_event);
                Some(Poll::Pending)
            }
            Poll::Ready((mut run, Ok((first, source)))) => {
                self.last_at = Instant::now();
                match source {
                    Some(source) => {
                        self.stage = Stage::First(run, first, source);
                        None
                    }
                    None => {
                        run.ended("streamed");
                        self.stage = Stage::Over;
                        None
                    }
                }
            }
            // A third replica must not begin the stream anew: the caller has its beginning.
            Poll::Ready((run, Err(why))) => self.broke(run, last_event, &why),
        }
    }
}

/// Whether a stream is late.
enum Late {
    No,
    Pause,
    TimeOver,
}

/// Asks another replica for what comes after an event.
async fn resume(
    mut run: RoutedRun,
    last_event: Option<u64>,
) -> (RoutedRun, Result<(Bytes, Option<EventSource>), String>) {
    run.attempts += 1;
    if !run.choose_or_ask().await {
        return (run, Err("no other replica can go on".to_owned()));
    }
    let Some(replica) = run
        .reservation
        .as_ref()
        .map(|reservation| reservation.replica.clone())
    else {
        return (run, Err("no other replica can go on".to_owned()));
    };
    let sent = SentBytes::default();
    let plan = Rc::clone(&run.plan);
    let server = Rc::clone(&run.server);
    let until = plan.terms.deadline.min(Instant::now() + RESUME_TIMEOUT);
    let work = exchange(&server, &plan, &replica, &sent, last_event);
    let outcome = match tokio::time::timeout_at(until, work).await {
        Ok(Ok(Answered::Stream { first, source, .. })) => {
            run.resumed(last_event);
            Ok((first, Some(source)))
        }
        // The rest of a stream whose last event was passed on is empty.
        Ok(Ok(Answered::Whole { head, body })) if head.status.is_success() && body.is_empty() => {
            run.resumed(last_event);
            Ok((body, None))
        }
        Ok(Ok(_)) => Err("another replica could not go on".to_owned()),
        Ok(Err(failure)) => {
            if matches!(failure, Failure::Broken(_)) {
                run.suspect();
            }
            Err(failure.to_string())
        }
        Err(_) => Err("another replica took too long".to_owned()),
    };
    (run, outcome)
}
