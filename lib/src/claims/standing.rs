//! Whether a disk knows of every claim that is remembered anywhere.

use std::time::Duration;

use crate::{
    fleet::Voter,
    peer_api::VoterSet,
    time::Timestamp, //
};

/// The number of the first set of voters; before it no claim can have been granted.
const FOUNDING_NUMBER: u64 = 1;

/// A disk's right to grant claims.
///
/// A disk that takes another's place has not heard of the claims that the lost one
/// helped to grant. Together with one that missed the same claims it would be a
/// majority, and the claims would run twice. It therefore abstains until each claim
/// that was granted without it has been forgotten by all: for one retention.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Standing {
    /// It was not a voter, as far as it knows.
    #[default]
    Outside,
    /// It is a voter and abstains.
    Abstains {
        since: Timestamp,
        voters_number: u64,
    },
    /// It is a voter and grants.
    Grants { voters_number: u64 },
}

impl Standing {
    /// Returns the standing under the present set of voters.
    pub fn follow(
        self,
        identity: &Voter,
        voters: &VoterSet,
        retention: Duration,
        now: Timestamp,
    ) -> Self {
        if !voters.voters.contains(identity) {
            return Standing::Outside;
        }
        let voters_number = voters.number;
        let abstains = |since| Standing::Abstains {
            since,
            voters_number,
        };
        // Over two changes the disk may have been taken out and in again.
        let is_without_gap = |known: u64| voters_number <= known + 1;
        match self {
            Standing::Outside if voters_number == FOUNDING_NUMBER => {
                Standing::Grants { voters_number }
            }
            Standing::Outside => abstains(now),
            Standing::Grants {
                voters_number: known,
            } if is_without_gap(known) => Standing::Grants { voters_number },
            Standing::Grants { .. } => abstains(now),
            Standing::Abstains {
                since,
                voters_number: known,
            } => {
                let since = if is_without_gap(known) { since } else { now };
                match now.since(since) >= retention {
                    true => Standing::Grants { voters_number },
                    false => abstains(since),
                }
            }
        }
    }

    /// Returns the set of voters up to which the disk may grant.
    pub fn granting_number(self) -> Option<u64> {
        match self {
            Standing::Grants { voters_number } => Some(voters_number),
            Standing::Outside | Standing::Abstains { .. } => None,
        }
    }
}
