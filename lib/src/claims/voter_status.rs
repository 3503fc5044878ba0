//! A control daemon's right to grant claims, which depends on how long its disk has been a voter.

use std::time::Duration;

use crate::{
    fleet::Voter,
    peer_api::VoterSet,
    time::Timestamp, //
};

/// The number of the first set of voters. No claim can have been granted before it, so its
/// voters need not abstain.
const FIRST_VOTERS_NUMBER: u64 = 1;

/// A disk's right to grant claims.
///
/// A disk that replaces a lost one does not have the claims that the lost one helped to
/// grant. Together with another voter that missed the same claims it would be a
/// majority, and the claimed requests would run twice. The new disk therefore abstains
/// for one retention period, after which every replica has forgotten the claims that
/// were granted without it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum VoterStatus {
    /// The disk was not a voter in the last set of voters that it has seen, or has seen none.
    #[default]
    NotVoter,
    /// The disk is a voter that grants nothing until one retention period after `since`.
    Abstains {
        since: Timestamp,
        voters_number: u64,
    },
    /// The disk is a voter and grants claims.
    Grants { voters_number: u64 },
}

impl VoterStatus {
    /// Returns the status under the current set of voters.
    pub fn under_voters(
        self,
        identity: &Voter,
        voters: &VoterSet,
        retention: Duration,
        now: Timestamp,
    ) -> Self {
        if !voters.voters.contains(identity) {
            return VoterStatus::NotVoter;
        }
        let voters_number = voters.number;
        let abstains = |since| VoterStatus::Abstains {
            since,
            voters_number,
        };
        // If the set has changed twice or more since the disk last saw it, the disk may have been
        // removed and added again.
        let is_without_gap = |known: u64| voters_number <= known + 1;
        match self {
            VoterStatus::NotVoter if voters_number == FIRST_VOTERS_NUMBER => {
                VoterStatus::Grants { voters_number }
            }
            VoterStatus::NotVoter => abstains(now),
            VoterStatus::Grants {
                voters_number: known,
            } if is_without_gap(known) => VoterStatus::Grants { voters_number },
            VoterStatus::Grants { .. } => abstains(now),
            VoterStatus::Abstains {
                since,
                voters_number: known,
            } => {
                let since = if is_without_gap(known) { since } else { now };
                match now.since(since) >= retention {
                    true => VoterStatus::Grants { voters_number },
                    false => abstains(since),
                }
            }
        }
    }

    /// Returns the number of the voter set up to which the disk may grant claims; `None` if it
    /// may not.
    pub fn granting_number(self) -> Option<u64> {
        match self {
            VoterStatus::Grants { voters_number } => Some(voters_number),
            VoterStatus::NotVoter | VoterStatus::Abstains { .. } => None,
        }
    }
}
