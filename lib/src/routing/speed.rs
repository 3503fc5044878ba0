//! How fast replicas have been lately, compared with their peers.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::ReplicaId;
use crate::prelude::*;

/// Answers that a replica must have given before its speed is believed.
const MIN_ANSWERS: u32 = 3;
/// Weight of a new answer in the moving averages.
const NEW_ANSWER_WEIGHT: f64 = 0.2;

/// What an answer told about its replica's speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerTiming {
    /// From sending the request to the first token or byte.
    pub first_token: Duration,
    /// From sending the request to the end of the answer.
    pub total: Duration,
    /// Stream positions in the answer; one for a plain service.
    pub output_tokens: TokenCount,
    /// Tokens of the prompt that were not expected to be cached.
    pub uncached_tokens: TokenCount,
    /// Whether the replica was expected to run the request without queueing it.
    pub was_unqueued: bool,
}

impl AnswerTiming {
    /// Returns the time between tokens, or the whole time if there was only one.
    ///
    /// The time to the first token is left out where there is another measure: it
    /// contains queueing, and a replica must not look slow because it is popular.
    pub fn step_us(self) -> f64 {
        if self.output_tokens.0 < 2 {
            return self.total.as_micros() as f64;
        }
        let streaming = self.total.saturating_sub(self.first_token);
        streaming.as_micros() as f64 / (self.output_tokens.0 - 1) as f64
    }
}

/// Moving averages of each replica's and of each service's speed.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSpeeds {
    replicas: HashMap<ReplicaId, ReplicaSpeed>,
    services: HashMap<ServiceName, ServiceSpeed>,
}

#[derive(Clone, Copy, Debug)]
struct ReplicaSpeed {
    step_us: f64,
    answers: u32,
    last_at: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceSpeed {
    total_us: f64,
    prefill_us_per_token: f64,
}

impl ReplicaSpeeds {
    /// Notes an answer.
    pub fn record(
        &mut self,
        service: &ServiceName,
        replica: &ReplicaId,
        timing: AnswerTiming,
        now: Timestamp,
    ) {
        let step_us = timing.step_us();
        let entry = self
            .replicas
            .entry(replica.clone())
            .or_insert(ReplicaSpeed {
                step_us,
                answers: 0,
                last_at: now,
            });
        entry.step_us = moved(entry.step_us, step_us);
        entry.answers = entry.answers.saturating_add(1);
        entry.last_at = now;
        self.record_service(service, timing);
    }

    fn record_service(&mut self, service: &ServiceName, timing: AnswerTiming) {
        let entry = self.services.entry(service.clone()).or_default();
        let total_us = timing.total.as_micros() as f64;
        entry.total_us = moved_from_zero(entry.total_us, total_us);
        if timing.was_unqueued && timing.uncached_tokens.0 > 0 {
            let per_token = timing.first_token.as_micros() as f64 / timing.uncached_tokens.0 as f64;
            entry.prefill_us_per_token = moved_from_zero(entry.prefill_us_per_token, per_token);
        }
    }

    /// Returns how many times slower than the median of its peers a replica is, at least 1.
    ///
    /// Without new answers the measured slowness is forgotten by half each `half_life`,
    /// so that a replica that recovered is found out by a request now and then.
    pub fn slowness(
        &self,
        replica: &ReplicaId,
        median_step_us: f64,
        half_life: Duration,
        now: Timestamp,
    ) -> f64 {
        let Some(speed) = self.believed(replica) else {
            return 1.0;
        };
        if median_step_us <= 0.0 {
            return 1.0;
        }
        let excess = (speed.step_us / median_step_us - 1.0).max(0.0);
        let idle = now.since(speed.last_at).as_secs_f64();
        1.0 + excess * 0.5_f64.powf(idle / half_life.as_secs_f64())
    }

    /// Returns the median time between tokens over replicas, zero if unknown.
    pub fn median_step_us<'a>(&self, replicas: impl Iterator<Item = &'a ReplicaId>) -> f64 {
        let mut steps: Vec<f64> = replicas
            .filter_map(|replica| self.believed(replica))
            .map(|speed| speed.step_us)
            .collect();
        if steps.is_empty() {
            return 0.0;
        }
        steps.sort_by(f64::total_cmp);
        steps[steps.len() / 2]
    }

    /// Returns the mean time that a request of the service occupies a replica.
    pub fn service_time(&self, service: &ServiceName) -> Option<Duration> {
        let speed = self.services.get(service)?;
        Some(Duration::from_micros(speed.total_us as u64))
    }

    /// Returns the time that one token of an uncached prompt takes, zero if unknown.
    pub fn prefill_us_per_token(&self, service: &ServiceName) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |speed| speed.prefill_us_per_token)
    }

    /// Forgets one replica's speed, so that it is measured anew.
    pub fn forget_one(&mut self, replica: &ReplicaId) {
        self.replicas.remove(replica);
    }

    /// Drops what is remembered of replicas that are not kept.
    pub fn forget(&mut self, is_kept: impl Fn(&ReplicaId) -> bool) {
        self.replicas.retain(|replica, _| is_kept(replica));
    }

    fn believed(&self, replica: &ReplicaId) -> Option<&ReplicaSpeed> {
        self.replicas
            .get(replica)
            .filter(|speed| speed.answers >= MIN_ANSWERS)
    }
}

fn moved(old: f64, new: f64) -> f64 {
    old + NEW_ANSWER_WEIGHT * (new - old)
}

fn moved_from_zero(old: f64, new: f64) -> f64 {
    if old == 0.0 { new } else { moved(old, new) }
}
