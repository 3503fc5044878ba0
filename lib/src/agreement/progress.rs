//! How far one node's log is, as its leader knows.

use std::collections::VecDeque;

use super::types::LogIndex;
use crate::time::Timestamp;

/// How far one node's log is, as its leader knows.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The next entry to send.
    pub next: LogIndex,
    /// The last entry known to be synced there.
    pub matched: LogIndex,
    /// The last round it has answered.
    pub answered_round: u64,
    /// The last entry of each append that is not acknowledged yet.
    in_flight: VecDeque<LogIndex>,
    /// When these may be taken for lost.
    retransmit_at: Timestamp,
    /// Whether `next` is a guess that an answer has to confirm first.
    probing: bool,
    /// Whether a snapshot is on its way.
    pub installing: bool,
}

impl Progress {
    pub(super) fn new(next: LogIndex) -> Self {
        Self {
            next,
            matched: LogIndex(0),
            answered_round: 0,
            in_flight: VecDeque::new(),
            retransmit_at: Timestamp(0),
            probing: true,
            installing: false,
        }
    }

    /// Returns whether entries may be sent now.
    pub(super) fn accepts_entries(&self, window: usize) -> bool {
        let one_at_a_time = self.probing || self.installing;
        let window = if one_at_a_time { 1 } else { window };
        self.in_flight.len() < window
    }

    /// Returns whether nothing waits for an acknowledgement.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    pub(super) fn sent(&mut self, through: LogIndex, retransmit_at: Timestamp) {
        if self.in_flight.is_empty() {
            self.retransmit_at = retransmit_at;
        }
        self.in_flight.push_back(through);
        self.next = through.next();
    }

    /// Takes note that everything up to `index` is synced there.
    ///
    /// A node also answers before its sync, with what it had before; only an answer
    /// that goes further confirms anything.
    pub(super) fn match_through(&mut self, index: LogIndex, retransmit_at: Timestamp) {
        if index <= self.matched {
            return;
        }
        self.matched = index;
        self.probing = false;
        self.next = self.next.max(index.next());
        while self.in_flight.pop_front_if(|last| *last <= index).is_some() {}
        self.installing &= !self.in_flight.is_empty();
        self.retransmit_at = retransmit_at;
    }

    /// Goes back to a place that the node suggests, but not behind what it has synced.
    pub(super) fn go_back(&mut self, hint: LogIndex) {
        self.next = hint.min(self.next).max(self.matched.next());
        self.probing = true;
        self.installing = false;
        self.in_flight.clear();
    }

    /// Sends again what was not acknowledged in time.
    pub(super) fn retransmit_if_due(&mut self, now: Timestamp) {
        if !self.in_flight.is_empty() && now >= self.retransmit_at {
            self.in_flight.clear();
            self.installing = false;
            self.next = self.matched.next();
        }
    }
}
