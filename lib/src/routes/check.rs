//! Validation of a route table.

use std::collections::BTreeSet;

use displaydoc::Display;
use thiserror::Error;

use super::RouteTable;
use crate::prelude::*;

/// Error for a route table that is rejected whatever its version.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RouteTableError {
    /// the table cannot be read: {0}
    Unreadable(String),
    /// the route {route} names the unknown service {service}
    UnknownService {
        /// Name of the route.
        route: String,
        /// Service that the route names.
        service: ServiceName,
    },
    /// two routes have the host {host} and the prefix {path_prefix}
    DuplicateRoute {
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        path_prefix: String,
    },
    /// the weights of the route {route} add up to 0
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// the timeout of the route {route} is 0
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// the teams {first} and {second} share a key
    SharedKey {
        /// Team that comes first in the table.
        first: TeamName,
        /// Team that comes later in the table.
        second: TeamName,
    },
}

impl RouteTable {
    /// Checks the rules that the types do not enforce.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check(&self) -> Result<(), RouteTableError> {
        self.check_routes()?;
        self.check_keys()
    }

    fn check_routes(&self) -> Result<(), RouteTableError> {
        let mut patterns = BTreeSet::new();
        for route in &self.routes {
            if let Some(target) = route
                .targets
                .iter()
                .find(|target| !self.services.contains_key(&target.service))
            {
                return Err(RouteTableError::UnknownService {
                    route: route.name.clone(),
                    service: target.service.clone(),
                });
            }
            if !patterns.insert((&route.host, &route.path_prefix)) {
                return Err(RouteTableError::DuplicateRoute {
                    host: route.host.clone(),
                    path_prefix: route.path_prefix.clone(),
                });
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                let route = route.name.clone();
                return Err(RouteTableError::NoWeight { route });
            }
            if route.timeout_ms == 0 {
                let route = route.name.clone();
                return Err(RouteTableError::NoTimeout { route });
            }
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), RouteTableError> {
        let mut team_by_key: std::collections::BTreeMap<&str, &TeamName> = Default::default();
        for team in self.teams.iter().flatten() {
            for key in &team.keys {
                match team_by_key.insert(key, &team.name) {
                    Some(first) if *first != team.name => {
                        return Err(RouteTableError::SharedKey {
                            first: first.clone(),
                            second: team.name.clone(),
                        });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}
