//! Seeds that may change while the process runs.

use std::{
    fs,
    path::PathBuf,
    time::Duration, //
};

use cicadabend::{
    ids::Address,
    prelude::*, //
};
use serde::Deserialize;

use crate::{
    daemon_events::LogEvent,
    settings::MembershipSettings, //
};

/// How often the settings file is read again.
///
/// It may change without a signal, so a signal is not waited for.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// The seeds of the settings file, looked at now and then.
#[derive(Debug)]
pub struct SeedWatch {
    path: Option<PathBuf>,
    settings: MembershipSettings,
    seeds: Vec<(DaemonId, Address)>,
    due: Timestamp,
}

/// The only part of a settings file that may change while the process runs.
#[derive(Deserialize)]
struct SeedsOnly {
    membership: MembershipSettings,
}

impl SeedWatch {
    /// Watches a settings file; without one the seeds stay as they are.
    pub fn new(path: Option<PathBuf>, settings: MembershipSettings) -> Self {
        let seeds = settings.seed_peers();
        Self {
            path,
            settings,
            seeds,
            due: Timestamp::default() + LOOK_EVERY,
        }
    }

    /// Returns the seeds with the addresses at which they hear their peers.
    pub fn current(&self) -> &[(DaemonId, Address)] {
        &self.seeds
    }

    /// Returns the seeds if they have changed since the last look.
    pub fn changed(&mut self, now: Timestamp) -> Option<Vec<(DaemonId, Address)>> {
        if now < self.due {
            return None;
        }
        self.due = now + LOOK_EVERY;
        let text = fs::read_to_string(self.path.as_ref()?).ok()?;
        let read = match serde_json::from_str::<SeedsOnly>(&text) {
            Ok(read) => read.membership,
            Err(error) => {
                // It may be in the middle of being written; the old seeds stay.
                let reason = error.to_string();
                LogEvent::ReloadRefused { reason }.emit();
                return None;
            }
        };
        if read.seeds == self.settings.seeds {
            return None;
        }
        self.settings.seeds = read.seeds;
        self.seeds = self.settings.seed_peers();
        let names: Vec<&str> = self.seeds.iter().map(|(name, _)| name.as_str()).collect();
        LogEvent::SeedsChanged {
            seeds: names.join(","),
        }
        .emit();
        Some(self.seeds.clone())
    }
}
