//! `cicadabend-entry`: serves callers on one entry VM.

use cicadabend_daemon::program::{
    self,
    Program, //
};
use cicadabend_entry::process;

const PROGRAM: Program = Program {
    name: "cicadabend-entry",
    about: "Serves callers and coordinates one failure domain",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> std::process::ExitCode {
    program::run(&PROGRAM, |settings, process| {
        Ok(process::run(settings, process)?)
    })
}
