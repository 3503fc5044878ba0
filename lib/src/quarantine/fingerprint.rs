//! What a request is known again by.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64, //
};

use crate::{
    ids::IdError,
    prelude::*, //
};

/// What a request is known again by: who calls, for which path, with which body.
///
/// An id is drawn anew whenever a caller sends a request again, so it tells nothing. The two
/// halves are kept apart because the hash is fast and not proof against somebody who looks for
/// equal values: whatever a team sends, it meets no other team's fingerprint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    caller: u64,
    content: u64,
}

impl Fingerprint {
    /// Returns the fingerprint of a request; `path` holds its query too.
    pub fn of(team: Option<&TeamName>, path: &str, body: &[u8]) -> Self {
        let mut content = Xxh3::new();
        // The length keeps a path's end from being taken for a body's beginning.
        content.update(&(path.len() as u64).to_le_bytes());
        content.update(path.as_bytes());
        content.update(body);
        Self {
            caller: team.map_or(0, |team| xxh3_64(team.as_str().as_bytes())),
            content: content.digest(),
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.caller, self.content)
    }
}

impl FromStr for Fingerprint {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let number = || IdError::Number {
            found: text.to_owned(),
        };
        let both = u128::from_str_radix(text, 16).map_err(|_| number())?;
        match text.len() {
            32 => Ok(Self {
                caller: (both >> 64) as u64,
                content: both as u64,
            }),
            _ => Err(number()),
        }
    }
}
