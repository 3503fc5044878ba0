//! Takes replicas out that fail or lag far more than their peers, and brings them back.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::ReplicaId;
use crate::prelude::*;

/// How long it takes to forget half of the recent successes and failures.
const MEMORY_HALF_LIFE: Duration = Duration::from_secs(10);
/// How long it takes to forget half of the load that failures are counted as.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(2);
/// Recent failures below which nothing is concluded.
const MIN_FAILURES: f64 = 4.5;
/// The share of failures from which a replica is an outlier.
const FAILURE_RATE: f64 = 0.5;
/// How far above the median of its peers that share must be.
const FAILURE_RATE_ABOVE_PEERS: f64 = 0.3;
/// How many times slower than the median a replica must be to be an outlier.
const SLOWNESS: f64 = 3.0;
/// The largest share of a service's replicas that may be ejected at once.
const MOST_EJECTED: f64 = 0.3;
/// How long a replica is out the first time; doubled for each time after that.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// The longest that a replica is out before it is probed.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);
/// How long a probe may take before another one is sent.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// How many probes in a row must succeed.
const PROBES_TO_RETURN: u32 = 3;
/// How often a service's replicas are compared.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Which replicas are out, and what is remembered of all.
#[derive(Clone, Debug, Default)]
pub(super) struct Ejections {
    replicas: HashMap<ReplicaId, Health>,
    judged_at: HashMap<ServiceName, Timestamp>,
}

#[derive(Clone, Debug, Default)]
struct Health {
    successes: Decaying,
    failures: Decaying,
    penalty: Decaying,
    state: State,
    ejections: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    In,
    Out {
        until: Timestamp,
    },
    Probing {
        next_probe: Timestamp,
        successes: u32,
    },
}

/// A count that is forgotten by halves.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    value: f64,
    at: Timestamp,
}

impl Decaying {
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
    /// Notes an answer; returns whether it ended a replica's time out.
    pub fn record_success(&mut self, replica: &ReplicaId, is_slow: bool, now: Timestamp) -> bool {
        let health = self.replicas.entry(replica.clone()).or_default();
        health.successes.add_one(MEMORY_HALF_LIFE, now);
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
        if successes < PROBES_TO_RETURN {
            health.state = State::Probing {
                next_probe: next_probe.min(now),
                successes,
            };
            return false;
        }
        health.state = State::In;
        health.failures = Decaying::default();
        true
    }

    /// Notes a failure that the replica caused.
    pub fn record_failure(&mut self, replica: &ReplicaId, now: Timestamp) {
        let health = self.replicas.entry(replica.clone()).or_default();
        health.failures.add_one(MEMORY_HALF_LIFE, now);
        health.penalty.add_one(PENALTY_HALF_LIFE, now);
        if matches!(health.state, State::Probing { .. }) {
            health.eject(now);
        }
    }

    /// Returns how many requests a replica's recent failures are counted as.
    ///
    /// A replica that fails at once has nothing outstanding and would look like the
    /// best choice for everything until it is ejected.
    pub fn penalty(&self, replica: &ReplicaId, now: Timestamp) -> f64 {
        self.replicas
            .get(replica)
            .map_or(0.0, |health| health.penalty.get(PENALTY_HALF_LIFE, now))
    }

    /// Returns whether a replica takes no ordinary requests.
    pub fn is_out(&self, replica: &ReplicaId) -> bool {
        self.replicas
            .get(replica)
            .is_some_and(|health| health.state != State::In)
    }

    /// Returns whether it is time to find out about a replica that is out; notes that it is done.
    pub fn take_probe(&mut self, replica: &ReplicaId, now: Timestamp) -> bool {
        let Some(health) = self.replicas.get_mut(replica) else {
            return false;
        };
        let successes = match health.state {
            State::Out { until } if until <= now => 0,
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

    /// Compares a service's replicas and ejects outliers, as many as the ceiling allows.
    ///
    /// When all fail alike none is an outlier: the cause is then elsewhere, and taking
    /// replicas out would only load the others.
    pub fn judge(
        &mut self,
        service: &ServiceName,
        replicas: &[&ReplicaId],
        slowness: impl Fn(&ReplicaId) -> f64,
        now: Timestamp,
    ) {
        if !self.is_due(service, now) {
            return;
        }
        let out = replicas
            .iter()
            .filter(|replica| self.is_out(replica))
            .count();
        let ceiling = (replicas.len() as f64 * MOST_EJECTED).ceil() as usize;
        let mut left = ceiling
            .min(replicas.len().saturating_sub(1))
            .saturating_sub(out);
        let usual_rate = self.median_failure_rate(replicas, now);
        for replica in replicas {
            if left == 0 {
                return;
            }
            let is_slow = slowness(replica) >= SLOWNESS;
            if !self.is_out(replica) && (is_slow || self.is_failing(replica, usual_rate, now)) {
                let health = self.replicas.entry((*replica).clone()).or_default();
                health.eject(now);
                left -= 1;
            }
        }
    }

    /// Returns whether one answer was so slow that its replica is still an outlier.
    pub fn is_slow(step_us: f64, median_step_us: f64) -> bool {
        median_step_us > 0.0 && step_us >= SLOWNESS * median_step_us
    }

    /// Drops what is remembered of replicas that are not kept.
    pub fn forget(&mut self, is_kept: impl Fn(&ReplicaId) -> bool) {
        self.replicas.retain(|replica, _| is_kept(replica));
    }

    fn is_due(&mut self, service: &ServiceName, now: Timestamp) -> bool {
        match self.judged_at.get_mut(service) {
            Some(at) if now.since(*at) < JUDGE_INTERVAL => false,
            Some(at) => {
                *at = now;
                true
            }
            None => {
                self.judged_at.insert(service.clone(), now);
                true
            }
        }
    }

    fn is_failing(&self, replica: &ReplicaId, usual_rate: f64, now: Timestamp) -> bool {
        let Some(health) = self.replicas.get(replica) else {
            return false;
        };
        let failures = health.failures.get(MEMORY_HALF_LIFE, now);
        let rate = health.failure_rate(now);
        failures >= MIN_FAILURES
            && rate >= FAILURE_RATE
            && rate >= usual_rate + FAILURE_RATE_ABOVE_PEERS
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
        self.state = State::Out {
            until: now + length.min(LONGEST_EJECTION),
        };
        self.ejections = self.ejections.saturating_add(1);
    }

    fn failure_rate(&self, now: Timestamp) -> f64 {
        let failures = self.failures.get(MEMORY_HALF_LIFE, now);
        let all = failures + self.successes.get(MEMORY_HALF_LIFE, now);
        if all > 0.0 { failures / all } else { 0.0 }
    }
}
