//! Accepts callers' connections up to a limit, and drains them when the daemon stops.

use std::{
    cell::Cell,
    future::Future,
    time::Duration, //
};

use cicadabend_daemon::{
    connections::{
        ConnectionTable,
        OpenConnection, //
    },
    settings::EntrySettings, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

use super::events::LogEvent;

/// Pause after a failed accept, whose cause is nearly always a lack of file descriptors.
const ACCEPT_RETRY_MS: u64 = 10;
/// Ratio of the read buffer to the limit on headers.
///
/// Headers between the limit and the buffer's size get an error response of our own; larger ones
/// get hyper's.
const HEADER_BUFFER_FACTOR: usize = 2;
/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Time for writing an answer that is given at its request's deadline.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);

/// How far a daemon's planned stop has come.
#[derive(Default)]
pub(super) struct StopProgress {
    is_stopping: Cell<bool>,
    /// When the requests that still run are cut off; `None` until the listener has closed.
    cut_off_at: Cell<Option<Instant>>,
    is_cut_off: Cell<bool>,
}

impl StopProgress {
    /// Returns whether the daemon is stopping, and so not ready.
    pub(super) fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Returns whether the drain timeout has passed, so that the requests still running are cut off.
    pub(super) fn is_cut_off(&self) -> bool {
        self.is_cut_off.get()
    }

    /// Returns whether a request that is complete now gets its answer by its deadline, before the daemon
    /// cuts off what still runs.
    ///
    /// Until the listener closes every request does, since callers do not know of the stop yet.
    pub(super) fn leaves_time_until(&self, deadline: Instant) -> bool {
        let cut_off_at = self.cut_off_at.get();
        cut_off_at.is_none_or(|at| deadline + LAST_ANSWER_TIME <= at)
    }
}

/// Accepts connections forever, and serves each in a task of its own.
///
/// `admits` is asked before each one is served. One that it refuses is closed at once, and so is one
/// for which no idle connection of the table gives way: its caller has to reconnect, but the other
/// callers are not slowed down.
pub(super) async fn accept_all<F>(
    table: &ConnectionTable,
    listener: &TcpListener,
    mut admits: impl FnMut() -> bool,
    mut on_full: impl FnMut(),
    mut serve: impl FnMut(TcpStream, OpenConnection) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        let stream = accept(listener).await;
        if !admits() {
            continue;
        }
        let Some(connection) = table.open() else {
            on_full();
            continue;
        };
        let served = serve(stream, connection.clone());
        tokio::task::spawn_local(async move {
            tokio::select! {
                // First, so that no request is begun on a connection that is about to close.
                biased;
                () = connection.gives_way() => {}
                () = served => {}
            }
        });
    }
}

/// How a listener decides on new connections.
pub(super) struct ConnectionAdmission<A, F> {
    /// Asked before each new connection is served.
    pub(super) admits: A,
    /// Called when a new connection is closed because none of the others is idle.
    pub(super) on_full: F,
}

/// Accepts connections until `stopped` turns true, then drains them.
///
/// A planned stop has three steps:
///
/// 1. The daemon is stopping, by `progress`, and so unready.
/// 2. The listener stays open for `drain_notice_ms`, until the balancer has seen that.
/// 3. The listener closes. The daemon waits for all connections and then for `others_done`, at
///    most for `drain_timeout_ms`. Requests that come now, on connections that are open, are for
///    `serve` to refuse unless `progress` leaves them the time.
///
/// The connections that are still open afterwards end with the thread.
///
/// Each call of `serve` gets a receiver that turns true when draining begins.
pub(super) async fn serve_until_drained<F>(
    listener: TcpListener,
    settings: &EntrySettings,
    mut stopped: watch::Receiver<bool>,
    progress: &StopProgress,
    admission: ConnectionAdmission<impl FnMut() -> bool, impl FnMut()>,
    mut serve: impl FnMut(TcpStream, OpenConnection, watch::Receiver<bool>) -> F,
    others_done: impl Future<Output = ()>,
) where
    F: Future<Output = ()> + 'static,
{
    let callers = &settings.callers;
    let open = ConnectionTable::new(settings.max_connections());
    let (drain, draining) = watch::channel(false);
    let notice = async {
        // An error means that the sender was dropped, which also means to stop.
        let _ = stopped.wait_for(|stop| *stop).await;
        progress.is_stopping.set(true);
        LogEvent::Draining {}.emit();
        sleep(Duration::from_millis(callers.drain_notice_ms)).await;
    };
    let ConnectionAdmission { admits, on_full } = admission;
    let serve = |stream, connection| serve(stream, connection, draining.clone());
    let accepting = accept_all(&open, &listener, admits, on_full, serve);
    tokio::select! {
        () = accepting => {}
        () = notice => {}
    }
    drop(listener);
    let limit = Duration::from_millis(callers.drain_timeout_ms);
    progress.cut_off_at.set(Some(Instant::now() + limit));
    let _ = drain.send(true);
    let all_done = async {
        open.all_closed().await;
        others_done.await;
    };
    if timeout(limit, all_done).await.is_err() {
        let connections = u32::try_from(open.count()).unwrap_or(u32::MAX);
        LogEvent::CutOff { connections }.emit();
        progress.is_cut_off.set(true);
    }
    LogEvent::Drained {}.emit();
}

/// Waits for the next connection; retries when accepting one fails.
pub(super) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
    }
}

/// Returns the size of the read buffer in bytes, for a limit on headers in bytes.
pub(super) fn header_buffer(limit_bytes: u64) -> usize {
    usize::try_from(limit_bytes)
        .unwrap_or(MIN_BUFFER_BYTES)
        .saturating_mul(HEADER_BUFFER_FACTOR)
        .max(MIN_BUFFER_BYTES)
}
