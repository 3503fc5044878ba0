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

/// How many breakers are kept; the engines of the largest fleet.
const MOST_KEPT: usize = 8_192;
/// How long what a run said is kept while nobody reports the run.
const REMEMBERED: Duration = Duration::from_secs(600);
/// How long after a backoff's end the first requests of all daemons together are spread, for each
/// daemon: at most so many times the daemons, and no longer than the backoff itself.
const SPREAD_OF_EACH: Duration = Duration::from_millis(20);

/// What a refusal asks for, and how this daemon keeps it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackoffRequest {
    /// The time without requests.
    pub backoff: BackoffTime,
    /// How many daemons there are, each of which may be asked the same in the same moment.
    pub daemons: u32,
    /// Where in the spread this daemon's first request afterwards falls, from 0 to 1.
    pub random: f64,
}

impl BackoffRequest {
    /// Returns how long this daemon sends nothing.
    ///
    /// Daemons that were asked together would otherwise come back together.
    fn kept_for(&self) -> Duration {
        let backoff = self.backoff.0.min(BackoffTime::LONGEST.0);
        let spread = (SPREAD_OF_EACH * self.daemons).min(backoff);
        backoff + spread.mul_f64(self.random.clamp(0.0, 1.0))
    }
}

/// A request that was sent on trial, by the ramp that it belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrialTicket(u32);

/// The breakers of one daemon, by run; a run that said nothing has none.
#[derive(Clone, Debug)]
pub struct Breakers {
    chart: &'static BreakerChart,
    by_run: HashMap<InstanceId, Breaker>,
}

impl Breakers {
    /// Starts with all closed.
    ///
    /// # Errors
    ///
    /// Returns [`ChartError`] if the charts are faulty, which stops the daemon at its start.
    pub fn new() -> Result<Self, ChartError> {
        Ok(Self {
            chart: &Charts::shared()?.breaker,
            by_run: HashMap::new(),
        })
    }

    /// Takes in that a run refused a request and asked for backoff; returns when this daemon may
    /// send to it again.
    ///
    /// Each refusal counts: a later one that asks for less ends nothing.
    pub fn record_backoff(
        &mut self,
        id: &InstanceId,
        asked: &BackoffRequest,
        now: Timestamp,
    ) -> Timestamp {
        if asked.backoff.0.is_zero() {
            return now;
        }
        let chart = self.chart;
        let Some(breaker) = self.entry(id) else {
            return now;
        };
        breaker.record_backoff(chart, now + asked.kept_for(), now);
        breaker.until()
    }

    /// Takes in that a run leaves; returns whether that is news.
    pub fn record_leaving(&mut self, id: &InstanceId, now: Timestamp) -> bool {
        let chart = self.chart;
        let breaker = self.entry(id);
        breaker.is_some_and(|breaker| breaker.record_leaving(chart, now))
    }

    /// Returns whether a request may be sent to a run now.
    pub fn admission(&mut self, id: &InstanceId, now: Timestamp) -> Admission {
        match self.by_run.get_mut(id) {
            Some(breaker) => breaker.admission(self.chart, now),
            None => Admission::Admitted,
        }
    }

    /// Counts a request that is sent; returns its ticket if it is on trial.
    pub fn record_sent(&mut self, id: &InstanceId) -> Option<TrialTicket> {
        let breaker = self.by_run.get_mut(id)?;
        let round = breaker.round();
        breaker.record_sent().then_some(TrialTicket(round))
    }

    /// Ends a trial, once for each that was sent; returns whether the run has recovered by it.
    pub fn end_trial(
        &mut self,
        id: &InstanceId,
        ticket: TrialTicket,
        is_answered: bool,
        now: Timestamp,
    ) -> bool {
        let Some(breaker) = self.by_run.get_mut(id) else {
            return false;
        };
        if breaker.round() != ticket.0 {
            return false;
        }
        breaker.end_trial(self.chart, is_answered, now);
        let is_closed = breaker.is_closed();
        if is_closed {
            self.by_run.remove(id);
        }
        is_closed
    }

    /// Drops what no longer matters: runs that nobody reports and that said nothing for long.
    pub fn forget(&mut self, is_reported: impl Fn(&InstanceId) -> bool, now: Timestamp) {
        self.by_run
            .retain(|id, breaker| is_reported(id) || breaker.silent_for(now) < REMEMBERED);
    }

    fn entry(&mut self, id: &InstanceId) -> Option<&mut Breaker> {
        let is_full = self.by_run.len() >= MOST_KEPT;
        if is_full && !self.by_run.contains_key(id) {
            return None;
        }
        let chart = self.chart;
        let entry = self.by_run.entry(id.clone());
        Some(entry.or_insert_with(|| Breaker::new(chart)))
    }
}
