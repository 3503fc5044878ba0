//! What one process knows of its connection to one peer.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use cicadabend::{
    ids::Address,
    prelude::*, //
};
use tokio::sync::Notify;

use crate::ring;

/// How many messages wait for one peer before the oldest of them is dropped.
const SEND_RING_MESSAGES: usize = 128;
/// A peer that acknowledges nothing for so long is dialled again; hellos come thrice as often.
const MUTE_LIMIT: Duration = Duration::from_millis(1_300);

/// The way to one peer: a ring to the task that holds its connection.
pub(super) struct Link {
    pub(super) address: Address,
    messages: ring::Sender<Vec<u8>>,
    redial: Arc<Notify>,
    /// Whether the peer is expected to acknowledge what it hears.
    is_watched: bool,
    sent: u64,
    acknowledged: u64,
    /// Since when something sent has not been acknowledged.
    waiting_since: Option<Instant>,
    heard_boot: BootId,
    heard: u64,
}

/// The other end of a link.
pub(super) struct LinkEnd {
    pub(super) address: Address,
    pub(super) messages: ring::Receiver<Vec<u8>>,
    /// Tells that the connection is to be given up for a new one.
    pub(super) redial: Arc<Notify>,
}

impl Link {
    pub(super) fn new(address: Address, is_watched: bool) -> (Self, LinkEnd) {
        let (messages, messages_out) = ring::bounded("peer", SEND_RING_MESSAGES);
        let redial = Arc::new(Notify::new());
        let end = LinkEnd {
            address,
            messages: messages_out,
            redial: Arc::clone(&redial),
        };
        let link = Self {
            address,
            messages,
            redial,
            is_watched,
            sent: 0,
            acknowledged: 0,
            waiting_since: None,
            heard_boot: BootId::default(),
            heard: 0,
        };
        (link, end)
    }

    /// Returns the number of the next message and the highest number heard from the peer.
    pub(super) fn next_number(&mut self) -> (u64, u64) {
        self.sent += 1;
        self.waiting_since.get_or_insert_with(Instant::now);
        (self.sent, self.heard)
    }

    /// Puts a message into the ring; returns whether an older one was dropped for it.
    ///
    /// Every protocol above repeats itself, so the newest message is worth most.
    pub(super) fn push(&self, message: Vec<u8>) -> bool {
        self.messages.push_dropping_oldest(message).is_some()
    }

    /// Returns whether the connection has gone silent, and has it made anew.
    ///
    /// A connection can go silent without being closed: what is written to it is taken
    /// by the system and never arrives. What shows it is that the peer acknowledges
    /// nothing any more, whether or not it is heard.
    pub(super) fn redial_if_mute(&mut self) -> bool {
        let waited = self.waiting_since.map(|since| since.elapsed());
        let is_mute = self.is_watched && waited.is_some_and(|waited| waited >= MUTE_LIMIT);
        if is_mute {
            self.waiting_since = None;
            self.redial.notify_one();
        }
        is_mute
    }

    /// Takes in the numbers of a message of the peer.
    pub(super) fn hear(&mut self, boot: BootId, number: u64, acknowledged: u64) {
        if boot != self.heard_boot {
            self.heard_boot = boot;
            self.heard = 0;
        }
        self.heard = self.heard.max(number);
        // A peer that has not heard of this run yet acknowledges numbers of an earlier one.
        if acknowledged > self.sent || acknowledged <= self.acknowledged {
            return;
        }
        self.acknowledged = acknowledged;
        self.waiting_since = (acknowledged < self.sent).then(Instant::now);
    }
}
