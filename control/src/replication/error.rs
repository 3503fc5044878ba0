//! The error of the replicated log.

use cicadabend::{
    agreement::{
        ProposalFailure,
        Unavailable, //
    },
    prelude::*,
};
use displaydoc::Display;
use thiserror::Error;

/// The reason why a command was not applied or may not have been applied, or why a read failed.
#[derive(Clone, Debug, Display, Error)]
pub(crate) enum ReplicationError {
    /// this control daemon is not the leader
    NotLeader {
        /// The control daemon that is the leader, if known.
        leader: Option<DaemonId>,
    },
    /// no majority of control daemons can be reached; nothing was changed
    NoQuorum,
    /// the command may or may not have been applied
    OutcomeUnknown,
    /// the data folder cannot be used: {0}
    Storage(String),
}

impl From<Unavailable> for ReplicationError {
    fn from(reason: Unavailable) -> Self {
        match reason {
            Unavailable::NotLeader { leader } => Self::NotLeader {
                leader: Some(leader.daemon),
            },
            Unavailable::NoQuorum => Self::NoQuorum,
        }
    }
}

impl From<ProposalFailure> for ReplicationError {
    fn from(failure: ProposalFailure) -> Self {
        match failure {
            ProposalFailure::NotAppended(reason) => reason.into(),
            // Another leader committed another entry at the same index of the log.
            ProposalFailure::Superseded => Self::NotLeader { leader: None },
            ProposalFailure::Unknown => Self::OutcomeUnknown,
            // Not reached for proposals: the thread `agreement` turns this failure into
            // `FleetAnswer::VotersRefused` before.
            ProposalFailure::ChangeRefused(_) => Self::NoQuorum,
        }
    }
}
