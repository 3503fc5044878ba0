//! The shapes of both deployments under load, and their accounts.
//!
//! Model requests and receipts of ten teams, some of which must run at most once,
//! with callers that give up and resend to another entry daemon.

use cicadabend::fleet::RoutingPolicy;
use clap::ValueEnum;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    BenchError,
    cluster::{
        Cluster,
        ClusterError,
        Shape, //
    },
    progress,
    report::{
        Report,
        Table, //
    },
};
use crate::{
    commands::run::{
        self,
        RunResult, //
    },
    drive::Targets,
    exchange::Route,
    workload::Deployment,
};

/// Requests a second.
const ARRIVALS_PER_SECOND: f64 = 150.0;
/// How long requests arrive.
const RUN_MS: u64 = 12_000;

/// What one deployment's shape gave.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Measured {
    /// The deployment.
    pub deployment: String,
    /// Its run.
    pub result: RunResult,
}

/// Measures the part.
///
/// # Errors
///
/// Returns an error if a cluster cannot be measured.
pub fn measure() -> Result<Report, BenchError> {
    let mut measured = Vec::new();
    for deployment in Deployment::value_variants() {
        progress(&format!("mixed: the shape of {deployment:?}"));
        measured.push(measure_one(*deployment)?);
    }
    Ok(report(&measured))
}

fn measure_one(deployment: Deployment) -> Result<Measured, BenchError> {
    let shape = Shape {
        deployment,
        entries_per_domain: 3,
        engines_per_domain: 17,
        vms_per_group: 2,
        slots: 8,
        ..Shape::default()
    };
    let cluster = Cluster::start(shape, RoutingPolicy::LeastOutstanding)?;
    let mut workload = deployment.workload().map_err(ClusterError::Name)?;
    workload.arrivals_per_second = ARRIVALS_PER_SECOND;
    workload.duration_ms = RUN_MS;
    let targets = Targets {
        addresses: cluster.entries(),
        route: Route::ThroughEntry,
    };
    let upstreams = cluster.upstreams();
    let result = run::send(&workload, &run::fresh_run_id(), &targets, &upstreams);
    let result = result.map_err(|error| BenchError::Unusable(error.to_string()))?;
    cluster.stop();
    Ok(Measured {
        deployment: format!("{deployment:?}"),
        result,
    })
}

fn report(measured: &[Measured]) -> Report {
    let mut accounts = Table::new(
        "Accounts",
        &[
            "shape",
            "requests",
            "answered",
            "at most once",
            "resent",
            "refused by code",
            "broken and told",
            "runs started",
            "violations",
        ],
    );
    let mut latencies = Table::new(
        "Latencies from the intended arrival",
        &[
            "shape",
            "first token p50 ms",
            "p99 ms",
            "receipt p50 ms",
            "p99 ms",
            "sent late p99 ms",
        ],
    );
    for one in measured {
        let account = &one.result.account;
        accounts.rows.push(vec![
            one.deployment.clone(),
            account.requests.to_string(),
            account.answered.to_string(),
            account.not_repeatable.to_string(),
            account.resent.to_string(),
            format!("{:?}", account.refused_by_code),
            account.broken_and_told.to_string(),
            account.runs_started.to_string(),
            format!("{:?}", account.violations),
        ]);
        let statistics = &one.result.statistics;
        let ms = |us: u64| format!("{:.1}", us as f64 / 1_000.0);
        latencies.rows.push(vec![
            one.deployment.clone(),
            ms(statistics.first_token.p50_us),
            ms(statistics.first_token.p99_us),
            ms(statistics.receipt.p50_us),
            ms(statistics.receipt.p99_us),
            ms(statistics.lateness.p99_us),
        ]);
    }
    let listed = measured.iter().flat_map(|one| &one.result.account.listed);
    Report {
        part: "mixed",
        about: format!(
            "Three failure domains, 9 entry daemons, 3 control daemons, 51 engines in groups of \
             two (one spare in each domain), 3 plain services, 10 teams; \
             {ARRIVALS_PER_SECOND} requests a second for {RUN_MS} ms."
        ),
        violations: listed.map(|violation| format!("{violation:?}")).collect(),
        json: serde_json::json!({ "measured": measured }),
        tables: vec![accounts, latencies],
        plots: Vec::new(),
    }
}
