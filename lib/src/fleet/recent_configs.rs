//! The most recent configurations of a process, from which deltas are made.

use std::{
    cmp::Ordering,
    collections::VecDeque,
    sync::Arc, //
};

use super::{
    FleetConfig,
    delta::ConfigDelta, //
};
use crate::{
    peer_api::{
        ConfigBody,
        ConfigUpdate, //
    },
    prelude::*,
};

/// Number of configurations that are stored; a daemon further behind gets a whole configuration.
pub const MAX_RECENT_CONFIGS: usize = 64;

/// The outcome of receiving an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// The update is newer and was applied.
    Applied,
    /// The update is newer but cannot be applied: it is a digest, or a delta from another base. The
    /// receiver must ask the sender.
    Behind,
    /// The update has the revision that the receiver has already.
    Same,
    /// The update is older than the receiver's revision.
    Older,
}

/// The newest configuration and those shortly before it; the newest revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct RecentConfigs {
    configs: VecDeque<(Revision, Arc<FleetConfig>)>,
}

impl RecentConfigs {
    /// Stores an accepted configuration, unless it is older than the newest one.
    pub fn accept(&mut self, revision: Revision, config: Arc<FleetConfig>) {
        let is_newer = self.configs.back().is_none_or(|(last, _)| *last < revision);
        if is_newer {
            self.configs.push_back((revision, config));
        }
        while self.configs.len() > MAX_RECENT_CONFIGS {
            self.configs.pop_front();
        }
    }

    /// Handles an update from another process, which is applied only if it is newer.
    pub fn receive(&mut self, update: &ConfigUpdate) -> UpdateOutcome {
        match update.revision.cmp(&self.revision()) {
            Ordering::Less => return UpdateOutcome::Older,
            Ordering::Equal => return UpdateOutcome::Same,
            Ordering::Greater => {}
        }
        match self.config_of(update) {
            Some(config) => {
                self.accept(update.revision, Arc::new(config));
                UpdateOutcome::Applied
            }
            None => UpdateOutcome::Behind,
        }
    }

    /// Returns the newest configuration; the empty one before the first.
    pub fn config(&self) -> Arc<FleetConfig> {
        let newest = self.configs.back();
        newest.map_or_else(Arc::default, |(_, config)| Arc::clone(config))
    }

    /// Returns the newest configuration as a message for a receiver that has the one before.
    pub fn latest(&self) -> ConfigUpdate {
        let before = self
            .configs
            .iter()
            .nth_back(1)
            .map(|(revision, _)| *revision);
        let delta = before.and_then(|before| self.delta_from(before));
        delta.unwrap_or_else(|| self.whole())
    }

    /// Returns the configuration that an update leads to, if it can be applied.
    fn config_of(&self, update: &ConfigUpdate) -> Option<FleetConfig> {
        match &update.body {
            ConfigBody::Digest => None,
            ConfigBody::Whole(config) => Some((**config).clone()),
            ConfigBody::Delta(_) if update.base != Some(self.revision()) => None,
            // The receiver asks for the whole configuration if a delta does not fit.
            ConfigBody::Delta(bytes) => {
                let delta = ConfigDelta::from_bytes(bytes).ok()?;
                delta.apply(&self.config()).ok()
            }
        }
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> Revision {
        let newest = self.configs.back();
        newest.map(|(revision, _)| *revision).unwrap_or_default()
    }

    /// Returns a message with the number of the newest revision alone.
    pub fn digest(&self) -> ConfigUpdate {
        ConfigUpdate {
            revision: self.revision(),
            base: None,
            body: ConfigBody::Digest,
        }
    }

    /// Returns the whole newest configuration as a message.
    pub fn whole(&self) -> ConfigUpdate {
        ConfigUpdate {
            revision: self.revision(),
            base: None,
            body: ConfigBody::Whole(Box::new((*self.config()).clone())),
        }
    }

    /// Returns the change from `base` to the newest configuration as a message.
    ///
    /// Returns `None` if `base` is no longer stored, or was never accepted here.
    pub fn delta_from(&self, base: Revision) -> Option<ConfigUpdate> {
        let (revision, newest) = self.configs.back()?;
        let (_, before) = self
            .configs
            .iter()
            .find(|(stored_revision, _)| *stored_revision == base)?;
        // The receiver asks for the whole configuration if a change cannot be encoded.
        let delta = ConfigDelta::between(before, newest).ok()?;
        Some(ConfigUpdate {
            revision: *revision,
            base: Some(base),
            body: ConfigBody::Delta(delta.to_bytes().ok()?),
        })
    }
}
