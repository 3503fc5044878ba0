//! The breakers of one daemon.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::instance_breaker::{
    Admission,
    Breaker, //
};
use crate::{
    chart::{
        BreakerChart,
        ChartError,
        Charts, //
    },
    prelude::*,
    registry::InstanceId,
};

/// Maximum number of breakers: the number of engines of the largest fleet.
const MAX_BREAKERS: usize = 8_192;
/// How long a breaker is retained while no daemon reports its upstream instance.
const BREAKER_RETENTION: Duration = Duration::from_secs(600);
/// Length, per daemon, of the period after a backoff's end over which the first requests of all
/// daemons are spread. The whole period is no longer than the backoff itself.
const SPREAD_PER_DAEMON: Duration = Duration::from_millis(20);

/// An upstream's request for backoff, and how this daemon complies with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackoffRequest {
    /// The time without requests that the upstream asks for.
    pub backoff: BackoffTime,
    /// Number of daemons, all of which may get the same request at the same time.
    pub daemons: u32,
    /// This daemon's random position, from 0 to 1, in the period over which first requests are
    /// spread.
    pub random: f64,
}

impl BackoffRequest {
    /// Returns how long this daemon sends no requests.
    ///
    /// The time is partly random, since daemons that got the request together would otherwise all
    /// resume at the same time.
    fn effective_backoff(&self) -> Duration {
        let backoff = self.backoff.0.min(BackoffTime::LONGEST.0);
        let spread = (SPREAD_PER_DAEMON * self.daemons).min(backoff);
        backoff + spread.mul_f64(self.random.clamp(0.0, 1.0))
    }
}

/// Identifies the ramp to which a trial belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrialTicket(u32);

/// The breakers of one daemon, by upstream instance; an instance without signals has none.
#[derive(Clone, Debug)]
pub struct Breakers {
    chart: &'static BreakerChart,
    by_instance: HashMap<InstanceId, Breaker>,
}

impl Breakers {
    /// Returns an empty table: all breakers are closed.
    ///
    /// # Errors
    ///
    /// Returns [`ChartError`] if the charts are faulty, which stops the daemon at its start.
    pub fn new() -> Result<Self, ChartError> {
        Ok(Self {
            chart: &Charts::shared()?.breaker,
            by_instance: HashMap::new(),
        })
    }

    /// Records that an upstream instance refused a request and requested backoff; returns when this
    /// daemon may send requests to the instance again.
    ///
    /// A later request for a shorter backoff does not end a longer one.
    pub fn record_backoff(
        &mut self,
        id: &InstanceId,
        request: &BackoffRequest,
        now: Timestamp,
    ) -> Timestamp {
        if request.backoff.0.is_zero() {
            return now;
        }
        let chart = self.chart;
        let Some(breaker) = self.entry(id) else {
            return now;
        };
        breaker.record_backoff(chart, now + request.effective_backoff(), now);
        breaker.backoff_until()
    }

    /// Records that an upstream instance leaves; returns whether this is new.
    pub fn record_leaving(&mut self, id: &InstanceId, now: Timestamp) -> bool {
        let chart = self.chart;
        let breaker = self.entry(id);
        breaker.is_some_and(|breaker| breaker.record_leaving(chart, now))
    }

    /// Decides whether a request may be sent to an upstream instance at the time `now`.
    pub fn admission(&mut self, id: &InstanceId, now: Timestamp) -> Admission {
        match self.by_instance.get_mut(id) {
            Some(breaker) => breaker.admission(self.chart, now),
            None => Admission::Admitted,
        }
    }

    /// Records that a request is sent; returns a ticket if the request is a trial.
    pub fn record_sent(&mut self, id: &InstanceId) -> Option<TrialTicket> {
        let breaker = self.by_instance.get_mut(id)?;
        let generation = breaker.generation();
        breaker.record_sent().then_some(TrialTicket(generation))
    }

    /// Ends a trial; returns whether the upstream instance has recovered by it. To be called once
    /// for each ticket.
    pub fn end_trial(
        &mut self,
        id: &InstanceId,
        ticket: TrialTicket,
        is_answered: bool,
        now: Timestamp,
    ) -> bool {
        let Some(breaker) = self.by_instance.get_mut(id) else {
            return false;
        };
        if breaker.generation() != ticket.0 {
            return false;
        }
        breaker.end_trial(self.chart, is_answered, now);
        let is_closed = breaker.is_closed();
        if is_closed {
            self.by_instance.remove(id);
        }
        is_closed
    }

    /// Drops the breakers of instances that are no longer reported and have been silent for long.
    pub fn forget(&mut self, is_reported: impl Fn(&InstanceId) -> bool, now: Timestamp) {
        self.by_instance
            .retain(|id, breaker| is_reported(id) || breaker.silent_for(now) < BREAKER_RETENTION);
    }

    fn entry(&mut self, id: &InstanceId) -> Option<&mut Breaker> {
        let is_full = self.by_instance.len() >= MAX_BREAKERS;
        if is_full && !self.by_instance.contains_key(id) {
            return None;
        }
        let chart = self.chart;
        let entry = self.by_instance.entry(id.clone());
        Some(entry.or_insert_with(|| Breaker::new(chart)))
    }
}
