//! A TCP proxy that injects faults, inside the test's own process.
//!
//! The faults are those of the library noxious. A proxy can be cut (connections
//! reset, new ones refused), delayed, slowed, stalled in one or both directions
//! (the bytes are swallowed, the connection stays open), and made to end after
//! a number of bytes.

use std::{
    io,
    net::SocketAddr,
    sync::OnceLock, //
};

use bmrng::RequestSender;
use noxious::{
    proxy::{
        ProxyConfig,
        ProxyRunner,
        Runner,
        Toxics, //
    },
    signal::{
        Close,
        Stop,
        Stopper, //
    },
    socket::TcpListener,
    state::SharedProxyInfo,
    toxic::{
        StreamDirection,
        Toxic,
        ToxicEvent,
        ToxicEventKind,
        ToxicEventResult,
        ToxicKind, //
    },
};
use tokio::runtime::Runtime;

use crate::ports::reserve_address;

/// Threads for all proxies of one test process.
const PROXY_THREADS: usize = 2;
/// How many fault changes wait for a proxy.
const EVENT_BUFFER: usize = 16;

/// Which way the bytes of a fault travel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the one who connects to the one who listens.
    ToTarget,
    /// From the one who listens to the one who connects.
    FromTarget,
}

impl From<Direction> for StreamDirection {
    fn from(direction: Direction) -> Self {
        match direction {
            Direction::ToTarget => StreamDirection::Upstream,
            Direction::FromTarget => StreamDirection::Downstream,
        }
    }
}

/// A fault on a proxy's path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Each byte arrives this much later.
    Delay {
        /// How much later.
        delay_ms: u64,
    },
    /// Bytes are swallowed, the connection stays open.
    Stall,
    /// Bytes pass at this rate.
    Slow {
        /// In units of 1,000 bytes a second.
        kilobytes_per_second: u64,
    },
    /// The connection ends after this many bytes.
    CutAfter {
        /// How many bytes pass.
        bytes: u64,
    },
}

impl Fault {
    fn toxic_kind(self) -> ToxicKind {
        match self {
            Fault::Delay { delay_ms } => ToxicKind::Latency {
                latency: delay_ms,
                jitter: 0,
            },
            // A timeout of zero never ends, so the connection stays half-open.
            Fault::Stall => ToxicKind::Timeout { timeout: 0 },
            Fault::Slow {
                kilobytes_per_second,
            } => ToxicKind::Bandwidth {
                rate: kilobytes_per_second,
            },
            Fault::CutAfter { bytes } => ToxicKind::LimitData { bytes },
        }
    }
}

struct Running {
    stopper: Stopper,
    events: RequestSender<ToxicEvent, ToxicEventResult>,
    closed: Close,
}

/// One proxy: an address to give to clients, and the target behind it.
pub struct FaultProxy {
    listen: SocketAddr,
    target: SocketAddr,
    running: Option<Running>,
    next_fault: u64,
}

impl FaultProxy {
    /// Starts a proxy before `target`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let mut proxy = Self {
            listen: reserve_address()?,
            target,
            running: None,
            next_fault: 0,
        };
        proxy.heal()?;
        Ok(proxy)
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.listen
    }

    /// Resets all connections and refuses new ones.
    pub fn cut(&mut self) {
        if let Some(running) = self.running.take() {
            running.stopper.stop();
            // An error means that the proxy's task is gone, and its connections with it.
            let _ = runtime().block_on(running.closed.recv());
        }
    }

    /// Removes every fault; connections that a fault has harmed are not repaired.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the proxy cannot listen again.
    pub fn heal(&mut self) -> io::Result<()> {
        match &self.running {
            Some(_) => self.send(ToxicEventKind::RemoveAllToxics),
            None => {
                self.running = Some(runtime().block_on(run(self.listen, self.target))?);
            }
        }
        Ok(())
    }

    /// Adds a fault in one direction, on open connections and on new ones.
    ///
    /// A stall of one direction holds up both on a connection that was open before: noxious
    /// joins its two directions anew. Cut and heal first where only one may be stalled.
    ///
    /// # Panics
    ///
    /// Panics if the proxy is cut: the test would believe in a fault that is not there.
    pub fn inject(&mut self, fault: Fault, direction: Direction) {
        self.next_fault += 1;
        self.send(ToxicEventKind::AddToxic(Toxic {
            kind: fault.toxic_kind(),
            name: format!("fault-{}", self.next_fault),
            toxicity: 1.0,
            direction: direction.into(),
        }));
    }

    fn send(&self, kind: ToxicEventKind) {
        let running = self.running.as_ref().expect("the proxy is cut");
        let event = ToxicEvent::new(self.listen.to_string(), kind);
        runtime()
            .block_on(running.events.send_receive(event))
            .expect("the proxy's task is gone")
            .expect("the proxy refused the fault");
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.cut();
    }
}

fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(PROXY_THREADS)
            .enable_all()
            .build()
            .expect("the proxies' runtime")
    })
}

async fn run(listen: SocketAddr, target: SocketAddr) -> io::Result<Running> {
    let config = ProxyConfig {
        name: listen.to_string(),
        listen: listen.to_string(),
        upstream: target.to_string(),
        enabled: true,
        rand_seed: Some(0),
    };
    let (listener, info): (TcpListener, SharedProxyInfo) =
        ProxyRunner::initialize_proxy(config, Toxics::empty()).await?;
    let (stop, stopper) = Stop::new();
    let (events, receiver) = bmrng::channel(EVENT_BUFFER);
    let (closed, closer) = Close::new();
    tokio::spawn(async move {
        // The result repeats what the test sees: the connections are gone.
        let _ = ProxyRunner::run_proxy(listener, info, receiver, stop, closer).await;
    });
    Ok(Running {
        stopper,
        events,
        closed,
    })
}
