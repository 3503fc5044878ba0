//! Log lines, counters and load tracking of a routed request.

use std::time::Duration;

use cicadabend::{
    chart::RequestEvent,
    dispatch::Outcome,
    prelude::*,
    reach::RelayFailure,
    registry::InstanceId, //
};

use super::{
    counts::{
        BrokenAnswer,
        Routed,
        RoutedRefusal,
        RoutedRetry, //
    },
    events::LogEvent,
    execution::{
        RoutedExecution,
        StreamBreak, //
    },
    failure::Failure,
    reservation::replica_name,
    resume::NotResumed,
};

/// Why a stream pauses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PauseCause {
    /// Other streams of its replica progress.
    StreamAlone,
    /// All streams of its replica are stalled.
    ReplicaStalled,
    /// This daemon's link to the replica is lost.
    LinkLost,
}

impl RoutedExecution {
    /// Records that the whole response was passed on; only the first call counts.
    pub(super) fn record_answer_ended(&mut self, outcome: &'static str) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        self.life.apply(RequestEvent::AnswerEnded, |_| false);
        if self.is_success {
            self.report_cleared();
            self.record_parts_answered();
        }
        self.server
            .counts
            .record_total_time(self.prepared.terms.arrived.elapsed());
        let first_ms = self.first_chunk.unwrap_or_default().as_millis();
        self.server.log(&LogEvent::RequestEnded {
            request: self.prepared.id().to_owned(),
            route: self.prepared.terms.route.name.clone(),
            team: self
                .prepared
                .terms
                .team
                .as_ref()
                .map_or(String::new(), ToString::to_string),
            replica: self.current_replica_name(),
            outcome,
            attempts: self.attempts,
            expected_ms: self.chosen.expected_ms as u64,
            outstanding: self.chosen.outstanding as u64,
            rate: RequestRate::text(self.rate),
            first_ms: u64::try_from(first_ms).unwrap_or(u64::MAX),
            took_ms: self.took_ms(),
            routes: self.prepared.terms.routes,
        });
        self.reservation = None;
    }

    /// Records that the response broke off for good; the caller sees an incomplete response.
    pub(super) fn record_answer_lost(
        &mut self,
        after_event: Option<u64>,
        ended_by: BrokenAnswer,
        why: &str,
    ) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        self.life.apply(RequestEvent::AnswerBroke, |_| false);
        self.server
            .counts
            .count_refusal(RoutedRefusal::StreamBroken);
        self.server.counts.count_broken_answer(ended_by);
        let first = self.first_break.take().unwrap_or_default();
        let routes_now = self.server.view.load().routes_version();
        self.server.log(&LogEvent::StreamLost {
            request: self.prepared.id().to_owned(),
            replica: self.current_replica_name(),
            after_event: after_event.unwrap_or_default(),
            attempts: self.attempts,
            took_ms: self.took_ms(),
            ended_by: format!("{ended_by:?}"),
            why: why.to_owned(),
            first_replica: first.replica,
            first_after_event: first.after_event.unwrap_or_default(),
            first_why: first.why,
            routes: self.prepared.terms.routes,
            routes_now,
        });
        self.reservation = None;
    }

    /// Records that a stream broke off and is to be resumed (state `resuming` of the chart).
    pub(super) fn record_stream_broken(&mut self, stream_break: StreamBreak) {
        self.life.apply(RequestEvent::AnswerBroke, |_| true);
        if let Some(reservation) = &self.reservation {
            reservation.record_outcome(Outcome::Broken);
        }
        self.server.log(&LogEvent::StreamBroke {
            request: self.prepared.id().to_owned(),
            replica: stream_break.replica.clone(),
            after_event: stream_break.after_event.unwrap_or_default(),
            pause_ms: stream_break.pause.as_millis(),
            timer_late_ms: stream_break.timer_delay.as_millis(),
            why: stream_break.why.clone(),
        });
        self.first_break.get_or_insert(stream_break);
    }

    /// Records that a replica whose stream paused has broken it off.
    pub(super) fn record_break_after_pause(&mut self, replica: InstanceId, why: &str) {
        self.crash_history.broken_off_by.push(replica);
        if let Some(first) = &mut self.first_break {
            first.why = format!("{}; then it broke off: {why}", first.why);
        }
    }

    /// Records that another replica was asked for the rest of a stream and did not take it over.
    pub(super) fn record_not_resumed(&self, after_event: Option<u64>, failure: &NotResumed) {
        self.server.log(&LogEvent::StreamNotResumed {
            request: self.prepared.id().to_owned(),
            replica: self.current_replica_name(),
            after_event: after_event.unwrap_or_default(),
            reason: format!("{:?}", failure.reason),
            why: failure.why.clone(),
        });
    }

    /// Records that a replica continues its stream after a pause, before the replica `asked` for
    /// the rest has sent any of it.
    pub(super) fn record_continued(&self, last_event: Option<u64>, asked: String) {
        self.server.counts.count(Routed::Continued);
        self.server.log(&LogEvent::StreamContinued {
            request: self.prepared.id().to_owned(),
            replica: self.current_replica_name(),
            last_event: last_event.unwrap_or_default(),
            asked,
        });
    }

    /// Records that another replica continues the stream.
    pub(super) fn record_resumed(&mut self, after_event: Option<u64>) {
        self.life.apply(RequestEvent::Resumed, |_| true);
        self.server.counts.count(Routed::Resumed);
        if let Some(reservation) = &mut self.reservation {
            reservation.read();
            reservation.end_trial(true);
            reservation.end_retry();
        }
        self.server.log(&LogEvent::StreamResumed {
            request: self.prepared.id().to_owned(),
            replica: self.current_replica_name(),
            after_event: after_event.unwrap_or_default(),
        });
    }

    /// Records that more events of the stream arrived, through `relay` if there is one.
    pub(super) fn record_progress(&mut self, relay: Option<&DaemonId>) {
        self.record_writing();
        if let Some(reservation) = &self.reservation {
            if relay.is_none() {
                self.server.record_heard(&reservation.replica);
            }
            let now = self.server.clock.now();
            let mut loads = self.server.loads.borrow_mut();
            loads.record_progress(&reservation.replica.id, now);
        }
    }

    /// Returns the cause of a stream's pause, and reports it. `pause` is the time since the stream's
    /// last event.
    ///
    /// A replica behind a lost link is not reported: others may reach it.
    pub(super) fn report_pause(&self, pause: Duration, relay: Option<&DaemonId>) -> PauseCause {
        let Some(reservation) = &self.reservation else {
            return PauseCause::StreamAlone;
        };
        let replica = &reservation.replica;
        match relay {
            Some(relay) => {
                let failure = RelayFailure::Late(replica.link_group());
                self.server.record_relay_failure(relay, failure);
            }
            None => {
                let now = self.server.clock.now();
                if self.server.record_unanswered(replica, now.before(pause)) {
                    return PauseCause::LinkLost;
                }
            }
        }
        match self.report_if_stalled(pause) {
            true => PauseCause::ReplicaStalled,
            false => PauseCause::StreamAlone,
        }
    }

    /// Returns whether all streams of the replica are stalled; reports the replica if so.
    fn report_if_stalled(&self, pause: Duration) -> bool {
        let Some(reservation) = &self.reservation else {
            return false;
        };
        let now = self.server.clock.now();
        let id = &reservation.replica.id;
        let is_stalled = self.server.loads.borrow_mut().record_stall(id, pause, now);
        if is_stalled {
            // A full ring drops the notice; the next waiting stream sends another one.
            let _ = self.server.stalls.push(id.clone());
        }
        is_stalled
    }

    /// Returns the current replica's name for logs; empty if there is none.
    pub(super) fn current_replica_name(&self) -> String {
        self.reservation
            .as_ref()
            .map_or(String::new(), |reservation| {
                replica_name(&reservation.replica.id, reservation.replica.group.as_ref())
            })
    }

    pub(super) fn took_ms(&self) -> u64 {
        u64::try_from(self.prepared.terms.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Logs the current attempt's failure, and records it for the replica and for crash detection.
    pub(super) fn record_failure(&mut self, failure: &Failure) {
        self.log_failure(failure);
        self.record_attempt_outcome(failure);
        match failure {
            Failure::Broken(_) => self.record_broken_off(),
            Failure::NotConnected(_) => self.crash_history.has_failed_connect = true,
            _ => {}
        }
    }

    fn log_failure(&self, failure: &Failure) {
        self.server.log(&LogEvent::AttemptFailed {
            request: self.prepared.id().to_owned(),
            replica: self.current_replica_name(),
            attempt: self.attempts + 1,
            may_have_run: failure.may_have_run(),
            age_ms: self.took_ms(),
            why: failure.to_string(),
        });
    }

    /// Logs and counts a further attempt, with the latency baseline that it was decided by.
    pub(super) fn log_retry(&self, reason: RoutedRetry) {
        self.server.counts.count_retry(reason);
        let model = self.reservation.as_ref();
        let model = model.and_then(|reservation| reservation.replica.model.as_ref());
        let usual = self.latency_baseline(model);
        self.server.log(&LogEvent::SentAgain {
            request: self.prepared.id().to_owned(),
            replica: self.current_replica_name(),
            attempt: self.attempts + 1,
            reason: format!("{reason:?}"),
            typical_ms: usual.map_or(0, |usual| usual.typical_ms as u64),
            late_ms: usual.map_or(0, |usual| usual.late_ms as u64),
            answers: usual.map_or(0, |usual| usual.answers),
            learnt_ms_ago: usual.map_or(0, |usual| usual.age.as_millis()),
            window_left: self.server.retries_left(&self.prepared.terms.service),
        });
    }

    /// Records the failure for the replica's load tracking, if it tells anything about the replica.
    fn record_attempt_outcome(&self, failure: &Failure) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        let outcome = match failure {
            Failure::NotStarted { at_fault, .. } if at_fault.is_empty() => {
                match reservation.seems_full() {
                    true => Outcome::Full,
                    false => Outcome::Refused,
                }
            }
            Failure::Status(_)
            | Failure::NotAdmitted(_)
            | Failure::DeadlinePassed { is_written: false } => return,
            _ => Outcome::Broken,
        };
        reservation.record_outcome(outcome);
    }
}

impl Drop for RoutedExecution {
    /// Records why the caller's connection ended, if the request isn't over.
    ///
    /// The request's future or response body is dropped when the caller closes its connection, when
    /// the daemon closes it because the caller stopped reading, and at the end of a planned stop.
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        if self.server.stop.is_cut_off() {
            self.record_cut_off();
        } else if self.prepared.connection_end.has_stalled() {
            self.record_caller_stalled();
        } else {
            self.record_caller_left();
        }
    }
}

impl RoutedExecution {
    fn record_cut_off(&self) {
        self.server
            .counts
            .count_broken_answer(BrokenAnswer::Stopped);
        self.server.log(&LogEvent::RequestCutOff {
            request: self.prepared.id().to_owned(),
            replica: self.current_replica_name(),
            took_ms: self.took_ms(),
        });
    }

    fn record_caller_stalled(&self) {
        self.server
            .counts
            .count_broken_answer(BrokenAnswer::CallerStalled);
        self.server.log(&LogEvent::CallerStalled {
            request: self.prepared.id().to_owned(),
            replica: self.current_replica_name(),
            took_ms: self.took_ms(),
            read_timeout_ms: self.server.settings.callers.read_timeout_ms,
        });
    }

    fn record_caller_left(&self) {
        self.server.counts.count(Routed::CallersLeft);
        self.server.log(&LogEvent::CallerLeft {
            request: self.prepared.id().to_owned(),
            replica: self.current_replica_name(),
            took_ms: self.took_ms(),
        });
    }
}
