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
/// After this long it is seen whether an upstream that had ended listens again.
const LISTEN_AGAIN_AFTER: Duration = Duration::from_millis(50);
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
        let link = Link {
            address,
            target,
            state: self.state.clone(),
            is_ended: Arc::new(watch::Sender::new(false)),
        };
        tokio::spawn(serve_link(link, listener));
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

/// The link to one upstream.
#[derive(Clone)]
struct Link {
    address: SocketAddr,
    target: SocketAddr,
    state: State,
    /// Whether nothing listens at the upstream's address any more.
    is_ended: Arc<watch::Sender<bool>>,
}

/// How a link treats new connections.
enum Accepting {
    All(TcpListener),
    None,
    Hanging {
        _queue: (TcpListener, Vec<TcpStream>),
    },
}

/// Serves the link to one upstream, whole or cut, for as long as the test runs.
async fn serve_link(link: Link, listener: TcpListener) {
    let mut state = link.state.clone();
    let mut ended = link.is_ended.subscribe();
    let mut accepting = Accepting::All(listener);
    loop {
        tokio::select! {
            () = link.accept(&accepting) => {}
            changed = state.changed() => if changed.is_err() { return },
            _ = ended.changed() => {}
        }
        // What accepted before ends first, for the address is used again.
        drop(std::mem::replace(&mut accepting, Accepting::None));
        let cut = *state.borrow_and_update();
        let is_ended = *ended.borrow_and_update();
        accepting = match cut {
            Some(cut) if !cut.refuses_new() => match full_queue(link.address).await {
                Ok(queue) => Accepting::Hanging { _queue: queue },
                Err(_) => Accepting::None,
            },
            None if !is_ended => match listen(link.address, USUAL_BACKLOG) {
                Ok(listener) => Accepting::All(listener),
                Err(_) => Accepting::None,
            },
            _ => Accepting::None,
        };
    }
}

impl Link {
    /// Accepts connections; without a listener, waits until another one may be made.
    async fn accept(&self, accepting: &Accepting) {
        match accepting {
            Accepting::All(listener) => loop {
                if let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(pass(stream, self.clone()));
                }
            },
            Accepting::Hanging { .. } => std::future::pending().await,
            Accepting::None => {
                sleep(LISTEN_AGAIN_AFTER).await;
                self.check_target().await;
            }
        }
    }

    /// Finds out whether the upstream has ended, so that new connections are refused as its own.
    async fn check_target(&self) {
        let is_ended = TcpStream::connect(self.target).await.is_err();
        self.is_ended.send_if_modified(|known| {
            let is_changed = *known != is_ended;
            *known = is_ended;
            is_changed
        });
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
async fn pass(from: TcpStream, link: Link) {
    let Ok(onward) = TcpStream::connect(link.target).await else {
        link.check_target().await;
        return;
    };
    for stream in [&from, &onward] {
        // A connection that has ended shows that when it is read.
        let _ = stream.set_nodelay(true);
    }
    let state = link.state.clone();
    let mut resets = state.clone();
    let (from_read, from_write) = from.into_split();
    let (onward_read, onward_write) = onward.into_split();
    let requests = copy(from_read, onward_write, state.clone(), Cut::holds_requests);
    let answers = copy(onward_read, from_write, state, Cut::holds_answers);
    let reset = async {
        // An error means that the test is over, which ends the connection too.
        let _ = resets.wait_for(|cut| *cut == Some(Cut::Reset)).await;
    };
    let is_ended_by_upstream = tokio::select! {
        _ = requests => false,
        _ = answers => true,
        () = reset => false,
    };
    if is_ended_by_upstream {
        link.check_target().await;
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
