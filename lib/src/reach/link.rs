//! The state of one daemon's link to one upstream.

use std::{
    fmt,
    time::Duration, //
};

use displaydoc::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// Links that are likely to fail together: those to the upstreams of one service in one failure
/// domain.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LinkGroup {
    /// The service of the upstreams.
    pub service: ServiceName,
    /// The failure domain of the upstreams.
    pub failure_domain: FailureDomain,
}

impl fmt::Display for LinkGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.failure_domain)
    }
}

/// How a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkUse {
    /// By an idle connection or a new one.
    Direct,
    /// By a new connection only: the idle ones may have gone silent with other links.
    DirectNew,
    /// By a relay: this daemon's own link is lost.
    Relayed,
}

/// What shows that a link is lost.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LossEvidence {
    /// a connection was refused
    Refused,
    /// a connection failed
    ConnectFailed,
    /// a connection was not made in the usual time
    ConnectSlow,
    /// requests were sent and nothing came back
    Unanswered,
}

impl LossEvidence {
    /// Returns whether bytes on an older connection prove the link whole again.
    ///
    /// Old connections may live on while new ones fail.
    pub(super) fn is_refuted_by_bytes(self) -> bool {
        self == LossEvidence::Unanswered
    }

    /// Returns how much the loss of one link says of the others of its group.
    ///
    /// Nothing listens where an upstream has ended, so a refusal says less than a connection that
    /// hangs. Requests that end upstreams end a few in a row.
    pub(super) fn group_weight(self) -> usize {
        match self {
            LossEvidence::Refused => 1,
            LossEvidence::ConnectFailed | LossEvidence::ConnectSlow | LossEvidence::Unanswered => 2,
        }
    }
}

/// A change of a link's state, to be logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// The link to an upstream is lost.
    Lost {
        /// The upstream.
        id: InstanceId,
        /// Its group of links.
        group: LinkGroup,
        /// What shows it.
        evidence: LossEvidence,
        /// The time since anything was received by this link; `None` if nothing ever was.
        silent: Option<Duration>,
    },
    /// The link to an upstream is whole again.
    Regained {
        /// The upstream.
        id: InstanceId,
        /// Its group of links.
        group: LinkGroup,
        /// How long it was lost.
        lost: Duration,
    },
    /// All links of a group count as lost.
    GroupLost {
        /// The group.
        group: LinkGroup,
        /// The number of its links that were found lost.
        links: usize,
    },
    /// A link of a lost group is whole again.
    GroupRegained {
        /// The group.
        group: LinkGroup,
        /// How long it was lost.
        lost: Duration,
    },
}
