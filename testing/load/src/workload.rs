//! What is asked for: rates, teams, lengths, shares.

use cicadabend::{
    ids::IdError,
    prelude::*, //
};
use clap::{
    ValueEnum,
    builder::PossibleValue, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Everything a run of load is drawn from.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Draws the same requests again.
    pub seed: u64,
    /// Requests arriving a second, on average.
    pub arrivals_per_second: f64,
    /// How long requests arrive.
    pub duration_ms: u64,
    /// The most requests of a run.
    pub max_requests: usize,
    /// How long a request may take in all; then it counts as lost.
    pub answer_timeout_ms: u64,
    /// Who asks.
    pub teams: Vec<TeamLoad>,
    /// The model service.
    pub model: ServiceName,
    /// Length of the prompt.
    pub prompt_tokens: Lengths,
    /// Length of the answer.
    pub output_tokens: Lengths,
    /// How many sessions there are.
    pub sessions: u32,
    /// Share of model requests that belong to a session.
    pub session_percent: Percent,
    /// Share of model requests that are streamed.
    pub stream_percent: Percent,
    /// Share of requests that must run at most once.
    pub not_repeatable_percent: Percent,
    /// Share of those whose caller gives up and resends to another entry daemon.
    pub resend_percent: Percent,
    /// How long such a caller waits at most before it gives up.
    pub give_up_ms: u64,
    /// Share of all requests that go to the plain service.
    pub plain_percent: Percent,
    /// The plain service.
    pub plain_service: ServiceName,
    /// The deadline callers state, if any.
    pub deadline_ms: Option<u64>,
}

/// One team.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamLoad {
    /// Its name.
    pub name: TeamName,
    /// Its API key.
    pub api_key: String,
    /// Its part of the requests against the other teams'.
    pub weight: u32,
}

/// Heavy-tailed lengths: a Pareto distribution cut off at a most.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// The least length.
    pub least: u64,
    /// The most.
    pub most: u64,
    /// The exponent; a lower one has a heavier tail.
    pub alpha: f64,
}

/// The deployments of the brief.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Auditorías Textiles Andinas in Quito.
    Auditorias,
    /// Lanterna Softver in Zagreb.
    Lanterna,
}

/// Weights of ten teams, a few of them large.
const TEAM_WEIGHTS: [u32; 10] = [30, 20, 15, 10, 8, 6, 4, 3, 2, 2];

impl ValueEnum for Deployment {
    fn value_variants<'a>() -> &'a [Self] {
        &[Deployment::Auditorias, Deployment::Lanterna]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Deployment::Auditorias => "auditorias",
            Deployment::Lanterna => "lanterna",
        }))
    }
}

impl Deployment {
    /// Returns the model service.
    pub fn model(self) -> &'static str {
        match self {
            Deployment::Auditorias => "drafting-llm",
            Deployment::Lanterna => "checker-llm",
        }
    }

    /// Returns the plain service.
    pub fn plain_service(self) -> &'static str {
        match self {
            Deployment::Auditorias => "field-api",
            Deployment::Lanterna => "clerk-portal",
        }
    }

    /// Returns the failure domains.
    pub fn failure_domains(self) -> [&'static str; 3] {
        match self {
            Deployment::Auditorias => ["cumbaya", "carcelen", "sangolqui"],
            Deployment::Lanterna => ["zg-sesvete", "zg-lucko", "zg-dubrava"],
        }
    }

    /// Returns the load this deployment is measured with.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not valid, which a test rules out.
    pub fn workload(self) -> Result<Workload, IdError> {
        let mut teams = Vec::new();
        for (index, weight) in TEAM_WEIGHTS.into_iter().enumerate() {
            teams.push(TeamLoad {
                name: format!("team-{index}").parse()?,
                api_key: format!("key-of-team-{index}"),
                weight,
            });
        }
        let (prompt_tokens, output_tokens) = match self {
            // Reports are long to write, interviews long to read.
            Deployment::Auditorias => (lengths(40, 2_000, 1.1), lengths(16, 400, 1.3)),
            // Papers are long to read, verdicts short.
            Deployment::Lanterna => (lengths(80, 3_000, 1.1), lengths(8, 200, 1.4)),
        };
        Ok(Workload {
            seed: 1,
            arrivals_per_second: 50.0,
            duration_ms: 10_000,
            max_requests: 100_000,
            answer_timeout_ms: 30_000,
            teams,
            model: self.model().parse()?,
            prompt_tokens,
            output_tokens,
            sessions: 200,
            session_percent: Percent(70),
            stream_percent: Percent(90),
            not_repeatable_percent: Percent(10),
            resend_percent: Percent(20),
            give_up_ms: 200,
            plain_percent: Percent(10),
            plain_service: self.plain_service().parse()?,
            deadline_ms: None,
        })
    }
}

fn lengths(least: u64, most: u64, alpha: f64) -> Lengths {
    Lengths { least, most, alpha }
}
