//! `cicadabend-control`: stores the accepted configuration and sends it to the other daemons.

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
        cicadabend_control::run(settings, process).map_err(Into::into)
    })
}
