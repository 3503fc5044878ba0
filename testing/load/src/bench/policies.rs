//! Routing policies side by side: several loads and report lags, one straggler.

use std::collections::BTreeMap;

use cicadabend::{
    fleet::{
        FleetConfig,
        RoutingPolicy,
        Service, //
    },
    prelude::*,
};
use fake_engine::fault::Faults;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    BenchError, block_on,
    cluster::{
        Cluster,
        ClusterError,
        Shape, //
    },
    plot::{
        Line,
        Plot, //
    },
    progress,
    report::{
        Report,
        Table, //
    },
};
use crate::{
    commands::run,
    drive::Targets,
    exchange::Route,
    http_client::HttpClient,
    schedule::{
        self,
        Kind, //
    },
    statistics::Statistics,
    workload::{
        Lengths,
        Workload, //
    },
};

/// The policies; the first is the baseline.
const POLICIES: [RoutingPolicy; 5] = [
    RoutingPolicy::RoundRobin,
    RoutingPolicy::LeastOutstanding,
    RoutingPolicy::PowerOfTwoChoices,
    RoutingPolicy::PrefixAffinity,
    RoutingPolicy::ExpectedLatency,
];
/// Loads in percent of the capacity (the straggler's loss included), with the age of
/// load reports.
const SETTINGS: [(u32, u64); 3] = [(50, 500), (80, 0), (80, 500)];
/// How much longer everything takes on the straggler.
const STRAGGLER_PERCENT: u64 = 300;
/// The age of load reports that is plotted.
const PLOTTED_LAG_MS: u64 = 500;
/// How long requests arrive in each run.
const RUN_MS: u64 = 3_500;

/// One run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Point {
    /// The policy.
    pub policy: RoutingPolicy,
    /// The load.
    pub load_percent: u32,
    /// The age of load reports.
    pub lag_ms: u64,
    /// Latencies and rates.
    pub statistics: Statistics,
    /// Requests refused or failed.
    pub unanswered: usize,
    /// Final refusals by code.
    pub refused_by_code: BTreeMap<String, usize>,
    /// Share of prompt tokens found in a prefix cache.
    pub cached_percent: f64,
    /// Violations of the account.
    pub violations: Vec<String>,
}

/// Measures the part.
///
/// # Errors
///
/// Returns an error if the cluster cannot be measured.
pub fn measure() -> Result<Report, BenchError> {
    progress("policies: starting 3 domains with 6 engines each");
    let mut cluster = Cluster::start(shape(), POLICIES[0])?;
    let mut points = Vec::new();
    for (load_percent, lag_ms) in SETTINGS {
        block_on(set_faults(&cluster, lag_ms))??;
        for policy in POLICIES {
            let what = format!("{policy:?}, load {load_percent} %, lag {lag_ms} ms");
            progress(&format!("policies: {what}"));
            points.push(run_once(&mut cluster, policy, load_percent, lag_ms)?);
        }
    }
    cluster.stop();
    Ok(report(&points))
}

fn shape() -> Shape {
    Shape {
        entries_per_domain: 1,
        engines_per_domain: 6,
        slots: 4,
        token_interval_us: 4_000,
        prefill_us_per_token: 100,
        batch_slowdown_percent: 5,
        ..Shape::default()
    }
}

fn workload(cluster: &Cluster, load_percent: u32) -> Result<Workload, BenchError> {
    let base = cluster.shape().deployment.workload();
    let base = base.map_err(ClusterError::Name)?;
    let lengths = |least, most| Lengths {
        least,
        most,
        alpha: 1.3,
    };
    let mut workload = Workload {
        duration_ms: RUN_MS,
        prompt_tokens: lengths(50, 600),
        output_tokens: lengths(10, 150),
        sessions: 60,
        stream_percent: Percent(100),
        plain_percent: Percent(0),
        // Claims cost time of their own, which is not the policies' doing.
        not_repeatable_percent: Percent(0),
        resend_percent: Percent(0),
        ..base
    };
    workload.arrivals_per_second =
        capacity_per_second(cluster.shape(), &workload) * f64::from(load_percent) / 100.0;
    Ok(workload)
}

/// Returns how many requests a second the engines can serve, one of them a straggler.
///
/// Worked out from the requests that the workload draws: prefill without any cache
/// and the token interval of a full batch.
fn capacity_per_second(shape: &Shape, workload: &Workload) -> f64 {
    let sample = Workload {
        arrivals_per_second: 1_000.0,
        duration_ms: 5_000,
        ..workload.clone()
    };
    let others = u64::from(shape.slots.saturating_sub(1));
    let interval_us = shape.token_interval_us * (100 + others * shape.batch_slowdown_percent) / 100;
    let mut total_us = 0;
    let mut count = 0_u64;
    for planned in schedule::draw(&sample, "sample") {
        if let Kind::Model(ask) = planned.kind {
            let prompt = fake_engine::text::prompt_tokens(&ask.prompt);
            total_us += prompt * shape.prefill_us_per_token;
            total_us += ask.output_tokens.saturating_sub(1) * interval_us;
            count += 1;
        }
    }
    let mean_s = total_us as f64 / count.max(1) as f64 / 1e6;
    let engines = (shape.domains * shape.engines_per_domain) as f64;
    let engines = engines - 1.0 + 100.0 / STRAGGLER_PERCENT as f64;
    engines * f64::from(shape.slots) / mean_s.max(1e-6)
}

/// Makes the first engine a straggler and sets the lag of all reports.
async fn set_faults(cluster: &Cluster, lag_ms: u64) -> Result<(), BenchError> {
    let client = HttpClient::default();
    let mut is_first = true;
    for upstream in cluster.upstreams() {
        let faults = Faults {
            slow_percent: if is_first { STRAGGLER_PERCENT } else { 100 },
            report_lag_ms: Some(lag_ms),
            ..Faults::default()
        };
        is_first = false;
        client.post_json(upstream, "/fake/faults", &faults).await?;
    }
    Ok(())
}

fn run_once(
    cluster: &mut Cluster,
    policy: RoutingPolicy,
    load_percent: u32,
    lag_ms: u64,
) -> Result<Point, BenchError> {
    let config = with_policy(cluster.config(policy)?, policy);
    let revision = cluster.put_in_force(config)?;
    cluster.wait_until_in_force(revision);
    let workload = workload(cluster, load_percent)?;
    let targets = Targets {
        addresses: cluster.entries(),
        route: Route::ThroughEntry,
    };
    let upstreams = cluster.upstreams();
    let id = run::fresh_run_id();
    let result = run::send(&workload, &id, &targets, &upstreams);
    let result = result.map_err(|error| BenchError::Unusable(error.to_string()))?;
    let reports = block_on(async { HttpClient::default().accounts(&upstreams).await })?;
    let runs = reports.iter().flat_map(|report| &report.runs);
    let own = runs.filter(|run| run.request_id.starts_with(&id));
    let (mut prompt, mut cached) = (0, 0);
    for run in own {
        prompt += run.prompt_tokens;
        cached += run.cached_tokens;
    }
    Ok(Point {
        policy,
        load_percent,
        lag_ms,
        unanswered: result.account.requests - result.account.answered,
        refused_by_code: result.account.refused_by_code,
        violations: result
            .account
            .listed
            .iter()
            .map(|v| format!("{v:?}"))
            .collect(),
        statistics: result.statistics,
        cached_percent: cached as f64 * 100.0 / (prompt.max(1)) as f64,
    })
}

fn with_policy(mut config: FleetConfig, policy: RoutingPolicy) -> FleetConfig {
    for service in config.services.values_mut() {
        if let Service::Model(model) = service {
            for arm in &mut model.routing {
                arm.policy = policy;
            }
        }
    }
    config
}

fn report(points: &[Point]) -> Report {
    let mut tables = Vec::new();
    let mut plots = Vec::new();
    for (load_percent, lag_ms) in SETTINGS {
        let same = |point: &&Point| point.lag_ms == lag_ms && point.load_percent == load_percent;
        let side_by_side: Vec<_> = points.iter().filter(same).collect();
        tables.push(table(lag_ms, load_percent, &side_by_side));
    }
    plots.push(plot(PLOTTED_LAG_MS, points));
    let violations = points.iter().flat_map(|point| point.violations.clone());
    Report {
        part: "policies",
        about: format!(
            "18 groups of one VM in three failure domains, one entry daemon each, one engine at \
             {STRAGGLER_PERCENT} % of the time (a straggler). Loads in percent of the capacity \
             without any cache hit; all policies with the same requests, swapped on the running \
             cluster; {RUN_MS} ms of arrivals each. Latency counts from the intended arrival."
        ),
        json: serde_json::json!({ "points": points }),
        tables,
        plots,
        violations: violations.collect(),
    }
}

fn table(lag_ms: u64, load_percent: u32, points: &[&Point]) -> Table {
    let mut table = Table::new(
        &format!("Load {load_percent} %, reports {lag_ms} ms old"),
        &[
            "policy",
            "first token p50 ms",
            "p99 ms",
            "p99 / round robin",
            "whole answer p99 ms",
            "cached %",
            "unanswered",
            "refused by code",
        ],
    );
    let baseline = points
        .first()
        .map_or(0, |p| p.statistics.first_token.p99_us);
    for point in points {
        let first_token = &point.statistics.first_token;
        table.rows.push(vec![
            format!("{:?}", point.policy),
            format!("{:.1}", first_token.p50_us as f64 / 1_000.0),
            format!("{:.1}", first_token.p99_us as f64 / 1_000.0),
            format!("{:.2}", first_token.p99_us as f64 / baseline.max(1) as f64),
            format!(
                "{:.1}",
                point.statistics.whole_answer.p99_us as f64 / 1_000.0
            ),
            format!("{:.0}", point.cached_percent),
            point.unanswered.to_string(),
            format!("{:?}", point.refused_by_code),
        ]);
    }
    table
}

fn plot(lag_ms: u64, points: &[Point]) -> Plot {
    let line = |policy: &RoutingPolicy| Line {
        name: format!("{policy:?}"),
        points: points
            .iter()
            .filter(|point| point.policy == *policy && point.lag_ms == lag_ms)
            .map(|point| {
                let p99_ms = point.statistics.first_token.p99_us as f64 / 1_000.0;
                (f64::from(point.load_percent), p99_ms)
            })
            .collect(),
    };
    Plot {
        title: format!("Time to first token, p99, reports {lag_ms} ms old"),
        x: "load in percent of capacity".to_owned(),
        y: "ms".to_owned(),
        lines: POLICIES.iter().map(line).collect(),
    }
}
