//! The HTTP listener of a VM.

use std::{
    cell::RefCell,
    convert::Infallible,
    pin::Pin,
    rc::Rc, //
};

use bytes::Bytes;
use displaydoc::Display;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::Incoming;
use hyper_util::{
    rt::TokioIo,
    server::{
        conn::auto,
        graceful::GracefulShutdown, //
    },
};
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpListener;

use cicadabend::upstream_api::{
    HEADER_NOT_STARTED,
    PATH_CANCEL,
    PATH_COMMANDS, //
};

use crate::{
    admin,
    command,
    completion,
    plain,
    run::RunState,
    settings::KindSettings,
    vm::Vm, //
};

/// The most bytes of a body that is read whole.
const BODY_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// The connections of a process; `None` once they are being closed.
pub type Connections = Rc<RefCell<Option<GracefulShutdown>>>;

/// A body that breaks off makes its connection break off.
#[derive(Clone, Copy, Debug, Display, Error)]
pub enum BodyError {
    /// the answer broke off
    Broken,
    /// the body of the request broke off
    RequestBroken,
}

/// The body of an answer; it never leaves the process's only thread.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BodyError>>>;

/// Why the connection is closed without an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
pub enum NoAnswer {
    /// the answer broke off before its first byte
    Broken,
}

/// What a request leads to.
pub type Answer = Result<Response<Body>, NoAnswer>;

/// Runs hyper's tasks on the only thread.
#[derive(Clone, Copy, Debug)]
struct LocalExecutor;

impl<F> hyper::rt::Executor<F> for LocalExecutor
where
    F: Future + 'static,
{
    fn execute(&self, future: F) {
        tokio::task::spawn_local(async move {
            future.await;
        });
    }
}

/// Accepts connections until the VM dies.
pub async fn listen_forever(vm: Rc<Vm>, listener: TcpListener, graceful: Connections) {
    let mut dead = vm.dead.subscribe();
    loop {
        let accepted = tokio::select! {
            _ = dead.wait_for(|dead| *dead) => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            let _ = stream.set_nodelay(true);
            let connection = serve_connection(Rc::clone(&vm), stream, graceful.clone());
            tokio::task::spawn_local(connection);
        }
    }
}

async fn serve_connection(vm: Rc<Vm>, stream: tokio::net::TcpStream, graceful: Connections) {
    let mut dead = vm.dead.subscribe();
    let service = hyper::service::service_fn(move |request| {
        let vm = Rc::clone(&vm);
        async move { route(vm, request).await }
    });
    let builder = auto::Builder::new(LocalExecutor);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let Some(watcher) = graceful.borrow().as_ref().map(GracefulShutdown::watcher) else {
        return;
    };
    let watched = watcher.watch(connection);
    tokio::select! {
        _ = dead.wait_for(|dead| *dead) => {}
        // A connection that fails is the caller's loss; the account shows its runs.
        _ = watched => {}
    }
}

async fn route(vm: Rc<Vm>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    if path.starts_with(admin::PREFIX) {
        return admin::answer(&vm, request).await;
    }
    if let Some(request_id) = path.strip_prefix(PATH_CANCEL) {
        return Ok(cancel(&vm, request_id.trim_start_matches('/')));
    }
    match vm.settings.kind {
        KindSettings::Plain(_) => plain::answer(vm, request).await,
        KindSettings::Engine(_) => route_engine(vm, request, &path).await,
    }
}

async fn route_engine(vm: Rc<Vm>, request: Request<Incoming>, path: &str) -> Answer {
    match (request.method().clone(), path) {
        (Method::POST, PATH_COMMANDS) => {
            let Some(ordered) = read_json(request).await else {
                return Ok(refusal(StatusCode::BAD_REQUEST, "the command is malformed"));
            };
            Ok(json(StatusCode::OK, &command::obey(&vm, ordered)))
        }
        (Method::POST, "/v1/chat/completions") => {
            completion::answer(vm, request, completion::Api::Chat).await
        }
        (Method::POST, "/v1/completions") => {
            completion::answer(vm, request, completion::Api::Text).await
        }
        (Method::GET, "/v1/models") => Ok(completion::models(&vm)),
        _ => Ok(refusal(StatusCode::NOT_FOUND, "there is nothing here")),
    }
}

fn cancel(vm: &Vm, request_id: &str) -> Response<Body> {
    let stopped = vm.stop_runs(Some(request_id), RunState::Cancelled);
    json(StatusCode::OK, &serde_json::json!({ "cancelled": stopped }))
}

/// Reads a whole body as JSON.
pub async fn read_json<T>(request: Request<Incoming>) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let body = http_body_util::Limited::new(request.into_body(), BODY_LIMIT_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Makes an answer of JSON.
pub fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Makes an answer that says that the request did not start.
pub fn refusal(status: StatusCode, message: &str) -> Response<Body> {
    let error = serde_json::json!({ "error": { "message": message } });
    let mut response = json(status, &error);
    let yes = http::HeaderValue::from_static("true");
    response.headers_mut().insert(HEADER_NOT_STARTED, yes);
    response
}

/// Makes a body of bytes that are all there.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    Box::pin(body.map_err(|never: Infallible| match never {}))
}
