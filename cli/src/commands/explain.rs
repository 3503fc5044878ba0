//! `explain REQUEST LOGS...`: the log lines of all daemons that concern one request.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fs,
};

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};
use serde::Serialize;
use serde_json::{
    Map,
    Value, //
};

use super::text_argument;
use crate::{
    error::CommandError,
    output::Output, //
};

pub(super) const NAME: &str = "explain";
const REQUEST: &str = "REQUEST";
const LOGS: &str = "LOGS";

/// The number of characters of a time such as `2026-12-02T20:25:01.123Z` up to the tens of its
/// seconds.
///
/// A line on a request's replicas is shown if its ten-second interval is one of those in which the
/// request ran. Intervals are compared as text, without parsing dates.
const TENS_OF_SECONDS: usize = 18;

/// The codes of log events on the contact between daemons. The last event of this kind before a
/// request may have determined the request's outcome.
const ON_DAEMONS: [&str; 5] = ["CB1402", "CB1405", "CB1407", "CB1600", "CB1601"];

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Show the lines of the daemons' JSON logs that concern one request, in order")
        .arg(
            Arg::new(REQUEST)
                .required(true)
                .help("The id that the caller sent with the request"),
        )
        .arg(
            Arg::new(LOGS)
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .help("Log files, preferably of all entry and control daemons"),
        )
        .after_help("Example:\n  cicadabend explain 9c41d07be2a35f68 entry-*.log control-*.log")
}

/// One line of a log.
#[derive(Clone, Debug, Serialize)]
struct Line {
    time: String,
    file: String,
    code: String,
    text: String,
    fields: Map<String, Value>,
}

impl Line {
    fn parse(file: &str, text: &str) -> Option<Self> {
        let value: Value = serde_json::from_str(text).ok()?;
        let text_of = |name: &str| Some(value.get(name)?.as_str()?.to_owned());
        Some(Self {
            time: text_of("time")?,
            file: file.to_owned(),
            code: text_of("code")?,
            text: text_of("text")?,
            fields: value.get("fields")?.as_object()?.clone(),
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn is_of(&self, request: &str) -> bool {
        self.field("request") == Some(request)
    }

    /// Returns the line's ten-second interval, as the first characters of its time.
    fn ten_seconds(&self) -> &str {
        self.time.get(..TENS_OF_SECONDS).unwrap_or(&self.time)
    }
}

pub(super) fn run(arguments: &ArgMatches, output: &mut Output<'_>) -> Result<(), CommandError> {
    let request = text_argument(arguments, REQUEST);
    let mut lines = Vec::new();
    for path in arguments.get_many::<String>(LOGS).into_iter().flatten() {
        let text = fs::read_to_string(path).map_err(|source| CommandError::File {
            path: path.clone(),
            source,
        })?;
        lines.extend(text.lines().filter_map(|line| Line::parse(path, line)));
    }
    let related = related_lines(request, lines);
    if related.is_empty() {
        output.hint("no line names this request; give the logs of all entry daemons");
    }
    output.result(&related, |related| related.iter().map(line_text).collect());
    Ok(())
}

/// Returns the log lines that concern a request, in the order of their times.
///
/// - lines on the request itself and on requests with the same fingerprint;
/// - lines on its replicas, on tables of routes and on the contact between daemons, of the
///   ten-second intervals from the first to the last line on the request;
/// - the last line of each daemon of this second kind, by code and subject, before the request.
fn related_lines(request: &str, mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_of(request)).collect();
    let names: BTreeSet<String> = own
        .iter()
        .filter_map(|line| line.field("replica"))
        .flat_map(|replica| replica.split('/'))
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect();
    let fingerprints: BTreeSet<&str> = own
        .iter()
        .filter_map(|line| line.field("fingerprint"))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let begins = first.time.clone();
    let (first, last) = (
        first.ten_seconds().to_owned(),
        last.ten_seconds().to_owned(),
    );
    let is_near =
        |line: &Line| line.ten_seconds() >= first.as_str() && line.ten_seconds() <= last.as_str();
    let is_on_replica = |line: &Line| {
        let of = |name| line.field(name).is_some_and(|value| names.contains(value));
        of("instance") || of("group")
    };
    let is_on_routes =
        |line: &Line| line.field("version").is_some() && line.code.as_str() >= "CB1400";
    let is_background = |line: &Line| {
        let is_on_daemons = ON_DAEMONS.contains(&line.code.as_str());
        let is_known = is_on_replica(line) || is_on_routes(line) || is_on_daemons;
        line.field("request").is_none() && is_known
    };
    let mut last_before = BTreeMap::new();
    for (number, line) in lines.iter().enumerate() {
        if line.time < begins && is_background(line) {
            let subject = line.field("instance").or(line.field("daemon"));
            last_before.insert((&line.file, &line.code, subject), number);
        }
    }
    let last_before: BTreeSet<usize> = last_before.into_values().collect();
    lines
        .iter()
        .enumerate()
        .filter(|(number, line)| {
            let around = is_near(line) && is_background(line);
            let fingerprint = line.field("fingerprint");
            let is_alike = fingerprint.is_some_and(|own| fingerprints.contains(own));
            line.is_of(request) || is_alike || around || last_before.contains(number)
        })
        .map(|(_, line)| line.clone())
        .collect()
}

/// Returns a log line as text.
fn line_text(line: &Line) -> String {
    let fields = line
        .fields
        .iter()
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!(" {name}={text}"),
            None => format!(" {name}={value}"),
        });
    let fields: String = fields.collect();
    format!(
        "{} {} {} {}{fields}\n",
        line.time, line.file, line.code, line.text
    )
}
