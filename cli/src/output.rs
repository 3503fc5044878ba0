//! Results on standard output; errors, hints and progress on standard error.

use std::io::Write;

use serde::Serialize;
use serde_json::json;

use crate::error::CommandError;

/// The format of results and errors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Text for people.
    Text,
    /// JSON for scripts: one value, or one per line from commands that show progress.
    Json,
}

/// The output streams of a command, with the format of results.
pub struct Output<'s> {
    format: Format,
    stdout: &'s mut dyn Write,
    stderr: &'s mut dyn Write,
}

// Failed writes are ignored: the reader has closed the stream, as with `| head`.
impl<'s> Output<'s> {
    /// Creates an output that writes to two streams.
    pub fn new(format: Format, stdout: &'s mut dyn Write, stderr: &'s mut dyn Write) -> Self {
        Self {
            format,
            stdout,
            stderr,
        }
    }

    /// Writes a result as JSON, or as the text that `render` returns for it.
    pub fn result<T: Serialize>(&mut self, value: &T, render: impl FnOnce(&T) -> String) {
        let _ = match self.format {
            Format::Text => write!(self.stdout, "{}", render(value)),
            Format::Json => writeln!(self.stdout, "{}", json!(value)),
        };
        let _ = self.stdout.flush();
    }

    /// Writes advice on the next step; only in the text format.
    pub fn hint(&mut self, hint: &str) {
        if self.format == Format::Text {
            let _ = writeln!(self.stderr, "Hint: {hint}");
        }
    }

    /// Writes a progress line; only in the text format.
    pub fn progress(&mut self, text: &str) {
        if self.format == Format::Text {
            let _ = writeln!(self.stderr, "{text}");
        }
    }

    /// Writes an error with its hint.
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
