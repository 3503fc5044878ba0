//! Pure functions that turn control daemons' answers into text.

mod history;
mod plan;
mod policies;
mod progress;
mod status;

pub use history::history;
pub use plan::{
    changes,
    plan, //
};
pub use policies::policies;
pub use progress::progress_line;
pub use status::status;

use std::{
    collections::BTreeMap,
    fmt::Display, //
};

use cicadabend::prelude::*;

/// Returns a text that says whether a revision is in force.
fn force_text(in_force: bool, unreachable: &[DaemonId]) -> &'static str {
    match (in_force, unreachable.is_empty()) {
        (true, true) => "in force everywhere",
        (true, false) => "in force on every daemon that can be reached",
        (false, _) => "spreading",
    }
}

/// Returns the names of daemons that are behind, each with the revision that it acknowledged last.
fn lagging_text(lagging: &BTreeMap<DaemonId, Revision>) -> String {
    list(
        lagging
            .iter()
            .map(|(daemon, at)| format!("{daemon} (at {at})")),
    )
}

/// Returns a number with its noun, such as "1 group" or "2 groups".
fn counted(number: u64, singular: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {singular}{plural}")
}

/// Returns the items with commas between them.
fn list<T: Display>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(", ")
}

/// Returns a duration as text in milliseconds, seconds or minutes.
fn duration(length_ms: u64) -> String {
    match length_ms {
        0..1_000 => format!("{length_ms} ms"),
        1_000..120_000 => format!("{}.{} s", length_ms / 1_000, length_ms % 1_000 / 100),
        _ => format!("{} min", length_ms / 60_000),
    }
}

/// Returns the rows as lines, with each column as wide as its widest cell.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let padded = cells.map(|(cell, width)| format!("{cell:width$}"));
        let line = padded.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
