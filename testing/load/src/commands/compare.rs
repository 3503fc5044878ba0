//! `compare`: the same load to two setups in turn, and the ratios.

use std::{
    fs,
    path::PathBuf, //
};

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Outcome,
    run::{
        self,
        RunResult, //
    },
};
use crate::{
    drive::Targets,
    exchange::Route,
    table, //
};

/// Both sides of one round.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Round {
    /// The first setup.
    pub first: RunResult,
    /// The second setup.
    pub second: RunResult,
}

/// Returns the command line of `compare`.
pub fn command() -> Command {
    run::workload_arguments(Command::new("compare"))
        .about("Sends the same load to two setups in turn and prints the ratios with their spread")
        .after_help(
            "Example: cicadabend-load compare --first 127.0.0.1:8080 --second 127.0.0.1:9080",
        )
        .arg(run::addresses("first", "Entry daemons of the first setup").required(true))
        .arg(run::addresses("second", "Entry daemons of the second setup").required(true))
        .arg(run::addresses("upstream", "The fake upstreams of both"))
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .value_parser(value_parser!(u64).range(1..=20))
                .default_value("4")
                .help("How often each setup is measured"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the results as JSON"),
        )
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the arguments make no run.
pub fn execute(matches: &ArgMatches) -> Outcome {
    let base = run::workload(matches)?;
    let upstreams = run::given(matches, "upstream");
    let setup = |name| Targets {
        addresses: run::given(matches, name),
        route: Route::ThroughEntry,
    };
    let (first, second) = (setup("first"), setup("second"));
    let rounds = matches.get_one::<u64>("rounds").copied().unwrap_or(1);
    let id = run::fresh_run_id();
    let mut results = Vec::new();
    for round in 0..rounds {
        let mut workload = base.clone();
        workload.seed = base.seed.wrapping_add(round);
        let side = |name: &str, targets| {
            let run = format!("{id}-{round}-{name}");
            run::send(&workload, &run, targets, &upstreams)
        };
        // Whichever goes first meets colder caches; so they take turns.
        let (first, second) = if round % 2 == 0 {
            let first = side("first", &first)?;
            (first, side("second", &second)?)
        } else {
            let second = side("second", &second)?;
            (side("first", &first)?, second)
        };
        results.push(Round { first, second });
    }
    print!("{}", table::of_rounds(&results));
    if let Some(file) = matches.get_one::<PathBuf>("out") {
        fs::write(file, serde_json::to_string_pretty(&results)?)?;
    }
    let clean = |round: &Round| round.first.account.is_clean() && round.second.account.is_clean();
    Ok(results.iter().all(clean))
}
