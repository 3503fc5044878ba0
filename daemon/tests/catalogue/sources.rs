//! Finds declarations of events and counters in the text of the crates' sources.
//!
//! The text is read because a program without a library crate cannot be asked.

use std::{
    fs,
    path::Path, //
};

/// The crates whose events and counters users see.
const CRATES: [&str; 3] = ["daemon", "entry", "control"];

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Event {
    pub number: u16,
    pub crate_name: String,
    pub level: String,
    pub text: String,
    pub fields: Vec<String>,
    pub explanation: String,
}

impl Event {
    /// Whether two places write the same event.
    pub fn is_same(&self, other: &Event) -> bool {
        (&self.level, &self.text) == (&other.level, &other.text)
    }
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Metric {
    pub name: String,
    pub kind: &'static str,
    pub crate_name: String,
    pub explanation: String,
}

#[derive(Default)]
pub struct Sources {
    pub events: Vec<Event>,
    pub metrics: Vec<Metric>,
}

impl Sources {
    pub fn read(root: &Path) -> Self {
        let mut sources = Self::default();
        for name in CRATES {
            sources.read_folder(name, &root.join(name).join("src"));
        }
        sources.events.sort();
        sources.events.dedup();
        sources.metrics.sort();
        sources.metrics.dedup();
        sources
    }

    fn read_folder(&mut self, crate_name: &str, folder: &Path) {
        for file in fs::read_dir(folder).unwrap() {
            let path = file.unwrap().path();
            if path.is_dir() {
                self.read_folder(crate_name, &path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                self.read_file(crate_name, &fs::read_to_string(&path).unwrap());
            }
        }
    }

    fn read_file(&mut self, crate_name: &str, source: &str) {
        let code = without_comment_lines(source);
        for block in blocks(source, "events! {") {
            self.events.extend(declared_events(crate_name, &block));
        }
        self.events.extend(written_events(crate_name, &code));
        for block in blocks(source, "counters! {") {
            self.metrics.extend(declared_counters(crate_name, &block));
        }
        for (call, kind) in [(".gauge(\"", "gauge"), (".time(\"", "timer")] {
            self.metrics
                .extend(named_in_calls(crate_name, &code, call, kind));
        }
        // The sockets' totals are shown from a table of names, not from calls.
        let peers = named_in_calls(crate_name, &code, "(\"peers_", "gauge");
        self.metrics.extend(peers.map(|metric| Metric {
            name: format!("peers_{}", metric.name),
            ..metric
        }));
        let reasons = named_in_calls(crate_name, &code, ".count_reason(\"", "counter");
        self.metrics.extend(reasons.map(|metric| Metric {
            name: format!("{}.*", metric.name),
            ..metric
        }));
    }
}

/// Doc comments show macros too; these are no declarations.
fn without_comment_lines(source: &str) -> String {
    let lines = source
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"));
    lines.map(|line| format!("{line}\n")).collect()
}

/// Returns the lines inside each call of a macro, without the enclosing braces.
fn blocks(source: &str, start: &str) -> Vec<Vec<String>> {
    let mut found = Vec::new();
    let mut lines = source.lines();
    while let Some(line) = lines.next() {
        let is_call = line.trim_end().ends_with(start) && !line.trim_start().starts_with("//");
        if is_call {
            let inside = lines.by_ref().take_while(|line| line.trim_end() != "}");
            found.push(inside.map(|line| line.trim().to_owned()).collect());
        }
    }
    found
}

fn declared_events(crate_name: &str, block: &[String]) -> Vec<Event> {
    let mut events = Vec::new();
    let mut explanation = String::new();
    let mut declaration = String::new();
    for line in block {
        if let Some(doc) = line.strip_prefix("///") {
            join(&mut explanation, doc);
            continue;
        }
        join(&mut declaration, line);
        if declaration.ends_with(';') {
            let explanation = std::mem::take(&mut explanation);
            events.push(event(
                crate_name,
                &std::mem::take(&mut declaration),
                explanation,
            ));
        }
    }
    assert!(
        declaration.is_empty(),
        "{declaration} does not end with ';'"
    );
    events
}

/// Reads `NUMBER LEVEL NAME { FIELD: TYPE, … } "TEXT";`.
fn event(crate_name: &str, declaration: &str, explanation: String) -> Event {
    let (head, rest) = declaration.split_once('{').unwrap();
    let (fields, text) = rest.rsplit_once('}').unwrap();
    let mut head = head.split_whitespace();
    Event {
        number: head.next().unwrap().parse().unwrap(),
        crate_name: crate_name.to_owned(),
        level: head.next().unwrap().to_lowercase(),
        text: text.trim_matches([' ', ';', '"']).to_owned(),
        fields: field_names(fields),
        explanation,
    }
}

/// A comma inside a type's brackets separates no fields.
fn field_names(fields: &str) -> Vec<String> {
    let mut depth = 0;
    let mut parts = vec![String::new()];
    for letter in fields.chars() {
        match letter {
            '<' | '(' | '[' => depth += 1,
            '>' | ')' | ']' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(String::new());
                continue;
            }
            _ => {}
        }
        parts.last_mut().unwrap().push(letter);
    }
    let names = parts.iter().filter_map(|part| part.split_once(':'));
    names.map(|(name, _)| name.trim().to_owned()).collect()
}

/// Finds events that are written without a declaration: `log::info!("CB1101 text key={value}")`.
fn written_events(crate_name: &str, code: &str) -> Vec<Event> {
    let mut events = Vec::new();
    for level in ["error", "warn", "info", "debug"] {
        for call in code.split(&format!("log::{level}!(")).skip(1) {
            let Some(format) = call.trim_start().strip_prefix("\"CB") else {
                continue;
            };
            let format = format.split('"').next().unwrap();
            let (number, text) = format.split_once(' ').unwrap();
            let words = text.split(' ');
            let (fields, words): (Vec<&str>, Vec<&str>) = words.partition(|w| w.contains('='));
            let names = fields.iter().filter_map(|field| field.split_once('='));
            events.push(Event {
                number: number.parse().unwrap(),
                crate_name: crate_name.to_owned(),
                level: level.to_owned(),
                text: words.join(" "),
                fields: names.map(|(name, _)| name.to_owned()).collect(),
                explanation: String::new(),
            });
        }
    }
    events
}

fn declared_counters(crate_name: &str, block: &[String]) -> Vec<Metric> {
    let mut metrics = Vec::new();
    let mut explanation = String::new();
    let mut group = None;
    for line in block {
        if let Some(doc) = line.strip_prefix("///") {
            join(&mut explanation, doc);
        } else if let Some((_, rest)) = line.split_once("= \"") {
            group = rest.split('"').next();
            explanation.clear();
        } else if let Some(variant) = line.strip_suffix(',') {
            let name = cicadabend_daemon::metrics::counter_name(group.unwrap(), variant);
            metrics.push(Metric {
                name,
                kind: "counter",
                crate_name: crate_name.to_owned(),
                explanation: std::mem::take(&mut explanation),
            });
        }
    }
    metrics
}

fn named_in_calls<'c>(
    crate_name: &'c str,
    code: &'c str,
    call: &'c str,
    kind: &'static str,
) -> impl Iterator<Item = Metric> + 'c {
    code.split(call).skip(1).map(move |rest| Metric {
        name: rest.split('"').next().unwrap().to_owned(),
        kind,
        crate_name: crate_name.to_owned(),
        explanation: String::new(),
    })
}

fn join(text: &mut String, more: &str) {
    let more = more.trim();
    if !text.is_empty() && !more.is_empty() {
        text.push(' ');
    }
    text.push_str(more);
}
