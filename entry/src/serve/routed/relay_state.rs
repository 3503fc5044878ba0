//! Counts the requests that this daemon relays for others, and limits them.

use std::{
    cell::Cell,
    rc::Rc, //
};

use cicadabend::reach::RelayKey;
use tokio::sync::Notify;

use super::server::Server;

/// Requests that are relayed at once.
const MAX_REQUESTS: u32 = 384;
/// Bodies of requests that are in memory at once.
pub(super) const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;

/// Counts of the requests that are being relayed, and the key by which this daemon knows a request
/// as one of an entry daemon of its cluster.
pub(super) struct RelayState {
    pub(super) key: RelayKey,
    requests: Cell<u32>,
    body_bytes: Cell<u64>,
    /// Notified when a request ends.
    ended: Notify,
}

impl RelayState {
    pub(super) fn new(key: RelayKey) -> Self {
        Self {
            key,
            requests: Cell::new(0),
            body_bytes: Cell::new(0),
            ended: Notify::new(),
        }
    }

    /// Waits until no request is being relayed.
    pub(super) async fn all_ended(&self) {
        while self.requests.get() > 0 {
            self.ended.notified().await;
        }
    }
}

/// A relayed request, counted until this is dropped.
pub(super) struct RelayedRequest {
    server: Rc<Server>,
    body_bytes: u64,
}

impl RelayedRequest {
    /// Counts a request; `None` if there are too many.
    pub(super) fn begin(server: &Rc<Server>, body_bytes: u64) -> Option<Self> {
        let state = &server.relay;
        let bytes = state.body_bytes.get().saturating_add(body_bytes);
        if state.requests.get() >= MAX_REQUESTS || bytes > MAX_BODY_BYTES {
            return None;
        }
        state.requests.set(state.requests.get() + 1);
        state.body_bytes.set(bytes);
        Some(Self {
            server: Rc::clone(server),
            body_bytes,
        })
    }
}

impl Drop for RelayedRequest {
    fn drop(&mut self) {
        let state = &self.server.relay;
        state.requests.set(state.requests.get() - 1);
        state
            .body_bytes
            .set(state.body_bytes.get() - self.body_bytes);
        state.ended.notify_one();
    }
}
