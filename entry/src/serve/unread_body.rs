//! Bodies of refused requests, which are read and dropped for a while.
//!
//! If a connection is closed while bytes of a request are unread, its peer is sent a reset, which may
//! overtake the response that refuses the request.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use cicadabend::admission::SMALL_BODY;
use http::{
    HeaderMap,
    HeaderValue,
    header, //
};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

/// Bodies that are read at once only to be dropped; further ones are left unread.
const MAX_DISCARDED: u32 = 64;
/// Bytes of one body that are read and dropped.
const MAX_BYTES: u64 = 4 * 1024 * 1024;
/// Time for which one body is read and dropped.
const MAX_TIME: Duration = Duration::from_secs(2);

/// The part of a refused request's body that has not been read yet.
pub(super) struct UnreadBody {
    body: Incoming,
    /// Whether the sender waits for `100 Continue` and has sent nothing of the body.
    is_awaited: bool,
}

/// Counts the bodies that are being discarded.
#[derive(Default)]
pub(super) struct Discards {
    running: Cell<u32>,
}

impl UnreadBody {
    /// Returns the rest of a body of a request with these headers.
    pub(super) fn new(body: Incoming, request: &HeaderMap) -> Self {
        let is_awaited = request.contains_key(header::EXPECT);
        Self { body, is_awaited }
    }

    /// Returns whether the connection can serve another request after this one is refused.
    fn leaves_connection_usable(&self) -> bool {
        let upper = self.body.size_hint().upper();
        !self.is_awaited && upper.is_some_and(|upper| upper <= SMALL_BODY.0)
    }

    /// Discards the body, and announces in the response's headers if the connection will close.
    pub(super) fn discard(self, discards: &Rc<Discards>, response: &mut HeaderMap) {
        if !self.leaves_connection_usable() {
            let close = HeaderValue::from_static("close");
            response.insert(header::CONNECTION, close);
        }
        // Reading would make hyper ask for the body.
        if self.is_awaited || self.body.is_end_stream() {
            return;
        }
        if discards.running.get() >= MAX_DISCARDED {
            return;
        }
        discards.running.update(|running| running + 1);
        let discards = Rc::clone(discards);
        tokio::task::spawn_local(async move {
            let _ = timeout(MAX_TIME, read_and_drop(self.body)).await;
            discards.running.update(|running| running - 1);
        });
    }
}

async fn read_and_drop(mut body: Incoming) {
    let mut left = MAX_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(rest) = left.checked_sub(length) else {
            return;
        };
        left = rest;
    }
}
