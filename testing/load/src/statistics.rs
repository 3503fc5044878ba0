//! Latencies and rates of a run.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use hdrhistogram::Histogram;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    drive::Record,
    exchange::AttemptEnd,
    schedule::Kind,
    workload::Workload, //
};

/// The longest latency that is told apart, in microseconds.
const MOST_US: u64 = 600_000_000;
/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// Points of a distribution, in microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Distribution {
    /// How many values.
    pub count: u64,
    /// The mean.
    pub mean_us: f64,
    /// Half are at most this.
    pub p50_us: u64,
    /// Nine in ten.
    pub p90_us: u64,
    /// 99 in 100.
    pub p99_us: u64,
    /// 999 in 1000.
    pub p999_us: u64,
    /// All.
    pub max_us: u64,
}

/// What one run gave.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Statistics {
    /// From the first intended arrival to the last end.
    pub elapsed_s: f64,
    /// Requests answered whole and right, a second.
    pub goodput_per_second: f64,
    /// Tokens that callers received, a second.
    pub tokens_per_second: f64,
    /// From the intended arrival to the first token of a streamed answer.
    pub first_token: Distribution,
    /// Between two tokens of one answer.
    pub between_tokens: Distribution,
    /// From the intended arrival to the end of any right answer.
    pub whole_answer: Distribution,
    /// From the intended arrival to the receipt of a plain service.
    pub receipt: Distribution,
    /// How late the tool sent requests; large values make a run worthless.
    pub lateness: Distribution,
    /// Time to first token by team.
    pub first_token_by_team: BTreeMap<String, Distribution>,
}

/// Values gathered for one distribution.
struct Gathered {
    histogram: Option<Histogram<u64>>,
}

impl Gathered {
    fn new() -> Self {
        Self {
            histogram: Histogram::new_with_max(MOST_US, DIGITS).ok(),
        }
    }

    fn add(&mut self, value: Duration) {
        let value_us = u64::try_from(value.as_micros()).unwrap_or(MOST_US);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(value_us.clamp(1, MOST_US));
        }
    }

    fn distribution(&self) -> Distribution {
        let Some(histogram) = &self.histogram else {
            return Distribution::default();
        };
        Distribution {
            count: histogram.len(),
            mean_us: histogram.mean(),
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Works out the statistics of a run.
pub fn of(workload: &Workload, records: &[Record]) -> Statistics {
    let mut first_token = Gathered::new();
    let mut between_tokens = Gathered::new();
    let mut whole_answer = Gathered::new();
    let mut receipt = Gathered::new();
    let mut lateness = Gathered::new();
    let mut by_team: BTreeMap<String, Gathered> = BTreeMap::new();
    let mut end = Duration::ZERO;
    let mut answered = 0_u32;
    let mut tokens = 0;
    for record in records {
        lateness.add(record.lateness);
        tokens += record.tokens;
        if !is_answered(record) {
            continue;
        }
        answered += 1;
        for gap in &record.gaps {
            between_tokens.add(*gap);
        }
        if let Some(whole) = record.whole {
            end = end.max(record.planned.at + whole);
            match record.planned.kind {
                Kind::Model(_) => whole_answer.add(whole),
                Kind::Plain { .. } => receipt.add(whole),
            }
        }
        if let (true, Some(first)) = (is_streamed(record), record.first_byte) {
            first_token.add(first);
            if let Some(team) = workload.teams.get(record.planned.team) {
                let team = by_team.entry(team.name.to_string());
                team.or_insert_with(Gathered::new).add(first);
            }
        }
    }
    let elapsed_s = end.as_secs_f64().max(0.001);
    let by_team = by_team.iter();
    Statistics {
        elapsed_s,
        goodput_per_second: f64::from(answered) / elapsed_s,
        tokens_per_second: tokens as f64 / elapsed_s,
        first_token: first_token.distribution(),
        between_tokens: between_tokens.distribution(),
        whole_answer: whole_answer.distribution(),
        receipt: receipt.distribution(),
        lateness: lateness.distribution(),
        first_token_by_team: by_team
            .map(|(team, gathered)| (team.clone(), gathered.distribution()))
            .collect(),
    }
}

fn is_answered(record: &Record) -> bool {
    let last = record.attempts.last();
    last.is_some_and(|last| matches!(last.end, AttemptEnd::Answered { fault: None }))
}

fn is_streamed(record: &Record) -> bool {
    match &record.planned.kind {
        Kind::Model(ask) => ask.stream,
        Kind::Plain { .. } => false,
    }
}
