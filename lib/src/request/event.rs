//! Parsing of server-sent events, as engines stream them.

use std::borrow::Cow;

use serde::Deserialize;

/// Data of the event that ends a stream.
pub const DONE_DATA: &str = "[DONE]";

/// Returns the length in bytes of the first complete event, its closing blank line included.
///
/// Returns `None` while the event is incomplete. Lines may end in LF or CRLF.
pub fn first_event_len(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    loop {
        let line_len = bytes[line_start..].iter().position(|byte| *byte == b'\n')?;
        let line = &bytes[line_start..line_start + line_len];
        line_start += line_len + 1;
        if line.is_empty() || line == b"\r" {
            return Some(line_start);
        }
    }
}

/// Position and data of one event; other fields are ignored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamEvent<'a> {
    /// Position of the event in the stream, from the `id` field.
    pub position: Option<u64>,
    /// Lines of the `data` fields, joined by LF; `None` if there are none, as in a comment.
    pub data: Option<Cow<'a, str>>,
}

/// Generation and request to which an event belongs, from its data.
#[derive(Debug, Default, Deserialize, Eq, PartialEq)]
pub struct EventIdentity<'a> {
    /// Id of the generation, which is the completion's id.
    #[serde(borrow, default)]
    pub id: Option<Cow<'a, str>>,
    /// Id of the request that the event answers, if the engine sends one.
    #[serde(borrow, default)]
    pub request_id: Option<Cow<'a, str>>,
}

impl<'a> StreamEvent<'a> {
    /// Parses one complete event; returns `None` if the bytes are not UTF-8 or the position is not
    /// a number.
    pub fn parse(bytes: &'a [u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut event = StreamEvent::default();
        for line in text.lines() {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "id" => event.position = Some(value.parse().ok()?),
                "data" => event.append_data_line(value),
                _ => {}
            }
        }
        Some(event)
    }

    /// Returns whether the event ends the stream.
    pub fn is_done(&self) -> bool {
        self.data.as_deref() == Some(DONE_DATA)
    }

    /// Parses the identity from the data; returns `None` without data, or if the data is not the
    /// JSON of a completion.
    pub fn identity(&self) -> Option<EventIdentity<'_>> {
        serde_json::from_str(self.data.as_deref()?).ok()
    }

    fn append_data_line(&mut self, line: &'a str) {
        self.data = Some(match self.data.take() {
            None => Cow::Borrowed(line),
            Some(earlier_lines) => Cow::Owned(format!("{earlier_lines}\n{line}")),
        });
    }
}
