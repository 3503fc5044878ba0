//! Baselines of how long answers take, learnt from the answers of all upstreams of a service.

use std::{
    collections::HashMap,
    time::Duration, //
};

use hdrhistogram::Histogram;

use crate::prelude::*;

/// Resolution of the histograms, in units per millisecond.
const UNITS_PER_MS: f64 = 10.0;
/// The longest time that the histograms can hold, in units: one hour.
const MAX_UNITS: u64 = 36_000_000;
/// Significant decimal digits of a time in the histograms.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Minimum number of answers from which a baseline is derived.
const MIN_ANSWERS: u64 = 20;
/// Minimum number of answers in a generation before a new one begins.
const MIN_GENERATION_ANSWERS: u64 = 100;
/// Minimum length of a generation before a new one begins.
const MIN_GENERATION_AGE: Duration = Duration::from_secs(5);
/// A class without an answer for this long is dropped.
const CLASS_RETENTION: Duration = Duration::from_secs(300);
/// If more than one answer in this many comes from a slow upstream, answers of slow upstreams count
/// for the baseline as well.
const OUTLIER_DIVISOR: u64 = 3;
/// An upstream is slow if its answers take more than this many times as long as expected.
const OUTLIER_SLOWNESS: f64 = 2.0;

/// A class of answers that take about equally long.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AnswerClass {
    /// The service that gives the answers.
    pub service: ServiceName,
    /// The model, if the upstreams are engines.
    pub model: Option<ModelName>,
    /// Whether the answers are streams, of which only the time to the first event counts.
    pub is_stream: bool,
}

/// How long the answers of one class usually take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyBaseline {
    /// Median time in milliseconds.
    pub typical_ms: f64,
    /// Time in milliseconds at the configured late quantile.
    pub late_ms: f64,
    /// Number of answers from which the baseline is derived.
    pub answers: u64,
    /// Age of the newest of these answers.
    pub age: Duration,
}

/// The answer times of one class, in a recent and an older generation.
#[derive(Clone, Debug)]
struct ClassHistory {
    recent: Generation,
    older: Generation,
    began_at: Timestamp,
    newest_at: Timestamp,
}

/// Answer times of one period, in histogram units.
#[derive(Clone, Debug)]
struct Generation {
    /// Answer times of upstreams that are not slow.
    regular: Histogram<u32>,
    /// Answer times of slow upstreams.
    outliers: Histogram<u32>,
}

impl Generation {
    fn new() -> Option<Self> {
        let empty = Histogram::new_with_bounds(1, MAX_UNITS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self {
            regular: empty.clone(),
            outliers: empty,
        })
    }

    fn len(&self) -> u64 {
        self.regular.len() + self.outliers.len()
    }
}

impl ClassHistory {
    fn new(now: Timestamp) -> Option<Self> {
        let empty = Generation::new()?;
        Some(Self {
            recent: empty.clone(),
            older: empty,
            began_at: now,
            newest_at: now,
        })
    }

    fn record(&mut self, took: Duration, is_outlier: bool, now: Timestamp) {
        let is_old_enough = now.since(self.began_at) >= MIN_GENERATION_AGE;
        if is_old_enough && self.recent.len() >= MIN_GENERATION_ANSWERS {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.regular.reset();
            self.recent.outliers.reset();
            self.began_at = now;
        }
        self.newest_at = now;
        let units = (took.as_secs_f64() * 1_000.0 * UNITS_PER_MS) as u64;
        match is_outlier {
            true => self.recent.outliers.saturating_record(units.max(1)),
            false => self.recent.regular.saturating_record(units.max(1)),
        }
    }

    fn baseline(&self, late_quantile: f64, now: Timestamp) -> Option<LatencyBaseline> {
        let generations = [&self.recent, &self.older];
        let outliers: u64 = generations.iter().map(|one| one.outliers.len()).sum();
        let all: u64 = generations.iter().map(|one| one.len()).sum();
        let counts_outliers = outliers * OUTLIER_DIVISOR > all;
        let mut counted = self.recent.regular.clone();
        let more = match counts_outliers {
            true => vec![
                &self.older.regular,
                &self.recent.outliers,
                &self.older.outliers,
            ],
            false => vec![&self.older.regular],
        };
        for histogram in more {
            counted.add(histogram).ok()?;
        }
        if counted.len() < MIN_ANSWERS {
            return None;
        }
        let ms = |quantile: f64| counted.value_at_quantile(quantile) as f64 / UNITS_PER_MS;
        Some(LatencyBaseline {
            typical_ms: ms(0.5),
            late_ms: ms(late_quantile),
            answers: counted.len(),
            age: now.since(self.newest_at),
        })
    }
}

/// The baselines of all answer classes, as learnt by one daemon.
#[derive(Clone, Debug)]
pub struct LatencyBaselines {
    late_quantile: f64,
    by_class: HashMap<AnswerClass, ClassHistory>,
}

impl LatencyBaselines {
    /// Returns an instance without any answers; `late_quantile`, from 0 to 1, is the quantile above
    /// which an answer is late.
    pub fn new(late_quantile: f64) -> Self {
        Self {
            late_quantile,
            by_class: HashMap::new(),
        }
    }

    /// Records how long an answer took, or how long a request waited for one in vain.
    ///
    /// `slowness` is the recent ratio of the upstream's times to the expected ones. Answers of slow
    /// upstreams do not count for the baseline unless they are a large share of all answers.
    pub fn record_latency(
        &mut self,
        class: &AnswerClass,
        took: Duration,
        slowness: f64,
        now: Timestamp,
    ) {
        if !self.by_class.contains_key(class) {
            let Some(history) = ClassHistory::new(now) else {
                return;
            };
            self.by_class.insert(class.clone(), history);
        }
        if let Some(history) = self.by_class.get_mut(class) {
            history.record(took, slowness > OUTLIER_SLOWNESS, now);
        }
    }

    /// Returns the baseline of a class, or `None` if there are too few answers.
    pub fn baseline_for(&self, class: &AnswerClass, now: Timestamp) -> Option<LatencyBaseline> {
        self.by_class.get(class)?.baseline(self.late_quantile, now)
    }

    /// Drops classes without recent answers.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.by_class
            .retain(|_, history| now.since(history.newest_at) < CLASS_RETENTION);
    }
}
