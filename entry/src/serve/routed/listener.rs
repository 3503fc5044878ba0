//! Accepts callers' connections, and drains them when the daemon stops.

use std::{
    convert::Infallible,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use cicadabend::breaker::Breakers;
use cicadabend_daemon::connections::{
    ConnectionTable,
    OpenConnection, //
};
use http::Request;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
};

use super::{
    super::{
        caller_stream::{
            BrokenEnd,
            CallerStream, //
        },
        connections::{
            ConnectionAdmission,
            accept_all,
            header_buffer,
            serve_until_drained, //
        },
        events::LogEvent,
        guarded_body::GuardedBody, //
    },
    RoutedSetup,
    counts::Routed,
    handler, overload, relay_server,
    server::Server,
};

/// Connections of the load balancer that are open at once.
const MAX_READINESS_CONNECTIONS: usize = 64;
/// Time for which a connection of the load balancer may be idle; checks come every few seconds.
const READINESS_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const READINESS_BUFFER_BYTES: usize = 16 * 1024;

/// Accepts connections until `stopped` turns true, then drains them.
pub(super) async fn run(
    mut setup: RoutedSetup,
    breakers: Breakers,
    stopped: watch::Receiver<bool>,
) {
    let ready_listener = setup.ready_listener.take();
    let relay_listener = setup.relay_listener.take();
    let listener = match setup.listener.try_clone() {
        Ok(listener) => TcpListener::from_std(listener),
        Err(error) => Err(error),
    };
    let listener = match listener {
        Ok(listener) => listener,
        Err(error) => {
            let reason = error.to_string();
            LogEvent::ServingUnavailable { reason }.emit();
            return;
        }
    };
    if let Ok(address) = listener.local_addr() {
        LogEvent::Serving { address }.emit();
    }
    let server = Server::start(&setup, breakers);
    drop(setup);
    if let Some(Ok(ready)) = ready_listener.map(TcpListener::from_std) {
        tokio::task::spawn_local(serve_readiness(ready, Rc::clone(&server)));
    }
    if let Some(Ok(listener)) = relay_listener.map(TcpListener::from_std) {
        let serving = relay_server::serve(listener, Rc::clone(&server));
        tokio::task::spawn_local(serving);
    }
    serve_until_drained(
        listener,
        &server.settings,
        stopped,
        &server.stop,
        ConnectionAdmission {
            admits: || overload::admits_connection(&server),
            on_full: || server.counts.count(Routed::ConnectionsShed),
        },
        |stream, connection, draining| {
            serve_caller(stream, connection, Rc::clone(&server), draining)
        },
        server.relay.all_ended(),
    )
    .await;
}

async fn serve_caller(
    stream: TcpStream,
    connection: OpenConnection,
    server: Rc<Server>,
    mut draining: watch::Receiver<bool>,
) {
    // Events are small; Nagle's algorithm would delay them.
    let _ = stream.set_nodelay(true);
    let builder = connection_builder(&server);
    let stall = Duration::from_millis(server.settings.callers.read_timeout_ms);
    let broken_end = BrokenEnd::default();
    let of_request = broken_end.clone();
    let caller = connection.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        of_request.record_request(request.version());
        let server = Rc::clone(&server);
        let end = of_request.clone();
        let on_connection = caller.request();
        async move {
            let response = handler::answer(server, request, &on_connection, end).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, on_connection)))
        }
    });
    let stream = CallerStream::new(stream, stall, broken_end.clone(), connection);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut shutting_down = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if ended.is_err() {
                    broken_end.record_broken();
                }
                return;
            }
            _ = draining.wait_for(|drain| *drain), if !shutting_down => {
                shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Returns hyper's settings for callers' connections.
///
/// hyper counts the time for reading headers from the end of the previous response. The timeout
/// therefore includes the time for which a caller may leave its connection idle.
fn connection_builder(server: &Server) -> http1::Builder {
    let view = server.view.load();
    let limits = view.routes.as_ref().map(|routes| routes.table().limits);
    let limits = limits.unwrap_or_default();
    let idle_ms = limits.idle_timeout_ms.unwrap_or(0);
    let header_ms = limits.header_timeout_ms.unwrap_or(0);
    let own_ms = server.settings.callers.read_timeout_ms;
    let timeout_ms = match idle_ms + header_ms {
        0 => own_ms,
        sum => sum,
    };
    let own_bytes = server.settings.callers.max_header_bytes.0;
    let limit_bytes = limits.header_bytes.unwrap_or(own_bytes);
    let buffer = header_buffer(limit_bytes);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(timeout_ms))
        .max_buf_size(buffer);
    builder
}

/// Answers the load balancer's readiness checks on their own listener.
async fn serve_readiness(listener: TcpListener, server: Rc<Server>) {
    let open = ConnectionTable::new(MAX_READINESS_CONNECTIONS);
    let serve = |stream, connection: OpenConnection| {
        let server = Rc::clone(&server);
        async move {
            let service = service_fn(|_| {
                connection.request().begin();
                let response = handler::readiness(&server);
                async move { Ok::<_, Infallible>(response) }
            });
            // The load balancer repeats a check that fails.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(READINESS_IDLE_TIMEOUT)
                .max_buf_size(READINESS_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        }
    };
    accept_all(&open, &listener, || true, || {}, serve).await;
}
