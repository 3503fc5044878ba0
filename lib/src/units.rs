//! Sizes and rates, each its own type.

use std::{
    fmt,
    str::FromStr, //
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
    /// A share in hundredths.
    Percent(u8), " %"
}
unit_type! {
    /// Events in a second.
    RatePerSecond(u32), "/s"
}
unit_type! {
    /// How many requests an upstream runs side by side.
    Slots(u32), " slots"
}
unit_type! {
    /// A number of tokens of a model's vocabulary.
    TokenCount(u64), " tokens"
}
