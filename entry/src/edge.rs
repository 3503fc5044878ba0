//! The entry daemon's edge: how callers and upstreams write what they say.
//!
//! An edge only translates headers. What a request may do, where it goes, whether it is
//! sent once more and what it is answered is decided by the serving thread.

use std::time::Duration;

use bytes::Bytes;
use cicadabend::{
    dispatch::LoadReport,
    prelude::*,
    registry::InstanceId, //
};
use http::{
    HeaderMap,
    Response,
    StatusCode, //
};

/// What a request's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHeaders {
    /// The request's id.
    pub request_id: Option<String>,
    /// The key that tells who calls.
    pub key: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The model it is for.
    pub model: Option<String>,
    /// The tokens of its prompt.
    pub prompt_tokens: Option<u64>,
    /// The most tokens of its answer.
    pub answer_tokens: Option<u64>,
    /// The last event that the caller has, if it asks for the rest of a stream.
    pub last_event: Option<u64>,
}

/// What this daemon tells an upstream with a request.
#[derive(Clone, Debug)]
pub struct UpstreamRequestHeaders<'a> {
    /// How long the upstream may work, in milliseconds.
    pub deadline_ms: u64,
    /// The run that is meant; another one at the address must not run the request.
    pub instance: &'a InstanceId,
    /// The team that calls; whatever the caller says of it is removed.
    pub team: Option<&'a str>,
    /// How urgent it is; 0 goes first, 9 last.
    pub urgency: u8,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What an upstream's answer says besides its status and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// The request it answers.
    pub request_id: Option<String>,
    /// Whether it bears the mark of an upstream's own answer.
    pub is_marked: bool,
    /// Whether the upstream says that it did not run the request.
    pub did_not_run: bool,
    /// The upstream's load.
    pub load: Option<LoadReport>,
    /// The upstream whose loss the failure is put down to.
    pub at_fault: Option<String>,
    /// How long the upstream keeps the connection; `None` if it does not say.
    pub keeps_for: Option<Duration>,
    /// The rate of requests that the upstream takes from all daemons together.
    pub rate: NamedRate,
    /// For how long the upstream wants no request from this daemon.
    pub backoff: NamedBackoff,
    /// Whether the upstream is shutting down and wants no new requests.
    pub leaving: Named<bool>,
}

/// A value that an answer may name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Named<T> {
    /// Nothing.
    #[default]
    Unsaid,
    /// This value.
    Named(T),
    /// Something that is no such value; the text is cut.
    Unreadable(String),
}

/// What an answer says of the requests a second that its upstream takes from all daemons together.
pub type NamedRate = Named<RequestRate>;

/// What a refusal says of the time for which its upstream wants no request from this daemon.
pub type NamedBackoff = Named<BackoffTime>;

/// An answer of this daemon's own.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnAnswer<'a> {
    /// The status.
    pub status: StatusCode,
    /// The request it answers, if it had an id.
    pub request_id: Option<&'a str>,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// The closed code, for people.
    pub code: &'static str,
    /// One sentence for people.
    pub message: &'a str,
}

/// Translates between headers and the daemon's own words.
pub trait CallerEdge: Send + Sync + 'static {
    /// Reads a request's headers.
    fn read_caller(&self, headers: &HeaderMap) -> CallerHeaders;

    /// Puts this daemon's words into a request's headers and takes the caller's secrets out.
    fn write_upstream(&self, headers: &mut HeaderMap, words: &UpstreamRequestHeaders<'_>);

    /// Reads an answer's headers.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamSignals;

    /// Writes an answer of this daemon's own.
    fn own_answer(&self, answer: &OwnAnswer<'_>) -> Response<Bytes>;
}
