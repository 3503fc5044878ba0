//! The records that a claim replica writes to its disk before it answers.

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

/// An error of encoding or decoding a claim record.
#[derive(Debug, Display, Error)]
pub enum ClaimRecordError {
    /// the record cannot be encoded: {0}
    Encode(postcard::Error),
    /// the bytes are not a claim record: {0}
    Decode(postcard::Error),
}

/// One change of a claim, or of the disk's right to grant claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimRecord {
    /// An attempt holds the key.
    Held {
        /// The claimed idempotency key.
        key: ClaimKey,
        /// The attempt that holds the key.
        claimant: Claimant,
        /// Hash of the request.
        fingerprint: u64,
    },
    /// An attempt will never run.
    Released {
        /// The idempotency key that the attempt claimed.
        key: ClaimKey,
        /// The attempt that will never run.
        claimant: Claimant,
    },
    /// An attempt has run.
    Completed {
        /// The idempotency key that the attempt claimed.
        key: ClaimKey,
        /// The attempt that ran.
        claimant: Claimant,
        /// Hash of the request.
        fingerprint: u64,
        /// The response that the attempt's caller got.
        outcome: StoredOutcome,
    },
    /// The disk may grant claims: it has been a voter without a gap up to this set of voters.
    MayGrant {
        /// The number of the set of voters.
        voters_number: u64,
    },
}

/// A record with its sequence number, which orders the records of all journals of a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NumberedRecord {
    /// The record's sequence number; it grows with each record of the disk.
    pub number: u64,
    /// The recorded change.
    pub record: ClaimRecord,
}

impl NumberedRecord {
    /// Encodes the record for the journal.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimRecordError::Encode`] if the codec fails, which happens only when
    /// memory runs out.
    pub fn to_bytes(&self) -> Result<Vec<u8>, ClaimRecordError> {
        postcard::to_stdvec(self).map_err(ClaimRecordError::Encode)
    }

    /// Decodes a record that [`Self::to_bytes`] has encoded.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimRecordError::Decode`] if the bytes are not a record.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ClaimRecordError> {
        postcard::from_bytes(bytes).map_err(ClaimRecordError::Decode)
    }
}
