//! Plain services: requests and answers pass through unchanged.

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
        CallerBody, //
        ResponseBody,
    },
    caller::Caller,
    drive,
    replay::Replay,
    response::Refusal,
    server::Server,
    spec::{
        Kind,
        RequestOptions, //
        Spec,
        SpecBody,
    },
};

/// Answers a request to a plain service.
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
    let traits = traits(plain, request.method(), &options);
    let callers = &server.settings.callers;
    let limit = callers.max_body_bytes;
    // A length that is known to be too large is refused before anything is sent.
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

/// A request is not repeatable if the caller or its method says so.
///
/// With an idempotency key such a request is also claimed, so that a resend over
/// another entry daemon does not run it again.
fn traits(plain: &PlainService, method: &Method, options: &RequestOptions) -> RequestTraits {
    let is_repeatable_method = method.is_safe() || plain.unsafe_methods_are_repeatable;
    let is_repeatable = is_repeatable_method && !options.is_not_repeatable;
    RequestTraits {
        needs_claim: !is_repeatable && options.idempotency_key.is_some(),
        is_repeatable,
    }
}
