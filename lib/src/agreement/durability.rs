//! The state that is on disk already, and the messages that are deferred until a sync.

use std::collections::VecDeque;

use super::{
    event::PersistTicket,
    message::{
        Message,
        Position, //
    },
    types::{
        HardState,
        LogIndex,
        Snapshot, //
    },
};

/// A persist that was requested and is not yet synced.
#[derive(Clone, Debug)]
struct PendingPersist {
    ticket: PersistTicket,
    last: Position,
    hard_state: HardState,
    restore: Option<Snapshot>,
}

/// A persist that is synced.
#[derive(Clone, Debug)]
pub(super) struct SyncedPersist {
    /// The position of the log's last entry when the persist was requested.
    pub last: Position,
    /// A snapshot from which the state machine may now be restored.
    pub restore: Option<Snapshot>,
}

/// Tracks persists from their request to their sync.
#[derive(Clone, Debug)]
pub(super) struct Durability {
    last_ticket: PersistTicket,
    synced_ticket: PersistTicket,
    pending: VecDeque<PendingPersist>,
    deferred: VecDeque<(PersistTicket, Message)>,
    /// The hard state that is on disk.
    pub hard_state: HardState,
    /// The last entry that is both on disk and still in the log.
    pub entries_through: LogIndex,
}

impl Durability {
    pub(super) fn new(hard_state: HardState, entries_through: LogIndex) -> Self {
        Self {
            last_ticket: PersistTicket(0),
            synced_ticket: PersistTicket(0),
            pending: VecDeque::new(),
            deferred: VecDeque::new(),
            hard_state,
            entries_through,
        }
    }

    /// Registers a new persist and returns its ticket.
    pub(super) fn begin_persist(
        &mut self,
        last: Position,
        hard_state: HardState,
        restore: Option<Snapshot>,
    ) -> PersistTicket {
        self.last_ticket = PersistTicket(self.last_ticket.0 + 1);
        self.pending.push_back(PendingPersist {
            ticket: self.last_ticket,
            last,
            hard_state,
            restore,
        });
        self.last_ticket
    }

    /// Records that all persists up to a ticket are synced; returns those that are newly synced, in
    /// order.
    pub(super) fn record_synced(&mut self, through: PersistTicket) -> Vec<SyncedPersist> {
        self.synced_ticket = self.synced_ticket.max(through);
        let mut synced_persists = Vec::new();
        while let Some(done) = self.pending.pop_front_if(|one| one.ticket <= through) {
            self.hard_state = done.hard_state;
            synced_persists.push(SyncedPersist {
                last: done.last,
                restore: done.restore,
            });
        }
        synced_persists
    }

    /// Defers a message until all persists requested so far are synced.
    pub(super) fn defer(&mut self, message: Message) {
        self.deferred.push_back((self.last_ticket, message));
    }

    /// Removes and returns the next deferred message whose persists are synced.
    pub(super) fn take_sendable(&mut self) -> Option<Message> {
        let synced = self.synced_ticket;
        let ready = self.deferred.pop_front_if(|(ticket, _)| *ticket <= synced);
        ready.map(|(_, message)| message)
    }
}
