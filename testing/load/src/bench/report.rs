//! Reports: JSON, Markdown and the plots that belong to them.

use std::{
    fmt::Write,
    fs,
    path::Path, //
};

use serde::Serialize;

use super::{
    BenchError,
    plot::{
        self,
        Plot, //
    },
};

/// What one part gave, ready to be written.
#[derive(Clone, Debug)]
pub struct Report {
    /// The part's name; its files are called so.
    pub part: &'static str,
    /// What was measured and how, in a few sentences.
    pub about: String,
    /// All figures.
    pub json: serde_json::Value,
    /// Tables for people.
    pub tables: Vec<Table>,
    /// Plots.
    pub plots: Vec<Plot>,
    /// What was found that must never happen, if anything.
    pub violations: Vec<String>,
}

/// One table.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    /// Its title.
    pub title: String,
    /// The names of its columns.
    pub columns: Vec<String>,
    /// Its rows.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes an empty table.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|name| (*name).to_owned()).collect(),
            rows: Vec::new(),
        }
    }
}

/// Writes `PART.json`, `PART.md` and one SVG for each plot into a folder.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn write(folder: &Path, report: &Report, machine: &str) -> Result<String, BenchError> {
    fs::create_dir_all(folder)?;
    let file = |ending: &str| folder.join(format!("{}.{ending}", report.part));
    fs::write(file("json"), serde_json::to_string_pretty(&report.json)?)?;
    let mut text = format!(
        "# bench: {}\n\n{}\n\n{machine}\n",
        report.part, report.about
    );
    for table in &report.tables {
        text.push_str(&markdown(table));
    }
    for (index, plot) in report.plots.iter().enumerate() {
        let name = format!("{}-{index}.svg", report.part);
        plot::draw(plot, &folder.join(&name))?;
        let _ = write!(text, "\n![{}]({name})\n", plot.title);
    }
    let _ = write!(text, "\n## Violations\n\n");
    if report.violations.is_empty() {
        text.push_str("None was found in the account of any run.\n");
    }
    for violation in &report.violations {
        let _ = writeln!(text, "- {violation}");
    }
    fs::write(file("md"), &text)?;
    Ok(text)
}

/// Returns a table as Markdown.
pub fn markdown(table: &Table) -> String {
    let mut text = format!("\n## {}\n\n", table.title);
    let _ = writeln!(text, "| {} |", table.columns.join(" | "));
    let rule: Vec<_> = table.columns.iter().map(|_| "---").collect();
    let _ = writeln!(text, "| {} |", rule.join(" | "));
    for row in &table.rows {
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}
