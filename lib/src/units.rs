//! Types of quantities: counts, sizes, rates and times.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::IdError;

macro_rules! unit_type {
    ($(#[$doc:meta])* $name:ident($inner:ty), $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                let number = || IdError::Number { found: text.to_owned() };
                digits.trim().parse().map(Self).map_err(|_| number())
            }
        }
    };
}

unit_type! {
    /// A number of accelerators.
    Accelerators(u32), " accelerators"
}
unit_type! {
    /// A size in bytes.
    ByteCount(u64), " B"
}
unit_type! {
    /// A share in percent.
    Percent(u8), " %"
}
unit_type! {
    /// A rate in events per second.
    RatePerSecond(u32), "/s"
}
unit_type! {
    /// The number of requests that an upstream runs concurrently.
    Slots(u32), " slots"
}
unit_type! {
    /// A number of tokens of a model's vocabulary.
    TokenCount(u64), " tokens"
}

/// The rate at which an upstream takes requests, in thousandths of a request per second.
///
/// The text form is a decimal number of requests per second without a sign or an exponent;
/// fractions of a thousandth are cut off.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns a rate as text for logs, or "none" if there is no rate.
    pub fn text(rate: Option<Self>) -> String {
        rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_s())
    }
}

impl FromStr for RequestRate {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let digits = text.strip_suffix("/s").unwrap_or(text);
        // The cast turns a number that is too large for `u64` into the largest one, which is
        // higher than any real rate.
        parse_plain_decimal(digits).map(|per_s| Self((per_s * 1_000.0) as u64))
    }
}

/// The time for which an upstream asks daemons not to send it requests.
///
/// The text form is a decimal number of seconds without a sign or an exponent.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BackoffTime(pub Duration);

impl BackoffTime {
    /// The upper limit, a day; a longer backoff is shortened to it.
    pub const LONGEST: Self = Self(Duration::from_secs(24 * 60 * 60));
}

impl fmt::Display for BackoffTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0.as_millis())
    }
}

impl FromStr for BackoffTime {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let longest_s = Self::LONGEST.0.as_secs_f64();
        parse_plain_decimal(text).map(|s| Self(Duration::from_secs_f64(s.min(longest_s))))
    }
}

/// Parses a decimal number that has neither a sign nor an exponent.
fn parse_plain_decimal(text: &str) -> Result<f64, IdError> {
    let digits = text.trim();
    let error = || IdError::Number {
        found: digits.chars().take(MAX_QUOTED_CHARS).collect(),
    };
    let is_plain = digits
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = digits.parse().map_err(|_| error())?;
    match is_plain && number.is_finite() {
        true => Ok(number),
        false => Err(error()),
    }
}

/// The number of characters of an invalid number that the error quotes.
const MAX_QUOTED_CHARS: usize = 40;
