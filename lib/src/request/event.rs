//! Server-sent events as engines stream them.

use std::borrow::Cow;

use serde::Deserialize;

/// The data of the last event of a stream.
pub const DONE_DATA: &str = "[DONE]";

/// Returns the length of the first whole event, its closing blank line included.
///
/// Lines end in LF or CRLF; `None` says that the event is not whole yet.
pub fn first_event_len(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    loop {
        let length = bytes[line_start..].iter().position(|byte| *byte == b'\n')?;
        let line = &bytes[line_start..line_start + length];
        line_start += length + 1;
        if line.is_empty() || line == b"\r" {
            return Some(line_start);
        }
    }
}

/// One event, as far as its order and identity matter.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamEvent<'a> {
    /// Its position in the stream, from the `id` field.
    pub position: Option<u64>,
    /// Its data; `None` for comments and blank lines.
    pub data: Option<Cow<'a, str>>,
}

/// What the data of an event says about where it belongs.
#[derive(Debug, Default, Deserialize, Eq, PartialEq)]
pub struct EventIdentity<'a> {
    /// The generation, which is the completion's id.
    #[serde(borrow, default)]
    pub id: Option<Cow<'a, str>>,
    /// The request it answers, if the engine says so.
    #[serde(borrow, default)]
    pub request_id: Option<Cow<'a, str>>,
}

impl<'a> StreamEvent<'a> {
    /// Reads one whole event; `None` if it is not text or its position is no number.
    pub fn parse(bytes: &'a [u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut event = StreamEvent::default();
        for line in text.lines() {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "id" => event.position = Some(value.parse().ok()?),
                "data" => event.add_data(value),
                _ => {}
            }
        }
        Some(event)
    }

    /// Returns whether it ends the stream.
    pub fn is_done(&self) -> bool {
        self.data.as_deref() == Some(DONE_DATA)
    }

    /// Reads the identity in the data; `None` if the data is not the JSON of a completion.
    pub fn identity(&self) -> Option<EventIdentity<'_>> {
        serde_json::from_str(self.data.as_deref()?).ok()
    }

    fn add_data(&mut self, line: &'a str) {
        self.data = Some(match self.data.take() {
            None => Cow::Borrowed(line),
            Some(before) => Cow::Owned(format!("{before}\n{line}")),
        });
    }
}
