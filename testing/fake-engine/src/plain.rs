//! A plain service: receipts, and echoes that stream the body through.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    caller_api::{
        HEADER_IDEMPOTENCY_KEY,
        HEADER_NOT_REPEATABLE,
        HEADER_REQUEST_ID, //
    },
    prelude::*,
};
use http::{
    HeaderMap,
    HeaderValue,
    Request,
    Response,
    StatusCode,
    header::CONTENT_TYPE, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    batch::{
        DEFAULT_PRIORITY,
        Slot, //
    },
    run::{
        Run,
        RunState, //
    },
    serve::{
        self,
        Answer,
        Body,
        BodyError,
        NoAnswer, //
    },
    settings::KindSettings,
    vm::Vm,
};

/// Requests whose path ends so are answered by a receipt; others get their body back.
const RECEIPT_SUFFIX: &str = "/receipt";
/// On echoes: the number of runs under the request's idempotency key, this one included.
pub const HEADER_RUN_COUNT: &str = "x-fake-run-count";
/// On echoes: the method, path and query as they arrived.
pub const HEADER_TARGET: &str = "x-fake-target";

/// The answer to a request for a receipt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// The VM that ran the request.
    pub vm: VmId,
    /// The request's id as it arrived.
    pub request_id: String,
    /// Its idempotency key as it arrived.
    pub idempotency_key: Option<String>,
    /// How many runs there were under that key, this one included.
    pub run_count: u64,
    /// The bytes of the body.
    pub body_bytes: u64,
}

/// One run of a plain request; dropping it frees its slot and closes it.
struct PlainRun {
    vm: Rc<Vm>,
    number: u64,
    state: RunState,
    slot: Option<Slot>,
}

impl PlainRun {
    fn complete(&mut self) {
        self.state = RunState::Complete;
    }
}

impl Drop for PlainRun {
    fn drop(&mut self) {
        self.vm.close_run(self.number, self.state);
    }
}

/// Answers a request of any method and path.
///
/// # Errors
///
/// Returns an error if the connection is to be closed without an answer.
pub async fn answer(vm: Rc<Vm>, request: Request<Incoming>) -> Answer {
    if vm.faults.borrow().refuse {
        return Ok(serve::refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "told to refuse",
        ));
    }
    let mut run = open(&vm, request.headers());
    run.slot = Some(vm.batch.acquire(DEFAULT_PRIORITY).await);
    let run_count = vm.runs.borrow_mut().start(run.number, |_| ());
    tokio::time::sleep(service_time(&vm)).await;
    let faults = vm.faults.borrow().clone();
    if faults.drop_after_start {
        run.state = RunState::Broken;
        return Err(NoAnswer::Broken);
    }
    if faults.garbage {
        return Ok(Response::new(serve::full("\u{1}{{{ no answer")));
    }
    if request.uri().path().ends_with(RECEIPT_SUFFIX) {
        return receipt(run, request, run_count).await;
    }
    Ok(echo(run, request, run_count))
}

fn open(vm: &Rc<Vm>, headers: &HeaderMap) -> PlainRun {
    let text = |name| {
        let value: Option<&HeaderValue> = headers.get(name);
        value.and_then(|v| v.to_str().ok()).map(str::to_owned)
    };
    let number = vm.open_run(Run {
        number: 0,
        vm: vm.settings.vm.clone(),
        boot: vm.boot,
        request_id: text(HEADER_REQUEST_ID).unwrap_or_default(),
        idempotency_key: text(HEADER_IDEMPOTENCY_KEY),
        not_repeatable: text(HEADER_NOT_REPEATABLE).as_deref() == Some("true"),
        session: None,
        generation: String::new(),
        group: None,
        started: false,
        arrived_ms: vm.clock.now().0,
        queued_ms: 0,
        prompt_tokens: 0,
        cached_tokens: 0,
        tokens_sent: 0,
        resumes: 0,
        state: RunState::Queued,
    });
    PlainRun {
        vm: Rc::clone(vm),
        number,
        state: RunState::CallerGone,
        slot: None,
    }
}

fn service_time(vm: &Vm) -> Duration {
    let time_ms = match &vm.settings.kind {
        KindSettings::Plain(plain) => plain.service_time_ms,
        KindSettings::Engine(_) => 0,
    };
    Duration::from_micros(vm.slowed_us(time_ms * 1_000))
}

async fn receipt(mut run: PlainRun, request: Request<Incoming>, run_count: u64) -> Answer {
    let headers = request.headers().clone();
    let mut body = request.into_body();
    let mut body_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(NoAnswer::Broken);
        };
        body_bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    let text = |name| {
        let value: Option<&HeaderValue> = headers.get(name);
        value.and_then(|v| v.to_str().ok()).map(str::to_owned)
    };
    run.state = RunState::Complete;
    let receipt = Receipt {
        vm: run.vm.settings.vm.clone(),
        request_id: text(HEADER_REQUEST_ID).unwrap_or_default(),
        idempotency_key: text(HEADER_IDEMPOTENCY_KEY),
        run_count,
        body_bytes,
    };
    Ok(serve::json(StatusCode::OK, &receipt))
}

/// Sends the body back frame by frame, trailers included.
fn echo(mut run: PlainRun, request: Request<Incoming>, run_count: u64) -> Response<Body> {
    let target = format!("{} {}", request.method(), request.uri());
    let kind = request.headers().get(CONTENT_TYPE).cloned();
    let trailer = request.headers().get(http::header::TRAILER).cloned();
    let mut incoming = request.into_body();
    let frames = futures_util::stream::poll_fn(move |context| {
        let polled = http_body::Body::poll_frame(std::pin::Pin::new(&mut incoming), context);
        if let std::task::Poll::Ready(None) = polled {
            run.complete();
        }
        polled.map_err(|_| BodyError::RequestBroken)
    });
    let body = http_body_util::StreamBody::new(frames);
    let mut response: Response<Body> = Response::new(Box::pin(body));
    let headers = response.headers_mut();
    headers.insert(HEADER_RUN_COUNT, HeaderValue::from(run_count));
    if let Ok(target) = HeaderValue::from_str(&target) {
        headers.insert(HEADER_TARGET, target);
    }
    if let Some(kind) = kind {
        headers.insert(CONTENT_TYPE, kind);
    }
    if let Some(trailer) = trailer {
        headers.insert(http::header::TRAILER, trailer);
    }
    response
}
