//! Relays: what an entry daemon offers to others, and which offers a control daemon names to whom.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::link::LinkGroup;
use crate::{
    ids::{
        Address,
        IdError, //
    },
    prelude::*,
};

/// Relays of the receiver's own failure domain that are named to an entry daemon.
const MAX_NEAR: usize = 8;
/// Relays that are named altogether; those of other failure domains come last.
const MAX_RELAYS: usize = 12;

/// A secret by which a relay recognises the cluster's entry daemons; drawn anew by each process.
#[derive(Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayKey(pub u128);

impl fmt::Debug for RelayKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RelayKey(..)")
    }
}

impl fmt::Display for RelayKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RelayKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let number = u128::from_str_radix(text, 16);
        number.map(Self).map_err(|_| IdError::Number {
            found: "a relay key".to_owned(),
        })
    }
}

/// An entry daemon's offer to send other entry daemons' requests on to upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayOffer {
    /// The address at which it takes such requests.
    pub address: Address,
    /// The key that such requests must carry.
    pub key: RelayKey,
    /// The groups of links that it has lost itself.
    pub lost: Vec<LinkGroup>,
}

/// An entry daemon that relays requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Relay {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// What it offers.
    pub offer: RelayOffer,
}

impl Relay {
    /// Returns whether it has lost a group of links itself.
    pub fn has_lost(&self, group: &LinkGroup) -> bool {
        self.offer.lost.contains(group)
    }
}

/// What an entry daemon tells control daemons of relays; apart from its hello, so that daemons of
/// the version before drop this alone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayHello {
    /// The sender's offer; `None` if it relays nothing.
    pub offer: Option<RelayOffer>,
    /// The digest of the relays that the sender knows, if it asks the receiver to name them.
    pub known: Option<u64>,
}

/// The relays that a control daemon names to an entry daemon.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayUpdate {
    /// A hash of the list, by which the control daemon sees whether the receiver has it; zero if it
    /// is empty.
    pub digest: u64,
    /// The relays.
    pub relays: Vec<Relay>,
}

/// Returns the relays to name to an entry daemon, out of all that offer it.
///
/// Those of its own failure domain come first, since bytes between failure domains cost more; some
/// of others must be among them, since a failure domain may lose its links as a whole. Relays with
/// whole links go before others, and the rest of the order differs from daemon to daemon, so that
/// not all daemons know the same few.
pub fn relays_for(
    daemon: &DaemonId,
    failure_domain: &FailureDomain,
    offers: impl Iterator<Item = Relay>,
) -> RelayUpdate {
    let others = offers.filter(|relay| relay.daemon != *daemon);
    let (mut near, mut far): (Vec<Relay>, Vec<Relay>) =
        others.partition(|relay| relay.failure_domain == *failure_domain);
    for relays in [&mut near, &mut far] {
        relays.sort_by_cached_key(|relay| {
            let pair = format!("{daemon} {}", relay.daemon);
            (relay.offer.lost.len(), xxh3_64(pair.as_bytes()))
        });
    }
    near.truncate(MAX_NEAR);
    far.truncate(MAX_RELAYS - near.len());
    let mut relays = near;
    relays.append(&mut far);
    let digest = match relays.is_empty() {
        true => 0,
        // A list that can't be encoded would only be sent again with each hello.
        false => xxh3_64(&postcard::to_stdvec(&relays).unwrap_or_default()),
    };
    RelayUpdate { digest, relays }
}
