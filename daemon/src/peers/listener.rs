//! Connections from peers, and what comes over them.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use futures_util::StreamExt;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::codec::FramedRead;

use super::{
    Incoming, PeerIdentity, SharedLinks,
    counters::{
        PeerCounters,
        add, //
    },
    envelope::{
        decode,
        framing, //
    },
    lock,
};
use crate::ring::Sender;

/// How many connections from peers are held; 520 daemons dial twice at the most when one of
/// their connections has gone mute.
const MOST_CONNECTIONS: usize = 1_200;
/// A connection over which nothing came for so long is closed.
///
/// The process at its other end may have lost power, and nothing else would show that: each
/// such connection would keep a descriptor for ever. A live peer says hello far more often.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// The pause after a connection could not be taken: without it, a process that has no
/// descriptors left would only spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What all connections from peers share.
#[derive(Clone)]
pub(super) struct Hearing {
    pub(super) identity: PeerIdentity,
    pub(super) links: SharedLinks,
    pub(super) counters: Arc<PeerCounters>,
    pub(super) inbox: Sender<Incoming>,
}

/// Takes connections for ever.
pub(super) async fn accept_all(listener: TcpListener, hearing: Hearing) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= MOST_CONNECTIONS {
            add(&hearing.counters.refused_connections, 1);
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (hearing, open) = (hearing.clone(), Arc::clone(&open));
        tokio::spawn(async move {
            hear_all(stream, &hearing).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn hear_all(stream: TcpStream, hearing: &Hearing) {
    let mut frames = FramedRead::new(stream, framing());
    while let Ok(Some(Ok(bytes))) = timeout(IDLE_LIMIT, frames.next()).await {
        add(&hearing.counters.received_bytes, bytes.len());
        hear(&bytes, hearing);
    }
}

fn hear(bytes: &[u8], hearing: &Hearing) {
    let Some(envelope) = decode(bytes, &hearing.identity, &hearing.counters) else {
        return;
    };
    add(&hearing.counters.received_messages, 1);
    if let Some(link) = lock(&hearing.links).get_mut(&envelope.from) {
        link.hear(envelope.boot, envelope.number, envelope.heard);
    }
    let incoming = Incoming {
        from: envelope.from,
        boot: envelope.boot,
        message: envelope.message,
    };
    if hearing.inbox.push(incoming).is_err() {
        add(&hearing.counters.dropped_ring_full, 1);
    }
}
