//! The headers by which entry daemons relay requests to each other, and their values.

use cicadabend::{
    reach::RelayKey,
    registry::InstanceId, //
};
use http::HeaderMap;

use super::super::headers;

/// The key of the relay's process.
const HEADER_KEY: &str = "x-cicadabend-relay-key";
/// The instance of the upstream that is to get the request.
const HEADER_INSTANCE: &str = "x-cicadabend-relay-instance";
/// The name of the [`RelayAction`] that the relay is to take.
const HEADER_ACTION: &str = "x-cicadabend-relay-action";
/// The relay's report on what it did.
const HEADER_REPORT: &str = "x-cicadabend-relay-report";

/// Present if the upstream's head did not tell the length of the body.
const HEADER_NO_LENGTH: &str = "x-cicadabend-relay-no-length";

/// What a relay is asked to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RelayAction {
    /// To send a request that may run more than once.
    SendIdempotent,
    /// To send a request that may run only once.
    SendOnce,
    /// To connect to the upstream and send nothing.
    Connect,
}

const ACTIONS: [(RelayAction, &str); 3] = [
    (RelayAction::SendIdempotent, "send"),
    (RelayAction::SendOnce, "send-once"),
    (RelayAction::Connect, "connect"),
];

/// What a relay reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RelayReport {
    /// The response is the upstream's.
    Passed,
    /// The relay is connected to the upstream, as it was asked to.
    Connected,
    /// Nothing was sent: the request bears no valid key.
    Stranger,
    /// Nothing was sent: the relay has too many requests.
    NoRoom,
    /// Nothing was sent: the relay is stopping.
    Stopping,
    /// Nothing was sent: the relay has lost its links to upstreams of this group, too.
    GroupLost,
    /// Nothing was sent: the upstream can't be reached by the relay either.
    Unreached,
    /// Nothing was sent: nothing listens at the upstream's address.
    Refused,
    /// Nothing was sent: the relay doesn't know the instance, or knows that it has ended or leaves.
    UnknownInstance,
    /// Nothing was sent: the upstream has asked the relay for backoff.
    BackoffAsked,
    /// Nothing was sent: the request's body was not received.
    BodyIncomplete,
    /// The upstream may have run the request, but no complete response came.
    Broken,
}

const REPORTS: [(RelayReport, &str); 12] = [
    (RelayReport::Passed, "passed"),
    (RelayReport::Connected, "connected"),
    (RelayReport::Stranger, "stranger"),
    (RelayReport::NoRoom, "no-room"),
    (RelayReport::Stopping, "stopping"),
    (RelayReport::GroupLost, "group-lost"),
    (RelayReport::Unreached, "unreached"),
    (RelayReport::Refused, "refused"),
    (RelayReport::UnknownInstance, "unknown-instance"),
    (RelayReport::BackoffAsked, "backoff-asked"),
    (RelayReport::BodyIncomplete, "body-incomplete"),
    (RelayReport::Broken, "broken"),
];

impl RelayReport {
    /// Returns the report's name, as sent and logged.
    pub(super) fn name(self) -> &'static str {
        name_of(&REPORTS, self)
    }
}

fn name_of<T: Copy + PartialEq>(names: &[(T, &'static str)], value: T) -> &'static str {
    let found = names.iter().find(|(known, _)| *known == value);
    found.map_or("", |(_, name)| *name)
}

fn value_of<T: Copy>(names: &[(T, &str)], name: &str) -> Option<T> {
    let found = names.iter().find(|(_, known)| *known == name);
    found.map(|(value, _)| *value)
}

/// What a relay is asked, apart from the upstream's own request.
#[derive(Clone, Debug)]
pub(super) struct RelayRequest {
    pub(super) key: RelayKey,
    pub(super) instance: InstanceId,
    pub(super) action: RelayAction,
}

impl RelayRequest {
    /// Adds the headers to a request that an upstream could take as it is.
    pub(super) fn write(&self, headers: &mut HeaderMap) {
        headers::set(headers, HEADER_KEY, &self.key.to_string());
        headers::set(headers, HEADER_INSTANCE, &self.instance.to_string());
        headers::set(headers, HEADER_ACTION, name_of(&ACTIONS, self.action));
    }

    /// Removes the headers from a request and returns what they ask; `None` if any is missing or
    /// can't be parsed.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let key = take(headers, HEADER_KEY)?;
        let instance = take(headers, HEADER_INSTANCE)?;
        let action = take(headers, HEADER_ACTION)?;
        Some(Self {
            key: key.parse().ok()?,
            instance: instance.parse().ok()?,
            action: value_of(&ACTIONS, &action)?,
        })
    }
}

/// Sets a relay's report in the headers of its response, whatever the upstream's response has there.
pub(super) fn write_report(headers: &mut HeaderMap, report: RelayReport) {
    headers::set(headers, HEADER_REPORT, report.name());
}

/// Removes a relay's report from the headers of its response; `None` if it is missing or unknown.
pub(super) fn take_report(headers: &mut HeaderMap) -> Option<RelayReport> {
    value_of(&REPORTS, &take(headers, HEADER_REPORT)?)
}

/// Sets in the headers of a relay's response whether the upstream's own head told the body's length.
pub(super) fn write_tells_length(headers: &mut HeaderMap, tells_length: bool) {
    match tells_length {
        true => drop(headers.remove(HEADER_NO_LENGTH)),
        false => headers::set(headers, HEADER_NO_LENGTH, "1"),
    }
}

/// Removes from a relay's response what it says of the body's length, and returns that.
pub(super) fn take_tells_length(headers: &mut HeaderMap) -> bool {
    take(headers, HEADER_NO_LENGTH).is_none()
}

fn take(headers: &mut HeaderMap, name: &str) -> Option<String> {
    let value = headers.remove(name)?;
    value.to_str().ok().map(str::to_owned)
}
