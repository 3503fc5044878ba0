//! The parameters of a daemon's failure domain, and the timing inside the domain.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::prelude::*;

/// A daemon's identity, its peers, and the timing.
#[derive(Clone, Debug)]
pub struct DomainParameters {
    /// This daemon's name.
    pub daemon: DaemonId,
    /// The failure domain of this daemon.
    pub failure_domain: FailureDomain,
    /// All entry daemons of the failure domain, this one included.
    pub daemons: BTreeSet<DaemonId>,
    /// All control daemons, each with its failure domain.
    pub control: BTreeMap<DaemonId, FailureDomain>,
    /// The entry daemons of the other domains.
    pub other_domains: BTreeMap<FailureDomain, BTreeSet<DaemonId>>,
    /// The lengths of leases and intervals.
    pub timing: DomainTiming,
    /// The seed of the random pauses between candidates; differs by daemon and by process
    /// instance.
    pub seed: u64,
}

impl DomainParameters {
    /// Returns the control daemons with which this domain communicates: those in the domain, or
    /// all if it has none.
    pub fn preferred_control_daemons(&self) -> Vec<DaemonId> {
        let is_own = |domain: &FailureDomain| *domain == self.failure_domain;
        let has_own = self.control.values().any(is_own);
        let turned_to = self
            .control
            .iter()
            .filter(|(_, domain)| !has_own || is_own(domain));
        turned_to.map(|(daemon, _)| daemon.clone()).collect()
    }
}

/// The lengths of leases and intervals inside a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct DomainTiming {
    /// How long the domain leader's lease lasts without renewal.
    pub leader_lease: Duration,
    /// How often the leader renews its lease.
    pub heartbeat: Duration,
    /// The largest difference between the rates of two clocks, in percent.
    pub clock_rate_error: Percent,
    /// How long a new leader listens to announcements before its first command.
    pub settle: Duration,
    /// How long after its last announcement an upstream counts as alive.
    pub upstream_lease: Duration,
    /// How often upstreams announce themselves.
    pub announce_interval: Duration,
}

impl DomainTiming {
    /// Returns a duration that is at least `length` on every clock if measured by this daemon's
    /// clock.
    pub fn lengthened_by_clock_error(&self, length: Duration) -> Duration {
        length * (100 + u32::from(self.clock_rate_error.0)) / 100
    }

    /// Returns a duration that is at most `length` on every clock if measured by this daemon's
    /// clock.
    pub fn shortened_by_clock_error(&self, length: Duration) -> Duration {
        length * 100_u32.saturating_sub(u32::from(self.clock_rate_error.0)) / 100
    }

    /// Returns the time after which no daemon counts an earlier announcement of a VM any more.
    ///
    /// A daemon that the leader can't reach counts an announcement for one upstream lease, and
    /// routes by its table for one leader lease.
    pub fn announcement_expiry_bound(&self) -> Duration {
        self.lengthened_by_clock_error(self.upstream_lease.max(self.leader_lease))
    }
}
