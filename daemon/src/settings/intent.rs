//! An operator's intent file.

use cicadabend::fleet::FleetConfig;

use super::{
    Problem,
    Settings, //
};

impl Settings for FleetConfig {
    const EXAMPLE: &'static str = include_str!("example_intent.json");

    /// The control daemon checks the rules, because only it knows the fleet.
    fn problems(&self) -> Vec<Problem> {
        Vec::new()
    }
}
