//! What makes a table invalid.

use std::collections::BTreeSet;

use displaydoc::Display;
use thiserror::Error;

use super::RouteTable;
use crate::prelude::*;

/// Why a table cannot be accepted, whatever its version.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RouteTableError {
    /// the table cannot be read: {0}
    Unreadable(String),
    /// the route {route} names the unknown service {service}
    UnknownService {
        /// The route.
        route: String,
        /// The service it names.
        service: ServiceName,
    },
    /// two routes have the host {host} and the prefix {path_prefix}
    SamePlace {
        /// The host.
        host: String,
        /// The prefix.
        path_prefix: String,
    },
    /// the weights of the route {route} add up to 0
    NoWeight {
        /// The route.
        route: String,
    },
    /// the timeout of the route {route} is 0
    NoTimeout {
        /// The route.
        route: String,
    },
    /// the teams {first} and {second} share a key
    SharedKey {
        /// One team.
        first: TeamName,
        /// The other.
        second: TeamName,
    },
}

impl RouteTable {
    /// Checks what the types cannot say.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn check(&self) -> Result<(), RouteTableError> {
        self.check_routes()?;
        self.check_keys()
    }

    fn check_routes(&self) -> Result<(), RouteTableError> {
        let mut places = BTreeSet::new();
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
            if !places.insert((&route.host, &route.path_prefix)) {
                return Err(RouteTableError::SamePlace {
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
        let mut holders: std::collections::BTreeMap<&str, &TeamName> = Default::default();
        for team in self.teams.iter().flatten() {
            for key in &team.keys {
                match holders.insert(key, &team.name) {
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
