//! `explain REQUEST LOGS...`: one request's story out of the daemons' logs.

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

/// The letters of a time such as `2026-12-02T20:25:01.123Z` up to its seconds' tens.
///
/// Lines on a request's replicas count if they are of the same ten seconds or of those in
/// which the request ran; comparing text needs no calendar.
const TENS_OF_SECONDS: usize = 18;

/// Events on who hears whom; what was last said before a request may have decided it.
const ON_DAEMONS: [&str; 5] = ["CB1402", "CB1405", "CB1407", "CB1600", "CB1601"];

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Tell one request's story from the daemons' JSON logs, in order")
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
                .help("Log files, best of all entry and control daemons"),
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
        let word = |name: &str| Some(value.get(name)?.as_str()?.to_owned());
        Some(Self {
            time: word("time")?,
            file: file.to_owned(),
            code: word("code")?,
            text: word("text")?,
            fields: value.get("fields")?.as_object()?.clone(),
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn is_of(&self, request: &str) -> bool {
        self.field("request") == Some(request)
    }

    fn tens(&self) -> &str {
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
    let story = story(request, lines);
    if story.is_empty() {
        output.hint("no line names this request; give the logs of all entry daemons");
    }
    output.result(&story, |story| story.iter().map(told).collect());
    Ok(())
}

/// Returns the lines on a request and on those with its fingerprint, those on its replicas, its
/// routes and who was heard around it, and what each daemon had last said before.
fn story(request: &str, mut lines: Vec<Line>) -> Vec<Line> {
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
    let (first, last) = (first.tens().to_owned(), last.tens().to_owned());
    let is_near = |line: &Line| line.tens() >= first.as_str() && line.tens() <= last.as_str();
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
    let mut last_said = BTreeMap::new();
    for (number, line) in lines.iter().enumerate() {
        if line.time < begins && is_background(line) {
            let subject = line.field("instance").or(line.field("daemon"));
            last_said.insert((&line.file, &line.code, subject), number);
        }
    }
    let last_said: BTreeSet<usize> = last_said.into_values().collect();
    lines
        .iter()
        .enumerate()
        .filter(|(number, line)| {
            let around = is_near(line) && is_background(line);
            let fingerprint = line.field("fingerprint");
            let is_alike = fingerprint.is_some_and(|own| fingerprints.contains(own));
            line.is_of(request) || is_alike || around || last_said.contains(number)
        })
        .map(|(_, line)| line.clone())
        .collect()
}

fn told(line: &Line) -> String {
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
