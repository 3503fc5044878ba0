//! The open connections of callers: how many there are, and when the last has closed.

use std::{
    cell::Cell,
    future::Future,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    time::sleep,
};

/// Pause after a failed accept, which is nearly always a lack of file descriptors.
const ACCEPT_RETRY_MS: u64 = 10;
/// Headers up to this many times the limit still get an error in our own form.
const HEADER_BUFFER_FACTOR: usize = 2;
/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Counts open connections and tells when the last one has closed.
#[derive(Default)]
pub(super) struct OpenConnections {
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
    pub(super) fn count(&self) -> u32 {
        self.count.get()
    }

    /// Waits until no connection is open.
    pub(super) async fn all_closed(&self) {
        while self.count.get() > 0 {
            self.closed.notified().await;
        }
    }

    /// Accepts connections for ever; each is served by a task of its own.
    ///
    /// One above the limit is dropped, which costs its caller a reconnect; keeping it would
    /// cost every other caller.
    pub(super) async fn accept_all<F>(
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
