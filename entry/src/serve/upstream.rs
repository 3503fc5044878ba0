//! Connections to upstreams.
//!
//! "Not run" may be said only if no byte of the request was written to an
//! upstream, so the daemon owns its sockets and counts what the kernel took
//! from it. A client pool from a library hides that.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use cicadabend::ids::Address;
use displaydoc::Display;
use http::{
    Request,
    Response, //
};
use hyper::{
    body::Incoming,
    client::conn::http1::{
        self,
        SendRequest, //
    },
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    task::AbortHandle,
    time::{
        Instant,
        timeout, //
    },
};

use super::body::RequestBody;

/// How many connections to one upstream are kept for later requests.
const IDLE_LIMIT: usize = 64;
/// How long a connection is kept if nothing is known of how long its upstream keeps it.
const KEPT_UNLESS_SAID: Duration = Duration::from_secs(60);
/// A connection is young for one part in so many of the time for which it is kept.
const YOUNG_PART: u32 = 3;

/// Why an attempt got no answer; the variants differ in what the upstream can have seen.
#[derive(Debug, Display, Error)]
pub(super) enum AttemptError {
    /// no connection to {address}: {reason}
    NotConnected {
        /// Where.
        address: Address,
        /// Why.
        reason: String,
        /// Whether the VM answered that nothing listens there.
        is_refused: bool,
    },
    /// the connection to {address} ended before a byte of the request was written: {reason}
    NothingWritten {
        /// Where.
        address: Address,
        /// Why.
        reason: String,
    },
    /// the connection to {address} broke after {written} bytes of the request were written: {reason}
    Broken {
        /// Where.
        address: Address,
        /// How many bytes.
        written: u64,
        /// Why.
        reason: String,
    },
}

/// What one connection has written; shared between its owner and its task.
#[derive(Default)]
struct Wire {
    written: Cell<u64>,
    sealed: Cell<bool>,
    /// How many requests the connection has done with.
    done: Cell<u64>,
}

/// A socket that counts the bytes that the kernel took, and takes none once sealed.
struct CountedStream {
    stream: TcpStream,
    wire: Rc<Wire>,
}

impl CountedStream {
    fn check_open(&self) -> io::Result<()> {
        match self.wire.sealed.get() {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    fn count(&self, result: io::Result<usize>) -> Poll<io::Result<usize>> {
        if let Ok(length) = &result {
            let written = self.wire.written.get() + *length as u64;
            self.wire.written.set(written);
        }
        Poll::Ready(result)
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open()?;
        let result = ready!(Pin::new(&mut self.stream).poll_write(context, buffer));
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_open()?;
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, buffers));
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// An open connection; dropping it closes the socket.
struct Connection {
    sender: SendRequest<RequestBody>,
    wire: Rc<Wire>,
    task: AbortHandle,
    /// Since when it has waited for a request, and until when it may be used.
    idle: (Instant, Instant),
}

impl Connection {
    /// Returns whether its upstream keeps it open for sure.
    fn is_kept(&self, now: Instant) -> bool {
        now < self.idle.1 && self.sender.is_ready()
    }

    /// Returns whether it was used so lately that its upstream cannot be about to close it.
    fn is_young(&self, now: Instant) -> bool {
        let (since, until) = self.idle;
        now.duration_since(since) * YOUNG_PART <= until.duration_since(since)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The task is dropped a moment later; until then it must not write what
        // it still holds, or a request reported as "not run" would go out.
        self.wire.sealed.set(true);
        self.task.abort();
    }
}

/// What an attempt has written to its connection, known also after its future was dropped.
#[derive(Default)]
pub(super) struct SentBytes {
    on: RefCell<Option<Sending>>,
}

/// Where an attempt writes.
struct Sending {
    wire: Rc<Wire>,
    /// What earlier requests had written, and how many they were.
    written_before: u64,
    done_before: u64,
}

impl SentBytes {
    /// Ends all writing of the attempt and returns how many bytes were written.
    ///
    /// Sealed first, counted second: nothing can be written in between or later, so
    /// zero is a proof that the upstream saw nothing. A connection that is done with the attempt
    /// may serve another request, and is left as it is: the attempt has written all that it had.
    pub(super) fn seal(&self) -> u64 {
        let on = self.on.borrow();
        let Some(sending) = &*on else {
            return 0;
        };
        let wire = &sending.wire;
        if wire.done.get() == sending.done_before {
            wire.sealed.set(true);
        }
        wire.written.get() - sending.written_before
    }
}

type Idle = Rc<RefCell<HashMap<Address, Vec<Connection>>>>;

/// All connections to upstreams that wait for a request.
pub(super) struct ConnectionPool {
    connect_timeout: Duration,
    idle: Idle,
}

impl ConnectionPool {
    pub(super) fn new(connect_timeout_ms: u64) -> Self {
        Self {
            connect_timeout: Duration::from_millis(connect_timeout_ms),
            idle: Idle::default(),
        }
    }

    /// Takes an idle connection, or opens one.
    pub(super) async fn lease(&self, address: Address) -> Result<Lease, AttemptError> {
        match self.take_idle(address) {
            Some(connection) => Ok(self.lease_of(address, connection, true)),
            None => self.lease_new(address).await,
        }
    }

    /// Takes a connection that was used just before, or opens one.
    ///
    /// For what may run only once: a connection that its upstream closes at the moment
    /// at which the request is written leaves nobody who can tell whether it was read.
    pub(super) async fn lease_recently_used(
        &self,
        address: Address,
    ) -> Result<Lease, AttemptError> {
        let now = Instant::now();
        let taken = self.take_idle(address);
        match taken.filter(|connection| connection.is_young(now)) {
            Some(connection) => Ok(self.lease_of(address, connection, true)),
            None => self.lease_new(address).await,
        }
    }

    /// Closes connections that have waited for longer than their upstream keeps them.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_kept(now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Opens a connection.
    pub(super) async fn lease_new(&self, address: Address) -> Result<Lease, AttemptError> {
        let connection = self.connect(address).await?;
        Ok(self.lease_of(address, connection, false))
    }

    /// Returns whether nothing listens at an address; a connection that is made is kept.
    pub(super) async fn is_connection_refused(&self, address: Address, keep_for: Duration) -> bool {
        match self.lease_new(address).await {
            Ok(lease) => {
                lease.return_to_pool_for(keep_for);
                false
            }
            Err(error) => matches!(
                error,
                AttemptError::NotConnected {
                    is_refused: true,
                    ..
                }
            ),
        }
    }

    fn lease_of(&self, address: Address, connection: Connection, is_reused: bool) -> Lease {
        Lease {
            address,
            connection,
            is_reused,
            idle: Rc::clone(&self.idle),
        }
    }

    fn take_idle(&self, address: Address) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if connection.is_kept(now) {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self, address: Address) -> Result<Connection, AttemptError> {
        let failed = |reason: String| AttemptError::NotConnected {
            address,
            reason,
            is_refused: false,
        };
        let refused_or_failed = |error: io::Error| AttemptError::NotConnected {
            address,
            reason: error.to_string(),
            is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
        };
        let stream = timeout(self.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| failed("the connection took too long".to_owned()))?
            .map_err(refused_or_failed)?;
        stream
            .set_nodelay(true)
            .map_err(|error| failed(error.to_string()))?;
        let wire = Rc::new(Wire::default());
        let counted = CountedStream {
            stream,
            wire: Rc::clone(&wire),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(counted))
            .await
            .map_err(|error| failed(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // The request that suffers from an error hears of it through its own answer.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            wire,
            task: task.abort_handle(),
            idle: (Instant::now(), Instant::now()),
        })
    }
}

/// Returns an error with its causes, which hyper leaves out of its own text.
pub(super) fn error_with_causes(error: &hyper::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// A connection in use by one request; dropping it closes the connection.
pub(super) struct Lease {
    address: Address,
    connection: Connection,
    is_reused: bool,
    idle: Idle,
}

impl Lease {
    /// Returns whether the connection has served a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends the request and waits for the head of the answer.
    pub(super) async fn send(
        mut self,
        request: Request<RequestBody>,
        sent: &SentBytes,
    ) -> Result<(Response<Incoming>, Lease), AttemptError> {
        let wire = Rc::clone(&self.connection.wire);
        let sending = Sending {
            written_before: wire.written.get(),
            done_before: wire.done.get(),
            wire,
        };
        sent.on.replace(Some(sending));
        match self.connection.sender.send_request(request).await {
            Ok(response) => Ok((response, self)),
            Err(error) => Err(self.failure(sent, &error)),
        }
    }

    fn failure(self, sent: &SentBytes, error: &hyper::Error) -> AttemptError {
        let (address, reason) = (self.address, error_with_causes(error));
        match sent.seal() {
            0 => AttemptError::NothingWritten { address, reason },
            written => AttemptError::Broken {
                address,
                written,
                reason,
            },
        }
    }

    /// Keeps the connection for a later request, once its task is done with this one.
    pub(super) fn return_to_pool(self) {
        self.return_to_pool_for(KEPT_UNLESS_SAID);
    }

    /// Keeps the connection for a later request that comes within a time.
    pub(super) fn return_to_pool_for(self, keep_for: Duration) {
        tokio::task::spawn_local(async move {
            let Lease {
                address,
                mut connection,
                idle,
                ..
            } = self;
            if connection.sender.ready().await.is_err() || connection.wire.sealed.get() {
                return;
            }
            connection.wire.done.update(|done| done + 1);
            let now = Instant::now();
            connection.idle = (now, now + keep_for);
            let mut idle = idle.borrow_mut();
            let connections = idle.entry(address).or_default();
            if connections.len() < IDLE_LIMIT {
                connections.push(connection);
            }
        });
    }
}
