//! Which configuration is in force at this daemon and below it in the spread tree.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration,
};

use crate::{
    domain::parameters::DomainParameters,
    fleet::{
        FleetConfig,
        RecentConfigs,
        Update, //
    },
    peer_api::{
        ConfigAck,
        ConfigUpdate, //
    },
    prelude::*,
};

/// How long a restarted daemon waits for others' answers after a control daemon's.
///
/// The control daemon of a domain may itself lag behind for a moment; the daemons
/// beside this one then know better.
const FLOOR_WAIT: Duration = Duration::from_secs(1);

/// The configuration of one daemon; its revision never goes back.
#[derive(Clone, Debug, Default)]
pub struct ConfigSpread {
    configs: RecentConfigs,
    in_force: Arc<FleetConfig>,
    child_acks: BTreeMap<DaemonId, ConfigAck>,
    floor: RevisionFloor,
}

/// Whether a daemon without a disk may trust that it has not served by a newer revision.
///
/// A restarted daemon knows nothing and asks all daemons of its domain and all control
/// daemons. It serves once it is level with a majority of either, or with the control
/// daemon of its domain and whoever else has answered within [`FLOOR_WAIT`].
#[derive(Clone, Debug, Default)]
struct RevisionFloor {
    reached: bool,
    asked_at: Option<Timestamp>,
    caught_up_with: BTreeSet<DaemonId>,
}

impl ConfigSpread {
    /// Returns the revision in force here.
    pub fn revision(&self) -> Revision {
        self.configs.revision()
    }

    /// Returns the configuration in force here.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.in_force
    }

    /// Returns whether this daemon knows enough to serve.
    pub fn is_ready(&self) -> bool {
        self.floor.reached
    }

    /// Notes that others were asked, and looks whether enough have answered.
    pub fn update_revision_floor(&mut self, parameters: &DomainParameters, now: Timestamp) {
        self.floor.asked_at.get_or_insert(now);
        self.floor.update(parameters, now);
    }

    /// Takes an update; one that is older is never applied.
    pub fn receive(
        &mut self,
        parameters: &DomainParameters,
        from: &DaemonId,
        update: &ConfigUpdate,
        now: Timestamp,
    ) -> Update {
        let received = self.configs.receive(update);
        if received == Update::Applied {
            self.in_force = self.configs.config();
        }
        if received != Update::Behind {
            self.floor.caught_up_with.insert(from.clone());
            self.floor.update(parameters, now);
        }
        received
    }

    /// Notes what a daemon below has applied.
    pub fn record_acknowledgement(&mut self, daemon: &DaemonId, ack: ConfigAck) {
        self.child_acks.insert(daemon.clone(), ack);
    }

    /// Returns those of `children` that have not acknowledged the revision in force here.
    pub fn outdated_children<'a>(&self, children: &'a [DaemonId]) -> Vec<&'a DaemonId> {
        let is_behind = |child: &&DaemonId| {
            let ack = self.child_acks.get(*child);
            ack.is_none_or(|ack| ack.applied < self.revision())
        };
        children.iter().filter(is_behind).collect()
    }

    /// Returns the acknowledgement for this daemon and all below it.
    pub fn acknowledgement(&self, own: &DaemonId, children: &[DaemonId]) -> ConfigAck {
        let mut total = ConfigAck {
            applied: self.revision(),
            daemons: 1,
            lagging: BTreeMap::new(),
        };
        for child in children.iter().filter(|child| *child != own) {
            match self.child_acks.get(child) {
                Some(ack) => {
                    total.applied = total.applied.min(ack.applied);
                    total.daemons += ack.daemons;
                    total.lagging.extend(ack.lagging.clone());
                    if ack.applied < self.revision() && ack.lagging.is_empty() {
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

    /// Returns the configuration as a message for one who has `have`.
    pub fn update_from(&self, have: Revision) -> ConfigUpdate {
        if have >= self.revision() {
            return self.configs.digest();
        }
        let delta = self.configs.delta_from(have);
        delta.unwrap_or_else(|| self.configs.whole())
    }

    /// Returns the newest change as a message for one who was level before it.
    pub fn latest(&self) -> ConfigUpdate {
        self.configs.latest()
    }

    /// Returns the revision as a message.
    pub fn digest(&self) -> ConfigUpdate {
        self.configs.digest()
    }
}

impl RevisionFloor {
    fn update(&mut self, parameters: &DomainParameters, now: Timestamp) {
        let is_level = |daemon: &DaemonId| self.caught_up_with.contains(daemon);
        let peers = parameters
            .daemons
            .iter()
            .filter(|daemon| is_level(daemon))
            .count();
        let control = parameters
            .control
            .keys()
            .filter(|daemon| is_level(daemon))
            .count();
        let by_majority =
            peers > parameters.daemons.len() / 2 || control > parameters.control.len() / 2;
        let waited = self.asked_at.is_some_and(|at| now.since(at) >= FLOOR_WAIT);
        let by_preferred_control = parameters.preferred_control_daemons().iter().any(is_level);
        self.reached = self.reached || by_majority || (waited && by_preferred_control);
    }
}
