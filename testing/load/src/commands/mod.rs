//! The command line; each command in a file of its own.

pub mod bench;
pub mod compare;
pub mod run;

use std::{
    error::Error,
    process::ExitCode, //
};

use clap::Command;

/// A command's result: whether what it checks held.
pub type Outcome = Result<bool, Box<dyn Error>>;

/// Exit code if a check did not hold.
const EXIT_VIOLATION: u8 = 1;
/// Exit code if the command could not do its work.
const EXIT_FAILURE: u8 = 2;

/// Returns the whole command line.
pub fn command() -> Command {
    Command::new("cicadabend-load")
        .version(clap::crate_version!())
        .about("Sends load and compares what callers were told with what upstreams ran")
        .after_help("Exit codes: 0 clean, 1 a violation was found, 2 the tool itself failed.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run::command())
        .subcommand(compare::command())
        .subcommand(bench::command())
}

/// Runs the command that the process was started with.
pub fn execute() -> ExitCode {
    let matches = command().get_matches();
    let outcome = match matches.subcommand() {
        Some(("run", matches)) => run::execute(matches),
        Some(("bench", matches)) => bench::execute(matches),
        Some(("compare", matches)) => compare::execute(matches),
        _ => Err("no such command".into()),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATION),
        Err(error) => {
            eprintln!("cicadabend-load: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
