//! The last configurations that a process held, from which deltas are made.

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

/// How many configurations are kept; a daemon further behind gets a whole one.
pub const MAX_RECENT_CONFIGS: usize = 64;

/// What an update was to its receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// It is newer and was taken over.
    Applied,
    /// It is newer, but it does not bring all that is needed; the sender is to be asked.
    Behind,
    /// It is what is held already.
    Same,
    /// It is older than what is held.
    Older,
}

/// The newest configuration and those shortly before it; its revision never falls.
#[derive(Clone, Debug, Default)]
pub struct RecentConfigs {
    kept: VecDeque<(Revision, Arc<FleetConfig>)>,
}

impl RecentConfigs {
    /// Takes over an accepted configuration; an older one than the last is not taken.
    pub fn accept(&mut self, revision: Revision, config: Arc<FleetConfig>) {
        let is_newer = self.kept.back().is_none_or(|(last, _)| *last < revision);
        if is_newer {
            self.kept.push_back((revision, config));
        }
        while self.kept.len() > MAX_RECENT_CONFIGS {
            self.kept.pop_front();
        }
    }

    /// Takes an update from another process; one that is older is never taken over.
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
        let newest = self.kept.back();
        newest.map_or_else(Arc::default, |(_, config)| Arc::clone(config))
    }

    /// Returns the newest configuration as a message for one who was level before it.
    pub fn latest(&self) -> ConfigUpdate {
        let before = self.kept.iter().nth_back(1).map(|(revision, _)| *revision);
        let delta = before.and_then(|before| self.delta_from(before));
        delta.unwrap_or_else(|| self.whole())
    }

    fn config_of(&self, update: &ConfigUpdate) -> Option<FleetConfig> {
        match &update.body {
            ConfigBody::Digest => None,
            ConfigBody::Whole(config) => Some((**config).clone()),
            ConfigBody::Delta(_) if update.base != Some(self.revision()) => None,
            // A delta that does not fit is asked for as a whole configuration.
            ConfigBody::Delta(bytes) => {
                let delta = ConfigDelta::from_bytes(bytes).ok()?;
                delta.apply(&self.config()).ok()
            }
        }
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> Revision {
        let newest = self.kept.back();
        newest.map(|(revision, _)| *revision).unwrap_or_default()
    }

    /// Returns the newest revision's number as a message.
    pub fn digest(&self) -> ConfigUpdate {
        ConfigUpdate {
            revision: self.revision(),
            base: None,
            body: ConfigBody::Digest,
        }
    }

    /// Returns the newest configuration as a message.
    pub fn whole(&self) -> ConfigUpdate {
        ConfigUpdate {
            revision: self.revision(),
            base: None,
            body: ConfigBody::Whole(Box::new((*self.config()).clone())),
        }
    }

    /// Returns the change from `base` to the newest configuration as a message.
    ///
    /// `None` if `base` is no longer kept, or was never accepted here.
    pub fn delta_from(&self, base: Revision) -> Option<ConfigUpdate> {
        let (revision, newest) = self.kept.back()?;
        let (_, before) = self.kept.iter().find(|(kept, _)| *kept == base)?;
        // A change that cannot be encoded is asked for as a whole configuration.
        let delta = ConfigDelta::between(before, newest).ok()?;
        Some(ConfigUpdate {
            revision: *revision,
            base: Some(base),
            body: ConfigBody::Delta(delta.to_bytes().ok()?),
        })
    }
}
