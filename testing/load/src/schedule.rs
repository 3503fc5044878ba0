//! The workload drawn out into single requests, from a seed.

use std::time::Duration;

use fake_engine::text::prompt_check;
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::workload::{
    Lengths,
    Workload, //
};

/// One request as its caller means it, whatever becomes of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Its id; attempts add their number to it.
    pub id: String,
    /// When it arrives, after the start of the run.
    pub at: Duration,
    /// The index of its team.
    pub team: usize,
    /// What it asks for.
    pub kind: Kind,
    /// Its idempotency key, if it must run at most once.
    pub idempotency_key: Option<String>,
    /// After what time its caller gives up the first attempt and resends.
    pub give_up_after: Option<Duration>,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A completion.
    Model(ModelAsk),
    /// A receipt from the plain service.
    Plain {
        /// The bytes of the body.
        body_bytes: usize,
    },
}

/// A completion.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelAsk {
    /// The prompt.
    pub prompt: String,
    /// The check that each token of the right answer carries.
    pub prompt_check: u32,
    /// How many tokens the whole answer has.
    pub output_tokens: u64,
    /// Its session.
    pub session: Option<String>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Planned {
    /// Returns the id of an attempt, counted from zero.
    pub fn attempt_id(&self, attempt: u32) -> String {
        format!("{}.a{attempt}", self.id)
    }

    /// Returns whether an id is that of one of the request's attempts.
    pub fn owns_attempt(&self, attempt_id: &str) -> bool {
        let rest = attempt_id.strip_prefix(self.id.as_str());
        rest.is_some_and(|rest| rest.starts_with(".a"))
    }
}

/// Draws all requests of a workload; equal workloads give equal requests.
///
/// `run` keeps the ids of several runs against one deployment apart.
pub fn draw(workload: &Workload, run: &str) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(workload.seed);
    let end = Duration::from_millis(workload.duration_ms);
    let mut at = Duration::ZERO;
    let mut planned = Vec::new();
    while planned.len() < workload.max_requests {
        at += exponential(&mut random, workload.arrivals_per_second);
        if at >= end {
            break;
        }
        let id = format!("{run}-{}", planned.len());
        planned.push(draw_one(workload, &mut random, id, at));
    }
    planned
}

fn draw_one(workload: &Workload, random: &mut SmallRng, id: String, at: Duration) -> Planned {
    let team = draw_team(workload, random);
    let kind = if chance(random, workload.plain_percent.0) {
        Kind::Plain {
            body_bytes: random.random_range(100..4_000),
        }
    } else {
        Kind::Model(draw_model_ask(workload, random, &id))
    };
    let once = chance(random, workload.not_repeatable_percent.0);
    let resends = once && chance(random, workload.resend_percent.0);
    let give_up_ms = random.random_range(0..=workload.give_up_ms);
    Planned {
        idempotency_key: once.then(|| format!("key-{id}")),
        give_up_after: resends.then(|| Duration::from_millis(give_up_ms)),
        id,
        at,
        team,
        kind,
    }
}

fn draw_team(workload: &Workload, random: &mut SmallRng) -> usize {
    let total: u32 = workload.teams.iter().map(|team| team.weight).sum();
    let mut left = random.random_range(0..total.max(1));
    for (index, team) in workload.teams.iter().enumerate() {
        if left < team.weight {
            return index;
        }
        left -= team.weight;
    }
    0
}

fn draw_model_ask(workload: &Workload, random: &mut SmallRng, id: &str) -> ModelAsk {
    let tokens = pareto(random, workload.prompt_tokens);
    let in_session = chance(random, workload.session_percent.0);
    let session = in_session.then(|| random.random_range(0..workload.sessions.max(1)));
    // Sessions of another run would find warm caches, and the later of two runs
    // that are compared would win by that alone.
    let run = id.rsplit_once('-').map_or(id, |(run, _)| run);
    let session = session.map(|number| format!("{run}-session-{number}"));
    // The id makes each prompt differ, so that an answer to another one shows.
    let mut prompt = format!("{id} ");
    for _ in 1..tokens {
        prompt.push_str("word ");
    }
    ModelAsk {
        prompt_check: prompt_check(&prompt),
        prompt,
        output_tokens: pareto(random, workload.output_tokens),
        session,
        stream: chance(random, workload.stream_percent.0),
    }
}

fn chance(random: &mut SmallRng, percent: u8) -> bool {
    random.random_range(0..100) < percent
}

fn exponential(random: &mut SmallRng, per_second: f64) -> Duration {
    let uniform: f64 = 1.0 - random.random::<f64>();
    Duration::from_secs_f64(-uniform.ln() / per_second.max(0.001))
}

fn pareto(random: &mut SmallRng, lengths: Lengths) -> u64 {
    let uniform: f64 = 1.0 - random.random::<f64>();
    let length = lengths.least as f64 / uniform.powf(1.0 / lengths.alpha);
    (length as u64).clamp(lengths.least.max(1), lengths.most.max(1))
}
