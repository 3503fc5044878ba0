//! Look-up of a request's route and team.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use super::{
    KeyedTeam,
    Route,
    RouteTable,
    RouteVersion, //
};
use crate::prelude::*;

/// A route table with indexes for fast look-ups; built once for each table.
#[derive(Debug, Default)]
pub struct RouteIndex {
    table: Arc<RouteTable>,
    /// Indices into the table's routes by host, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Index into the table's teams by key.
    by_key: HashMap<String, usize>,
}

/// Result of looking up a caller's key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Matched<'a> {
    /// The table has no teams, so that no key is required.
    Everybody,
    /// The key belongs to this team.
    Team(&'a KeyedTeam),
    /// The caller sent no key, or one that belongs to no team.
    Nobody,
}

impl RouteIndex {
    /// Builds the indexes of a table.
    pub fn new(table: Arc<RouteTable>) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| {
                let length = table.routes[*index].path_prefix.len();
                std::cmp::Reverse(length)
            });
        }
        let mut by_key = HashMap::new();
        for (index, team) in table.teams.iter().flatten().enumerate() {
            for key in &team.keys {
                by_key.insert(key.clone(), index);
            }
        }
        Self {
            table,
            by_host,
            by_key,
        }
    }

    /// Returns the table.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Returns the table's version.
    pub fn version(&self) -> RouteVersion {
        self.table.version
    }

    /// Returns the host's route with the longest prefix of `path`.
    ///
    /// `host` may have a port, and letters of either case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            match port.bytes().all(|byte| byte.is_ascii_digit()) {
                true => name,
                false => host,
            }
        });
        let indices = match self.by_host.get(name) {
            Some(indices) => indices,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        indices
            .iter()
            .map(|index| &self.table.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the team that a key belongs to.
    pub fn caller(&self, key: Option<&str>) -> Matched<'_> {
        let Some(teams) = &self.table.teams else {
            return Matched::Everybody;
        };
        let index = key.and_then(|key| self.by_key.get(key));
        match index.and_then(|index| teams.get(*index)) {
            Some(team) => Matched::Team(team),
            None => Matched::Nobody,
        }
    }

    /// Returns the service to which `random`, a uniformly distributed number, falls by the route's
    /// weights; `None` if all weights are zero.
    pub fn target(route: &Route, random: u64) -> Option<&ServiceName> {
        let total_weight: u64 = route.targets.iter().map(|target| target.weight).sum();
        let mut remainder = random.checked_rem(total_weight)?;
        for target in &route.targets {
            if remainder < target.weight {
                return Some(&target.service);
            }
            remainder -= target.weight;
        }
        None
    }
}
