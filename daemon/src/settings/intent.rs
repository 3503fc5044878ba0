//! An operator's intent file.

use std::collections::BTreeSet;

use cicadabend::fleet::{
    FleetConfig,
    validate::config_problems, //
};

use super::{
    Problem,
    Settings, //
};

impl Settings for FleetConfig {
    const EXAMPLE: &'static str = include_str!("example_intent.json");

    /// Failure domains are left to the control daemon, because only it knows them.
    fn problems(&self) -> Vec<Problem> {
        let problems = config_problems(self, &BTreeSet::new());
        let converted = problems.into_iter().map(|problem| Problem {
            path: problem.path,
            found: String::new(),
            allowed: problem.problem,
        });
        converted.collect()
    }
}
