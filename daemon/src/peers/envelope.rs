//! A message with its sender as bytes, and how a connection frames them.

use cicadabend::peer_api::{
    Envelope,
    PROTOCOL_VERSION, //
};
use tokio_util::codec::LengthDelimitedCodec;

use super::{
    PeerIdentity,
    counters::{
        PeerCounters,
        add, //
    },
};

/// The largest message accepted; a whole configuration for 520 daemons stays below it.
const MESSAGE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Returns the framing of one direction: four bytes of length before each message.
pub(super) fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT_BYTES)
        .new_codec()
}

/// Returns a message as bytes, or `None` if it is too large for a peer to accept.
pub(super) fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(envelope).ok()?;
    (bytes.len() <= MESSAGE_LIMIT_BYTES).then_some(bytes)
}

/// Returns a message of this version and cluster; anything else is counted and dropped.
pub(super) fn decode(
    bytes: &[u8],
    identity: &PeerIdentity,
    counters: &PeerCounters,
) -> Option<Envelope> {
    // The version stands first, so it can be read even where the rest has changed.
    match postcard::take_from_bytes::<u16>(bytes) {
        Ok((PROTOCOL_VERSION, _)) => {}
        Ok(_) => {
            add(&counters.refused_version, 1);
            return None;
        }
        Err(_) => {
            add(&counters.refused_malformed, 1);
            return None;
        }
    }
    let Ok(envelope) = postcard::from_bytes::<Envelope>(bytes) else {
        add(&counters.refused_malformed, 1);
        return None;
    };
    if envelope.cluster != identity.cluster {
        add(&counters.refused_cluster, 1);
        return None;
    }
    Some(envelope)
}
