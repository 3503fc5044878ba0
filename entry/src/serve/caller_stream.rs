//! A caller's socket with a timeout for writes.

use std::{
    cell::Cell,
    future::Future,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use cicadabend_daemon::connections::OpenConnection;
use http::Version;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        Sleep,
        sleep, //
    },
};

/// How a connection ends in the middle of a response, and how it is to be closed then.
///
/// A response to HTTP/1.0 ends with its connection, so a caller would take one that broke off for
/// complete if the connection were closed in order. It is reset instead.
#[derive(Clone, Debug, Default)]
pub(super) struct BrokenEnd {
    is_unframed: Rc<Cell<bool>>,
    resets: Rc<Cell<bool>>,
    has_stalled: Rc<Cell<bool>>,
}

impl BrokenEnd {
    /// Records the HTTP version of the request that is being answered.
    pub(super) fn record_request(&self, version: Version) {
        self.is_unframed.set(version == Version::HTTP_10);
    }

    /// Records that the response broke off.
    pub(super) fn record_broken(&self) {
        self.resets.set(self.is_unframed.get());
    }

    /// Returns whether the connection is closed because the caller stopped reading.
    pub(super) fn has_stalled(&self) -> bool {
        self.has_stalled.get()
    }
}

/// A socket on which a write fails if it makes no progress for `limit`.
///
/// Without this, a caller that stops reading would keep its slot at the engine for as long as its
/// machine answers TCP probes, which can be days.
pub(super) struct CallerStream {
    stream: TcpStream,
    /// Longest time without progress.
    limit: Duration,
    /// Runs while writes make no progress.
    stalled: Option<Pin<Box<Sleep>>>,
    broken_end: BrokenEnd,
    connection: OpenConnection,
}

impl CallerStream {
    pub(super) fn new(
        stream: TcpStream,
        limit: Duration,
        broken_end: BrokenEnd,
        connection: OpenConnection,
    ) -> Self {
        Self {
            stream,
            limit,
            stalled: None,
            broken_end,
            connection,
        }
    }

    /// Returns the result of a write, or a timeout if none has made progress for the limit.
    fn check_progress<T>(
        &mut self,
        polled: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            if self.stalled.take().is_some() {
                self.connection.set_writing(false);
            }
            return polled;
        }
        self.connection.set_writing(true);
        let limit = self.limit;
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(limit)));
        match stalled.as_mut().poll(context) {
            Poll::Ready(()) => {
                self.broken_end.has_stalled.set(true);
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.broken_end.resets.get() {
            // Without it, the caller sees an orderly end; nothing better is left to do.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.check_progress(polled, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.check_progress(polled, context)
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
