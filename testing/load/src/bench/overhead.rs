//! What an entry daemon adds, against going to the engine directly, in one run.
//!
//! Time to first byte is measured on an idle machine: one request at a time, by
//! turns through the entry daemon and directly, so that both meet the same
//! moments. Throughput is measured with many streams at once, again by turns.

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use cicadabend::{
    fleet::RoutingPolicy,
    prelude::*, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    BenchError, block_on,
    cluster::{
        Cluster,
        Shape, //
    },
    process_stats::{
        self,
        Usage, //
    },
    progress, quantile,
    report::{
        Report,
        Table, //
    },
    sorted_ms,
};
use crate::{
    commands::run::{
        self,
        RunResult, //
    },
    drive::Targets,
    exchange::{
        self,
        AttemptEnd,
        Route, //
    },
    http_client::HttpClient,
    schedule,
    statistics::Statistics,
    workload::{
        Lengths,
        Workload, //
    },
};

/// Pairs of requests for the time to first byte.
const PAIRS: usize = 1_500;
/// Pairs that warm up connections and caches.
const WARM_UP_PAIRS: usize = 100;
/// The streamed tokens a second that one entry process has to carry.
const TOKENS_PER_SECOND: u64 = 17_000;
/// Tokens of each stream of the throughput runs.
const STREAM_TOKENS: u64 = 200;
/// Time between two of them.
const TOKEN_INTERVAL_US: u64 = 10_000;
/// How long requests arrive in one throughput run.
const THROUGHPUT_MS: u64 = 6_000;
/// How often each side's throughput is measured.
const ROUNDS: usize = 3;

/// Time to first byte of both ways.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct FirstByte {
    /// Requests each way.
    pub pairs: usize,
    /// Median, straight to the engine.
    pub direct_p50_ms: f64,
    /// 99th percentile, straight to the engine.
    pub direct_p99_ms: f64,
    /// Median, through the entry daemon.
    pub entry_p50_ms: f64,
    /// 99th percentile, through the entry daemon.
    pub entry_p99_ms: f64,
}

/// One throughput run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Throughput {
    /// Whether it went through the entry daemon.
    pub through_entry: bool,
    /// Tokens received a second, without the tail.
    pub tokens_per_second: f64,
    /// 99th percentile of the time between tokens.
    pub between_tokens_p99_ms: f64,
    /// What the entry daemon used meanwhile.
    pub entry: Usage,
    /// Whether the account was clean.
    pub clean: bool,
}

/// Measures the part.
///
/// # Errors
///
/// Returns an error if the cluster cannot be measured.
pub fn measure() -> Result<Report, BenchError> {
    progress("overhead: starting one entry daemon and one engine");
    let cluster = Cluster::start(shape(), RoutingPolicy::LeastOutstanding)?;
    let entry = cluster.entries()[0];
    let engine = engine_of(&cluster)?;
    progress("overhead: time to first byte, by turns");
    let first_byte = block_on(first_byte(entry, engine))??;
    let mut throughput = Vec::new();
    let mut violations = Vec::new();
    for round in 0..ROUNDS {
        progress(&format!("overhead: throughput, round {round}"));
        for through_entry in [round % 2 == 0, round % 2 != 0] {
            let (measured, result) = run_once(&cluster, engine, through_entry)?;
            violations.extend(result.account.listed.iter().map(|v| format!("{v:?}")));
            throughput.push(measured);
        }
    }
    cluster.stop();
    Ok(report(&first_byte, &throughput, violations))
}

fn shape() -> Shape {
    Shape {
        domains: 1,
        controls: 1,
        engines_per_domain: 1,
        plain_per_domain: 0,
        slots: 1_024,
        token_interval_us: TOKEN_INTERVAL_US,
        batch_slowdown_percent: 0,
        prefill_us_per_token: 0,
        ..Shape::default()
    }
}

fn engine_of(cluster: &Cluster) -> Result<SocketAddr, BenchError> {
    let first = cluster.upstreams().first().copied();
    first.ok_or_else(|| BenchError::Unusable("there is no engine".to_owned()))
}

fn workload() -> Result<Workload, BenchError> {
    let base = Shape::default().deployment.workload();
    let base = base.map_err(super::cluster::ClusterError::Name)?;
    let fixed = |tokens| Lengths {
        least: tokens,
        most: tokens,
        alpha: 1.0,
    };
    Ok(Workload {
        arrivals_per_second: (TOKENS_PER_SECOND / STREAM_TOKENS) as f64,
        duration_ms: THROUGHPUT_MS,
        prompt_tokens: fixed(50),
        output_tokens: fixed(STREAM_TOKENS),
        stream_percent: Percent(100),
        plain_percent: Percent(0),
        not_repeatable_percent: Percent(0),
        ..base
    })
}

async fn first_byte(entry: SocketAddr, engine: SocketAddr) -> Result<FirstByte, BenchError> {
    let mut workload = workload()?;
    workload.max_requests = 2 * (PAIRS + WARM_UP_PAIRS);
    workload.arrivals_per_second = 1e6;
    workload.output_tokens.least = 1;
    workload.output_tokens.most = 1;
    let client = HttpClient::default();
    let (mut through, mut direct) = (Vec::new(), Vec::new());
    let run = run::fresh_run_id();
    for (index, planned) in schedule::draw(&workload, &run).iter().enumerate() {
        let (target, route, times) = match index % 2 {
            0 => (entry, Route::ThroughEntry, &mut through),
            _ => (engine, Route::Direct, &mut direct),
        };
        let id = planned.attempt_id(0);
        let start = tokio::time::Instant::now();
        let attempt = exchange::attempt(&client, &workload, planned, &id, target, route);
        let (end, answered) = attempt.await;
        let first_byte = answered.first_byte.map(|at| at - start);
        match (end, first_byte) {
            (AttemptEnd::Answered { fault: None }, Some(time)) => times.push(time),
            (end, _) => return Err(BenchError::Unusable(format!("{id}: {end:?}"))),
        }
    }
    let through = sorted_ms(through.into_iter().skip(WARM_UP_PAIRS));
    let direct = sorted_ms(direct.into_iter().skip(WARM_UP_PAIRS));
    Ok(FirstByte {
        pairs: through.len().min(direct.len()),
        direct_p50_ms: quantile(&direct, 0.5),
        direct_p99_ms: quantile(&direct, 0.99),
        entry_p50_ms: quantile(&through, 0.5),
        entry_p99_ms: quantile(&through, 0.99),
    })
}

fn run_once(
    cluster: &Cluster,
    engine: SocketAddr,
    through_entry: bool,
) -> Result<(Throughput, RunResult), BenchError> {
    let targets = match through_entry {
        true => Targets {
            addresses: cluster.entries(),
            route: Route::ThroughEntry,
        },
        false => Targets {
            addresses: vec![engine],
            route: Route::Direct,
        },
    };
    let workload = workload()?;
    let entry = cluster.entry_names().first().cloned().unwrap_or_default();
    let process = cluster.process_id(&entry).unwrap_or_default();
    let listeners = cluster.listeners(&entry);
    // The first streams have to grow to their full number before the window opens.
    let window = Duration::from_millis(THROUGHPUT_MS / 2);
    let watch = thread::spawn(move || {
        thread::sleep(window);
        let before = process_stats::look(process);
        thread::sleep(window);
        process_stats::usage(&before, &process_stats::look(process), &listeners)
    });
    let started = Instant::now();
    let result = run::send(&workload, &run::fresh_run_id(), &targets, &[engine]);
    let result = result.map_err(|error| BenchError::Unusable(error.to_string()))?;
    progress(&format!("  {:.1} s", started.elapsed().as_secs_f64()));
    let usage = watch.join().unwrap_or_default();
    let measured = Throughput {
        through_entry,
        tokens_per_second: steady_tokens_per_second(&result.statistics),
        between_tokens_p99_ms: result.statistics.between_tokens.p99_us as f64 / 1_000.0,
        entry: usage,
        clean: result.account.is_clean(),
    };
    Ok((measured, result))
}

/// Returns the tokens a second without the tail, in which no streams arrive any more.
///
/// The tail of a system that keeps pace is as long as one stream; what takes longer
/// lowers the figure.
fn steady_tokens_per_second(statistics: &Statistics) -> f64 {
    let tail_s = (STREAM_TOKENS * TOKEN_INTERVAL_US) as f64 / 1e6;
    let tokens = statistics.tokens_per_second * statistics.elapsed_s;
    tokens / (statistics.elapsed_s - tail_s).max(0.1)
}

fn report(first_byte: &FirstByte, throughput: &[Throughput], violations: Vec<String>) -> Report {
    let mut latency = Table::new(
        "Time to first byte, idle, one request at a time",
        &["", "direct ms", "through entry ms", "ratio", "added ms"],
    );
    for (name, direct, entry) in [
        ("p50", first_byte.direct_p50_ms, first_byte.entry_p50_ms),
        ("p99", first_byte.direct_p99_ms, first_byte.entry_p99_ms),
    ] {
        latency.rows.push(vec![
            name.to_owned(),
            format!("{direct:.3}"),
            format!("{entry:.3}"),
            format!("{:.2}", entry / direct.max(1e-9)),
            format!("{:.3}", entry - direct),
        ]);
    }
    let mut carried = Table::new(
        "Streamed tokens",
        &[
            "way",
            "tokens/s",
            "between tokens p99 ms",
            "entry's core %",
            "entry's MiB",
            "account",
        ],
    );
    for run in throughput {
        let way = if run.through_entry { "entry" } else { "direct" };
        let account = if run.clean { "clean" } else { "VIOLATED" };
        carried.rows.push(vec![
            way.to_owned(),
            format!("{:.0}", run.tokens_per_second),
            format!("{:.2}", run.between_tokens_p99_ms),
            format!("{:.1}", run.entry.core_percent),
            format!("{:.1}", run.entry.resident_mib),
            account.to_owned(),
        ]);
    }
    Report {
        part: "overhead",
        about: format!(
            "One entry daemon, one control daemon, one engine. {} pairs of requests by turns \
             for the time to first byte; then {TOKENS_PER_SECOND} tokens a second offered as \
             streams of {STREAM_TOKENS} tokens, by turns. tokens/s leaves out the \
             time of one stream at the end. Absolute figures belong to this machine and its load; \
             compare the ratios.",
            first_byte.pairs
        ),
        json: serde_json::json!({ "first_byte": first_byte, "throughput": throughput }),
        tables: vec![latency, carried],
        plots: Vec::new(),
        violations,
    }
}
