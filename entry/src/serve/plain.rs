//! Handles requests to plain services; requests and responses pass through unchanged.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    caller_api::ErrorCode,
    fleet::{
        PlainService,
        Service, //
    },
    prelude::*,
    request::RequestTraits,
};
use http::{
    Method,
    Request,
    Response, //
};
use hyper::body::{
    Body,
    Incoming, //
};

use super::{
    body::{
        CallerBody,
        ResponseBody, //
    },
    caller::Caller,
    drive,
    replay::Replay,
    response::Refusal,
    server::Server,
    spec::{
        Kind,
        RequestOptions,
        Spec,
        SpecBody, //
    },
};

/// Handles a request to a plain service and returns its response.
pub(super) async fn answer(
    server: &Rc<Server>,
    caller: Caller,
    service: ServiceName,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let Some(Service::Plain(plain)) = caller.snapshot.config.services.get(&service) else {
        let message = format!("No plain service is named \"{service}\".");
        return Err(Refusal::new(ErrorCode::UnknownService, message));
    };
    let options = RequestOptions::read(server, request.headers())?;
    let traits = request_traits(plain, request.method(), &options);
    let callers = &server.settings.callers;
    let limit = callers.max_body_bytes;
    // A body whose announced length is too large is refused before anything is sent.
    if request.body().size_hint().lower() > limit.0 {
        let message = format!("The body is larger than {limit}.");
        return Err(Refusal::new(ErrorCode::TooLarge, message));
    }
    let pause_limit = Duration::from_millis(callers.read_timeout_ms);
    let request = request.map(|body| {
        let body = CallerBody::new(body, pause_limit, limit.0);
        SpecBody::Streamed(Replay::new(body))
    });
    let spec = Spec::new(caller, service, Kind::Plain, options, traits, request);
    drive::answer(server, spec).await
}

/// Returns whether a request may be sent more than once, and whether it needs a claim.
///
/// A request may not if its caller says so, or if its method is unsafe and the service does not
/// declare that unsafe methods are repeatable. With an idempotency key such a request needs a
/// claim, so that a client retry through another entry daemon does not run it again.
fn request_traits(
    plain: &PlainService,
    method: &Method,
    options: &RequestOptions,
) -> RequestTraits {
    let is_repeatable_method = method.is_safe() || plain.unsafe_methods_are_repeatable;
    let is_repeatable = is_repeatable_method && !options.is_not_repeatable;
    RequestTraits {
        needs_claim: !is_repeatable && options.idempotency_key.is_some(),
        is_repeatable,
    }
}
