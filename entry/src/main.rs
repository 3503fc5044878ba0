//! The command line of the entry daemon.

use std::{
    fs,
    process::ExitCode, //
};

use cicadabend_daemon::settings::EntrySettings;
use cicadabend_entry::process;
use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    crate_version, //
};

/// Exit code when the settings cannot be used.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code when the daemon could not start or run.
const EXIT_FAILED: u8 = 1;

fn command() -> Command {
    Command::new("cicadabend-entry")
        .version(crate_version!())
        .about("Serves callers and coordinates one failure domain")
        .after_help("Example: cicadabend-entry --config entry.json")
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .help("The settings, as JSON"),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}

fn load(matches: &ArgMatches) -> Result<EntrySettings, String> {
    let path = matches
        .get_one::<String>("config")
        .ok_or("--config is missing")?;
    let text = fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let settings = match load(&matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("Error: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if matches.get_flag("check-config") {
        println!("The settings are valid.");
        return ExitCode::SUCCESS;
    }
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("Error: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
