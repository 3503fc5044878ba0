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

/// Counts of the requests that are being relayed, and the key by which this daemon knows a request
/// as one of an entry daemon of its cluster.
pub(super) struct RelayState {
    pub(super) key: RelayKey,
    requests: Cell<u32>,
    /// Notified when a request ends.
    ended: Notify,
}

impl RelayState {
    pub(super) fn new(key: RelayKey) -> Self {
        Self {
            key,
            requests: Cell::new(0),
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
}

impl RelayedRequest {
    /// Counts a request; `None` if there are too many.
    pub(super) fn begin(server: &Rc<Server>) -> Option<Self> {
        let state = &server.relay;
        if state.requests.get() >= MAX_REQUESTS {
            return None;
        }
        state.requests.set(state.requests.get() + 1);
        Some(Self {
            server: Rc::clone(server),
        })
    }
}

impl Drop for RelayedRequest {
    fn drop(&mut self) {
        let state = &self.server.relay;
        state.requests.set(state.requests.get() - 1);
        state.ended.notify_one();
    }
}
