//! The open connections of callers: how many there are, when the last has closed, and how
//! they end when the daemon stops.

use std::{
    cell::Cell,
    future::Future,
    rc::Rc,
    time::Duration, //
};

use cicadabend_daemon::settings::CallerSettings;
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

use super::events::LogEvent;

/// Pause after a failed accept, which is nearly always a lack of file descriptors.
const ACCEPT_RETRY_MS: u64 = 10;
/// Headers up to this many times the limit still get an error in our own form.
const HEADER_BUFFER_FACTOR: usize = 2;
/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Counts open connections and tells when the last one has closed.
#[derive(Default)]
struct OpenConnections {
    count: Cell<u32>,
    closed: Notify,
}

struct OpenConnection(Rc<OpenConnections>);

impl OpenConnection {
    fn open(all: &Rc<OpenConnections>) -> Self {
        all.count.set(all.count.get() + 1);
        Self(Rc::clone(all))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.closed.notify_one();
    }
}

impl OpenConnections {
    /// Returns how many connections are open.
    fn count(&self) -> u32 {
        self.count.get()
    }

    /// Waits until no connection is open.
    async fn all_closed(&self) {
        while self.count.get() > 0 {
            self.closed.notified().await;
        }
    }

    /// Accepts connections for ever; each is served by a task of its own.
    ///
    /// One above the limit is dropped, which costs its caller a reconnect; keeping it would
    /// cost every other caller.
    async fn accept_all<F>(
        self: &Rc<Self>,
        listener: &TcpListener,
        max_connections: u32,
        mut refused: impl FnMut(),
        mut serve: impl FnMut(TcpStream) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        loop {
            let stream = accept(listener).await;
            if self.count.get() >= max_connections {
                refused();
                continue;
            }
            let guard = OpenConnection::open(self);
            let connection = serve(stream);
            tokio::task::spawn_local(async move {
                connection.await;
                drop(guard);
            });
        }
    }
}

/// Accepts until told to stop, then drains.
///
/// Order of a planned stop: readiness goes, which `stop_asked` does; the listener stays open
/// until the balancer has seen that; then it closes, and running requests end, and with them
/// `others_done`. Each connection is told of the drain by what it is given.
pub(super) async fn serve_until_drained<F>(
    listener: TcpListener,
    callers: &CallerSettings,
    mut stopped: watch::Receiver<bool>,
    stop_asked: impl FnOnce(),
    refused: impl FnMut(),
    mut serve: impl FnMut(TcpStream, watch::Receiver<bool>) -> F,
    others_done: impl Future<Output = ()>,
) where
    F: Future<Output = ()> + 'static,
{
    let open = Rc::new(OpenConnections::default());
    let (drain, draining) = watch::channel(false);
    let notice = async {
        // An error means that the process has dropped the sender: stop as well.
        let _ = stopped.wait_for(|stop| *stop).await;
        stop_asked();
        LogEvent::Draining {}.emit();
        sleep(Duration::from_millis(callers.drain_notice_ms)).await;
    };
    let accepting = open.accept_all(&listener, callers.max_connections, refused, |stream| {
        serve(stream, draining.clone())
    });
    tokio::select! {
        () = accepting => {}
        () = notice => {}
    }
    drop(listener);
    let _ = drain.send(true);
    let limit = Duration::from_millis(callers.drain_timeout_ms);
    let all_done = async {
        open.all_closed().await;
        others_done.await;
    };
    if timeout(limit, all_done).await.is_err() {
        let connections = open.count();
        LogEvent::CutOff { connections }.emit();
    }
    LogEvent::Drained {}.emit();
}

/// Waits for the next connection, however often accepting fails.
pub(super) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
    }
}

/// Returns the size of the read buffer for a limit on headers, in bytes.
pub(super) fn header_buffer(limit_bytes: u64) -> usize {
    usize::try_from(limit_bytes)
        .unwrap_or(MIN_BUFFER_BYTES)
        .saturating_mul(HEADER_BUFFER_FACTOR)
        .max(MIN_BUFFER_BYTES)
}
