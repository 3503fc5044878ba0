//! The queue of future events, in order of true time.

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

/// An event at a daemon, at an engine or in the network.
#[derive(Clone, Debug)]
pub enum Event {
    Fault(Fault),
    /// A daemon's tick; dropped if the daemon's process is no longer `instance`.
    Tick {
        daemon: usize,
        instance: u64,
    },
    /// A suspended daemon resumes.
    Wake {
        daemon: usize,
        instance: u64,
    },
    Start {
        daemon: usize,
    },
    Message {
        from: String,
        to: usize,
        message: Box<PeerMessage>,
    },
    /// An engine sends its announcement to its daemons.
    Announce {
        engine: usize,
    },
    /// An announcement arrives at a daemon.
    Announcement {
        engine: usize,
        connection: u64,
        daemon: usize,
        body: Box<Announcement>,
    },
    /// The daemon's answer to an announcement arrives at the engine.
    Answered {
        engine: usize,
        connection: u64,
        daemon: usize,
    },
    /// The engine's time limit for an answer ends; a new connection is used from then on.
    AnswerTimeout {
        engine: usize,
        connection: u64,
        daemon: usize,
    },
    /// The daemon's `commands` thread is about to write a command to its connection.
    WriteCommand {
        daemon: usize,
        instance: u64,
        command: Box<AddressedCommand>,
    },
    Command {
        engine: usize,
        command: Box<Command>,
    },
    /// An engine has loaded its weights under this token.
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

/// Events by true time, in order of insertion within one millisecond.
#[derive(Default)]
pub struct EventQueue {
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
}

impl EventQueue {
    pub fn add(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.events.insert((at_ms, self.number), event);
    }

    pub fn next(&mut self) -> Option<(u64, Event)> {
        let ((at_ms, _), event) = self.events.pop_first()?;
        Some((at_ms, event))
    }
}
