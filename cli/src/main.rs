//! The operators' command `cicadabend`; the crate's library does the work.

use std::{
    env,
    io,
    process::ExitCode, //
};

fn main() -> ExitCode {
    let code = cicadabend_cli::run(env::args_os(), &mut io::stdout(), &mut io::stderr());
    ExitCode::from(code)
}
