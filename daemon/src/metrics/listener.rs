//! `GET /metrics`: all figures of the process as JSON.

use std::{
    convert::Infallible,
    io,
    net::{
        SocketAddr,
        TcpListener as StdListener, //
    },
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode,
    header::CONTENT_TYPE, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::net::{
    TcpListener,
    TcpStream, //
};

use super::Metrics;
use crate::duty;

/// Where the figures are.
const PATH_METRICS: &str = "/metrics";

/// Starts the thread `observe`, which answers `GET /metrics` until the process ends.
///
/// It goes on while the process drains, because that is when people look.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be listened on.
pub fn serve(listen: SocketAddr, metrics: Metrics) -> io::Result<SocketAddr> {
    let listener = StdListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    duty::spawn("observe", move || async move {
        if let Ok(listener) = TcpListener::from_std(listener) {
            accept(listener, metrics).await;
        }
    })?;
    Ok(address)
}

async fn accept(listener: TcpListener, metrics: Metrics) {
    loop {
        // A failed accept concerns one connection only.
        if let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(answer(stream, metrics.clone()));
        }
    }
}

async fn answer(stream: TcpStream, metrics: Metrics) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(&request, &metrics);
        async { Ok::<_, Infallible>(response) }
    });
    // The client is gone if this fails; there is nobody to tell.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn respond(request: &Request<Incoming>, metrics: &Metrics) -> Response<Full<Bytes>> {
    if request.method() != Method::GET || request.uri().path() != PATH_METRICS {
        return with_status(StatusCode::NOT_FOUND, Vec::new());
    }
    match serde_json::to_vec(&metrics.report()) {
        Ok(body) => with_status(StatusCode::OK, body),
        Err(_) => with_status(StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
    }
}

fn with_status(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
