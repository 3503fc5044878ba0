//! `cicadabend-control`: keeps the accepted configuration on disk and spreads it.
//!
//! Threads, joined by bounded rings:
//!
//! - `operators`: the operators' HTTP listener ([`operators`]).
//! - `agreement`: the replicated log and the fleet's state ([`replication`]).
//! - `inbox`: sorts messages from other processes by who handles them ([`inbox`]).
//! - `spread`: sends the configuration and takes in what domains report ([`spread`]).
//! - `peers`: hears other processes.

mod claims;
mod counters;
mod events;
mod inbox;
mod operators;
mod replication;
mod run;
mod spread;
mod view;

use std::process::ExitCode;

use cicadabend::chart::validate_all_charts;
use cicadabend_daemon::{
    program::{
        self,
        Program, //
    },
    settings::ControlSettings,
};

const PROGRAM: Program = Program {
    name: "cicadabend-control",
    about: "Keeps the accepted configuration on disk and spreads it to entry daemons",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    program::run(&PROGRAM, |settings: ControlSettings, process| {
        validate_all_charts()?;
        run::run(settings, process).map_err(Into::into)
    })
}
