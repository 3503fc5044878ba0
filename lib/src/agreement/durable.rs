//! What a node stores, as records of a journal, and how it is read back.

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
    /// Replaces all records before it.
    Snapshot(Snapshot),
    /// Replaces the hard state.
    HardState(HardState),
    /// Replaces the entries from its place on.
    Entry(Entry),
}

impl DurableRecord {
    /// Encodes the record for the journal.
    ///
    /// # Errors
    ///
    /// Returns postcard's error; none is known for this type.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a record of the journal.
    ///
    /// # Errors
    ///
    /// Returns postcard's error if the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

impl Persist {
    /// Returns the records to store, in order.
    pub fn into_records(self) -> Vec<DurableRecord> {
        let mut records = Vec::with_capacity(self.entries.len() + 2);
        records.extend(self.snapshot.map(DurableRecord::Snapshot));
        records.push(DurableRecord::HardState(self.hard_state));
        records.extend(self.entries.into_iter().map(DurableRecord::Entry));
        records
    }
}

/// What a node had stored when its process ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recovered {
    /// The hard state.
    pub hard_state: HardState,
    /// The snapshot; its place is zero if there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Takes the next record of the journal.
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
                    .pop_if(|kept| kept.index >= entry.index)
                    .is_some()
                {}
                self.entries.push(entry);
            }
        }
    }

    /// Returns whether nothing was ever stored.
    pub fn is_fresh(&self) -> bool {
        *self == Self::default()
    }
}
