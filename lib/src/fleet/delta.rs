//! The changed entries of a configuration, so that the cost of a change depends on its size alone.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    hash::Hash,
};

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    FleetConfig,
    RecoverySettings,
    Service,
    Team, //
};
use crate::prelude::*;

/// Why a delta cannot be made, read or applied.
#[derive(Debug, Display, Error)]
pub enum DeltaError {
    /// the configuration or its change cannot be encoded: {0}
    Encode(postcard::Error),
    /// the change of the configuration cannot be decoded: {0}
    Decode(postcard::Error),
    /// the change was made for another configuration than the one it is applied to
    OtherBase,
}

/// The difference between two configurations, by whole entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigDelta {
    services: MapChange<ServiceName, Service>,
    teams: MapChange<TeamName, Team>,
    drained_vms_added: BTreeSet<VmId>,
    drained_vms_removed: BTreeSet<VmId>,
    recovery: Option<RecoverySettings>,
    /// The hash of the resulting configuration. Without it two daemons that have different
    /// configurations under one revision would go on differing, change by change.
    result_hash: u64,
}

/// The difference between two maps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct MapChange<Key: Ord, Value> {
    set: BTreeMap<Key, Value>,
    removed: BTreeSet<Key>,
}

impl ConfigDelta {
    /// Returns the delta from `before` to `after`.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaError::Encode`] if `after` cannot be hashed.
    pub fn between(before: &FleetConfig, after: &FleetConfig) -> Result<Self, DeltaError> {
        let added = after.drained_vms.difference(&before.drained_vms);
        let removed = before.drained_vms.difference(&after.drained_vms);
        let recovery_changed = before.recovery != after.recovery;
        Ok(Self {
            services: MapChange::between(&before.services, &after.services),
            teams: MapChange::between(&before.teams, &after.teams),
            drained_vms_added: added.cloned().collect(),
            drained_vms_removed: removed.cloned().collect(),
            recovery: recovery_changed.then(|| after.recovery.clone()),
            result_hash: config_hash(after)?,
        })
    }

    /// Returns the configuration that results from applying the delta to `before`.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaError::OtherBase`] if the delta was made for another configuration; the
    /// receiver then asks for the whole one. Returns [`DeltaError::Encode`] if the result cannot be
    /// hashed.
    pub fn apply(self, before: &FleetConfig) -> Result<FleetConfig, DeltaError> {
        let mut after = before.clone();
        self.services.apply(&mut after.services);
        self.teams.apply(&mut after.teams);
        after.drained_vms.extend(self.drained_vms_added);
        for vm in &self.drained_vms_removed {
            after.drained_vms.remove(vm);
        }
        if let Some(recovery) = self.recovery {
            after.recovery = recovery;
        }
        match config_hash(&after)? == self.result_hash {
            true => Ok(after),
            false => Err(DeltaError::OtherBase),
        }
    }

    /// Returns the delta as bytes for [`crate::peer_api::ConfigBody::Delta`].
    ///
    /// # Errors
    ///
    /// Returns [`DeltaError::Encode`] if the delta cannot be serialized.
    pub fn to_bytes(&self) -> Result<Vec<u8>, DeltaError> {
        postcard::to_stdvec(self).map_err(DeltaError::Encode)
    }

    /// Returns the delta that was encoded by [`Self::to_bytes`].
    ///
    /// # Errors
    ///
    /// Returns [`DeltaError::Decode`] if the bytes are no delta.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DeltaError> {
        postcard::from_bytes(bytes).map_err(DeltaError::Decode)
    }
}

impl<Key: Clone + Hash + Ord, Value: Clone + PartialEq> MapChange<Key, Value> {
    fn between(before: &BTreeMap<Key, Value>, after: &BTreeMap<Key, Value>) -> Self {
        let differs = |(key, value): &(&Key, &Value)| before.get(*key) != Some(*value);
        let set = after.iter().filter(differs);
        let removed = before.keys().filter(|key| !after.contains_key(*key));
        Self {
            set: set
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            removed: removed.cloned().collect(),
        }
    }

    fn apply(self, map: &mut BTreeMap<Key, Value>) {
        map.extend(self.set);
        for key in &self.removed {
            map.remove(key);
        }
    }
}

/// Returns a hash of the encoded form, which is the same for equal configurations.
fn config_hash(config: &FleetConfig) -> Result<u64, DeltaError> {
    let bytes = postcard::to_stdvec(config).map_err(DeltaError::Encode)?;
    Ok(xxh3_64(&bytes))
}
