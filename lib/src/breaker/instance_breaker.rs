//! The breaker of one upstream instance: its state and its transitions.

use std::time::Duration;

use crate::{
    chart::{
        BreakerAction,
        BreakerChart,
        BreakerEvent,
        BreakerGuard,
        BreakerState, //
    },
    prelude::*,
};

/// Number of concurrent trials at which the upstream counts as recovered.
const RECOVERED_TRIALS: u32 = 8;

/// Whether a request may be sent to an upstream now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may be sent.
    Admitted,
    /// The request may be sent, as one of a few that test whether the upstream accepts requests
    /// again.
    OnTrial,
    /// The request may not be sent, since the maximum number of trials is running.
    TrialsTaken,
    /// The request may not be sent: the upstream has requested backoff until this time.
    BackoffUntil(Timestamp),
    /// The request may not be sent: the upstream has announced that it leaves.
    Leaving,
}

impl Admission {
    /// Returns whether a request may be sent.
    pub fn is_admitted(self) -> bool {
        match self {
            Admission::Admitted | Admission::OnTrial => true,
            Admission::TrialsTaken | Admission::BackoffUntil(_) | Admission::Leaving => false,
        }
    }
}

/// One daemon's breaker for one upstream instance.
///
/// After a backoff, a ramp begins: a number of concurrent trials that grows with each answered one.
#[derive(Clone, Debug)]
pub(super) struct Breaker {
    state: BreakerState,
    /// When the last requested backoff ends.
    backoff_until: Timestamp,
    /// Maximum number of concurrent trials; grows with each answered trial.
    max_trials: u32,
    running_trials: u32,
    /// Number of the current ramp, from 1; trials of earlier ramps no longer count.
    generation: u32,
    /// When the upstream last requested backoff or announced that it leaves.
    last_signal_at: Timestamp,
}

impl Breaker {
    pub(super) fn new(chart: &BreakerChart) -> Self {
        Self {
            state: chart.initial(),
            backoff_until: Timestamp::default(),
            max_trials: 0,
            running_trials: 0,
            generation: 0,
            last_signal_at: Timestamp::default(),
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    pub(super) fn generation(&self) -> u32 {
        self.generation
    }

    pub(super) fn backoff_until(&self) -> Timestamp {
        self.backoff_until
    }

    /// Returns the time since the last signal of the upstream or the end of its backoff, whichever
    /// is later.
    pub(super) fn silent_for(&self, now: Timestamp) -> Duration {
        now.since(self.last_signal_at.max(self.backoff_until))
    }

    /// Records that the upstream requests backoff until a time; an earlier request for a longer
    /// backoff stays in force.
    pub(super) fn record_backoff(
        &mut self,
        chart: &BreakerChart,
        until: Timestamp,
        now: Timestamp,
    ) {
        self.refresh(chart, now);
        self.last_signal_at = now;
        self.apply(chart, BreakerEvent::BackoffAsked, until);
    }

    /// Records that the upstream leaves; returns whether this is new.
    pub(super) fn record_leaving(&mut self, chart: &BreakerChart, now: Timestamp) -> bool {
        self.last_signal_at = now;
        let before = self.state;
        self.apply(chart, BreakerEvent::LeavingTold, now);
        self.state != before
    }

    /// Decides whether a request may be sent at the time `now`.
    pub(super) fn admission(&mut self, chart: &BreakerChart, now: Timestamp) -> Admission {
        self.refresh(chart, now);
        match self.state {
            BreakerState::Closed => Admission::Admitted,
            BreakerState::Open => Admission::BackoffUntil(self.backoff_until),
            BreakerState::HalfOpen if self.running_trials < self.max_trials => Admission::OnTrial,
            BreakerState::HalfOpen => Admission::TrialsTaken,
            BreakerState::Leaving => Admission::Leaving,
        }
    }

    /// Records that a request is sent; returns whether the request is a trial.
    pub(super) fn record_sent(&mut self) -> bool {
        let is_trial = self.state == BreakerState::HalfOpen;
        self.running_trials += u32::from(is_trial);
        is_trial
    }

    /// Ends a trial of the current ramp; an answered one allows one more concurrent trial.
    pub(super) fn end_trial(&mut self, chart: &BreakerChart, is_answered: bool, now: Timestamp) {
        self.running_trials = self.running_trials.saturating_sub(1);
        if is_answered {
            self.apply(chart, BreakerEvent::TrialAnswered, now);
        }
    }

    /// Moves on from the open state if the backoff has ended.
    fn refresh(&mut self, chart: &BreakerChart, now: Timestamp) {
        if self.state == BreakerState::Open && now >= self.backoff_until {
            self.apply(chart, BreakerEvent::BackoffEnded, now);
        }
    }

    /// Applies an event to the state; `until` is used only by events that start a backoff.
    fn apply(&mut self, chart: &BreakerChart, event: BreakerEvent, until: Timestamp) {
        let step = chart.step(self.state, event, |guard| match guard {
            BreakerGuard::RampIsDone => self.max_trials + 1 >= RECOVERED_TRIALS,
        });
        self.state = step.state;
        for action in step.actions {
            match action {
                BreakerAction::StartBackoff => self.backoff_until = self.backoff_until.max(until),
                BreakerAction::StartRamp => {
                    self.max_trials = 1;
                    self.running_trials = 0;
                    self.generation += 1;
                }
                BreakerAction::WidenRamp => self.max_trials += 1,
            }
        }
    }
}
