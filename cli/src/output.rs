//! Results on standard output; errors, hints and progress on standard error.

use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::error::CommandError;

/// The form of results and errors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// For people.
    Text,
    /// For scripts: one JSON value, or one a line from commands that go on.
    Json,
}

/// Where a command writes.
pub struct Output<'s> {
    format: Format,
    stdout: &'s mut dyn Write,
    stderr: &'s mut dyn Write,
}

// A write fails when the reader has gone, as with `| head`; nobody is left to tell.
impl<'s> Output<'s> {
    /// Makes an output onto two streams.
    pub fn new(format: Format, stdout: &'s mut dyn Write, stderr: &'s mut dyn Write) -> Self {
        Self {
            format,
            stdout,
            stderr,
        }
    }

    /// Writes a result as JSON or as the text that `render` makes of it.
    pub fn result<T: Serialize>(&mut self, value: &T, render: impl FnOnce(&T) -> String) {
        let _ = match self.format {
            Format::Text => write!(self.stdout, "{}", render(value)),
            Format::Json => writeln!(self.stdout, "{}", json!(value)),
        };
        let _ = self.stdout.flush();
    }

    /// Writes what to do next; scripts do not get it.
    pub fn hint(&mut self, hint: &str) {
        if self.format == Format::Text {
            let _ = writeln!(self.stderr, "Hint: {hint}");
        }
    }

    /// Writes what is being waited for; scripts do not get it.
    pub fn progress(&mut self, text: &str) {
        if self.format == Format::Text {
            let _ = writeln!(self.stderr, "{text}");
        }
    }

    /// Writes an error and its hint.
    pub fn error(&mut self, error: &CommandError) {
        let _ = match self.format {
            Format::Text => writeln!(self.stderr, "Error: {error}"),
            Format::Json => writeln!(
                self.stderr,
                "{}",
                json!({
                    "error": error.to_string(),
                    "hint": error.hint(),
                    "exit_code": error.exit_code(),
                })
            ),
        };
        if let Some(hint) = error.hint() {
            self.hint(&hint);
        }
    }
}
