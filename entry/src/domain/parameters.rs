//! Derives the coordinator's parameters from the daemon's settings.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use cicadabend::{
    domain::parameters::{
        DomainParameters,
        DomainTiming, //
    },
    prelude::*,
};
use cicadabend_daemon::settings::{
    EntrySettings,
    PeerRole, //
};

/// Returns the parameters of this daemon's coordinator: the known daemons and the timing.
pub fn domain_parameters(settings: &EntrySettings, boot: BootId) -> DomainParameters {
    let mut daemons = BTreeSet::from([settings.daemon.clone()]);
    let mut control = BTreeMap::new();
    let mut other_domains: BTreeMap<FailureDomain, BTreeSet<DaemonId>> = BTreeMap::new();
    for peer in &settings.peers {
        let daemon = peer.daemon.clone();
        let domain = peer.failure_domain.clone();
        match peer.role {
            PeerRole::Control => {
                control.insert(daemon, domain);
            }
            PeerRole::Entry if domain == settings.failure_domain => {
                daemons.insert(daemon);
            }
            PeerRole::Entry => {
                other_domains.entry(domain).or_default().insert(daemon);
            }
        }
    }
    DomainParameters {
        daemon: settings.daemon.clone(),
        failure_domain: settings.failure_domain.clone(),
        daemons,
        control,
        other_domains,
        timing: domain_timing(settings),
        seed: boot.0,
    }
}

fn domain_timing(settings: &EntrySettings) -> DomainTiming {
    DomainTiming {
        leader_lease: Duration::from_millis(settings.domain.leader_lease_ms),
        heartbeat: Duration::from_millis(settings.domain.heartbeat_ms),
        clock_rate_error: settings.domain.clock_rate_error_percent,
        settle: Duration::from_millis(settings.domain.settle_ms),
        upstream_lease: Duration::from_millis(settings.upstreams.lease_ms),
        announce_interval: Duration::from_millis(settings.upstreams.announce_interval_ms),
    }
}
