//! `run`: one run of load and its account.

use std::{
    error::Error,
    fs,
    net::SocketAddr,
    path::PathBuf, //
};

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    value_parser, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::Outcome;
use crate::{
    account::{
        self,
        Account, //
    },
    drive::{
        self,
        Targets, //
    },
    exchange::Route,
    http_client::HttpClient,
    schedule,
    statistics::{
        self,
        Statistics, //
    },
    table,
    workload::{
        Deployment,
        Workload, //
    },
};

/// What one run gave, as JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunResult {
    /// What was asked for.
    pub workload: Workload,
    /// Latencies and rates.
    pub statistics: Statistics,
    /// What callers were told against what ran.
    pub account: Account,
}

/// Returns the command line of `run`.
pub fn command() -> Command {
    workload_arguments(Command::new("run"))
        .about("Sends load through entry daemons, or straight to an upstream")
        .after_help(
            "Example: cicadabend-load run --entry 127.0.0.1:8080,127.0.0.1:8081 \
             --upstream 127.0.0.1:9000 --shape auditorias --rate 100 --duration-ms 20000",
        )
        .arg(addresses(
            "entry",
            "The entry daemons' addresses for callers",
        ))
        .arg(
            addresses("direct", "An upstream, as a baseline without cicadabend")
                .conflicts_with("entry"),
        )
        .arg(addresses(
            "upstream",
            "The fake upstreams whose accounts are compared",
        ))
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the result as JSON"),
        )
}

/// Adds the arguments that describe a workload.
pub fn workload_arguments(command: Command) -> Command {
    command
        .arg(
            Arg::new("workload")
                .long("workload")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The workload as JSON; --print-workload shows one"),
        )
        .arg(
            Arg::new("shape")
                .long("shape")
                .value_parser(value_parser!(Deployment))
                .default_value("auditorias")
                .help("The deployment whose workload is used without --workload"),
        )
        .arg(number("rate", "Requests a second"))
        .arg(number("duration-ms", "How long requests arrive"))
        .arg(number("seed", "Draws other requests"))
        .arg(
            Arg::new("print-workload")
                .long("print-workload")
                .action(ArgAction::SetTrue)
                .help("Prints the workload and ends"),
        )
}

/// Returns an argument that takes addresses.
pub fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS,…")
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

/// Returns the addresses given.
pub fn given(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = matches.get_many::<SocketAddr>(name);
    values.into_iter().flatten().copied().collect()
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Returns the workload that the arguments describe.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is no workload.
pub fn workload(matches: &ArgMatches) -> Result<Workload, Box<dyn Error>> {
    let shape = matches.get_one::<Deployment>("shape").copied();
    let mut workload = match matches.get_one::<PathBuf>("workload") {
        Some(file) => {
            let text =
                fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
            serde_json::from_str(&text).map_err(|error| format!("{}: {error}", file.display()))?
        }
        None => shape.unwrap_or(Deployment::Auditorias).workload()?,
    };
    let number = |name| matches.get_one::<u64>(name).copied();
    if let Some(rate) = number("rate") {
        workload.arrivals_per_second = rate as f64;
    }
    workload.duration_ms = number("duration-ms").unwrap_or(workload.duration_ms);
    workload.seed = number("seed").unwrap_or(workload.seed);
    Ok(workload)
}

/// Sends the load of a workload and settles its account.
///
/// # Errors
///
/// Returns an error if the runtime cannot be made.
pub fn send(
    workload: &Workload,
    run: &str,
    targets: &Targets,
    upstreams: &[SocketAddr],
) -> Result<RunResult, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    let requests = schedule::draw(workload, run);
    Ok(local.block_on(&runtime, async {
        let records = drive::drive(workload, requests, targets).await;
        let reports = HttpClient::default().accounts(upstreams).await;
        let reports = (!upstreams.is_empty()).then_some(reports.as_slice());
        RunResult {
            workload: workload.clone(),
            statistics: statistics::of(workload, &records),
            account: account::settle(&records, reports),
        }
    }))
}

/// Returns an id for this run that no other run against the deployment has.
pub fn fresh_run_id() -> String {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    format!("{:x}-{:x}", since.as_millis(), std::process::id())
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the arguments make no run.
pub fn execute(matches: &ArgMatches) -> Outcome {
    let workload = workload(matches)?;
    if matches.get_flag("print-workload") {
        println!("{}", serde_json::to_string_pretty(&workload)?);
        return Ok(true);
    }
    let entries = given(matches, "entry");
    let targets = match entries.is_empty() {
        false => Targets {
            addresses: entries,
            route: Route::ThroughEntry,
        },
        true => Targets {
            addresses: given(matches, "direct"),
            route: Route::Direct,
        },
    };
    if targets.addresses.is_empty() {
        return Err("name targets with --entry or --direct".into());
    }
    let upstreams = given(matches, "upstream");
    let result = send(&workload, &fresh_run_id(), &targets, &upstreams)?;
    print!("{}", table::of_run(&result));
    if let Some(file) = matches.get_one::<PathBuf>("out") {
        fs::write(file, serde_json::to_string_pretty(&result)?)?;
    }
    Ok(result.account.is_clean())
}
