//! State charts: read from files, checked against closed enums, then interpreted.

mod names;
mod upstream;

use displaydoc::Display;
use thiserror::Error;

pub use names::ChartName;
pub use upstream::UpstreamState;

/// {found:?} is not a name of this chart
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub struct UnknownName {
    /// The text found.
    pub found: String,
}
