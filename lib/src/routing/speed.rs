//! Recent speed of replicas, compared with other replicas of the service.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::ReplicaId;
use crate::prelude::*;

/// Number of answers from a replica below which its speed is not used.
const MIN_ANSWERS: u32 = 3;
/// Weight of a new answer in the moving averages.
const NEW_ANSWER_WEIGHT: f64 = 0.2;

/// Times and token counts of one complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerTiming {
    /// Time from sending the request to the first token, or first byte of a plain service.
    pub first_token: Duration,
    /// Time from sending the request to the end of the answer.
    pub total: Duration,
    /// Number of stream positions in the answer; one for a plain service.
    pub output_tokens: TokenCount,
    /// Number of the prompt's tokens that were not expected to be cached.
    pub uncached_tokens: TokenCount,
    /// Whether the replica was expected to run the request without queueing it.
    pub was_unqueued: bool,
}

impl AnswerTiming {
    /// Returns the mean time between tokens in microseconds, or the total time for fewer than two
    /// tokens.
    ///
    /// With two tokens or more, the time to the first token is left out: it includes queueing,
    /// and a replica must not count as slow because many requests are sent to it.
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
    mean_total_us: f64,
    prefill_us_per_token: f64,
}

impl ReplicaSpeeds {
    /// Records the times of one complete answer.
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
        entry.step_us = moving_average(entry.step_us, step_us);
        entry.answers = entry.answers.saturating_add(1);
        entry.last_at = now;
        self.record_service_times(service, timing);
    }

    fn record_service_times(&mut self, service: &ServiceName, timing: AnswerTiming) {
        let entry = self.services.entry(service.clone()).or_default();
        let total_us = timing.total.as_micros() as f64;
        entry.mean_total_us = moving_average_or_first(entry.mean_total_us, total_us);
        if timing.was_unqueued && timing.uncached_tokens.0 > 0 {
            let per_token = timing.first_token.as_micros() as f64 / timing.uncached_tokens.0 as f64;
            entry.prefill_us_per_token =
                moving_average_or_first(entry.prefill_us_per_token, per_token);
        }
    }

    /// Returns the ratio of a replica's time between tokens to the median, at least 1.
    ///
    /// Without new answers, the excess above 1 halves in each `half_life`, so that a replica
    /// that was slow gets a request now and then, which shows whether it has recovered.
    pub fn slowness(
        &self,
        replica: &ReplicaId,
        median_step_us: f64,
        half_life: Duration,
        now: Timestamp,
    ) -> f64 {
        let Some(speed) = self.measured_speed(replica) else {
            return 1.0;
        };
        if median_step_us <= 0.0 {
            return 1.0;
        }
        let excess = (speed.step_us / median_step_us - 1.0).max(0.0);
        let idle = now.since(speed.last_at).as_secs_f64();
        1.0 + excess * 0.5_f64.powf(idle / half_life.as_secs_f64())
    }

    /// Returns the median of the replicas' times between tokens, zero if none is measured.
    pub fn median_step_us<'a>(&self, replicas: impl Iterator<Item = &'a ReplicaId>) -> f64 {
        let mut steps: Vec<f64> = replicas
            .filter_map(|replica| self.measured_speed(replica))
            .map(|speed| speed.step_us)
            .collect();
        if steps.is_empty() {
            return 0.0;
        }
        steps.sort_by(f64::total_cmp);
        steps[steps.len() / 2]
    }

    /// Returns the moving average of the time from sending a request to the end of its answer, or
    /// `None` before any answer.
    pub fn service_time(&self, service: &ServiceName) -> Option<Duration> {
        let speed = self.services.get(service)?;
        Some(Duration::from_micros(speed.mean_total_us as u64))
    }

    /// Returns the prefill time per prompt token that is not cached, zero if none is measured.
    pub fn prefill_us_per_token(&self, service: &ServiceName) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |speed| speed.prefill_us_per_token)
    }

    /// Drops one replica's speed, so that the replica is measured anew after its readmission.
    pub fn reset_replica(&mut self, replica: &ReplicaId) {
        self.replicas.remove(replica);
    }

    /// Drops the speeds of replicas for which `is_present` returns false.
    pub fn forget(&mut self, is_present: impl Fn(&ReplicaId) -> bool) {
        self.replicas.retain(|replica, _| is_present(replica));
    }

    /// Returns a replica's speed, or `None` below [`MIN_ANSWERS`] answers.
    fn measured_speed(&self, replica: &ReplicaId) -> Option<&ReplicaSpeed> {
        self.replicas
            .get(replica)
            .filter(|speed| speed.answers >= MIN_ANSWERS)
    }
}

fn moving_average(old: f64, new: f64) -> f64 {
    old + NEW_ANSWER_WEIGHT * (new - old)
}

/// Like [`moving_average`], but starts from the first sample instead of zero.
fn moving_average_or_first(old: f64, new: f64) -> f64 {
    if old == 0.0 {
        new
    } else {
        moving_average(old, new)
    }
}
