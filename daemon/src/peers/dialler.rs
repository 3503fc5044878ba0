//! The task that holds the connection to one peer and makes it anew when it is lost.

use std::{
    io,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::SinkExt;
use tokio::{
    net::{
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::codec::{
    FramedWrite,
    LengthDelimitedCodec, //
};

use super::{
    counters::{
        PeerCounters,
        add, //
    },
    envelope::framing,
    link::LinkEnd,
};
use crate::ring::Receiver;

type Outgoing = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// First pause before a lost connection is dialled again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// Longest pause before a lost connection is dialled again.
///
/// After a start of the whole fleet it is what callers wait for, so it stays well under the
/// time callers give a request.
const RECONNECT_MAX: Duration = Duration::from_millis(200);
/// How long a connection may take. A VM without power does not answer at all, and the system
/// repeats the opening packet only after a second, so a new try is worth more than waiting.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);

/// Why a connection is over.
enum Over {
    /// The peer is no longer known.
    Forgotten,
    /// It broke, was closed by the peer or given up as mute.
    Lost,
}

/// Sends what the ring holds over one connection after the other, until the link is dropped.
pub(super) async fn hold(mut end: LinkEnd, counters: Arc<PeerCounters>) {
    let mut pause = RECONNECT_MIN;
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_LIMIT, TcpStream::connect(end.address)).await {
            add(&counters.connected, 1);
            pause = RECONNECT_MIN;
            let over = send_all(stream, &mut end).await;
            add(&counters.disconnected, 1);
            if matches!(over, Over::Forgotten) {
                return;
            }
        }
        tokio::select! {
            () = sleep(pause) => {}
            () = end.messages.closed() => return,
        }
        pause = (pause * 2).min(RECONNECT_MAX);
    }
}

async fn send_all(stream: TcpStream, end: &mut LinkEnd) -> Over {
    // Without it small messages would wait for the peer's acknowledgements.
    if stream.set_nodelay(true).is_err() {
        return Over::Lost;
    }
    let (read, write) = stream.into_split();
    let mut write = FramedWrite::new(write, framing());
    // Whoever waits for the peer must also see it close, or the next message is lost.
    let mut closed = std::pin::pin!(until_closed(read));
    loop {
        let first = tokio::select! {
            () = &mut closed => return Over::Lost,
            () = end.redial.notified() => return Over::Lost,
            first = end.messages.next() => first,
        };
        let Some(first) = first else {
            return Over::Forgotten;
        };
        let written = tokio::select! {
            () = &mut closed => return Over::Lost,
            () = end.redial.notified() => return Over::Lost,
            written = write_waiting(&mut write, first, &mut end.messages) => written,
        };
        if written.is_err() {
            return Over::Lost;
        }
    }
}

/// Writes a message and all others that wait, with as few system calls as possible.
async fn write_waiting(
    write: &mut Outgoing,
    first: Vec<u8>,
    messages: &mut Receiver<Vec<u8>>,
) -> io::Result<()> {
    write.feed(Bytes::from(first)).await?;
    while let Some(next) = messages.try_next() {
        write.feed(Bytes::from(next)).await?;
    }
    SinkExt::<Bytes>::flush(write).await
}

/// Waits until the peer closes; it never sends anything over this connection.
async fn until_closed(read: OwnedReadHalf) {
    let mut some = [0; 16];
    loop {
        if read.readable().await.is_err() {
            return;
        }
        match read.try_read(&mut some) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
