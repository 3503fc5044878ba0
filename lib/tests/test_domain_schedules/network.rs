//! What is under way, in order of true time.

use std::collections::BTreeMap;

use cicadabend::{
    domain::leader::AddressedCommand,
    peer_api::PeerMessage,
    upstream_api::{
        Announcement,
        Command, //
    },
};

use crate::schedule::Fault;

/// What happens next somewhere.
#[derive(Clone, Debug)]
pub enum Event {
    Fault(Fault),
    /// A daemon's tick; `run` tells whether it is still the same process.
    Tick {
        daemon: usize,
        run: u64,
    },
    Wake {
        daemon: usize,
        run: u64,
    },
    Start {
        daemon: usize,
    },
    Message {
        from: String,
        to: usize,
        message: Box<PeerMessage>,
    },
    Announce {
        engine: usize,
    },
    Announcement {
        engine: usize,
        connection: u64,
        daemon: usize,
        body: Box<Announcement>,
    },
    Answered {
        engine: usize,
        connection: u64,
        daemon: usize,
    },
    AnswerTimeout {
        engine: usize,
        connection: u64,
        daemon: usize,
    },
    /// The `commands` thread is about to write.
    WriteCommand {
        daemon: usize,
        run: u64,
        command: Box<AddressedCommand>,
    },
    Command {
        engine: usize,
        command: Box<Command>,
    },
    Ready {
        engine: usize,
        token: u64,
    },
    WakeEngine {
        engine: usize,
    },
    StartEngine {
        engine: usize,
    },
    EndEngine {
        engine: usize,
    },
}

/// Events by true time, first in first out within one millisecond.
#[derive(Default)]
pub struct Agenda {
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
}

impl Agenda {
    pub fn add(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.events.insert((at_ms, self.number), event);
    }

    pub fn next(&mut self) -> Option<(u64, Event)> {
        let ((at_ms, _), event) = self.events.pop_first()?;
        Some((at_ms, event))
    }
}
