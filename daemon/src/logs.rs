//! Log lines, one for each event, by `log` and `fern`.
//!
//! Text: `2026-12-02T17:45:00.123Z INFO serve CB1101 listening for callers address=127.0.0.1:80`.
//! JSON: the same as one object on each line, if the settings say `"format": "json"`.
//!
//! A program calls [`start`] once; everything else uses [`events!`](crate::events!).
//! The thread `logs` writes; see [`queue`].

use std::{
    fmt::Write,
    io,
    sync::OnceLock,
    thread,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use displaydoc::Display;
use log::{
    LevelFilter, Record,
    kv::{
        self,
        Key,
        Value,
        VisitSource, //
    },
};
use serde_json::{
    Map,
    Value as Json, //
};
use thiserror::Error;

use crate::{
    daemon_events::LogEvent,
    settings::{
        LogFormat,
        LogLevel,
        LogOutput,
        LogSettings, //
    },
};

pub mod budget;
pub mod queue;

use queue::LineQueue;

/// How long a program that ends waits for its last lines.
const FLUSH_LIMIT: Duration = Duration::from_secs(1);

/// Why log lines cannot be written.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// cannot open the log file {path}: {source}
    Open {
        /// The file.
        path: String,
        /// What the operating system says.
        source: io::Error,
    },
    /// a logger has been started already
    Twice,
    /// cannot start the thread that writes log lines: {0}
    Thread(io::Error),
}

/// Starts writing log lines as the settings say.
///
/// # Errors
///
/// Returns [`LogError`] if the file cannot be opened or a logger runs already.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let format = settings.format;
    let losses = move |lines| losses_line(format, lines);
    let queue = match &settings.file {
        None => match settings.output {
            LogOutput::Stdout => LineQueue::start(io::stdout(), losses),
            LogOutput::Stderr => LineQueue::start(io::stderr(), losses),
        },
        Some(path) => {
            let file = fern::log_file(path).map_err(|source| LogError::Open {
                path: path.clone(),
                source,
            })?;
            LineQueue::start(file, losses)
        }
    };
    let queue = queue.map_err(LogError::Thread)?;
    let writer = queue.clone();
    fern::Dispatch::new()
        .level(filter_of(settings.level))
        .chain(fern::Output::call(move |record| {
            writer.push(line_of(format, record, wall_clock()));
        }))
        .apply()
        .map_err(|_| LogError::Twice)?;
    // The logger can be applied only once, so this is empty.
    let _ = QUEUE.set(queue);
    Ok(())
}

static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Waits until every line so far is written; a program calls this before it ends.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(FLUSH_LIMIT);
    }
}

/// Returns the line that tells of lines that were dropped.
fn losses_line(format: LogFormat, lines: u64) -> String {
    let mut line = String::new();
    LogEvent::LinesDropped { lines }.with_record(&mut |record| {
        line = line_of(format, record, wall_clock());
    });
    line
}

fn filter_of(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns the line for one record, without its line feed.
pub fn line_of(format: LogFormat, record: &Record<'_>, since_1970: Duration) -> String {
    match format {
        LogFormat::Text => text_line(record, since_1970),
        LogFormat::Json => json_line(record, since_1970),
    }
}

fn text_line(record: &Record<'_>, since_1970: Duration) -> String {
    let mut line = format!(
        "{} {:5} {} {} {}",
        utc_text(since_1970),
        record.level(),
        thread_name(),
        record.target(),
        one_line(&record.args().to_string()),
    );
    for (key, value) in fields_of(record) {
        // Writing into a string cannot fail.
        let _ = write!(line, " {key}={}", quoted_if_needed(&value));
    }
    line
}

fn json_line(record: &Record<'_>, since_1970: Duration) -> String {
    let mut object = Map::new();
    let fields: Map<String, Json> = fields_of(record)
        .into_iter()
        .map(|(key, value)| (key, Json::String(value)))
        .collect();
    object.insert("time".to_owned(), Json::String(utc_text(since_1970)));
    object.insert("level".to_owned(), record.level().as_str().into());
    object.insert("thread".to_owned(), thread_name().into());
    object.insert("code".to_owned(), record.target().into());
    object.insert("text".to_owned(), record.args().to_string().into());
    object.insert("fields".to_owned(), Json::Object(fields));
    Json::Object(object).to_string()
}

fn thread_name() -> String {
    thread::current().name().unwrap_or("unnamed").to_owned()
}

/// Keeps one event on one line: a line feed from outside must not look like a further event.
fn one_line(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('\n', "\\n")
        .replace('\r', "\\r")
}

fn quoted_if_needed(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    Json::String(value.to_owned()).to_string()
}

fn fields_of(record: &Record<'_>) -> Vec<(String, String)> {
    let mut collector = FieldCollector(Vec::new());
    // The collector returns no error of its own, and a source that fails has no more fields.
    let _ = record.key_values().visit(&mut collector);
    collector.0
}

struct FieldCollector(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

/// Returns a wall-clock time as RFC 3339 in UTC with milliseconds.
pub fn utc_text(since_1970: Duration) -> String {
    const SECONDS_PER_DAY: u64 = 86_400;
    let seconds = since_1970.as_secs();
    let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
    let second_of_day = seconds % SECONDS_PER_DAY;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
        since_1970.subsec_millis(),
    )
}

/// Returns year, month and day of a day counted from 1970-01-01 in the Gregorian calendar.
///
/// Years are counted from 1 March, so that the leap day is the last day of its year.
fn civil_date(days_since_1970: u64) -> (u64, u64, u64) {
    const DAYS_FROM_0000_03_01: u64 = 719_468;
    const DAYS_PER_400_YEARS: u64 = 146_097;
    let days = days_since_1970 + DAYS_FROM_0000_03_01;
    let era = days / DAYS_PER_400_YEARS;
    let day_of_era = days % DAYS_PER_400_YEARS;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
