//! What a claim replica writes to its disk before it answers.

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::peer_api::{
    ClaimKey,
    Claimant,
    StoredOutcome, //
};

/// Why bytes are not a record, or a record gives no bytes.
#[derive(Debug, Display, Error)]
pub enum ClaimRecordError {
    /// the record cannot be encoded: {0}
    Encode(postcard::Error),
    /// the bytes are not a claim's record: {0}
    Decode(postcard::Error),
}

/// One change of one claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimRecord {
    /// An attempt holds the key.
    Held {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        claimant: Claimant,
        /// Hash of the request.
        fingerprint: u64,
    },
    /// An attempt will never run.
    Released {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        claimant: Claimant,
    },
    /// An attempt has run.
    Completed {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        claimant: Claimant,
        /// Hash of the request.
        fingerprint: u64,
        /// What its caller got.
        outcome: StoredOutcome,
    },
    /// The disk may grant claims, as a voter without a gap up to this set of voters.
    MayGrant {
        /// The number of the set.
        voters_number: u64,
    },
}

/// A record with its place in the order over all journals of a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NumberedRecord {
    /// Grows with each record of the disk.
    pub number: u64,
    /// The change.
    pub record: ClaimRecord,
}

impl NumberedRecord {
    /// Returns the record as bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimRecordError::Encode`] if the codec refuses, which only a lack of
    /// memory can bring about.
    pub fn to_bytes(&self) -> Result<Vec<u8>, ClaimRecordError> {
        postcard::to_stdvec(self).map_err(ClaimRecordError::Encode)
    }

    /// Returns the record that [`Self::to_bytes`] gave these bytes for.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimRecordError::Decode`] if the bytes are no record.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ClaimRecordError> {
        postcard::from_bytes(bytes).map_err(ClaimRecordError::Decode)
    }
}
