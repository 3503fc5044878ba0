//! The operators' command `cicadabend`, as a library.
//!
//! The binary only passes its arguments and streams to [`run`], so that tests
//! see exactly what a user sees.
//!
//! - [`command_line`]: the command line and the options that all commands share.
//! - [`commands`]: one file for each command.
//! - [`settings`]: the address and token of control daemons, from options and a file.
//! - [`client`]: requests to control daemons; finds the leader and retries.
//! - [`render`]: pure functions that turn answers into text.
//! - [`output`]: results as text or JSON, hints and progress.
//! - [`error`]: errors with hints and exit codes.

pub mod client;
pub mod command_line;
pub mod commands;
pub mod error;
pub mod output;
pub mod render;
pub mod settings;

use std::{
    ffi::OsString,
    io::Write, //
};

use crate::{
    error::{
        CommandError,
        EXIT_OK,
        EXIT_USAGE, //
    },
    output::Output,
};

/// Runs the command line and returns the exit code.
pub fn run<Arguments>(arguments: Arguments, stdout: &mut dyn Write, stderr: &mut dyn Write) -> u8
where
    Arguments: IntoIterator<Item = OsString>,
{
    let matches = match command_line::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) if error.use_stderr() => {
            // A failed write is ignored: the reader has closed the stream.
            let _ = write!(stderr, "{error}");
            return EXIT_USAGE;
        }
        Err(help_or_version) => {
            let _ = write!(stdout, "{help_or_version}");
            return EXIT_OK;
        }
    };
    let mut output = Output::new(command_line::format(&matches), stdout, stderr);
    match commands::run(&matches, &mut output) {
        Ok(()) => EXIT_OK,
        Err(error) => {
            output.error(&error);
            CommandError::exit_code(&error)
        }
    }
}
