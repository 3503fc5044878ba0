//! What a caller's headers say about a request.

use std::sync::Arc;

use cicadabend::{
    caller_api::{
        ErrorCode,
        HEADER_AUTHORIZATION,
        HEADER_REQUEST_ID, //
    },
    prelude::*,
    routing::RoutingSnapshot,
};
use http::HeaderMap;

use super::{
    headers,
    request_ids::RequestIdInUse,
    response::Refusal,
    server::Server, //
};

/// The scheme of the `authorization` header.
const BEARER: &str = "Bearer ";

/// A request's identity, the same through its whole life.
pub(super) struct Caller {
    pub(super) team: TeamName,
    pub(super) request_id: RequestId,
    _in_use: RequestIdInUse,
    pub(super) snapshot: Arc<RoutingSnapshot>,
}

/// Takes the caller's request id, or a new one if it is missing, unusable or in use.
pub(super) fn take_request_id(server: &Server, headers: &HeaderMap) -> Option<RequestIdInUse> {
    headers::text(headers, HEADER_REQUEST_ID)
        .and_then(|id| id.parse().ok())
        .and_then(|id| server.request_ids.take(id))
        .or_else(|| server.request_ids.take(server.new_request_id()?))
}

/// Finds out who calls.
pub(super) fn identify(
    server: &Server,
    headers: &HeaderMap,
    request_id: RequestIdInUse,
) -> Result<Caller, Refusal> {
    let snapshot = server.snapshot.load_full();
    let key = headers::text(headers, HEADER_AUTHORIZATION)
        .and_then(|value| value.strip_prefix(BEARER))
        .map(str::trim);
    let Some(key) = key else {
        return Err(Refusal::new(
            ErrorCode::Unauthorized,
            "Send the API key as 'Authorization: Bearer KEY'.",
        ));
    };
    match server.team_of_key(&snapshot.config, key) {
        Some(team) => Ok(Caller {
            team,
            request_id: request_id.id().clone(),
            _in_use: request_id,
            snapshot,
        }),
        None => Err(Refusal::new(
            ErrorCode::Unauthorized,
            "The API key is unknown.",
        )),
    }
}
