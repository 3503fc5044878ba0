//! Turns one HTTP request into one response.

use std::rc::Rc;

use cicadabend::{
    caller_api::{
        ErrorCode,
        HEADER_REQUEST_ID,
        HEADER_SERVICE,
        PATH_LIVE,
        PATH_READY,
        PLAIN_SERVICE_PREFIX, //
    },
    fleet::Service,
    prelude::*,
};
use cicadabend_daemon::connections::ConnectionRequest;
use http::{
    Method,
    Request,
    Response, //
};
use hyper::body::Incoming;

use super::{
    body::ResponseBody,
    caller::{
        self,
        Caller, //
    },
    completions,
    counts::Serving,
    events::LogEvent,
    headers,
    plain,
    request_ids::RequestIdInUse,
    response::{
        Refusal,
        json, //
    },
    server::Server, //
};

const PATH_CHAT_COMPLETIONS: &str = "/v1/chat/completions";
const PATH_COMPLETIONS: &str = "/v1/completions";
const PATH_MODELS: &str = "/v1/models";

/// Handles one request, which arrived `on_connection`; an error becomes an error response.
pub(super) async fn answer(
    server: Rc<Server>,
    request: Request<Incoming>,
    on_connection: &ConnectionRequest,
) -> Response<ResponseBody> {
    match request.uri().path() {
        PATH_LIVE => {
            on_connection.begin();
            return json(200, b"{\"live\":true}".to_vec());
        }
        PATH_READY => {
            on_connection.begin();
            return readiness_response(&server);
        }
        _ => {}
    }
    let Some(request_id) = caller::reserve_request_id(&server, request.headers()) else {
        return Refusal::new(ErrorCode::BadRequest, "The request has no usable id.")
            .to_response("");
    };
    let id = request_id.id().to_string();
    match dispatch(&server, request, request_id, on_connection).await {
        Ok(mut answer) => {
            headers::set(answer.headers_mut(), HEADER_REQUEST_ID, &id);
            answer
        }
        Err(refusal) => {
            server.counts.record_refusal(refusal.code);
            LogEvent::debug(|| LogEvent::Refused {
                request: id.clone(),
                code: refusal.code.name(),
                message: refusal.message.clone(),
            });
            refusal.to_response(&id)
        }
    }
}

/// Returns 200 if the balancer should send callers to this daemon, otherwise 503.
fn readiness_response(server: &Server) -> Response<ResponseBody> {
    match server.is_ready() {
        true => json(200, b"{\"ready\":true}".to_vec()),
        false => json(503, b"{\"ready\":false}".to_vec()),
    }
}

/// Checks the request's headers and key, and passes it to the handler of its path.
async fn dispatch(
    server: &Rc<Server>,
    request: Request<Incoming>,
    request_id: RequestIdInUse,
    on_connection: &ConnectionRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    check_header_size(server, &request)?;
    let caller = caller::identify(server, request.headers(), request_id)?;
    server.counts.count(Serving::Requests);
    LogEvent::debug(|| LogEvent::Received {
        request: caller.request_id.clone(),
        team: caller.team.clone(),
    });
    match (request.method(), request.uri().path()) {
        (&Method::POST, PATH_CHAT_COMPLETIONS | PATH_COMPLETIONS) => {
            completions::answer(server, caller, request, on_connection).await
        }
        (&Method::GET, PATH_MODELS) => Ok(list_models(&caller)),
        _ => {
            let service = plain_service_name(&request)?;
            on_connection.begin();
            plain::answer(server, caller, service, request).await
        }
    }
}

/// Returns an error if path and headers together exceed the limit.
fn check_header_size(server: &Server, request: &Request<Incoming>) -> Result<(), Refusal> {
    let limit = server.settings.callers.max_header_bytes;
    let size = headers::size_bytes(request.headers()) + request.uri().path().len();
    if size as u64 <= limit.0 {
        return Ok(());
    }
    Err(Refusal::new(
        ErrorCode::TooLarge,
        format!("The headers have {size} B; at most {limit} are allowed."),
    ))
}

/// Returns the name of the plain service that a path or a header names.
fn plain_service_name(request: &Request<Incoming>) -> Result<ServiceName, Refusal> {
    let from_path = request
        .uri()
        .path()
        .strip_prefix(PLAIN_SERVICE_PREFIX)
        .map(|rest| rest.split('/').next().unwrap_or(rest));
    let name = from_path.or_else(|| headers::text(request.headers(), HEADER_SERVICE));
    name.and_then(|name| name.parse().ok()).ok_or_else(|| {
        Refusal::new(
            ErrorCode::UnknownService,
            "Neither the path nor a header names a service.",
        )
    })
}

/// Returns the list of model services in the format of the OpenAI API.
fn list_models(caller: &Caller) -> Response<ResponseBody> {
    let services = caller.snapshot.config.services.iter();
    let models: Vec<_> = services
        .filter(|(_, service)| matches!(service, Service::Model(_)))
        .map(|(name, _)| serde_json::json!({"id": name, "object": "model", "created": 0, "owned_by": "cicadabend"}))
        .collect();
    let list = serde_json::json!({"object": "list", "data": models});
    json(200, list.to_string().into_bytes())
}
