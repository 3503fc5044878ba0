//! The load tool's process.

use std::process::ExitCode;

fn main() -> ExitCode {
    cicadabend_load::commands::execute()
}
