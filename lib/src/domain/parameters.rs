//! What a daemon is told about its failure domain, and the timing inside it.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::prelude::*;

/// A daemon's place in the fleet and the timing it keeps.
#[derive(Clone, Debug)]
pub struct DomainParameters {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// All entry daemons of that domain, this one included.
    pub daemons: BTreeSet<DaemonId>,
    /// The control daemons and their failure domains.
    pub control: BTreeMap<DaemonId, FailureDomain>,
    /// The entry daemons of the other domains.
    pub other_domains: BTreeMap<FailureDomain, BTreeSet<DaemonId>>,
    /// Timing.
    pub timing: DomainTiming,
    /// Seed of the jitter between candidates; differs by daemon and by run.
    pub seed: u64,
}

impl DomainParameters {
    /// Returns the control daemons that this domain turns to: its own, or all if it has none.
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

/// Lengths of leases and pauses inside a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct DomainTiming {
    /// How long the domain leader's lease lasts without renewal.
    pub leader_lease: Duration,
    /// How often it is renewed.
    pub heartbeat: Duration,
    /// By how many hundredths two clocks' rates may differ.
    pub clock_rate_error: Percent,
    /// How long a new leader listens before its first command.
    pub settle: Duration,
    /// How long an announcement keeps its upstream in use.
    pub upstream_lease: Duration,
    /// How often upstreams announce themselves.
    pub announce_interval: Duration,
}

impl DomainTiming {
    /// Returns a length that has certainly passed on every clock once it has passed on this one.
    pub fn lengthened_by_clock_error(&self, length: Duration) -> Duration {
        length * (100 + u32::from(self.clock_rate_error.0)) / 100
    }

    /// Returns a length that no other clock sees end before this one does.
    pub fn shortened_by_clock_error(&self, length: Duration) -> Duration {
        length * 100_u32.saturating_sub(u32::from(self.clock_rate_error.0)) / 100
    }

    /// Returns how long no daemon may still count a VM by what it announced before.
    ///
    /// A daemon that the leader does not hear counts announcements for one
    /// upstream lease and routes by its table for one leader lease.
    pub fn announcement_expiry_bound(&self) -> Duration {
        self.lengthened_by_clock_error(self.upstream_lease.max(self.leader_lease))
    }
}
