//! `cicadabend-control`: keeps the accepted configuration on disk and spreads it.
//!
//! Threads, joined by bounded rings:
//!
//! - `operators`: the operators' HTTP listener ([`operators`]).
//! - `agreement`: the replicated log and the fleet's state ([`replication`]).
//! - `inbox`: sorts messages from other processes by who handles them ([`inbox`]).
//! - `spread`: sends the configuration and takes in acknowledgements ([`spread`]).
//! - `peers`: hears other processes.

mod command_line;
mod inbox;
mod operators;
mod replication;
mod run;
mod settings;
mod spread;
mod view;

use std::process::ExitCode;

use command_line::Action;

/// The settings are wrong.
const EXIT_SETTINGS: u8 = 2;
/// The daemon could not start.
const EXIT_START: u8 = 1;

fn main() -> ExitCode {
    let arguments = command_line::parse();
    let settings = match settings::load(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!(
                "cicadabend-control: {}: {error}",
                arguments.config.display()
            );
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match arguments.action {
        Action::CheckConfig => {
            println!("{}: good", arguments.config.display());
            ExitCode::SUCCESS
        }
        Action::Run => match run::run(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("cicadabend-control: {error}");
                ExitCode::from(EXIT_START)
            }
        },
    }
}
