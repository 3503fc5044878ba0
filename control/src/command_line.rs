//! The command line of the control daemon.

use std::path::PathBuf;

use clap::{
    Arg,
    ArgAction,
    Command,
    value_parser, //
};

const EXAMPLE: &str = "\
Example:
  cicadabend-control --config /etc/cicadabend/control.json

Exit codes:
  0  ended gracefully, or the settings are good (--check-config)
  1  could not start
  2  the settings or the command line are wrong";

/// What the daemon was asked to do.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Action {
    /// Serve until SIGTERM or SIGINT.
    Run,
    /// Check the settings and end.
    CheckConfig,
}

/// The parsed command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    /// The settings file.
    pub(crate) config: PathBuf,
    /// What to do.
    pub(crate) action: Action,
}

/// Parses the process's arguments; ends the process on `--help`, `--version` and errors.
pub(crate) fn parse() -> Arguments {
    let mut matches = command().get_matches();
    let action = match matches.get_flag("check-config") {
        true => Action::CheckConfig,
        false => Action::Run,
    };
    Arguments {
        // `--config` is required, so clap has ended the process if it is absent.
        config: matches.remove_one("config").unwrap_or_default(),
        action,
    }
}

fn command() -> Command {
    Command::new("cicadabend-control")
        .version(clap::crate_version!())
        .about("Keeps the accepted configuration on disk and spreads it to entry daemons")
        .after_help(EXAMPLE)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .help("The JSON settings of this daemon")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .help("Checks the settings and ends")
                .action(ArgAction::SetTrue),
        )
}
