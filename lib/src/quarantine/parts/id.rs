//! Identifiers of prompt parts and of crashes.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64, //
};

use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// Identifies a prompt part by a hash of its name, the service and the model.
///
/// A part that crashes the engines of one model may be harmless to another one, so answers of the
/// other model are no evidence about it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartId(u64);

impl PartId {
    /// Returns the id of the part `name` of requests for a model of a service; `model` is `None` if
    /// the requests name none.
    pub fn of(service: &ServiceName, model: Option<&str>, name: &str) -> Self {
        let mut hash = Xxh3::new();
        for text in [service.as_str(), model.unwrap_or_default(), name] {
            // The length marks the border to the next text.
            hash.update(&(text.len() as u64).to_le_bytes());
            hash.update(text.as_bytes());
        }
        Self(hash.digest())
    }

    /// Returns the ids of several parts as one text.
    pub fn text(parts: &[Self]) -> String {
        let ids: Vec<String> = parts.iter().map(Self::to_string).collect();
        ids.join(",")
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a crash by a hash of the upstream instance that crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the id of the crash of an instance.
    pub fn of(upstream: &InstanceId) -> Self {
        Self(xxh3_64(upstream.to_string().as_bytes()))
    }
}
