//! `verify-data FOLDER`: checks a control daemon's data folder without a daemon.

use std::path::Path;

use cicadabend_daemon::storage::{
    self,
    FolderReport, //
};
use clap::{
    Arg,
    ArgMatches,
    Command, //
};
use serde::Serialize;

use super::text_argument;
use crate::{
    error::CommandError,
    output::Output, //
};

pub(super) const NAME: &str = "verify-data";
const FOLDER: &str = "FOLDER";

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Check a data folder that no daemon has open; nothing is changed")
        .arg(
            Arg::new(FOLDER)
                .required(true)
                .help("The control daemon's data_folder, or a copy of it"),
        )
        .after_help("Example:\n  cicadabend verify-data /var/lib/cicadabend")
}

/// The JSON output of the command.
#[derive(Serialize)]
struct Summary {
    daemon: Option<String>,
    disk: Option<u64>,
    clean: bool,
    journals: Vec<JournalSummary>,
}

#[derive(Serialize)]
struct JournalSummary {
    name: String,
    segments: Vec<String>,
    records: usize,
    first_sequence: Option<u64>,
    last_sequence: Option<u64>,
    torn_tail_bytes: u64,
}

pub(super) fn run(arguments: &ArgMatches, output: &mut Output<'_>) -> Result<(), CommandError> {
    let folder = text_argument(arguments, FOLDER);
    let report = storage::verify(Path::new(folder)).map_err(CommandError::Storage)?;
    output.result(&summary(&report), |_| report_text(&report));
    if !report.is_clean() && report.identity.is_some() {
        output.hint("a torn tail was never synced, so it contains no acknowledged record");
    }
    Ok(())
}

fn report_text(report: &FolderReport) -> String {
    let verdict = match report.is_clean() {
        true => "clean",
        false => "usable, but not clean",
    };
    format!("{report}{verdict}\n")
}

fn summary(report: &FolderReport) -> Summary {
    let journals = report.journals.iter().map(|journal| JournalSummary {
        name: journal.name.clone(),
        segments: journal
            .segments
            .iter()
            .map(|segment| segment.file_name.clone())
            .collect(),
        records: journal.records.len(),
        first_sequence: journal.records.first().map(|record| record.sequence),
        last_sequence: journal.records.last().map(|record| record.sequence),
        torn_tail_bytes: journal.torn_tail.map_or(0, |torn| torn.cut_bytes),
    });
    Summary {
        daemon: report.identity.as_ref().map(|v| v.daemon.to_string()),
        disk: report.identity.as_ref().map(|v| v.disk),
        clean: report.is_clean(),
        journals: journals.collect(),
    }
}
