//! Plain services: requests and answers pass through unchanged.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    caller_api::{
        ErrorCode,
        HEADER_AUTHORIZATION,
        HEADER_GROUP as HEADER_ANSWERED_BY,
        HEADER_REQUEST_ID,
        HEADER_REVISION, //
    },
    fleet::Service,
    prelude::*,
    routing::{
        Replica,
        ReplicaId, //
    },
    upstream_api::{
        HEADER_FENCING_TOKEN,
        HEADER_GROUP, //
    },
};
use http::{
    HeaderMap,
    HeaderValue,
    Request,
    Response,
    Uri,
    header, //
};
use hyper::body::Incoming;

use super::{
    answer::Refusal,
    body::{
        AnswerBody,
        CallerBody,
        PassedBody,
        RequestBody, //
    },
    caller::Caller,
    headers,
    server::Server,
    upstream::AttemptError, //
};

/// When to come back if no replica can take a request.
const NO_REPLICA_RETRY_MS: u64 = 1_000;

/// Answers a request to a plain service.
pub(super) async fn answer(
    server: &Rc<Server>,
    caller: Caller,
    service: ServiceName,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    match caller.snapshot.config.services.get(&service) {
        Some(Service::Plain(_)) => {}
        _ => {
            let message = format!("No plain service is named {service:?}.");
            return Err(Refusal::new(ErrorCode::UnknownService, message));
        }
    }
    let replica = choose(server, &caller, &service)?;
    let callers = &server.settings.callers;
    let pause_limit = Duration::from_millis(callers.read_timeout_ms);
    let limit_bytes = callers.max_body_bytes.0;
    let request =
        request.map(|body| RequestBody::Streamed(CallerBody::new(body, pause_limit, limit_bytes)));
    forward(server, &caller, &replica, request).await
}

/// Chooses the replica for a request.
pub(super) fn choose(
    server: &Server,
    caller: &Caller,
    service: &ServiceName,
) -> Result<Replica, Refusal> {
    server
        .next_replica(&caller.snapshot, service)
        .ok_or_else(|| {
            let message = format!("No whole replica of {service} can take the request now.");
            Refusal::new(ErrorCode::NotRun, message).retry_after_ms(NO_REPLICA_RETRY_MS)
        })
}

/// Sends a request to a replica and passes the answer on.
pub(super) async fn forward(
    server: &Rc<Server>,
    caller: &Caller,
    replica: &Replica,
    request: Request<RequestBody>,
) -> Result<Response<AnswerBody>, Refusal> {
    let request = upstream_request(caller, replica, request);
    let lease = server
        .pool
        .lease(replica.address)
        .await
        .map_err(|error| attempt_refusal(&error))?;
    let (response, lease) = lease
        .send(request)
        .await
        .map_err(|error| attempt_refusal(&error))?;
    let mut answer = response.map(|incoming| AnswerBody::Passed(PassedBody::new(incoming, lease)));
    headers::remove_hop_by_hop(answer.headers_mut());
    let revision = caller.snapshot.revision.to_string();
    headers::set(answer.headers_mut(), HEADER_REVISION, &revision);
    let by = replica.id.to_string();
    headers::set(answer.headers_mut(), HEADER_ANSWERED_BY, &by);
    Ok(answer)
}

fn attempt_refusal(error: &AttemptError) -> Refusal {
    let code = match error {
        AttemptError::NotConnected { .. } | AttemptError::NothingWritten { .. } => {
            ErrorCode::NotRun
        }
        AttemptError::Broken { .. } => ErrorCode::OutcomeUnknown,
    };
    Refusal::new(code, format!("The replica did not answer: {error}."))
}

/// Turns a caller's request into the one that the replica gets.
fn upstream_request(
    caller: &Caller,
    replica: &Replica,
    request: Request<RequestBody>,
) -> Request<RequestBody> {
    let (mut head, body) = request.into_parts();
    let path = head.uri.path_and_query().cloned();
    head.uri = path.map(Uri::from).unwrap_or_default();
    head.version = http::Version::HTTP_11;
    headers::remove_hop_by_hop(&mut head.headers);
    // The key is the caller's secret; upstreams have no use for it.
    head.headers.remove(HEADER_AUTHORIZATION);
    set_upstream_headers(&mut head.headers, caller, replica);
    Request::from_parts(head, body)
}

fn set_upstream_headers(map: &mut HeaderMap, caller: &Caller, replica: &Replica) {
    if let Ok(host) = HeaderValue::from_str(&replica.address.to_string()) {
        map.insert(header::HOST, host);
    }
    headers::set(map, HEADER_REQUEST_ID, caller.request_id.as_str());
    if let ReplicaId::Group(group) = &replica.id {
        headers::set(map, HEADER_GROUP, group.as_str());
        let token = replica.token.to_number().to_string();
        headers::set(map, HEADER_FENCING_TOKEN, &token);
    }
}
