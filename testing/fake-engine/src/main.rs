//! The fake upstreams' process.

use std::{
    error::Error,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgAction,
    Command, //
};
use fake_engine::{
    process,
    settings::Settings, //
};

fn command() -> Command {
    Command::new("fake-engine")
        .version(clap::crate_version!())
        .about("Plays model engines and plain services for tests and benchmarks")
        .after_help("Example: fake-engine --config engines.json")
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .help("The JSON settings of the VMs to play"),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .action(ArgAction::SetTrue)
                .help("Reads the settings and exits"),
        )
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fake-engine: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let Some(file) = matches.get_one::<String>("config") else {
        return Err("--config is missing".into());
    };
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    let settings: Settings =
        serde_json::from_str(&text).map_err(|error| format!("{file}: {error}"))?;
    if matches.get_flag("check-config") {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, process::run(settings))?;
    Ok(())
}
