//! Applies the log's entries to the fleet's state.

use std::sync::Arc;

use cicadabend::{
    agreement::{
        Entry,
        EntryBody,
        LogIndex,
        Snapshot,
        VoterSet, //
    },
    fleet::{
        FleetAnswer,
        FleetCommand,
        FleetState, //
    },
    peer_api,
};

use super::{
    events::LogEvent,
    handle::Shared, //
};

/// The fleet's state, to which committed entries are applied.
///
/// Other threads see the changes after [`Self::publish`].
pub(super) struct StateMachine {
    state: FleetState,
    /// The index of the entry that was applied last.
    applied: LogIndex,
    /// The index of the last entry that the newest snapshot includes.
    snapshot: LogIndex,
    is_published: bool,
    shared: Arc<Shared>,
}

impl StateMachine {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            state: FleetState::default(),
            applied: LogIndex(0),
            snapshot: LogIndex(0),
            is_published: true,
            shared,
        }
    }

    /// Applies an entry; returns the answer to its command, if it has one.
    ///
    /// # Errors
    ///
    /// Returns the reason if the command cannot be decoded. The caller must not skip the entry,
    /// since other daemons may have applied it.
    pub(super) fn apply(&mut self, entry: Entry) -> Result<Option<FleetAnswer>, String> {
        self.applied = entry.index;
        match entry.body {
            EntryBody::TermStart => Ok(None),
            EntryBody::Voters(set) => Ok(Some(self.apply_voters(set))),
            EntryBody::Command(bytes) => {
                let command: FleetCommand =
                    postcard::from_bytes(&bytes).map_err(|error| error.to_string())?;
                self.is_published = false;
                Ok(Some(self.state.apply(command)))
            }
        }
    }

    fn apply_voters(&mut self, set: VoterSet) -> FleetAnswer {
        let is_changed = set.voters != *self.state.voters();
        self.publish_voters(&set);
        if is_changed {
            self.is_published = false;
            let voters = set.voters;
            return self.state.apply(FleetCommand::ChangeVoters { voters });
        }
        FleetAnswer::VotersChanged
    }

    fn publish_voters(&self, set: &VoterSet) {
        let published = peer_api::VoterSet {
            number: set.number,
            voters: set.voters.clone(),
        };
        if **self.shared.voters.load() != published {
            LogEvent::VotersChanged {
                number: set.number,
                voters: set.voters.len(),
            }
            .emit();
            self.shared.voters.store(Arc::new(published));
        }
    }

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns the reason if the snapshot cannot be decoded.
    pub(super) fn restore(&mut self, snapshot: Snapshot) -> Result<(), String> {
        let state = FleetState::from_bytes(&snapshot.data);
        self.state = state.map_err(|error| error.to_string())?;
        self.applied = snapshot.index;
        self.snapshot = snapshot.index;
        self.is_published = false;
        self.publish_voters(&snapshot.voters);
        Ok(())
    }

    /// Publishes the state to the other threads if it has changed since the last call.
    pub(super) fn publish(&mut self) {
        if !self.is_published {
            self.shared.state.store(Arc::new(self.state.clone()));
            self.is_published = true;
        }
    }

    /// Returns a snapshot of the state and the index of the last applied entry.
    ///
    /// Returns `None` if fewer than `after_entries` entries were applied since the last snapshot.
    pub(super) fn snapshot_if_due(&mut self, after_entries: u64) -> Option<(LogIndex, Vec<u8>)> {
        if self.applied.0 < self.snapshot.0 + after_entries.max(1) {
            return None;
        }
        let data = self.state.to_bytes().ok()?;
        self.snapshot = self.applied;
        Some((self.applied, data))
    }
}
