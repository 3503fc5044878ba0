//! `bench`: measures parts of the system with real processes on loopback.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::Command as Process,
    thread,
    time::Instant, //
};

use clap::{
    Arg,
    ArgMatches,
    Command,
    value_parser, //
};

use super::Outcome;
use crate::bench::{
    self,
    BenchError,
    capacity,
    mixed,
    overhead,
    policies,
    progress,
    report::{
        self,
        Report, //
    },
    slopes,
    spread, //
};

/// The parts in the order in which they run.
const PARTS: [&str; 6] = [
    "overhead", "mixed", "policies", "spread", "slopes", "capacity",
];

/// Returns the command line of `bench`.
pub fn command() -> Command {
    Command::new("bench")
        .about("Measures parts of the system with real processes on loopback")
        .after_help("Example: cicadabend-load bench overhead --out bench-out")
        .arg(
            Arg::new("part")
                .value_name("PART")
                .num_args(0..)
                .value_parser(PARTS)
                .help("What to measure; everything if absent"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .default_value("bench-out")
                .help("Where JSON, Markdown and SVG go"),
        )
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if a part cannot be measured or its report not be written.
pub fn execute(matches: &ArgMatches) -> Outcome {
    let chosen: Vec<&String> = matches.get_many("part").into_iter().flatten().collect();
    let out = matches
        .get_one::<PathBuf>("out")
        .cloned()
        .unwrap_or_default();
    let mut clean = true;
    for part in PARTS {
        if !chosen.is_empty() && !chosen.iter().any(|name| *name == part) {
            continue;
        }
        let started = Instant::now();
        let report = measure(part, &out)?;
        let took = started.elapsed().as_secs_f64();
        progress(&format!("{part} took {took:.0} s"));
        print!("{}", report::write(&out, &report, &machine(took))?);
        clean &= report.violations.is_empty();
    }
    Ok(clean)
}

fn measure(part: &str, out: &Path) -> Result<Report, BenchError> {
    match part {
        "overhead" => overhead::measure(),
        "mixed" => mixed::measure(),
        "policies" => policies::measure(),
        "spread" => spread::measure(),
        "slopes" => slopes::measure(),
        "capacity" => capacity::measure(out),
        other => Err(bench::BenchError::Unusable(format!("no part {other}"))),
    }
}

/// Returns what a reader has to know of the machine to read the figures.
fn machine(took_s: f64) -> String {
    let cores = thread::available_parallelism().map_or(0, usize::from);
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split_whitespace().next().unwrap_or("?").to_owned();
    let revision = Process::new("git")
        .args(["describe", "--always", "--dirty"])
        .output();
    let revision = revision.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    let date = Process::new("date").arg("+%Y-%m-%d %H:%M").output();
    let date = date.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    let profile = if cfg!(debug_assertions) {
        "debug"
    } else {
        "release"
    };
    format!(
        "{}, revision {}, {profile} build, {cores} cores, load average {load}, took {took_s:.0} s.",
        date.unwrap_or_default(),
        revision.unwrap_or_default(),
    )
}
