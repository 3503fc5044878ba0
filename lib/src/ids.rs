//! Names and numbers that identify things, each its own type.

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

/// The longest name that any identifier may have, in bytes.
pub const NAME_LIMIT_BYTES: usize = 128;

/// Why a text is not an identifier.
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

fn checked_name(text: &str) -> Result<String, IdError> {
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
                checked_name(text).map(Self)
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
    /// The name of one deployment; processes of another cluster are not listened to.
    ClusterName
}
name_type! {
    /// An entry or control process, by the name in its settings.
    DaemonId
}
name_type! {
    /// A machine, by the name it announces.
    VmId
}
name_type! {
    /// A set of VMs joined by a fast fabric.
    FabricDomain
}
name_type! {
    /// A set of VMs that a partition cuts off together.
    FailureDomain
}
name_type! {
    /// A replica that spans several VMs.
    GroupId
}
name_type! {
    /// A model or plain service that callers name.
    ServiceName
}
name_type! {
    /// The weights a model service runs.
    ModelName
}
name_type! {
    /// A customer whose callers share limits.
    TeamName
}
name_type! {
    /// One caller's request, the same through all processes.
    RequestId
}
name_type! {
    /// A text by which a resend is known to be the same request.
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
    /// A number drawn when a process starts; it tells two runs of one process apart.
    BootId
}

/// A number that orders commands to upstreams: epoch of the domain leader, then sequence.
///
/// An upstream that checks tokens refuses a command whose token is lower than
/// the highest it has obeyed.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct FencingToken {
    /// The domain leader's epoch.
    pub epoch: u32,
    /// The number of the command within its epoch.
    pub sequence: u32,
}

impl FencingToken {
    /// Returns the token as one number that keeps the order.
    pub fn to_number(self) -> u64 {
        (u64::from(self.epoch) << 32) | u64::from(self.sequence)
    }

    /// Returns the token that [`Self::to_number`] gave this number for.
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

/// The place where a process listens: an IP address and a port.
pub type Address = SocketAddr;
