//! The entry daemon's edge: translates the HTTP headers of callers and upstreams.
//!
//! An edge decides nothing: the serving thread decides whether a request is admitted, to which
//! upstream it goes, whether it is retried and how it is answered.

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

/// The values of a caller's request headers; `None` where a header is absent or cannot be parsed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHeaders {
    /// The request's id, which the caller has chosen.
    pub request_id: Option<String>,
    /// The API key, which identifies the caller.
    pub key: Option<String>,
    /// How long the caller waits for the answer, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The model that the caller requests.
    pub model: Option<String>,
    /// The number of tokens in the prompt, as the caller states it.
    pub prompt_tokens: Option<u64>,
    /// The maximum number of tokens in the answer, as the caller states it.
    pub answer_tokens: Option<u64>,
    /// The number of the last event that the caller has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The names of the prompt's parts that other requests may share, in order; equal parts have
    /// equal names.
    pub prompt_parts: Vec<String>,
}

/// The values that this daemon adds to the headers of a request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequestHeaders<'a> {
    /// How long the upstream may work on the request, in milliseconds.
    pub deadline_ms: u64,
    /// The process instance that must run the request; another instance at the address must not.
    pub instance: &'a InstanceId,
    /// The team of the caller; a team header from the caller is removed.
    pub team: Option<&'a str>,
    /// The urgency of the request, from 0 (runs first) to 9 (runs last).
    pub urgency: u8,
    /// The number of the event after which the upstream must continue the stream, if the caller or
    /// this daemon resumes one.
    pub last_event: Option<u64>,
}

/// The values of the headers of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// The id of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the answer carries the header by which upstreams mark their own answers.
    pub is_marked: bool,
    /// Whether the upstream states that it did not run the request.
    pub did_not_run: bool,
    /// The upstream's load, as the upstream reports it.
    pub load: Option<LoadReport>,
    /// The upstream whose loss caused the failure, according to the answer.
    pub at_fault: Option<String>,
    /// How long the upstream keeps an idle connection open; `None` if the answer does not state it.
    pub keeps_for: Option<Duration>,
    /// The upstream's limit on the rate of requests from all daemons together.
    pub rate: NamedRate,
    /// The time during which the upstream wants no request from this daemon.
    pub backoff: NamedBackoff,
    /// Whether the upstream is shutting down and wants no new requests.
    pub leaving: Named<bool>,
}

/// The value of an optional header of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Named<T> {
    /// The header is absent.
    #[default]
    Unsaid,
    /// The header has this value.
    Named(T),
    /// The header cannot be parsed; this says why, and may quote the value.
    Unreadable(String),
}

/// An upstream's limit on the number of requests per second from all daemons together.
pub type NamedRate = Named<RequestRate>;

/// The time during which an upstream that refused a request wants no more from this daemon.
pub type NamedBackoff = Named<BackoffTime>;

/// An answer that this daemon gives itself, without an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnAnswer<'a> {
    /// The HTTP status.
    pub status: StatusCode,
    /// The id of the request that is answered, if the caller has sent one.
    pub request_id: Option<&'a str>,
    /// The time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// The code of the error, from a closed set.
    pub code: &'static str,
    /// One sentence that explains the error to people.
    pub message: &'a str,
}

/// Translates between HTTP headers and the daemon's own types.
pub trait CallerEdge: Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    fn read_caller(&self, headers: &HeaderMap) -> CallerHeaders;

    /// Writes this daemon's values into a request's headers and removes the caller's secrets.
    fn write_upstream(&self, headers: &mut HeaderMap, values: &UpstreamRequestHeaders<'_>);

    /// Reads the headers of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamSignals;

    /// Returns the HTTP response for an answer that this daemon gives itself.
    fn own_answer(&self, answer: &OwnAnswer<'_>) -> Response<Bytes>;
}
