//! The last accepted configurations, from which deltas are made.

use std::{
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
pub const CONFIGS_KEPT: usize = 64;

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
        while self.kept.len() > CONFIGS_KEPT {
            self.kept.pop_front();
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
        let newest = self.kept.back();
        let config = newest.map(|(_, config)| FleetConfig::clone(config));
        ConfigUpdate {
            revision: self.revision(),
            base: None,
            body: ConfigBody::Whole(Box::new(config.unwrap_or_default())),
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
