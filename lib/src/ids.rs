//! Types of identifiers: names and numbers.

use std::{
    fmt,
    net::SocketAddr,
    str::FromStr, //
};

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// The largest length of a name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 128;

/// The fault in a text that is not a valid identifier.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum IdError {
    /// the name is empty
    Empty,
    /// the name has {found} bytes; at most 128 are allowed
    TooLong {
        /// The length found, in bytes.
        found: usize,
    },
    /// the character {found:?} is not allowed; use letters, digits, '-', '_', '.', '/' and ':'
    Character {
        /// The first character that is not allowed.
        found: char,
    },
    /// {found:?} is not a number
    Number {
        /// The text found.
        found: String,
    },
}

fn validate_name(text: &str) -> Result<String, IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > NAME_LIMIT_BYTES {
        return Err(IdError::TooLong { found: text.len() });
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || "-_./:".contains(*c);
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(IdError::Character { found }),
        None => Ok(text.to_owned()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate_name(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number after this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let number = || IdError::Number { found: text.to_owned() };
                text.parse().map(Self).map_err(|_| number())
            }
        }
    };
}

name_type! {
    /// The name of a deployment; daemons drop messages from another cluster.
    ClusterName
}
name_type! {
    /// The name of an entry or control daemon, from its settings.
    DaemonId
}
name_type! {
    /// The name of a VM, which its upstream announces.
    VmId
}
name_type! {
    /// The name of a set of VMs that a fast network fabric connects.
    FabricDomain
}
name_type! {
    /// The name of a failure domain: a set of VMs that a network partition cuts off together.
    FailureDomain
}
name_type! {
    /// The name of a group: a model replica that spans several VMs.
    GroupId
}
name_type! {
    /// The name by which callers address a model service or a plain service.
    ServiceName
}
name_type! {
    /// The name of a model whose weights engines load.
    ModelName
}
name_type! {
    /// The name of a team: a customer whose callers share limits.
    TeamName
}
name_type! {
    /// The id of a caller's request, the same in all processes.
    RequestId
}
name_type! {
    /// A key by which a client retry is recognised as the same request.
    IdempotencyKey
}
number_type! {
    /// The number of an accepted configuration; a higher one replaces a lower one.
    Revision
}
number_type! {
    /// The number of a plan, in order of acceptance.
    PlanId
}
number_type! {
    /// The random number that a process picks at its start; identifies the process instance.
    BootId
}

/// A fencing token, which orders commands to engines: by the domain leader's epoch, then by the
/// command's sequence number.
///
/// An engine that checks tokens refuses a command whose token is lower than the highest one that
/// it has accepted.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct FencingToken {
    /// The domain leader's epoch.
    pub epoch: u32,
    /// The command's number within the epoch.
    pub sequence: u32,
}

impl FencingToken {
    /// Returns the token as one number; numbers have the same order as tokens.
    pub fn to_number(self) -> u64 {
        (u64::from(self.epoch) << 32) | u64::from(self.sequence)
    }

    /// Returns the token of a number that [`Self::to_number`] returned.
    pub fn from_number(number: u64) -> Self {
        Self {
            epoch: (number >> 32) as u32,
            sequence: (number & 0xffff_ffff) as u32,
        }
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.sequence)
    }
}

impl FromStr for FencingToken {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let number = || IdError::Number {
            found: text.to_owned(),
        };
        let (epoch, sequence) = text.split_once('.').ok_or_else(number)?;
        Ok(Self {
            epoch: epoch.parse().map_err(|_| number())?,
            sequence: sequence.parse().map_err(|_| number())?,
        })
    }
}

/// The IP address and port at which a process listens.
pub type Address = SocketAddr;
