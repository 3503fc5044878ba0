//! Identifies the caller of a request by its headers.

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

/// The team and the id of a request, and the snapshot that it is served by.
pub(super) struct Caller {
    pub(super) team: TeamName,
    pub(super) request_id: RequestId,
    /// Reserves the request id until the request ends.
    _in_use: RequestIdInUse,
    pub(super) snapshot: Arc<RoutingSnapshot>,
}

/// Reserves the caller's request id, or a new one if that is missing, invalid or in use.
///
/// Returns `None` if no valid new id could be made.
pub(super) fn reserve_request_id(server: &Server, headers: &HeaderMap) -> Option<RequestIdInUse> {
    headers::text(headers, HEADER_REQUEST_ID)
        .and_then(|id| id.parse().ok())
        .and_then(|id| server.request_ids.reserve(id))
        .or_else(|| server.request_ids.reserve(server.new_request_id()?))
}

/// Finds the caller's team by its API key.
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
