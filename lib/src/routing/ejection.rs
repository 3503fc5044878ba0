//! Outlier ejection: excludes replicas that fail or lag far more than their peers, and readmits
//! them after successful probes.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::ReplicaId;
use crate::prelude::*;

/// Half-life of the counts of recent successes and failures.
const OUTCOME_HALF_LIFE: Duration = Duration::from_secs(10);
/// Half-life of the load penalty that failures add.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(2);
/// Decayed count of failures below which a replica's failure rate is not judged.
const MIN_FAILURES: f64 = 4.5;
/// Lowest failure rate, 0 to 1, of an outlier.
const MIN_FAILURE_RATE: f64 = 0.5;
/// Lowest difference between an outlier's failure rate and the median of the service.
const MIN_FAILURE_RATE_ABOVE_MEDIAN: f64 = 0.3;
/// Lowest ratio of an outlier's time between tokens to the median of the service.
const OUTLIER_MIN_SLOWNESS: f64 = 3.0;
/// Largest share of a service's replicas that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.3;
/// Duration of a replica's first ejection; doubled for each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Longest ejection before a replica is probed.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Time after a probe until the next one, if the probe has not ended.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of probes in a row that must succeed before a replica is readmitted.
const SUCCESSES_TO_RETURN: u32 = 3;
/// Shortest time between two comparisons of a service's replicas.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// Recent outcomes and ejection state of all replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct Ejections {
    replicas: HashMap<ReplicaId, Health>,
    evaluated_at: HashMap<ServiceName, Timestamp>,
}

#[derive(Clone, Debug, Default)]
struct Health {
    successes: DecayingCount,
    failures: DecayingCount,
    penalty: DecayingCount,
    state: State,
    ejections: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    /// The replica takes requests.
    Active,
    /// The replica takes no requests until `until`, when probing starts.
    Ejected { until: Timestamp },
    /// The replica takes one probe at a time; `successes` counts those in a row that succeeded.
    Probing {
        next_probe: Timestamp,
        successes: u32,
    },
}

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    value: f64,
    at: Timestamp,
}

impl DecayingCount {
    fn get(self, half_life: Duration, now: Timestamp) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.value * 0.5_f64.powf(elapsed / half_life.as_secs_f64())
    }

    fn add_one(&mut self, half_life: Duration, now: Timestamp) {
        self.value = self.get(half_life, now) + 1.0;
        self.at = now;
    }
}

impl Ejections {
    /// Records a complete answer; returns whether the answer readmitted an ejected replica.
    ///
    /// A slow answer to a probe ejects the replica again.
    pub fn record_success(&mut self, replica: &ReplicaId, is_slow: bool, now: Timestamp) -> bool {
        let health = self.replicas.entry(replica.clone()).or_default();
        health.successes.add_one(OUTCOME_HALF_LIFE, now);
        let State::Probing {
            next_probe,
            successes,
        } = health.state
        else {
            return false;
        };
        if is_slow {
            health.eject(now);
            return false;
        }
        let successes = successes + 1;
        if successes < SUCCESSES_TO_RETURN {
            health.state = State::Probing {
                next_probe: next_probe.min(now),
                successes,
            };
            return false;
        }
        health.state = State::Active;
        health.failures = DecayingCount::default();
        true
    }

    /// Records a failure that the replica caused; a failed probe ejects the replica again.
    pub fn record_failure(&mut self, replica: &ReplicaId, now: Timestamp) {
        let health = self.replicas.entry(replica.clone()).or_default();
        health.failures.add_one(OUTCOME_HALF_LIFE, now);
        health.penalty.add_one(PENALTY_HALF_LIFE, now);
        if matches!(health.state, State::Probing { .. }) {
            health.eject(now);
        }
    }

    /// Returns the number of requests to add to a replica's load for its recent failures.
    ///
    /// A replica that fails requests at once has none outstanding. Without the penalty,
    /// it would look idle and attract all requests until its ejection.
    pub fn penalty(&self, replica: &ReplicaId, now: Timestamp) -> f64 {
        self.replicas
            .get(replica)
            .map_or(0.0, |health| health.penalty.get(PENALTY_HALF_LIFE, now))
    }

    /// Returns whether a replica is ejected or being probed, so that only probes may be sent to it.
    pub fn is_ejected(&self, replica: &ReplicaId) -> bool {
        self.replicas
            .get(replica)
            .is_some_and(|health| health.state != State::Active)
    }

    /// Returns whether a probe of an ejected replica is due, and if so records that one is sent.
    pub fn take_probe(&mut self, replica: &ReplicaId, now: Timestamp) -> bool {
        let Some(health) = self.replicas.get_mut(replica) else {
            return false;
        };
        let successes = match health.state {
            State::Ejected { until } if until <= now => 0,
            State::Probing {
                next_probe,
                successes,
            } if next_probe <= now => successes,
            _ => return false,
        };
        health.state = State::Probing {
            next_probe: now + PROBE_INTERVAL,
            successes,
        };
        true
    }

    /// Compares a service's replicas and ejects outliers, up to [`MAX_EJECTED_SHARE`].
    ///
    /// `slowness` returns the ratio of a replica's time between tokens to the median. When
    /// all replicas fail alike, none is an outlier: the cause is then elsewhere, and ejecting
    /// replicas would only add to the load of the others.
    pub fn eject_outliers(
        &mut self,
        service: &ServiceName,
        replicas: &[&ReplicaId],
        slowness: impl Fn(&ReplicaId) -> f64,
        now: Timestamp,
    ) {
        if !self.is_evaluation_due(service, now) {
            return;
        }
        let ejected = replicas
            .iter()
            .filter(|replica| self.is_ejected(replica))
            .count();
        let ceiling = (replicas.len() as f64 * MAX_EJECTED_SHARE).ceil() as usize;
        let mut left = ceiling
            .min(replicas.len().saturating_sub(1))
            .saturating_sub(ejected);
        let median_rate = self.median_failure_rate(replicas, now);
        for replica in replicas {
            if left == 0 {
                return;
            }
            let is_slow = slowness(replica) >= OUTLIER_MIN_SLOWNESS;
            if !self.is_ejected(replica) && (is_slow || self.is_failing(replica, median_rate, now))
            {
                let health = self.replicas.entry((*replica).clone()).or_default();
                health.eject(now);
                left -= 1;
            }
        }
    }

    /// Returns whether one answer's time between tokens is that of an outlier.
    pub fn is_slow(step_us: f64, median_step_us: f64) -> bool {
        median_step_us > 0.0 && step_us >= OUTLIER_MIN_SLOWNESS * median_step_us
    }

    /// Drops the outcomes and states of all replicas for which `is_present` returns false.
    pub fn forget(&mut self, is_present: impl Fn(&ReplicaId) -> bool) {
        self.replicas.retain(|replica, _| is_present(replica));
    }

    fn is_evaluation_due(&mut self, service: &ServiceName, now: Timestamp) -> bool {
        match self.evaluated_at.get_mut(service) {
            Some(at) if now.since(*at) < EVALUATION_INTERVAL => false,
            Some(at) => {
                *at = now;
                true
            }
            None => {
                self.evaluated_at.insert(service.clone(), now);
                true
            }
        }
    }

    fn is_failing(&self, replica: &ReplicaId, median_rate: f64, now: Timestamp) -> bool {
        let Some(health) = self.replicas.get(replica) else {
            return false;
        };
        let failures = health.failures.get(OUTCOME_HALF_LIFE, now);
        let rate = health.failure_rate(now);
        failures >= MIN_FAILURES
            && rate >= MIN_FAILURE_RATE
            && rate >= median_rate + MIN_FAILURE_RATE_ABOVE_MEDIAN
    }

    fn median_failure_rate(&self, replicas: &[&ReplicaId], now: Timestamp) -> f64 {
        let mut rates: Vec<f64> = replicas
            .iter()
            .map(|replica| self.replicas.get(*replica))
            .map(|health| health.map_or(0.0, |health| health.failure_rate(now)))
            .collect();
        rates.sort_by(f64::total_cmp);
        rates
            .get((rates.len().max(1) - 1) / 2)
            .copied()
            .unwrap_or(0.0)
    }
}

impl Health {
    fn eject(&mut self, now: Timestamp) {
        let doublings = self.ejections.min(8);
        let length = FIRST_EJECTION.saturating_mul(1 << doublings);
        self.state = State::Ejected {
            until: now + length.min(MAX_EJECTION),
        };
        self.ejections = self.ejections.saturating_add(1);
    }

    fn failure_rate(&self, now: Timestamp) -> f64 {
        let failures = self.failures.get(OUTCOME_HALF_LIFE, now);
        let all = failures + self.successes.get(OUTCOME_HALF_LIFE, now);
        if all > 0.0 { failures / all } else { 0.0 }
    }
}
