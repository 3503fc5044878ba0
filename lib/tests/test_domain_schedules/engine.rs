//! A simulated engine: announces its state and obeys commands.

use std::net::SocketAddr;

use cicadabend::{
    prelude::*,
    upstream_api::{
        Announcement,
        Command,
        CommandAction,
        EngineState,
        LoadReport,
        Membership,
        UpstreamKind, //
    },
};

/// One engine process.
#[derive(Clone, Debug)]
pub struct Engine {
    pub vm: VmId,
    pub boot: BootId,
    pub address: SocketAddr,
    pub alive: bool,
    pub paused: bool,
    pub state: EngineState,
    sequence: u64,
    /// For each daemon: the connection's number, and whether an answer is awaited on it.
    pub connections: Vec<(u64, bool)>,
}

impl Engine {
    pub fn new(number: usize, boot: u64, ignores_tokens: bool, daemons: usize) -> Self {
        Self {
            vm: format!("vm-{number}").parse().expect("a valid name"),
            boot: BootId(boot),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16)),
            alive: true,
            paused: false,
            state: EngineState {
                accelerators: Accelerators(8),
                checks_tokens: !ignores_tokens,
                ..EngineState::default()
            },
            sequence: 0,
            connections: vec![(boot << 8, false); daemons],
        }
    }

    pub fn announcement(&mut self) -> Announcement {
        self.sequence += 1;
        Announcement {
            vm: self.vm.clone(),
            boot: self.boot,
            sequence: self.sequence,
            address: self.address,
            failure_domain: "cumbaya".parse().expect("a valid name"),
            fabric_domain: "cumbaya-a".parse().expect("a valid name"),
            kind: UpstreamKind::Engine(self.state.clone()),
            leaving: false,
            slots: Slots(4),
            load: LoadReport::default(),
            cache_events: Vec::new(),
        }
    }

    /// Carries out or refuses a command; returns the token under which the engine now loads
    /// weights, if it begins to.
    pub fn apply_command(&mut self, command: Command) -> Option<FencingToken> {
        let is_stale = command.token < self.state.highest_token;
        if command.vm != self.vm || (self.state.checks_tokens && is_stale) {
            return None;
        }
        self.state.highest_token = self.state.highest_token.max(command.token);
        match command.action {
            CommandAction::JoinGroup {
                group,
                service,
                members,
                ..
            } => {
                let known = self.state.membership.as_ref();
                if known.is_some_and(|known| known.group == group && known.token == command.token) {
                    return None;
                }
                self.state.membership = Some(Membership {
                    group,
                    token: command.token,
                    service,
                    members,
                    ready: false,
                });
                Some(command.token)
            }
            CommandAction::LeaveGroup => {
                self.state.membership = None;
                None
            }
            CommandAction::LoadWeights { .. } => None,
        }
    }

    pub fn become_ready(&mut self, token: u64) {
        if let Some(membership) = &mut self.state.membership
            && membership.token.to_number() == token
        {
            membership.ready = true;
            self.state.weights = vec!["drafting@1".to_owned()];
        }
    }
}
