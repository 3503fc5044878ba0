//! Accepts callers' connections, and drains them when the daemon stops.

use std::{
    cell::Cell,
    convert::Infallible,
    future::Future,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use cicadabend_daemon::connections::OpenConnection;
use http::Request;
use hyper::{
    body::Incoming,
    rt::Executor,
    service::service_fn, //
};
use hyper_util::{
    rt::{
        TokioIo,
        TokioTimer, //
    },
    server::conn::auto,
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    time::sleep,
};

use super::{
    caller_stream::{
        BrokenEnd,
        CallerStream, //
    },
    connections::{
        ConnectionAdmission,
        header_buffer,
        serve_until_drained, //
    },
    counts::Serving,
    guarded_body::GuardedBody,
    handler,
    server::Server, //
};

/// Interval of HTTP/2 pings, which detect a caller that is no longer there.
const HTTP2_PING_MS: u64 = 10_000;

/// Requests at once on one HTTP/2 connection.
const HTTP2_STREAMS: u32 = 100;
/// Bytes that may arrive unread on one HTTP/2 connection, over all of its streams.
const HTTP2_WINDOW_BYTES: u32 = 64 * 1024;

/// Runs hyper's tasks on this thread.
#[derive(Clone, Copy)]
struct LocalExecutor;

impl<F> Executor<F> for LocalExecutor
where
    F: Future + 'static,
{
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}

/// Accepts connections until `stopped` turns true, then drains them.
///
/// Returns once all requests have ended and the outcomes of claims are recorded, or after the
/// drain timeout.
pub(super) async fn run(listener: TcpListener, server: Rc<Server>, stopped: watch::Receiver<bool>) {
    let others_done = async {
        server.detached.all_ended().await;
        server.claims.all_recorded().await;
    };
    serve_until_drained(
        listener,
        &server.settings,
        stopped,
        &server.stop,
        ConnectionAdmission {
            admits: || true,
            on_full: || server.counts.count(Serving::ConnectionsRefused),
        },
        |stream, connection, draining| {
            serve_connection(stream, connection, Rc::clone(&server), draining)
        },
        others_done,
    )
    .await;
}

/// Serves one connection; closes it if no request arrives within the read timeout.
async fn serve_connection(
    stream: TcpStream,
    connection: OpenConnection,
    server: Rc<Server>,
    mut draining: watch::Receiver<bool>,
) {
    // Nagle's algorithm would delay tokens, which are small packets.
    let _ = stream.set_nodelay(true);
    let read_timeout = Duration::from_millis(server.settings.callers.read_timeout_ms);
    let builder = connection_builder(&server, read_timeout);
    let has_request = Rc::new(Cell::new(false));
    let request_seen = Rc::clone(&has_request);
    let broken_end = BrokenEnd::default();
    let of_request = broken_end.clone();
    let caller = connection.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        request_seen.set(true);
        of_request.record_request(request.version());
        let server = Rc::clone(&server);
        let on_connection = caller.request();
        async move {
            let answer = handler::answer(Rc::clone(&server), request, &on_connection).await;
            let watched = answer.map(|body| server.bodies.watch(body));
            Ok::<_, Infallible>(watched.map(|body| GuardedBody::new(body, on_connection)))
        }
    });
    let stream = CallerStream::new(stream, read_timeout, broken_end.clone(), connection);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut first_request_timer = pin!(sleep(read_timeout));
    let mut shutting_down = false;
    let mut first_request_checked = false;
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
            () = first_request_timer.as_mut(), if !first_request_checked => {
                first_request_checked = true;
                // hyper's own timeout starts once it knows the HTTP version. A caller that never
                // sends enough bytes for that would keep its connection forever.
                if !has_request.get() {
                    return;
                }
            }
        }
    }
}

fn connection_builder(server: &Server, read_timeout: Duration) -> auto::Builder<LocalExecutor> {
    let buffer = header_buffer(server.settings.callers.max_header_bytes.0);
    let mut builder = auto::Builder::new(LocalExecutor);
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(read_timeout)
        .max_buf_size(buffer);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Duration::from_millis(HTTP2_PING_MS))
        .keep_alive_timeout(read_timeout)
        .max_concurrent_streams(HTTP2_STREAMS)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .max_header_list_size(u32::try_from(buffer).unwrap_or(u32::MAX));
    builder
}
