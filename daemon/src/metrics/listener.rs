//! The thread `observe`: sends buffered metrics, answers `GET /metrics` as JSON.

use std::{
    convert::Infallible,
    io,
    net::{
        SocketAddr,
        TcpListener as StdListener, //
    },
    time::Duration,
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
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};

use super::{
    Metrics,
    text, //
};
use crate::{
    connections::{
        ConnectionTable,
        OpenConnection, //
    },
    duty,
};

/// Where the figures are, as JSON.
const PATH_METRICS: &str = "/metrics";
/// Where they are in the text format that Prometheus reads.
const PATH_TEXT: &str = "/metrics/text";

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that are open at once.
const MAX_CONNECTIONS: usize = 64;
/// Time for which a connection may be idle; longer than metrics are usually fetched apart.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
const BUFFER_BYTES: usize = 16 * 1024;
/// A packet that is not full waits this long at most.
pub const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the thread `observe`, which sends metrics and, on `listen`, answers `GET /metrics`.
///
/// Returns where it listens. It goes on while the process drains, because that is
/// when people look.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be listened on.
pub fn observe(listen: Option<SocketAddr>, metrics: Metrics) -> io::Result<Option<SocketAddr>> {
    let listener = listen.map(bound).transpose()?;
    let address = listener.as_ref().map(StdListener::local_addr).transpose()?;
    duty::spawn("observe", move || async move {
        if let Some(Ok(listener)) = listener.map(TcpListener::from_std) {
            tokio::task::spawn_local(accept(listener, metrics.clone()));
        }
        loop {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            metrics.flush();
        }
    })?;
    Ok(address)
}

fn bound(listen: SocketAddr) -> io::Result<StdListener> {
    let listener = StdListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

async fn accept(listener: TcpListener, metrics: Metrics) {
    let open = ConnectionTable::new(MAX_CONNECTIONS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Without a pause, a lack of descriptors would make this thread spin.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(connection) = open.open() else {
            continue;
        };
        let metrics = metrics.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                biased;
                () = connection.gives_way() => {}
                () = answer(stream, &connection, &metrics) => {}
            }
        });
    }
}

async fn answer(stream: TcpStream, connection: &OpenConnection, metrics: &Metrics) {
    let service = service_fn(|request: Request<Incoming>| {
        connection.request().begin();
        let response = respond(&request, metrics);
        async { Ok::<_, Infallible>(response) }
    });
    // The client is gone if this fails; there is nobody to tell.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn respond(request: &Request<Incoming>, metrics: &Metrics) -> Response<Full<Bytes>> {
    if request.method() != Method::GET {
        return with_status(StatusCode::NOT_FOUND, Vec::new());
    }
    if request.uri().path() == PATH_TEXT {
        let (text, kind) = text::encode(&metrics.report());
        let mut response = with_status(StatusCode::OK, text);
        if let Ok(kind) = http::HeaderValue::from_str(&kind) {
            response.headers_mut().insert(CONTENT_TYPE, kind);
        }
        return response;
    }
    if request.uri().path() != PATH_METRICS {
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
