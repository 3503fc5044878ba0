//! Where all engines stand, for logs.

use std::{
    collections::BTreeMap,
    fmt, //
};

use crate::prelude::*;

/// What one fabric domain's engines do.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainCensus {
    /// Engines in groups that take requests, by model.
    pub open: BTreeMap<ModelName, u32>,
    /// Engines in groups that are being formed.
    pub forming: u32,
    /// Engines in groups that are being taken apart.
    pub ending: u32,
    /// Engines in no group that could be used.
    pub free: u32,
    /// Engines that are silent or leaving.
    pub lost: u32,
}

/// What all engines do, by fabric domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Census {
    /// The domains.
    pub domains: BTreeMap<FabricDomain, DomainCensus>,
}

impl fmt::Display for DomainCensus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (model, count) in &self.open {
            write!(formatter, "{model} {count} ")?;
        }
        let Self {
            forming,
            ending,
            free,
            lost,
            ..
        } = self;
        write!(
            formatter,
            "forming {forming} ending {ending} free {free} lost {lost}"
        )
    }
}

impl fmt::Display for Census {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (domain, census)) in self.domains.iter().enumerate() {
            let separator = if at == 0 { "" } else { "; " };
            write!(formatter, "{separator}{domain}: {census}")?;
        }
        Ok(())
    }
}
