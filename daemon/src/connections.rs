//! The open connections of a listener, of which an idle one gives way when there are too many.
//!
//! Clients that open connections and send nothing would otherwise shut out all others until their
//! connections time out.

use std::{
    collections::BTreeMap,
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use rustix::net::sockopt;
use tokio::{
    sync::Notify,
    time::Instant, //
};

/// The number of connections that the kernel holds until they are accepted. It drops further ones,
/// whose clients try again after a second.
const LISTEN_BACKLOG: i32 = 4_096;
/// Size of the kernel's receive buffer of a connection, which it would else enlarge by itself to some
/// MiB. Bytes that have arrived count as the process's memory until they are read.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Time for which a connection does not give way after it has served a request, so that a client
/// can send the next one.
const KEPT_AFTER_SERVING: Duration = Duration::from_secs(1);

/// The open connections of one listener; clones share them.
#[derive(Clone)]
pub struct ConnectionTable {
    shared: Arc<Shared>,
}

struct Shared {
    limit: usize,
    open: Mutex<BTreeMap<u64, Arc<State>>>,
    next: AtomicU64,
    closed: Notify,
}

struct State {
    /// Requests that are being served.
    running: AtomicU64,
    is_writing: AtomicBool,
    idle: Mutex<Idle>,
    gives_way: Notify,
}

/// What makes an idle connection more or less worth keeping.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct Idle {
    /// Whether a request was served on it; a connection without one goes first.
    has_served: bool,
    since: Instant,
}

/// One open connection; it is closed when the last clone of this is dropped.
#[derive(Clone)]
pub struct OpenConnection {
    entry: Arc<Entry>,
}

struct Entry {
    shared: Arc<Shared>,
    number: u64,
    state: Arc<State>,
}

/// A request on a connection, which does not give way from [`Self::begin`] on until this is dropped.
pub struct ConnectionRequest {
    connection: OpenConnection,
    is_running: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while the lock is held leaves a whole table behind.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Listens at an address for clients, with room for those that connect in a short pause of the process.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    // Accepted connections inherit it.
    sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES)?;
    Ok(listener)
}

impl ConnectionTable {
    /// Makes a table of at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                limit,
                open: Mutex::default(),
                next: AtomicU64::new(0),
                closed: Notify::new(),
            }),
        }
    }

    /// Adds a connection; if there are too many, the one that has been idle longest gives way.
    ///
    /// Returns `None` if there are too many and none of them is idle.
    pub fn open(&self) -> Option<OpenConnection> {
        let shared = &self.shared;
        let mut open = lock(&shared.open);
        if open.len() >= shared.limit {
            let number = longest_idle(&open)?;
            if let Some(state) = open.remove(&number) {
                state.gives_way.notify_one();
            }
        }
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(State {
            running: AtomicU64::new(0),
            is_writing: AtomicBool::new(false),
            idle: Mutex::new(Idle {
                has_served: false,
                since: Instant::now(),
            }),
            gives_way: Notify::new(),
        });
        open.insert(number, Arc::clone(&state));
        Some(OpenConnection {
            entry: Arc::new(Entry {
                shared: Arc::clone(shared),
                number,
                state,
            }),
        })
    }

    /// Returns the number of open connections, without those that give way.
    pub fn count(&self) -> usize {
        lock(&self.shared.open).len()
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while self.count() > 0 {
            self.shared.closed.notified().await;
        }
    }
}

/// Returns the number of the connection that gives way; `None` if there is none.
fn longest_idle(open: &BTreeMap<u64, Arc<State>>) -> Option<u64> {
    let now = Instant::now();
    let idle = open.iter().filter_map(|(number, state)| {
        let idle = state.idle_since()?;
        let is_kept = idle.has_served && now.duration_since(idle.since) < KEPT_AFTER_SERVING;
        (!is_kept).then_some((idle, *number))
    });
    idle.min().map(|(_, number)| number)
}

impl State {
    /// Returns since when the connection is idle; `None` if it is not.
    fn idle_since(&self) -> Option<Idle> {
        let is_idle =
            self.running.load(Ordering::Relaxed) == 0 && !self.is_writing.load(Ordering::Relaxed);
        is_idle.then(|| *lock(&self.idle))
    }
}

impl OpenConnection {
    /// Waits until the connection must be closed for another one.
    pub async fn gives_way(&self) {
        self.entry.state.gives_way.notified().await;
    }

    /// Sets whether bytes of a response wait to be written.
    pub fn set_writing(&self, is_writing: bool) {
        let state = &self.entry.state;
        state.is_writing.store(is_writing, Ordering::Relaxed);
    }

    /// Returns a request whose head has arrived.
    pub fn request(&self) -> Arc<ConnectionRequest> {
        Arc::new(ConnectionRequest {
            connection: self.clone(),
            is_running: AtomicBool::new(false),
        })
    }
}

impl ConnectionRequest {
    /// Records that the request is complete and is being served.
    pub fn begin(&self) {
        if !self.is_running.swap(true, Ordering::Relaxed) {
            let state = &self.connection.entry.state;
            state.running.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for ConnectionRequest {
    fn drop(&mut self) {
        if !self.is_running.load(Ordering::Relaxed) {
            return;
        }
        let state = &self.connection.entry.state;
        *lock(&state.idle) = Idle {
            has_served: true,
            since: Instant::now(),
        };
        state.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        lock(&self.shared.open).remove(&self.number);
        self.shared.closed.notify_one();
    }
}
