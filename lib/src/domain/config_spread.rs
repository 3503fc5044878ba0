//! Which configuration is in force at this daemon and below it in the spread tree.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
};

use crate::{
    domain::parameters::DomainParameters,
    fleet::FleetConfig,
    peer_api::{
        ConfigAck,
        ConfigBody,
        ConfigUpdate, //
    },
    prelude::*,
};

/// What an update was to this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Received {
    /// It is newer and now in force here.
    Applied,
    /// It is newer, but it does not bring all that is needed; the sender is to be asked.
    Behind,
    /// It is what is in force here.
    Same,
    /// It is older; the sender may need what is in force here.
    Older,
}

/// The configuration of one daemon; its revision never goes back.
#[derive(Clone, Debug)]
pub struct ConfigSpread {
    revision: Revision,
    config: Arc<FleetConfig>,
    below: BTreeMap<DaemonId, ConfigAck>,
    floor: RevisionFloor,
}

/// Whether a daemon without a disk may trust that it has not served by a newer revision.
///
/// A restarted daemon knows nothing. It serves only when a control daemon of its
/// domain, or a majority of the domain's other daemons, has told it the revision
/// in force: one that it served by earlier had reached at least one of them.
#[derive(Clone, Debug, Default)]
struct RevisionFloor {
    reached: bool,
    level_with: BTreeSet<DaemonId>,
}

impl Default for ConfigSpread {
    fn default() -> Self {
        Self {
            revision: Revision::default(),
            config: Arc::new(FleetConfig::default()),
            below: BTreeMap::new(),
            floor: RevisionFloor::default(),
        }
    }
}

impl ConfigSpread {
    /// Returns the revision in force here.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the configuration in force here.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Returns whether this daemon knows enough to serve.
    pub fn is_ready(&self) -> bool {
        self.floor.reached
    }

    /// Takes an update; one that is older is never applied.
    pub fn receive(
        &mut self,
        parameters: &DomainParameters,
        from: &DaemonId,
        update: ConfigUpdate,
    ) -> Received {
        if update.revision < self.revision {
            self.floor.note(parameters, from);
            return Received::Older;
        }
        if update.revision == self.revision {
            self.floor.note(parameters, from);
            return Received::Same;
        }
        match update.body {
            ConfigBody::Whole(config) => {
                self.revision = update.revision;
                self.config = Arc::new(*config);
                self.floor.note(parameters, from);
                Received::Applied
            }
            ConfigBody::Digest | ConfigBody::Delta(_) => Received::Behind,
        }
    }

    /// Notes what a daemon below has applied.
    pub fn acknowledged(&mut self, daemon: &DaemonId, ack: ConfigAck) {
        self.below.insert(daemon.clone(), ack);
    }

    /// Returns those of `children` that have not acknowledged the revision in force here.
    pub fn behind<'a>(&self, children: &'a [DaemonId]) -> Vec<&'a DaemonId> {
        let is_behind = |child: &&DaemonId| {
            let ack = self.below.get(*child);
            ack.is_none_or(|ack| ack.applied < self.revision)
        };
        children.iter().filter(is_behind).collect()
    }

    /// Returns the acknowledgement for this daemon and all below it.
    pub fn acknowledgement(&self, own: &DaemonId, children: &[DaemonId]) -> ConfigAck {
        let mut total = ConfigAck {
            applied: self.revision,
            daemons: 1,
            lagging: BTreeMap::new(),
        };
        for child in children.iter().filter(|child| *child != own) {
            match self.below.get(child) {
                Some(ack) => {
                    total.applied = total.applied.min(ack.applied);
                    total.daemons += ack.daemons;
                    total.lagging.extend(ack.lagging.clone());
                    if ack.applied < self.revision && ack.lagging.is_empty() {
                        total.lagging.insert(child.clone(), ack.applied);
                    }
                }
                None => {
                    total.applied = Revision(0);
                    total.daemons += 1;
                    total.lagging.insert(child.clone(), Revision(0));
                }
            }
        }
        total
    }

    /// Returns the configuration as a message.
    pub fn whole(&self) -> ConfigUpdate {
        ConfigUpdate {
            revision: self.revision,
            base: None,
            body: ConfigBody::Whole(Box::new((*self.config).clone())),
        }
    }

    /// Returns the revision as a message.
    pub fn digest(&self) -> ConfigUpdate {
        ConfigUpdate {
            revision: self.revision,
            base: None,
            body: ConfigBody::Digest,
        }
    }
}

impl RevisionFloor {
    /// Notes that `from` has nothing newer than what is in force here.
    fn note(&mut self, parameters: &DomainParameters, from: &DaemonId) {
        self.level_with.insert(from.clone());
        let mut own_control = parameters.own_control().into_iter();
        let told_by_control = own_control.any(|daemon| self.level_with.contains(&daemon));
        let fellows = parameters.daemons.intersection(&self.level_with).count();
        let told_by_majority = fellows > parameters.daemons.len() / 2;
        self.reached = self.reached || told_by_control || told_by_majority;
    }
}
