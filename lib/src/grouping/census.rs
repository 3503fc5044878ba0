//! Where all engines stand, for logs.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
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
    /// Of the free ones, those that have a model at hand, by model.
    pub free_with: BTreeMap<ModelName, u32>,
    /// Of the free ones, those that have no model at hand and wait for the store.
    pub free_empty: u32,
    /// Engines that are silent or leaving.
    pub lost: u32,
}

impl DomainCensus {
    /// Counts an engine in no group by the models that it has at hand.
    pub(super) fn count_free(&mut self, at_hand: BTreeSet<&ModelName>) {
        self.free += 1;
        if at_hand.is_empty() {
            self.free_empty += 1;
        }
        for model in at_hand {
            *self.free_with.entry(model.clone()).or_default() += 1;
        }
    }
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
        for (at, (domain, census)) in self.domains.iter().enumerate() {
            let separator = if at == 0 { "" } else { "; " };
            write!(formatter, "{separator}{domain}: {census}")?;
        }
        Ok(())
    }
}
