//! What is on the disk already, and which messages wait for it.

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

/// A persist that is asked for and not yet synced.
#[derive(Clone, Debug)]
struct Outstanding {
    ticket: PersistTicket,
    last: Position,
    hard_state: HardState,
    restore: Option<Snapshot>,
}

/// What a synced persist has made durable.
#[derive(Clone, Debug)]
pub(super) struct MadeDurable {
    /// The log's last entry when it was asked for.
    pub last: Position,
    /// A snapshot that the state machine may now take.
    pub restore: Option<Snapshot>,
}

/// Follows persists from being asked for to being synced.
#[derive(Clone, Debug)]
pub(super) struct Durability {
    last_ticket: PersistTicket,
    synced_ticket: PersistTicket,
    outstanding: VecDeque<Outstanding>,
    held: VecDeque<(PersistTicket, Message)>,
    /// The hard state on the disk.
    pub hard_state: HardState,
    /// The last entry on the disk that is still in the log.
    pub entries_through: LogIndex,
}

impl Durability {
    pub(super) fn new(hard_state: HardState, entries_through: LogIndex) -> Self {
        Self {
            last_ticket: PersistTicket(0),
            synced_ticket: PersistTicket(0),
            outstanding: VecDeque::new(),
            held: VecDeque::new(),
            hard_state,
            entries_through,
        }
    }

    /// Numbers a persist.
    pub(super) fn ask(
        &mut self,
        last: Position,
        hard_state: HardState,
        restore: Option<Snapshot>,
    ) -> PersistTicket {
        self.last_ticket = PersistTicket(self.last_ticket.0 + 1);
        self.outstanding.push_back(Outstanding {
            ticket: self.last_ticket,
            last,
            hard_state,
            restore,
        });
        self.last_ticket
    }

    /// Takes note of synced persists; returns what they have made durable, in order.
    pub(super) fn synced(&mut self, through: PersistTicket) -> Vec<MadeDurable> {
        self.synced_ticket = self.synced_ticket.max(through);
        let mut made = Vec::new();
        while let Some(done) = self.outstanding.pop_front_if(|one| one.ticket <= through) {
            self.hard_state = done.hard_state;
            made.push(MadeDurable {
                last: done.last,
                restore: done.restore,
            });
        }
        made
    }

    /// Keeps a message back until everything asked for so far is synced.
    pub(super) fn hold(&mut self, message: Message) {
        self.held.push_back((self.last_ticket, message));
    }

    /// Returns the next message that need not wait any longer.
    pub(super) fn release(&mut self) -> Option<Message> {
        let synced = self.synced_ticket;
        let ready = self.held.pop_front_if(|(ticket, _)| *ticket <= synced);
        ready.map(|(_, message)| message)
    }
}
