//! Accepts operators' connections, limits their requests and shuts them down gracefully.

use std::{
    convert::Infallible,
    io,
    sync::Arc,
    time::Duration, //
};

use cicadabend_daemon::{
    bodies::Bodies,
    connections::{
        ConnectionRequest,
        ConnectionTable,
        OpenConnection, //
    },
    stop::StopSignal, //
};
use hyper::{
    body::Incoming,
    service::service_fn, //
};
use hyper_util::{
    rt::{
        TokioExecutor,
        TokioIo,
        TokioTimer, //
    },
    server::{
        conn::auto,
        graceful::GracefulShutdown, //
    },
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tower::{
    BoxError,
    Service,
    ServiceBuilder,
    ServiceExt,
    load_shed::error::Overloaded, //
};

use super::{
    Operators,
    body::Answer,
    refusal::Refusal, //
};
use crate::{
    counters::OperatorRefusal,
    events::LogEvent, //
};

/// How long running requests may take to end after the daemon was asked to stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failed accept; without it, a lack of file descriptors would cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long an operator may take to send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long one request may take; longer than the replicated log's timeout for a command.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of concurrent requests of operators with a token; enough for them, who are
/// people and their scripts.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// The maximum number of concurrent calls, among them those whose bodies are still coming.
const MAX_CONCURRENT_CALLS: usize = MAX_CONNECTIONS;

/// How often the memory for bodies is reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Connections of operators and upstreams that are open at once.
const MAX_CONNECTIONS: usize = 2_048;
/// Requests at once on one HTTP/2 connection.
const HTTP2_STREAMS: u32 = 16;
/// Bytes that may arrive unread on one HTTP/2 connection, over all of its streams.
const HTTP2_WINDOW_BYTES: u32 = 64 * 1024;
/// Size of the buffer for a request's headers.
const HEADER_BUFFER_BYTES: usize = 32 * 1024;

/// A request, and its part in its connection.
type Request = (http::Request<Incoming>, Arc<ConnectionRequest>);

/// The services that answer operators' requests and the calls that an edge translates, each with a
/// limit of its own.
#[derive(Clone)]
struct Services<S> {
    requests: S,
    calls: S,
}

/// Serves operators until a stop is requested.
pub(crate) async fn serve(
    operators: Arc<Operators>,
    listener: std::net::TcpListener,
    mut stop: StopSignal,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            let reason = error.to_string();
            LogEvent::OperatorsUnavailable { reason }.emit();
            return;
        }
    };
    let graceful = GracefulShutdown::new();
    let services = Services {
        requests: limited_service(Arc::clone(&operators), MAX_CONCURRENT_REQUESTS),
        calls: limited_service(Arc::clone(&operators), MAX_CONCURRENT_CALLS),
    };
    tokio::spawn(report_periodically(operators.bodies.clone()));
    let open = ConnectionTable::new(MAX_CONNECTIONS);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.requested() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Some(connection) = open.open() {
            serve_connection(&operators, &services, (stream, connection), &graceful);
        }
    }
    drop(listener);
    if tokio::time::timeout(DRAIN_TIMEOUT, graceful.shutdown())
        .await
        .is_err()
    {
        LogEvent::OperatorsCutOff {}.emit();
    }
    LogEvent::OperatorsStopped {}.emit();
}

async fn report_periodically(bodies: Bodies) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        bodies.report();
    }
}

/// Returns a service that answers requests within the limits on their number and duration.
///
/// All connections share the limit, because clones of the service share its semaphore.
fn limited_service(
    operators: Arc<Operators>,
    max_concurrent: usize,
) -> impl Service<Request, Response = Answer, Error = BoxError, Future: Send> + Clone + Send + 'static
{
    ServiceBuilder::new()
        .load_shed()
        .concurrency_limit(max_concurrent)
        .timeout(REQUEST_TIMEOUT)
        .service_fn(move |(request, on_connection): Request| {
            let operators = Arc::clone(&operators);
            async move { Ok::<_, Infallible>(operators.answer(request, &on_connection).await) }
        })
}

fn serve_connection<S>(
    operators: &Arc<Operators>,
    services: &Services<S>,
    (stream, open): (TcpStream, OpenConnection),
    graceful: &GracefulShutdown,
) where
    S: Service<Request, Response = Answer, Error = BoxError, Future: Send> + Clone + Send + 'static,
{
    let operators = Arc::clone(operators);
    let of_request = open.clone();
    let services = services.clone();
    let service = service_fn(move |request| {
        let operators = Arc::clone(&operators);
        let calls = operators.calls.as_ref();
        // Upstreams' reports must not wait for what operators leave unfinished, nor the other way
        // round.
        let bounded = match calls.is_some_and(|calls| calls.knows(&request)) {
            true => services.calls.clone(),
            false => services.requests.clone(),
        };
        let answer = bounded.oneshot((request, of_request.request()));
        async move {
            let answer = answer.await;
            Ok::<_, io::Error>(
                answer.unwrap_or_else(|error| operators.refuse(&limit_refusal(&error))),
            )
        }
    });
    let mut server = auto::Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(HEADER_BUFFER_BYTES)
        .header_read_timeout(HEADER_TIMEOUT);
    server
        .http2()
        .max_concurrent_streams(HTTP2_STREAMS)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES);
    let connection = server.serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection.into_owned());
    // An error of the connection needs no handling here: the operator notices it.
    tokio::spawn(async move {
        tokio::select! {
            // First, so that no request is begun on a connection that is about to close.
            biased;
            () = open.gives_way() => {}
            _ = connection => {}
        }
    });
}

/// Returns the refusal for the limit that a request has exceeded.
fn limit_refusal(error: &BoxError) -> Refusal {
    if error.is::<Overloaded>() {
        let text = format!("more than {MAX_CONCURRENT_REQUESTS} requests are running; try again");
        return Refusal::bad_request(OperatorRefusal::Overloaded, text);
    }
    // The request timed out; its command may have reached the replicated log before.
    Refusal::outcome_unknown()
}
