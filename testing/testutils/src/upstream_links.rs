//! The links from one daemon to all upstreams, which a test can cut.
//!
//! A daemon learns upstreams' addresses from control daemons. [`UpstreamLinks`] stands before the
//! daemon's listener for peers and replaces each of these addresses by one of its own, so that it
//! sees every connection of this daemon to an upstream, and of no other daemon.

use std::{
    collections::BTreeMap,
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        OnceLock, //
    },
    time::Duration,
};

use cicadabend::peer_api::{
    Envelope,
    PeerMessage, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    runtime::Runtime,
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};

/// Threads for all links of one test process.
const THREADS: usize = 2;
/// The length that stands before each message of a peer.
const LENGTH_BYTES: usize = 4;
/// No message of a peer is longer.
const MESSAGE_LIMIT_BYTES: usize = 8 * 1024 * 1024;
const BUFFER_BYTES: usize = 64 * 1024;
/// The queue of a listener that accepts connections.
const USUAL_BACKLOG: u32 = 1_024;
/// After this long a connection on loopback has not been made because the queue is full.
const QUEUE_IS_FULL_AFTER: Duration = Duration::from_millis(60);

/// How links fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// No byte passes, and new connections hang.
    Hang,
    /// Open connections are reset, and new ones refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
    /// Requests pass and answers don't; new connections hang.
    LoseAnswers,
}

impl Cut {
    fn holds_requests(self) -> bool {
        self == Cut::Hang
    }

    fn holds_answers(self) -> bool {
        matches!(self, Cut::Hang | Cut::LoseAnswers)
    }

    fn refuses_new(self) -> bool {
        matches!(self, Cut::Reset | Cut::RefuseNew)
    }
}

type State = watch::Receiver<Option<Cut>>;

/// The links of one daemon to all upstreams.
pub struct UpstreamLinks {
    state: watch::Sender<Option<Cut>>,
}

/// Addresses that stand for upstreams' own, by these.
struct Substitutes {
    ip: IpAddr,
    by_target: Mutex<BTreeMap<SocketAddr, SocketAddr>>,
    state: State,
}

impl UpstreamLinks {
    /// Stands at `advertised` before a daemon's listener for peers; the links get ports at `ip`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if `advertised` cannot be listened on.
    pub fn start(advertised: SocketAddr, peers: SocketAddr, ip: IpAddr) -> io::Result<Self> {
        let (state, observed) = watch::channel(None);
        let substitutes = Arc::new(Substitutes {
            ip,
            by_target: Mutex::default(),
            state: observed,
        });
        let _guard = runtime().enter();
        let listener = listen(advertised, USUAL_BACKLOG)?;
        runtime().spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                let substitutes = Arc::clone(&substitutes);
                tokio::spawn(async move {
                    // Whatever breaks the connection ends it for both sides.
                    let _ = pass_messages(stream, peers, &substitutes).await;
                });
            }
        });
        Ok(Self { state })
    }

    /// Cuts all links.
    pub fn cut(&self, how: Cut) {
        self.state.send_replace(Some(how));
    }

    /// Makes all links whole; what was held passes then, as after lost packets.
    pub fn heal(&self) {
        self.state.send_replace(None);
    }
}

impl Substitutes {
    /// Returns the address that stands for an upstream's, which is listened on from now on.
    fn of(self: &Arc<Self>, target: SocketAddr) -> io::Result<SocketAddr> {
        let mut by_target = self.by_target.lock().expect("no holder of the lock panics");
        if let Some(address) = by_target.get(&target) {
            return Ok(*address);
        }
        let listener = listen(SocketAddr::new(self.ip, 0), USUAL_BACKLOG)?;
        let address = listener.local_addr()?;
        by_target.insert(target, address);
        tokio::spawn(serve_link(listener, address, target, self.state.clone()));
        Ok(address)
    }

    fn replace_addresses(self: &Arc<Self>, message: &mut PeerMessage) -> io::Result<()> {
        if let PeerMessage::Upstreams(update) = message {
            for (registration, _) in &mut update.reports {
                registration.address = self.of(registration.address)?;
            }
        }
        Ok(())
    }
}

/// Passes a peer's messages on, with other addresses of upstreams in them.
async fn pass_messages(
    mut from: TcpStream,
    peers: SocketAddr,
    substitutes: &Arc<Substitutes>,
) -> io::Result<()> {
    from.set_nodelay(true)?;
    let mut onward = TcpStream::connect(peers).await?;
    onward.set_nodelay(true)?;
    loop {
        let length = from.read_u32().await?;
        let length = usize::try_from(length).map_err(io::Error::other)?;
        let mut bytes = vec![0; length.min(MESSAGE_LIMIT_BYTES)];
        from.read_exact(&mut bytes).await?;
        let mut envelope: Envelope = postcard::from_bytes(&bytes).map_err(io::Error::other)?;
        substitutes.replace_addresses(&mut envelope.message)?;
        let bytes = postcard::to_stdvec(&envelope).map_err(io::Error::other)?;
        let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
        let mut framed = Vec::with_capacity(LENGTH_BYTES + bytes.len());
        framed.extend_from_slice(&length.to_be_bytes());
        framed.extend_from_slice(&bytes);
        onward.write_all(&framed).await?;
    }
}

/// Serves the link to one upstream, whole or cut.
async fn serve_link(
    mut listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut state: State,
) {
    loop {
        let cut = *state.borrow_and_update();
        match cut {
            None => {
                let observed = state.clone();
                let accepting = accept_all(&listener, target, &observed);
                tokio::select! {
                    () = accepting => {}
                    changed = state.changed() => if changed.is_err() { return },
                }
                continue;
            }
            Some(cut) => {
                drop(listener);
                let _queue = match cut.refuses_new() {
                    true => None,
                    false => full_queue(address).await.ok(),
                };
                if state.changed().await.is_err() {
                    return;
                }
            }
        }
        listener = loop {
            match listen(address, USUAL_BACKLOG) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        };
    }
}

async fn accept_all(listener: &TcpListener, target: SocketAddr, state: &State) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(pass(stream, target, state.clone()));
        }
    }
}

/// Returns a listener that accepts nothing and the connections that fill its queue.
///
/// The system drops the first packet of each further connection, as a cut network does.
async fn full_queue(address: SocketAddr) -> io::Result<(TcpListener, Vec<TcpStream>)> {
    let listener = listen(address, 0)?;
    let mut queued = Vec::new();
    while let Ok(connected) = timeout(QUEUE_IS_FULL_AFTER, TcpStream::connect(address)).await {
        queued.push(connected?);
    }
    Ok((listener, queued))
}

/// Passes the bytes of one connection both ways until it ends or is reset.
async fn pass(from: TcpStream, target: SocketAddr, state: State) {
    let Ok(onward) = TcpStream::connect(target).await else {
        return;
    };
    for stream in [&from, &onward] {
        // A connection that has ended shows that when it is read.
        let _ = stream.set_nodelay(true);
    }
    let mut resets = state.clone();
    let (from_read, from_write) = from.into_split();
    let (onward_read, onward_write) = onward.into_split();
    let requests = copy(from_read, onward_write, state.clone(), Cut::holds_requests);
    let answers = copy(onward_read, from_write, state, Cut::holds_answers);
    tokio::select! {
        _ = requests => {}
        _ = answers => {}
        _ = resets.wait_for(|cut| *cut == Some(Cut::Reset)) => {}
    }
}

/// Copies one direction; holds bytes and the connection's end while `is_held`.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: State,
    is_held: fn(Cut) -> bool,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let passes = |cut: &Option<Cut>| !cut.is_some_and(is_held);
        state.wait_for(passes).await.map_err(io::Error::other)?;
        if length == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..length]).await?;
    }
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()
            .expect("a runtime can be started")
    })
}
