//! Accepts callers' connections, and drains them when the daemon stops.

use std::{
    cell::Cell,
    convert::Infallible,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use hyper::{
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
    sync::{
        Notify,
        watch, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    super::{
        caller_stream::CallerStream,
        events::LogEvent, //
    },
    RoutedSetup, handler,
    server::Server,
};

/// Pause after a failed accept, which is nearly always a lack of file descriptors.
const ACCEPT_RETRY_MS: u64 = 10;
/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Headers up to this many times the limit still get an answer.
const HEADER_BUFFER_FACTOR: usize = 2;

/// Counts open connections and tells when the last one has closed.
#[derive(Default)]
struct Open {
    count: Cell<u32>,
    closed: Notify,
}

struct OpenGuard(Rc<Open>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get().saturating_sub(1));
        self.0.closed.notify_one();
    }
}

/// Accepts until told to stop, then drains.
///
/// Order of a planned stop: readiness goes; the listener stays open until the balancer
/// has seen that; then it closes and running requests end.
pub(super) async fn run(mut setup: RoutedSetup, mut stopped: watch::Receiver<bool>) {
    let ready_listener = setup.ready_listener.take();
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
    let server = super::server(&setup);
    drop(setup);
    if let Some(Ok(ready)) = ready_listener.map(TcpListener::from_std) {
        tokio::task::spawn_local(answer_balancer(ready, Rc::clone(&server)));
    }
    let open = Rc::new(Open::default());
    let (drain, draining) = watch::channel(false);
    let callers = server.settings.callers.clone();
    let notice = async {
        // An error means that the process has dropped the sender: stop as well.
        let _ = stopped.wait_for(|stop| *stop).await;
        server.draining.set(true);
        LogEvent::Draining {}.emit();
        sleep(Duration::from_millis(callers.drain_notice_ms)).await;
    };
    tokio::select! {
        () = accept_all(&listener, &server, &open, &draining) => {}
        () = notice => {}
    }
    drop(listener);
    let _ = drain.send(true);
    let all_closed = async {
        while open.count.get() > 0 {
            open.closed.notified().await;
        }
    };
    let limit = Duration::from_millis(callers.drain_timeout_ms);
    if timeout(limit, all_closed).await.is_err() {
        let connections = open.count.get();
        LogEvent::CutOff { connections }.emit();
    }
    LogEvent::Drained {}.emit();
}

async fn accept_all(
    listener: &TcpListener,
    server: &Rc<Server>,
    open: &Rc<Open>,
    draining: &watch::Receiver<bool>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        if open.count.get() >= server.settings.callers.max_connections {
            // Dropping it costs the caller a reconnect; keeping it would cost every other one.
            continue;
        }
        open.count.set(open.count.get() + 1);
        let guard = OpenGuard(Rc::clone(open));
        let connection = converse(stream, Rc::clone(server), draining.clone());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(guard);
        });
    }
}

async fn converse(stream: TcpStream, server: Rc<Server>, mut draining: watch::Receiver<bool>) {
    // Events are small and must not wait for one another.
    let _ = stream.set_nodelay(true);
    let builder = builder(&server);
    let stall = Duration::from_millis(server.settings.callers.read_timeout_ms);
    let service = service_fn(move |request| {
        let server = Rc::clone(&server);
        async move { Ok::<_, Infallible>(handler::answer(server, request).await) }
    });
    let stream = TokioIo::new(CallerStream::new(stream, stall));
    let mut connection = pin!(builder.serve_connection(stream, service));
    let mut shutting_down = false;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = draining.wait_for(|drain| *drain), if !shutting_down => {
                shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// The time for a head counts from the end of the answer before it, so it must cover
/// the time for which a caller may leave its connection idle.
fn builder(server: &Server) -> http1::Builder {
    let view = server.view.load();
    let limits = view.routes.as_ref().map(|routes| routes.table().limits);
    let limits = limits.unwrap_or_default();
    let idle_ms = limits.idle_timeout_ms.unwrap_or(0);
    let head_ms = limits.header_timeout_ms.unwrap_or(0);
    let own_ms = server.settings.callers.read_timeout_ms;
    let timeout_ms = match idle_ms + head_ms {
        0 => own_ms,
        sum => sum,
    };
    let own_bytes = server.settings.callers.max_header_bytes.0;
    let limit_bytes = limits.header_bytes.unwrap_or(own_bytes);
    let buffer = usize::try_from(limit_bytes)
        .unwrap_or(MIN_BUFFER_BYTES)
        .saturating_mul(HEADER_BUFFER_FACTOR)
        .max(MIN_BUFFER_BYTES);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(timeout_ms))
        .max_buf_size(buffer);
    builder
}

/// Tells the balancer on a listener of its own whether to send callers here.
async fn answer_balancer(listener: TcpListener, server: Rc<Server>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let server = Rc::clone(&server);
        tokio::task::spawn_local(async move {
            let service = service_fn(|_| {
                let response = handler::readiness(&server);
                async move { Ok::<_, Infallible>(response) }
            });
            // The balancer asks again if this fails.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
