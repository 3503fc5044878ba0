//! Finding all values of a wrong type, although the deserializer stops at the first.
//!
//! Each wrong value is replaced by the one that the example settings have in
//! the same place, and the text is read again. What is read that way is used
//! to look for further problems only, never to start a process.

use serde_json::Value;
use serde_path_to_error::{
    Path,
    Segment, //
};

use super::{
    Problem,
    Settings, //
};

/// After this many problems a reader has enough to do.
const MAX_PROBLEMS: usize = 64;
/// The longest part of a found value that is shown, in characters.
const SHOWN_CHARACTERS: usize = 80;

/// Returns the settings, with wrong values replaced, and what was wrong.
///
/// No settings are returned if a wrong value could not be replaced.
pub(super) fn typed<S: Settings>(mut value: Value) -> (Option<S>, Vec<Problem>) {
    // Without an example nothing is repaired; a test checks that it is JSON.
    let example = serde_json::from_str(S::EXAMPLE).unwrap_or_default();
    let mut problems: Vec<Problem> = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, S>(&value) {
            Ok(settings) => return (Some(settings), problems),
            Err(error) => error,
        };
        let failure = Failure::new(error.path(), &error.inner().to_string());
        let problem = failure.problem(&value);
        if problems.contains(&problem) {
            return (None, problems);
        }
        problems.push(problem);
        if !failure.repair(&mut value, &example) {
            return (None, problems);
        }
    }
    (None, problems)
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Step {
    Key(String),
    Index(usize),
}

/// What the deserializer stumbled over.
enum Cause {
    UnknownField(String),
    MissingField(String),
    WrongValue,
}

struct Failure {
    /// Where; for a field that is unknown or missing, the object it is about.
    steps: Vec<Step>,
    cause: Cause,
    message: String,
}

impl Failure {
    fn new(path: &Path, message: &str) -> Self {
        let mut steps: Vec<Step> = path.iter().filter_map(step_of).collect();
        let cause = cause_of(message);
        if let Cause::UnknownField(name) = &cause
            && steps.last() == Some(&Step::Key(name.clone()))
        {
            steps.pop();
        }
        Self {
            steps,
            cause,
            message: message.to_owned(),
        }
    }

    fn problem(&self, value: &Value) -> Problem {
        let mut steps = self.steps.clone();
        if let Cause::UnknownField(name) | Cause::MissingField(name) = &self.cause {
            steps.push(Step::Key(name.clone()));
        }
        let found = match lookup(value, &steps) {
            Some(found) => shown(found),
            None => String::new(),
        };
        Problem {
            path: path_text(&steps),
            found,
            allowed: self.message.clone(),
        }
    }

    /// Returns whether something was changed.
    fn repair(&self, value: &mut Value, example: &Value) -> bool {
        match &self.cause {
            Cause::UnknownField(name) => match lookup_mut(value, &self.steps) {
                Some(Value::Object(object)) => object.remove(name).is_some(),
                _ => false,
            },
            Cause::MissingField(name) => {
                let mut steps = self.steps.clone();
                steps.push(Step::Key(name.clone()));
                let replacement = lookup(example, &in_example(&steps));
                match (lookup_mut(value, &self.steps), replacement) {
                    (Some(Value::Object(object)), Some(replacement)) => {
                        object.insert(name.clone(), replacement.clone()).is_none()
                    }
                    _ => false,
                }
            }
            Cause::WrongValue => {
                let replacement = lookup(example, &in_example(&self.steps));
                match (lookup_mut(value, &self.steps), replacement) {
                    (Some(place), Some(replacement)) if place != replacement => {
                        *place = replacement.clone();
                        true
                    }
                    _ => false,
                }
            }
        }
    }
}

fn step_of(segment: &Segment) -> Option<Step> {
    match segment {
        Segment::Map { key } => Some(Step::Key(key.clone())),
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Enum { variant } => Some(Step::Key(variant.clone())),
        Segment::Unknown => None,
    }
}

fn cause_of(message: &str) -> Cause {
    let quoted = |prefix: &str| {
        let rest = message.strip_prefix(prefix)?;
        rest.split('`').next().map(str::to_owned)
    };
    if let Some(name) = quoted("unknown field `") {
        return Cause::UnknownField(name);
    }
    match quoted("missing field `") {
        Some(name) => Cause::MissingField(name),
        None => Cause::WrongValue,
    }
}

/// The example has one item in each list.
fn in_example(steps: &[Step]) -> Vec<Step> {
    let first = |step: &Step| match step {
        Step::Index(_) => Step::Index(0),
        Step::Key(key) => Step::Key(key.clone()),
    };
    steps.iter().map(first).collect()
}

fn lookup<'v>(value: &'v Value, steps: &[Step]) -> Option<&'v Value> {
    steps.iter().try_fold(value, |value, step| match step {
        Step::Key(key) => value.get(key),
        Step::Index(index) => value.get(index),
    })
}

fn lookup_mut<'v>(value: &'v mut Value, steps: &[Step]) -> Option<&'v mut Value> {
    steps.iter().try_fold(value, |value, step| match step {
        Step::Key(key) => value.get_mut(key),
        Step::Index(index) => value.get_mut(index),
    })
}

fn path_text(steps: &[Step]) -> String {
    let mut path = "$".to_owned();
    for step in steps {
        match step {
            Step::Key(key) => path.push_str(&format!(".{key}")),
            Step::Index(index) => path.push_str(&format!("[{index}]")),
        }
    }
    path
}

fn shown(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= SHOWN_CHARACTERS {
        return text;
    }
    let start: String = text.chars().take(SHOWN_CHARACTERS).collect();
    format!("{start}…")
}
