//! The configuration applied at this daemon and below it in the spread tree.

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
        UpdateOutcome, //
    },
    peer_api::{
        ConfigAck,
        ConfigUpdate, //
    },
    prelude::*,
};

/// How long a restarted daemon waits for other daemons' answers after its first request, before
/// it trusts its own control daemon alone.
///
/// That control daemon may itself lag behind for a moment; the other daemons then know a newer
/// revision.
const FLOOR_WAIT: Duration = Duration::from_secs(1);

/// The configuration of one daemon; its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ConfigSpread {
    configs: RecentConfigs,
    in_force: Arc<FleetConfig>,
    /// The newest acknowledgement of each daemon below.
    child_acks: BTreeMap<DaemonId, ConfigAck>,
    floor: RevisionFloor,
}

/// Decides whether a restarted daemon may trust that it hasn't served by a newer revision
/// before.
///
/// A restarted daemon has no configuration stored and requests it from all daemons of its domain
/// and all control daemons. It serves once it has the revision of a majority of either. The
/// revision of one control daemon that the domain prefers is enough once [`FLOOR_WAIT`] has
/// passed.
#[derive(Clone, Debug, Default)]
struct RevisionFloor {
    /// Whether the daemon may serve; stays set.
    reached: bool,
    /// When the configuration was first requested.
    asked_at: Option<Timestamp>,
    /// The daemons whose revision is not newer than the one applied here.
    caught_up_with: BTreeSet<DaemonId>,
}

impl ConfigSpread {
    /// Returns the revision applied here.
    pub fn revision(&self) -> Revision {
        self.configs.revision()
    }

    /// Returns the configuration applied here.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.in_force
    }

    /// Returns whether this daemon's configuration is new enough to serve by.
    pub fn is_ready(&self) -> bool {
        self.floor.reached
    }

    /// Records that the configuration was requested, and checks whether enough daemons have
    /// answered.
    pub fn update_revision_floor(&mut self, parameters: &DomainParameters, now: Timestamp) {
        self.floor.asked_at.get_or_insert(now);
        self.floor.update(parameters, now);
    }

    /// Takes in an update; an older one is never applied.
    pub fn receive(
        &mut self,
        parameters: &DomainParameters,
        from: &DaemonId,
        update: &ConfigUpdate,
        now: Timestamp,
    ) -> UpdateOutcome {
        let received = self.configs.receive(update);
        if received == UpdateOutcome::Applied {
            self.in_force = self.configs.config();
        }
        if received != UpdateOutcome::Behind {
            self.floor.caught_up_with.insert(from.clone());
            self.floor.update(parameters, now);
        }
        received
    }

    /// Records the acknowledgement of a daemon below.
    pub fn record_acknowledgement(&mut self, daemon: &DaemonId, ack: ConfigAck) {
        self.child_acks.insert(daemon.clone(), ack);
    }

    /// Returns the `children` that haven't acknowledged the revision applied here.
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

    /// Returns the update for a daemon that has revision `have`: a digest, a delta or the whole
    /// configuration.
    pub fn update_from(&self, have: Revision) -> ConfigUpdate {
        if have >= self.revision() {
            return self.configs.digest();
        }
        let delta = self.configs.delta_from(have);
        delta.unwrap_or_else(|| self.configs.whole())
    }

    /// Returns the newest change as an update for a daemon that has the revision before it.
    pub fn latest(&self) -> ConfigUpdate {
        self.configs.latest()
    }

    /// Returns the revision alone as an update.
    pub fn digest(&self) -> ConfigUpdate {
        self.configs.digest()
    }
}

impl RevisionFloor {
    /// Sets `reached` once this daemon has caught up with a majority of its domain's daemons or of
    /// the control daemons, or, after [`FLOOR_WAIT`], with a control daemon that the domain
    /// prefers.
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
