//! Finds a request's route and team.

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

/// A table with what makes look-ups fast; made once for each table.
#[derive(Debug, Default)]
pub struct RouteIndex {
    table: Arc<RouteTable>,
    /// Places of a host's routes, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// A key's team.
    by_key: HashMap<String, usize>,
}

/// Who calls, as far as a key tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Matched<'a> {
    /// The table asks for no keys.
    Everybody,
    /// The key belongs to this team.
    Team(&'a KeyedTeam),
    /// The key belongs to nobody, or there is none.
    Nobody,
}

impl RouteIndex {
    /// Prepares a table.
    pub fn new(table: Arc<RouteTable>) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(place);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|place| {
                let length = table.routes[*place].path_prefix.len();
                std::cmp::Reverse(length)
            });
        }
        let mut by_key = HashMap::new();
        for (place, team) in table.teams.iter().flatten().enumerate() {
            for key in &team.keys {
                by_key.insert(key.clone(), place);
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

    /// Returns the table's number.
    pub fn version(&self) -> RouteVersion {
        self.table.version
    }

    /// Returns the route with the longest prefix that begins the path.
    ///
    /// `host` may have a port and capitals.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            match port.bytes().all(|byte| byte.is_ascii_digit()) {
                true => name,
                false => host,
            }
        });
        let places = match self.by_host.get(name) {
            Some(places) => places,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        places
            .iter()
            .map(|place| &self.table.routes[*place])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns who a key belongs to.
    pub fn caller(&self, key: Option<&str>) -> Matched<'_> {
        let Some(teams) = &self.table.teams else {
            return Matched::Everybody;
        };
        let place = key.and_then(|key| self.by_key.get(key));
        match place.and_then(|place| teams.get(*place)) {
            Some(team) => Matched::Team(team),
            None => Matched::Nobody,
        }
    }

    /// Returns the service that a number drawn evenly falls on.
    pub fn target(route: &Route, drawn: u64) -> Option<&ServiceName> {
        let sum: u64 = route.targets.iter().map(|target| target.weight).sum();
        let mut left = drawn.checked_rem(sum)?;
        for target in &route.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        None
    }
}
