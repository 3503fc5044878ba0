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
    quarantine::Fingerprint,
    registry::InstanceId, //
};

/// Identifies what an upstream had when it crashed and what may have crashed it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum PartId {
    /// A prompt part, by a hash of its name.
    Named(u64),
    /// A whole request, by a hash of its fingerprint.
    ///
    /// A request that crashes upstreams whenever it is sent has the same parts each time. The crashes
    /// are attributed to the request, so that they are not held against its parts.
    Request(u64),
}

/// A part in prompts for one model of a service.
///
/// A part that crashes the engines of one model may be harmless to another one, so answers of the
/// other model are no evidence for it. Crashes of both are evidence against it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ModelPart {
    /// The part.
    pub part: PartId,
    /// Hash of the service and the model.
    model: u64,
}

impl ModelPart {
    /// Returns the part `name` of requests for a model of a service; `model` is `None` if the
    /// requests name none.
    pub fn of(service: &ServiceName, model: Option<&str>, name: &str) -> Self {
        let mut hash = Xxh3::new();
        // The length marks the border between service and model.
        hash.update(&(service.as_str().len() as u64).to_le_bytes());
        hash.update(service.as_str().as_bytes());
        hash.update(model.unwrap_or_default().as_bytes());
        Self {
            part: PartId::Named(xxh3_64(name.as_bytes())),
            model: hash.digest(),
        }
    }

    /// Returns the hash of the service and the model.
    pub(super) fn model(&self) -> u64 {
        self.model
    }

    /// Returns what stands for a whole request with this part's service and model.
    #[must_use]
    pub fn of_request(self, fingerprint: Fingerprint) -> Self {
        let request = xxh3_64(fingerprint.to_string().as_bytes());
        Self {
            part: PartId::Request(request),
            ..self
        }
    }
}

impl PartId {
    /// Returns whether this is a prompt part.
    pub fn is_named(self) -> bool {
        matches!(self, PartId::Named(_))
    }

    /// Returns the ids of several parts as one text.
    pub fn text(parts: &[Self]) -> String {
        let ids: Vec<String> = parts.iter().map(Self::to_string).collect();
        ids.join(",")
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (PartId::Named(hash) | PartId::Request(hash)) = self;
        write!(f, "{hash:016x}")
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
