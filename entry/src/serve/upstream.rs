//! Connections to upstreams.
//!
//! A caller may get "not run" only if no byte of its request was written to an upstream. So the
//! daemon opens its sockets itself and counts the bytes that the kernel accepted, which the
//! connection pool of a library hides.

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
use cicadabend_daemon::{
    metrics::Metrics,
    response_head::{
        HeadFault,
        HeadLines,
        check_head, //
    },
};
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
use rustix::net::sockopt;
use thiserror::Error;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    task::AbortHandle,
    time::Instant,
};

use super::{
    body::RequestBody,
    wait::wait_for, //
};

/// Largest number of idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;
/// Largest read buffer of a connection, which holds a response's head or a part of its body; it stays
/// in use while a caller reads slowly.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Size of the kernel's receive buffer of a connection, which it would else enlarge by itself to some
/// MiB while a caller reads slowly.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Time for which an idle connection is pooled by callers of the pool that do not know the
/// upstream's own time.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(60);
/// A connection counts as recently used for its permitted idle time divided by this.
const RECENT_USE_DIVISOR: u32 = 3;

/// Why an attempt got no response; the variants differ in whether the upstream can have received
/// any of the request.
#[derive(Debug, Display, Error)]
pub(super) enum AttemptError {
    /// no connection to {address}: {reason}
    NotConnected {
        address: Address,
        /// The error and its causes.
        reason: String,
        /// Whether the VM refused the connection because nothing listens at the address.
        is_refused: bool,
    },
    /// the connection to {address} ended before a byte of the request was written: {reason}
    NothingWritten {
        address: Address,
        /// The error and its causes.
        reason: String,
    },
    /// the connection to {address} broke after {written} bytes of the request were written: {reason}
    Broken {
        address: Address,
        /// Number of bytes of the request that were written.
        written: u64,
        /// The error and its causes.
        reason: String,
    },
    /// the response from {address} has a broken head: {fault}
    BrokenHead { address: Address, fault: HeadFault },
}

impl AttemptError {
    /// Returns whether the connection was refused, which means that nothing listens there.
    pub(super) fn is_refused(&self) -> bool {
        matches!(
            self,
            AttemptError::NotConnected {
                is_refused: true,
                ..
            }
        )
    }
}

/// What the owner of a connection and the connection's task share.
#[derive(Default)]
struct ConnectionState {
    /// Number of bytes that the kernel has accepted.
    written: Cell<u64>,
    /// Whether the connection must not write any more.
    sealed: Cell<bool>,
    /// Number of requests that the connection has completed.
    completed: Cell<u64>,
    /// The lines of the response's head that arrive.
    lines: Cell<HeadLines>,
}

/// A socket that counts the bytes that the kernel accepts, fails all writes once sealed, and fails to
/// read the head of a response if a line of it is broken.
struct CheckedStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
}

impl CheckedStream {
    /// Returns an error if the connection is sealed.
    fn check_open(&self) -> io::Result<()> {
        match self.state.sealed.get() {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    /// Adds the bytes of a successful write to the count, and returns the result as ready.
    fn count(&self, result: io::Result<usize>) -> Poll<io::Result<usize>> {
        if let Ok(length) = &result {
            let written = self.state.written.get() + *length as u64;
            self.state.written.set(written);
        }
        Poll::Ready(result)
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let mut lines = self.state.lines.get();
        let followed = lines.follow(&buffer.filled()[read_before..]);
        self.state.lines.set(lines);
        Poll::Ready(followed.map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault)))
    }
}

impl AsyncWrite for CheckedStream {
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
    state: Rc<ConnectionState>,
    task: AbortHandle,
    /// The time since which the connection is idle, and the time until which it may be used.
    idle: (Instant, Instant),
}

impl Connection {
    /// Returns whether the connection is open and within the time for which its upstream keeps it.
    fn is_reusable(&self, now: Instant) -> bool {
        now < self.idle.1 && self.sender.is_ready()
    }

    /// Returns whether the last use was so recent that the upstream cannot be about to close the
    /// connection.
    fn is_recently_used(&self, now: Instant) -> bool {
        let (since, until) = self.idle;
        now.duration_since(since) * RECENT_USE_DIVISOR <= until.duration_since(since)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The task is dropped only later. Until then it must not write its buffered bytes:
        // otherwise a request that was reported as "not run" would be sent.
        self.state.sealed.set(true);
        self.task.abort();
    }
}

/// The number of bytes that an attempt has written, available even after its future was dropped.
#[derive(Default)]
pub(super) struct SentBytes {
    /// `None` until the attempt has a connection.
    current: RefCell<Option<AttemptWrites>>,
}

/// The connection that an attempt writes to, and the counts at the attempt's start.
struct AttemptWrites {
    state: Rc<ConnectionState>,
    /// Number of bytes that earlier requests on the connection had written.
    written_before: u64,
    /// Number of earlier requests that the connection had completed.
    completed_before: u64,
}

impl SentBytes {
    /// Forgets a connection on which, as its other end reports, nothing was sent on.
    pub(super) fn forget(&self) {
        self.current.take();
    }

    /// Stops all writes of the attempt and returns the number of bytes that it has written.
    ///
    /// The writes are stopped before they are counted. No byte can follow, so zero proves that the
    /// upstream received nothing. A connection that has completed this attempt may serve another
    /// request and is not sealed: the attempt has nothing left to write.
    pub(super) fn seal(&self) -> u64 {
        let current = self.current.borrow();
        let Some(attempt) = &*current else {
            return 0;
        };
        let state = &attempt.state;
        if state.completed.get() == attempt.completed_before {
            state.sealed.set(true);
        }
        state.written.get() - attempt.written_before
    }
}

/// Idle connections by the address of their upstream, the latest used last.
type IdleConnections = Rc<RefCell<HashMap<Address, Vec<Connection>>>>;

/// The pool of idle connections to upstreams.
pub(super) struct ConnectionPool {
    connect_timeout: Duration,
    idle: IdleConnections,
    metrics: Metrics,
}

impl ConnectionPool {
    pub(super) fn new(connect_timeout_ms: u64, metrics: Metrics) -> Self {
        metrics.declare::<HeadFault>();
        Self {
            connect_timeout: Duration::from_millis(connect_timeout_ms),
            idle: IdleConnections::default(),
            metrics,
        }
    }

    /// Takes an idle connection from the pool, or opens a new one.
    pub(super) async fn lease(&self, address: Address) -> Result<Lease, AttemptError> {
        match self.idle_lease(address, true) {
            Some(lease) => Ok(lease),
            None => self.lease_new(address).await,
        }
    }

    /// Takes an idle connection from the pool; only a recently used one if the request is not
    /// idempotent.
    ///
    /// If the upstream closes an idle connection just as the request is written, nobody can tell
    /// whether the upstream has read the request.
    pub(super) fn idle_lease(&self, address: Address, is_idempotent: bool) -> Option<Lease> {
        let now = Instant::now();
        let taken = self.take_idle(address);
        let usable = taken.filter(|taken| is_idempotent || taken.is_recently_used(now));
        usable.map(|connection| self.make_lease(address, connection, true))
    }

    /// Closes the idle connections to an upstream.
    pub(super) fn close_idle(&self, address: Address) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that were idle for longer than their upstream keeps them open.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_reusable(now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Opens a new connection.
    pub(super) async fn lease_new(&self, address: Address) -> Result<Lease, AttemptError> {
        let connection = self.connect(address).await?;
        Ok(self.make_lease(address, connection, false))
    }

    fn make_lease(&self, address: Address, connection: Connection, is_reused: bool) -> Lease {
        Lease {
            address,
            connection,
            is_reused,
            idle: Rc::clone(&self.idle),
            metrics: self.metrics.clone(),
        }
    }

    /// Takes the latest used connection that is reusable, and closes those that are not.
    fn take_idle(&self, address: Address) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if connection.is_reusable(now) {
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
        let stream = wait_for(self.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| failed("the connection took too long".to_owned()))?
            .map_err(refused_or_failed)?;
        stream
            .set_nodelay(true)
            .map_err(|error| failed(error.to_string()))?;
        sockopt::set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES)
            .map_err(|error| failed(error.to_string()))?;
        let state = Rc::new(ConnectionState::default());
        let checked = CheckedStream {
            stream,
            state: Rc::clone(&state),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(checked))
            .await
            .map_err(|error| failed(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // The request that the error affects gets it from `send_request` or its body.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            state,
            task: task.abort_handle(),
            idle: (Instant::now(), Instant::now()),
        })
    }
}

/// Returns the text of an error and its causes, which hyper's own text leaves out.
pub(super) fn error_with_causes(error: &hyper::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// Returns what was wrong with the head of the response, if that is the cause of the error.
fn head_fault(error: &hyper::Error) -> Option<HeadFault> {
    if error.is_parse() {
        return Some(HeadFault::Unreadable);
    }
    let cause = std::error::Error::source(error)?.downcast_ref::<io::Error>()?;
    cause.get_ref()?.downcast_ref().copied()
}

/// A connection in use by one request; dropping it closes the connection.
pub(super) struct Lease {
    address: Address,
    connection: Connection,
    is_reused: bool,
    idle: IdleConnections,
    metrics: Metrics,
}

impl Lease {
    /// Returns whether the connection has served a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends the request and waits for the status and headers of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, or if what comes is no response whose body has a
    /// certain end; the connection is closed then.
    pub(super) async fn send(
        mut self,
        request: Request<RequestBody>,
        sent: &SentBytes,
    ) -> Result<(Response<Incoming>, Lease), AttemptError> {
        let state = Rc::clone(&self.connection.state);
        state.lines.set(HeadLines::of_next_response());
        let attempt = AttemptWrites {
            written_before: state.written.get(),
            completed_before: state.completed.get(),
            state,
        };
        sent.current.replace(Some(attempt));
        let response = match self.connection.sender.send_request(request).await {
            Ok(response) => response,
            Err(error) => return Err(self.failure(sent, &error)),
        };
        let (head, body) = response.into_parts();
        match check_head(&head) {
            Ok(()) => Ok((Response::from_parts(head, body), self)),
            Err(fault) => {
                sent.seal();
                Err(self.broken_head(fault))
            }
        }
    }

    /// Stops the writes and returns the error, which depends on whether a byte was written.
    fn failure(self, sent: &SentBytes, error: &hyper::Error) -> AttemptError {
        let (address, reason) = (self.address, error_with_causes(error));
        match (sent.seal(), head_fault(error)) {
            (0, _) => AttemptError::NothingWritten { address, reason },
            (_, Some(fault)) => self.broken_head(fault),
            (written, None) => AttemptError::Broken {
                address,
                written,
                reason,
            },
        }
    }

    fn broken_head(self, fault: HeadFault) -> AttemptError {
        self.metrics.count(fault);
        AttemptError::BrokenHead {
            address: self.address,
            fault,
        }
    }

    /// Returns the connection to the pool for the default idle time.
    pub(super) fn return_to_pool(self) {
        self.return_to_pool_for(DEFAULT_IDLE_TIME);
    }

    /// Returns the connection to the pool for a time, once its task has completed this request.
    ///
    /// The connection is closed if it broke, was sealed, or the pool has enough others.
    pub(super) fn return_to_pool_for(self, keep_for: Duration) {
        tokio::task::spawn_local(async move {
            let Lease {
                address,
                mut connection,
                idle,
                ..
            } = self;
            if connection.sender.ready().await.is_err() || connection.state.sealed.get() {
                return;
            }
            connection.state.completed.update(|completed| completed + 1);
            let now = Instant::now();
            connection.idle = (now, now + keep_for);
            let mut idle = idle.borrow_mut();
            let connections = idle.entry(address).or_default();
            if connections.len() < MAX_IDLE_PER_UPSTREAM {
                connections.push(connection);
            }
        });
    }
}
