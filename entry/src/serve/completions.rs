//! Handles completion requests to model services.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    caller_api::ErrorCode,
    fleet::Service,
    prelude::*,
    request::RequestTraits, //
};
use cicadabend_daemon::{
    bodies::{
        BodyReadError,
        HeldBody, //
    },
    connections::ConnectionRequest, //
};
use http::{
    Request,
    Response, //
};
use hyper::body::Incoming;
use serde::Deserialize;

use super::{
    body::{
        BodyError,
        CallerBody,
        ResponseBody, //
    },
    caller::Caller,
    drive,
    response::Refusal,
    server::Server,
    spec::{
        Kind,
        RequestOptions,
        Spec,
        SpecBody, //
    },
};

/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

/// The fields of a completion request that the daemon reads; the engine reads the others.
#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Handles a completion request and returns its response.
pub(super) async fn answer(
    server: &Rc<Server>,
    caller: Caller,
    request: Request<Incoming>,
    on_connection: &ConnectionRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    let options = RequestOptions::read(server, request.headers())?;
    let (parts, body) = request.into_parts();
    let body = read_body(server, body).await?;
    on_connection.begin();
    let completion = parse(&body).map_err(|error| {
        let message = format!("The body is not a completion request: {error}.");
        Refusal::new(ErrorCode::BadRequest, message)
    })?;
    let service = find_model_service(&caller, &completion.model)?;
    let kind = Kind::Completion {
        is_streamed: completion.stream,
    };
    let traits = RequestTraits {
        needs_claim: options.is_not_repeatable,
        is_repeatable: !options.is_not_repeatable,
    };
    let prompt_tokens = TokenCount(body.length() / BYTES_PER_TOKEN);
    let request = Request::from_parts(parts, SpecBody::Held(Rc::new(body)));
    let mut spec = Spec::new(caller, service, kind, options, traits, request);
    spec.prompt_tokens = prompt_tokens;
    drive::answer(server, spec).await
}

fn find_model_service(caller: &Caller, model: &str) -> Result<ServiceName, Refusal> {
    let name = model.parse::<ServiceName>().ok();
    let known = |name: &ServiceName| {
        let service = caller.snapshot.config.services.get(name);
        matches!(service, Some(Service::Model(_)))
    };
    name.filter(known).ok_or_else(|| {
        let message = format!("No model is named {model:?}.");
        Refusal::new(ErrorCode::UnknownService, message)
    })
}

/// Reads a whole body into memory; completions may have to be sent twice.
async fn read_body(server: &Server, body: Incoming) -> Result<HeldBody, Refusal> {
    let callers = &server.settings.callers;
    let pause_limit = Duration::from_millis(callers.read_timeout_ms);
    let mut body = CallerBody::new(body, pause_limit, callers.max_body_bytes.0);
    let read = server
        .held_bodies
        .read(&mut body, callers.max_body_bytes)
        .await;
    read.map_err(|error| match error {
        BodyReadError::TooLong => body_refusal(&BodyError::TooLarge),
        BodyReadError::NoRoom => Refusal::new(
            ErrorCode::Overloaded,
            "The bodies of other requests take the memory.",
        ),
        BodyReadError::Broken(error) => body_refusal(&error),
    })
}

fn parse(body: &HeldBody) -> serde_json::Result<Completion> {
    match body.segments() {
        [whole] => serde_json::from_slice(whole),
        _ => serde_json::from_reader(body.reader()),
    }
}

/// Returns the error for a caller whose body could not be read.
pub(super) fn body_refusal(error: &BodyError) -> Refusal {
    let code = match error {
        BodyError::TooSlow => ErrorCode::CallerTooSlow,
        BodyError::TooLarge => ErrorCode::TooLarge,
        BodyError::Broken(_) | BodyError::AnswerBroken => ErrorCode::BadRequest,
    };
    Refusal::new(code, format!("The body could not be read: {error}."))
}
