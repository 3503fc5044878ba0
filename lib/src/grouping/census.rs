//! Counts of engines by state, for logs.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt, //
};

use crate::prelude::*;

/// The engines of one fabric domain, counted by state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainCensus {
    /// Engines in groups that take requests, by model.
    pub open: BTreeMap<ModelName, u32>,
    /// Engines in groups that are being formed.
    pub forming: u32,
    /// Engines in groups that are being taken apart.
    pub ending: u32,
    /// Usable engines in no group.
    pub free: u32,
    /// Free engines that can run a model without a load from the store, by model; an engine with
    /// several models counts once for each.
    pub free_with: BTreeMap<ModelName, u32>,
    /// Free engines that have no model and wait for a load from the store.
    pub free_empty: u32,
    /// Engines that are silent, leaving or otherwise not ready.
    pub lost: u32,
}

impl DomainCensus {
    /// Counts an engine in no group by the models that it can run without a load from the store.
    pub(super) fn count_free(&mut self, cached: BTreeSet<&ModelName>) {
        self.free += 1;
        if cached.is_empty() {
            self.free_empty += 1;
        }
        for model in cached {
            *self.free_with.entry(model.clone()).or_default() += 1;
        }
    }
}

/// The state of all engines, by fabric domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Census {
    /// The counts of each fabric domain.
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
            free_empty,
            lost,
            ..
        } = self;
        write!(
            formatter,
            "forming {forming} ending {ending} lost {lost} free {free}"
        )?;
        if *free > 0 {
            write!(formatter, " (")?;
            for (model, count) in &self.free_with {
                write!(formatter, "with {model} {count}, ")?;
            }
            write!(formatter, "empty {free_empty})")?;
        }
        Ok(())
    }
}

impl fmt::Display for Census {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (domain, census)) in self.domains.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(formatter, "{separator}{domain}: {census}")?;
        }
        Ok(())
    }
}
