//! How long answers usually take, learnt from the answers of all upstreams of a service.

use std::{
    collections::HashMap,
    time::Duration, //
};

use hdrhistogram::Histogram;

use crate::prelude::*;

/// How many parts of a millisecond are told apart.
const UNITS_PER_MS: f64 = 10.0;
/// The longest time that is told apart from longer ones, in those parts: an hour.
const LONGEST_UNITS: u64 = 36_000_000;
/// Decimal digits of a time that are kept.
const DIGITS: u8 = 1;
/// From how many answers on something is usual.
const LEAST_ANSWERS: u64 = 20;
/// How many answers, and how long a time, a generation has at least before a new one begins.
const GENERATION_ANSWERS: u64 = 100;
const GENERATION: Duration = Duration::from_secs(5);
/// After how long without an answer all is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(300);
/// Above this part of all answers, those of upstreams that seem slow are what is usual now.
const OUTLIERS_PART: u64 = 3;
/// From how many times the usual on an upstream seems slow.
const OUTLIER_SLOWNESS: f64 = 2.0;

/// Answers that take about as long as each other.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AnswerClass {
    /// Which service gives them.
    pub service: ServiceName,
    /// For which model, if engines run it.
    pub model: Option<ModelName>,
    /// Whether only the time to the first event counts.
    pub is_stream: bool,
}

/// What is usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyBaseline {
    /// What half of the answers take at most, in milliseconds.
    pub typical_ms: f64,
    /// What all but a small part take at most, in milliseconds.
    pub late_ms: f64,
    /// From how many answers.
    pub answers: u64,
    /// How long ago the newest of them came.
    pub age: Duration,
}

/// What is known of one class, in a new and an old generation.
#[derive(Clone, Debug)]
struct Learnt {
    recent: Generation,
    older: Generation,
    began_at: Timestamp,
    newest_at: Timestamp,
}

#[derive(Clone, Debug)]
struct Generation {
    /// Answers of upstreams that are as quick as others.
    sound: Histogram<u32>,
    /// Answers of upstreams that seem slow.
    outliers: Histogram<u32>,
}

impl Generation {
    fn new() -> Option<Self> {
        let empty = Histogram::new_with_bounds(1, LONGEST_UNITS, DIGITS).ok()?;
        Some(Self {
            sound: empty.clone(),
            outliers: empty,
        })
    }

    fn len(&self) -> u64 {
        self.sound.len() + self.outliers.len()
    }
}

impl Learnt {
    fn new(now: Timestamp) -> Option<Self> {
        let empty = Generation::new()?;
        Some(Self {
            recent: empty.clone(),
            older: empty,
            began_at: now,
            newest_at: now,
        })
    }

    fn note(&mut self, took: Duration, is_outlier: bool, now: Timestamp) {
        let has_lasted = now.since(self.began_at) >= GENERATION;
        if has_lasted && self.recent.len() >= GENERATION_ANSWERS {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.sound.reset();
            self.recent.outliers.reset();
            self.began_at = now;
        }
        self.newest_at = now;
        let units = (took.as_secs_f64() * 1_000.0 * UNITS_PER_MS) as u64;
        match is_outlier {
            true => self.recent.outliers.saturating_record(units.max(1)),
            false => self.recent.sound.saturating_record(units.max(1)),
        }
    }

    fn usual(&self, late_quantile: f64, now: Timestamp) -> Option<LatencyBaseline> {
        let generations = [&self.recent, &self.older];
        let outliers: u64 = generations.iter().map(|one| one.outliers.len()).sum();
        let all: u64 = generations.iter().map(|one| one.len()).sum();
        let counts_outliers = outliers * OUTLIERS_PART > all;
        let mut counted = self.recent.sound.clone();
        let more = match counts_outliers {
            true => vec![
                &self.older.sound,
                &self.recent.outliers,
                &self.older.outliers,
            ],
            false => vec![&self.older.sound],
        };
        for histogram in more {
            counted.add(histogram).ok()?;
        }
        if counted.len() < LEAST_ANSWERS {
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

/// What one daemon has learnt of all services.
#[derive(Clone, Debug)]
pub struct LatencyBaselines {
    late_quantile: f64,
    by_class: HashMap<AnswerClass, Learnt>,
}

impl LatencyBaselines {
    /// Starts with nothing learnt; answers above the quantile are late.
    pub fn new(late_quantile: f64) -> Self {
        Self {
            late_quantile,
            by_class: HashMap::new(),
        }
    }

    /// Takes in how long an answer took, or how long it was waited for in vain.
    ///
    /// `slowness` is how much slower than usual its upstream has been lately. What slow upstreams
    /// take is not what is usual, unless it is what many answers take.
    pub fn record_latency(
        &mut self,
        class: &AnswerClass,
        took: Duration,
        slowness: f64,
        now: Timestamp,
    ) {
        if !self.by_class.contains_key(class) {
            let Some(learnt) = Learnt::new(now) else {
                return;
            };
            self.by_class.insert(class.clone(), learnt);
        }
        if let Some(learnt) = self.by_class.get_mut(class) {
            learnt.note(took, slowness > OUTLIER_SLOWNESS, now);
        }
    }

    /// Returns what is usual; `None` for what was hardly seen.
    pub fn baseline_for(&self, class: &AnswerClass, now: Timestamp) -> Option<LatencyBaseline> {
        self.by_class.get(class)?.usual(self.late_quantile, now)
    }

    /// Drops what was not seen for long.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.by_class
            .retain(|_, learnt| now.since(learnt.newest_at) < FORGOTTEN_AFTER);
    }
}
