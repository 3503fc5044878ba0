//! Identification of requests that are sent again.

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

/// Identifies a request by its team, path and body.
///
/// Request ids cannot serve for this, since each client retry has a new one. The hash is fast but
/// not collision-resistant. The team is therefore hashed separately, so that a team cannot produce
/// the fingerprint of another team's request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    caller: u64,
    content: u64,
}

impl Fingerprint {
    /// Returns the fingerprint of a request; `path` includes the query, and `body` has the body's
    /// segments in order.
    pub fn of<T: AsRef<[u8]>>(team: Option<&TeamName>, path: &str, body: &[T]) -> Self {
        let mut content = Xxh3::new();
        // The length marks the border between path and body.
        content.update(&(path.len() as u64).to_le_bytes());
        content.update(path.as_bytes());
        for segment in body {
            content.update(segment.as_ref());
        }
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
