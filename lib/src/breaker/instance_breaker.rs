//! One breaker: its state and when that changes.

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

/// Up to how many requests at once are on trial before the upstream counts as recovered.
const RAMP_TOP: u32 = 8;

/// Whether a request may be sent to an upstream now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Admitted,
    /// It may, as one of a few that find out whether the upstream takes requests again.
    OnTrial,
    /// As many requests as may be are on trial already.
    TrialsTaken,
    /// The upstream wants none until then.
    BackoffUntil(Timestamp),
    /// The upstream leaves.
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

/// What one daemon keeps for one run of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Breaker {
    state: BreakerState,
    /// When the asked backoff ends.
    until: Timestamp,
    /// How many requests at once may be on trial.
    ramp: u32,
    on_trial: u32,
    /// Which ramp this is; trials of an earlier one no longer count.
    round: u32,
    /// When the upstream last said something.
    told_at: Timestamp,
}

impl Breaker {
    pub(super) fn new(chart: &BreakerChart) -> Self {
        Self {
            state: chart.initial(),
            until: Timestamp::default(),
            ramp: 0,
            on_trial: 0,
            round: 0,
            told_at: Timestamp::default(),
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    pub(super) fn round(&self) -> u32 {
        self.round
    }

    pub(super) fn until(&self) -> Timestamp {
        self.until
    }

    /// Returns how long the upstream has said nothing that matters here.
    pub(super) fn silent_for(&self, now: Timestamp) -> Duration {
        now.since(self.told_at.max(self.until))
    }

    /// Takes in that the upstream wants no request until then; an earlier word for longer holds.
    pub(super) fn record_backoff(
        &mut self,
        chart: &BreakerChart,
        until: Timestamp,
        now: Timestamp,
    ) {
        self.look(chart, now);
        self.told_at = now;
        self.apply(chart, BreakerEvent::BackoffAsked, until);
    }

    /// Takes in that the upstream leaves; returns whether that is news.
    pub(super) fn record_leaving(&mut self, chart: &BreakerChart, now: Timestamp) -> bool {
        self.told_at = now;
        let before = self.state;
        self.apply(chart, BreakerEvent::LeavingTold, now);
        self.state != before
    }

    /// Returns whether a request may be sent.
    pub(super) fn admission(&mut self, chart: &BreakerChart, now: Timestamp) -> Admission {
        self.look(chart, now);
        match self.state {
            BreakerState::Closed => Admission::Admitted,
            BreakerState::Open => Admission::BackoffUntil(self.until),
            BreakerState::HalfOpen if self.on_trial < self.ramp => Admission::OnTrial,
            BreakerState::HalfOpen => Admission::TrialsTaken,
            BreakerState::Leaving => Admission::Leaving,
        }
    }

    /// Counts a request that is sent; returns whether it is on trial.
    pub(super) fn record_sent(&mut self) -> bool {
        let is_trial = self.state == BreakerState::HalfOpen;
        self.on_trial += u32::from(is_trial);
        is_trial
    }

    /// Ends a trial of the present ramp.
    pub(super) fn end_trial(&mut self, chart: &BreakerChart, is_answered: bool, now: Timestamp) {
        self.on_trial = self.on_trial.saturating_sub(1);
        if is_answered {
            self.apply(chart, BreakerEvent::TrialAnswered, now);
        }
    }

    /// Notices that a backoff has ended.
    fn look(&mut self, chart: &BreakerChart, now: Timestamp) {
        if self.state == BreakerState::Open && now >= self.until {
            self.apply(chart, BreakerEvent::BackoffEnded, now);
        }
    }

    /// Answers an event; `until` matters to one that starts a backoff only.
    fn apply(&mut self, chart: &BreakerChart, event: BreakerEvent, until: Timestamp) {
        let step = chart.step(self.state, event, |guard| match guard {
            BreakerGuard::RampIsDone => self.ramp + 1 >= RAMP_TOP,
        });
        self.state = step.state;
        for action in step.actions {
            match action {
                BreakerAction::StartBackoff => self.until = self.until.max(until),
                BreakerAction::StartRamp => {
                    self.ramp = 1;
                    self.on_trial = 0;
                    self.round += 1;
                }
                BreakerAction::WidenRamp => self.ramp += 1,
            }
        }
    }
}
