//! The records of a node's journal, and the recovery of a node's state from them.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    event::Persist,
    types::{
        Entry,
        HardState,
        Snapshot, //
    },
};

/// One record of a node's journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DurableRecord {
    /// A snapshot, which replaces all records before it.
    Snapshot(Snapshot),
    /// A hard state, which replaces the one before it.
    HardState(HardState),
    /// An entry, which replaces the entries from its index on.
    Entry(Entry),
}

impl DurableRecord {
    /// Encodes the record for the journal.
    ///
    /// # Errors
    ///
    /// Returns postcard's error; no record is known to cause one.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a record of the journal.
    ///
    /// # Errors
    ///
    /// Returns postcard's error if the bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

impl Persist {
    /// Returns the records to write to the journal, in order.
    pub fn into_records(self) -> Vec<DurableRecord> {
        let mut records = Vec::with_capacity(self.entries.len() + 2);
        records.extend(self.snapshot.map(DurableRecord::Snapshot));
        records.push(DurableRecord::HardState(self.hard_state));
        records.extend(self.entries.into_iter().map(DurableRecord::Entry));
        records
    }
}

/// The state that a node had stored when its process ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recovered {
    /// The last stored hard state.
    pub hard_state: HardState,
    /// The last stored snapshot; its index is zero if there is none.
    pub snapshot: Snapshot,
    /// The stored entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Applies the next record of the journal.
    pub fn add(&mut self, record: DurableRecord) {
        match record {
            DurableRecord::Snapshot(snapshot) => {
                self.entries.clear();
                self.snapshot = snapshot;
            }
            DurableRecord::HardState(hard_state) => self.hard_state = hard_state,
            DurableRecord::Entry(entry) => {
                while self
                    .entries
                    .pop_if(|stored| stored.index >= entry.index)
                    .is_some()
                {}
                self.entries.push(entry);
            }
        }
    }

    /// Returns whether the journal had no state at all.
    pub fn is_fresh(&self) -> bool {
        *self == Self::default()
    }
}
