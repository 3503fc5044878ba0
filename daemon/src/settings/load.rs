//! Reading settings: JSON with paths in errors, then all rules at once.

use std::{
    fmt,
    fs,
    io, //
};

use displaydoc::Display;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::{
    LogSettings,
    MetricSettings,
    read,
    repair, //
};

/// One thing that is wrong in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Where, as a JSON path such as `$.peers[2].address`.
    pub path: String,
    /// The value found, as JSON; empty if there is none.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}

impl Problem {
    /// Makes a problem from a value that can be shown; `path` begins below the root.
    pub fn new(path: impl fmt::Display, found: impl fmt::Display, allowed: &str) -> Self {
        Self {
            path: format!("$.{path}"),
            found: found.to_string(),
            allowed: allowed.to_owned(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.found.is_empty() {
            return write!(f, "{}: {}", self.path, self.allowed);
        }
        write!(
            f,
            "{}: found {}; allowed: {}",
            self.path, self.found, self.allowed
        )
    }
}

/// A JSON file that is checked as a whole before it is used.
pub trait Settings: DeserializeOwned {
    /// Valid settings as JSON, with every optional part written out.
    const EXAMPLE: &'static str;

    /// Returns every rule that the settings break.
    fn problems(&self) -> Vec<Problem>;
}

/// Settings of a program that runs until it is stopped.
pub trait DaemonSettings: Settings {
    /// Returns what the program's logger needs.
    fn logs(&self) -> &LogSettings;

    /// Returns what the program's counters need.
    fn metrics(&self) -> &MetricSettings;
}

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// cannot read the settings file {path}: {source}
    Read {
        /// The file.
        path: String,
        /// What the operating system says.
        source: io::Error,
    },
    /// the settings are not JSON: {0}
    Syntax(serde_json::Error),
    /// the settings have {count} problem(s):{list}
    Invalid {
        /// How many there are.
        count: usize,
        /// All of them.
        list: ProblemList,
    },
}

/// All problems of one file, one a line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProblemList(pub Vec<Problem>);

impl fmt::Display for ProblemList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|problem| write!(f, "\n  {problem}"))
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns [`SettingsError`] with all problems of the file.
pub fn load<S: Settings>(path: &str) -> Result<S, SettingsError> {
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&text)
}

/// Reads and checks the text of a settings file.
///
/// # Errors
///
/// Returns [`SettingsError`] with all problems of the text.
pub fn parse<S: Settings>(text: &str) -> Result<S, SettingsError> {
    let (value, mut problems) = read::value(text).map_err(SettingsError::Syntax)?;
    let (settings, of_types) = repair::typed::<S>(value);
    problems.extend(of_types);
    if let Some(settings) = &settings {
        let of_rules = settings.problems();
        // A value that was put in place of a wrong one must not be reported as found.
        let known: Vec<String> = problems.iter().map(|p| p.path.clone()).collect();
        let is_new = |problem: &Problem| !known.iter().any(|path| concerns(path, &problem.path));
        problems.extend(of_rules.into_iter().filter(is_new));
    }
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(SettingsError::Invalid {
            count: problems.len(),
            list: ProblemList(problems),
        }),
    }
}

fn concerns(reported: &str, path: &str) -> bool {
    path == reported
        || path
            .strip_prefix(reported)
            .is_some_and(|rest| rest.starts_with(['.', '[']))
}
