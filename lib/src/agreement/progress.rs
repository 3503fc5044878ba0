//! How far one node's log is, as its leader knows.

use std::{
    collections::VecDeque,
    ops::RangeInclusive, //
};

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
    /// The entries that are not acknowledged yet, one range for each append.
    in_flight: VecDeque<RangeInclusive<LogIndex>>,
    /// The round in which the last of these were sent.
    sent_in_round: u64,
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
            sent_in_round: 0,
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

    /// Takes note that everything up to `through` was sent in a round.
    pub(super) fn sent(&mut self, through: LogIndex, round: u64, retransmit_at: Timestamp) {
        if self.in_flight.is_empty() {
            self.retransmit_at = retransmit_at;
        }
        self.in_flight.push_back(self.next..=through);
        self.sent_in_round = round;
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
        while self
            .in_flight
            .pop_front_if(|sent| *sent.end() <= index)
            .is_some()
        {}
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

    /// Sends again what was not acknowledged in time by a node that answers later rounds.
    ///
    /// A node that answers nothing is sent heartbeats only. Otherwise each repetition waits
    /// in memory for as long as the node cannot be reached, and all of them arrive when it
    /// can: at 1.4 MB/s, as the memory and the bytes of a leader showed, 25 MB after 15 s,
    /// which held up everything else on that link for two seconds. Nothing is lost by
    /// waiting: the first heartbeat that is answered is of a later round.
    pub(super) fn retransmit_if_due(&mut self, now: Timestamp) {
        if now < self.retransmit_at || self.answered_round <= self.sent_in_round {
            return;
        }
        if let Some(first) = self.in_flight.front() {
            self.next = *first.start();
            self.in_flight.clear();
            self.installing = false;
        }
    }
}
