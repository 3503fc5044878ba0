//! The rules that settings must keep beyond their types.

use std::{
    collections::BTreeMap,
    fmt, //
};

use cicadabend::{
    ids::Address,
    prelude::*, //
};

use super::{
    AgreementSettings,
    CallerSettings,
    ControlSettings,
    DaemonSettings,
    DomainSettings,
    EntrySettings,
    LogSettings,
    MembershipSettings,
    MetricSettings,
    PeerAddress,
    Problem,
    RetrySettings,
    Settings,
    UpstreamSettings, //
};

/// The longest duration that makes sense in any setting.
const MAX_MS: u64 = 24 * 3_600_000;
/// Clocks that differ more than this are broken.
const MAX_CLOCK_RATE_ERROR_PERCENT: u8 = 50;
/// The least memory that a process needs beside its bodies, with room for them.
const MIN_MEMORY_MB: u64 = 64;
const MAX_MEMORY_MB: u64 = 1_000_000;
/// How often a lease must be renewable before it ends.
const RENEWALS_PER_LEASE: u64 = 2;

impl Settings for EntrySettings {
    const EXAMPLE: &'static str = include_str!("example_entry.json");

    fn problems(&self) -> Vec<Problem> {
        let mut check = Check::default();
        check.memory(self.memory_mb);
        check.callers(&self.callers);
        check.upstreams(&self.upstreams);
        check.domain(&self.domain);
        check.peers(&self.daemon, &self.failure_domain, &self.peers);
        check.membership(self.membership.as_ref(), &self.daemon, &self.peers);
        let needs_listen = self.membership.is_none();
        let has_listen = !needs_listen || self.upstreams.listen.is_some();
        check.require(has_listen, "upstreams.listen", "null", "an address");
        check.retries(&self.retries);
        check.logs(&self.logs);
        check.listeners(&[
            ("callers.listen", Some(self.callers.listen)),
            ("callers.ready_listen", self.callers.ready_listen),
            ("upstreams.listen", self.upstreams.listen),
            ("peer_listen", Some(self.peer_listen)),
            ("relay_listen", self.relay_listen),
            ("metrics.listen", self.metrics.listen),
        ]);
        check.problems
    }
}

impl DaemonSettings for EntrySettings {
    fn logs(&self) -> &LogSettings {
        &self.logs
    }

    fn metrics(&self) -> &MetricSettings {
        &self.metrics
    }
}

impl Settings for ControlSettings {
    const EXAMPLE: &'static str = include_str!("example_control.json");

    fn problems(&self) -> Vec<Problem> {
        let mut check = Check::default();
        check.path_text("data_folder", &self.data_folder);
        check.memory(self.memory_mb);
        if let Some(path) = &self.operators.token_file {
            check.path_text("operators.token_file", path);
        }
        check.at_least_one(
            "operators.max_request_bytes",
            self.operators.max_request_bytes.0,
        );
        check.agreement(&self.agreement);
        check.length_ms("claim_retention_ms", self.claim_retention_ms);
        check.peers(&self.daemon, &self.failure_domain, &self.peers);
        check.membership(self.membership.as_ref(), &self.daemon, &self.peers);
        check.length_ms("groups.settle_ms", self.groups.settle_ms);
        check.logs(&self.logs);
        check.listeners(&[
            ("operators.listen", Some(self.operators.listen)),
            ("peer_listen", Some(self.peer_listen)),
            ("metrics.listen", self.metrics.listen),
        ]);
        check.problems
    }
}

impl DaemonSettings for ControlSettings {
    fn logs(&self) -> &LogSettings {
        &self.logs
    }

    fn metrics(&self) -> &MetricSettings {
        &self.metrics
    }
}

#[derive(Default)]
struct Check {
    problems: Vec<Problem>,
}

impl Check {
    fn require(&mut self, holds: bool, path: &str, found: impl fmt::Display, allowed: &str) {
        if !holds {
            self.problems.push(Problem::new(path, found, allowed));
        }
    }

    fn length_ms(&mut self, path: &str, found: u64) {
        let holds = (1..=MAX_MS).contains(&found);
        self.require(holds, path, found, "1 to 86400000 (a day)");
    }

    fn at_least_one(&mut self, path: &str, found: u64) {
        self.require(found >= 1, path, found, "1 or more");
    }

    fn path_text(&mut self, path: &str, found: &str) {
        let quoted = format!("{found:?}");
        self.require(!found.is_empty(), path, quoted, "a path, not empty");
    }

    fn clock_rate(&mut self, path: &str, found: Percent) {
        let holds = found.0 <= MAX_CLOCK_RATE_ERROR_PERCENT;
        self.require(holds, path, found.0, "0 to 50");
    }

    fn memory(&mut self, memory_mb: u64) {
        let holds = (MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&memory_mb);
        self.require(holds, "memory_mb", memory_mb, "64 to 1000000");
    }

    fn callers(&mut self, callers: &CallerSettings) {
        self.at_least_one("callers.max_connections", callers.max_connections.into());
        self.at_least_one("callers.max_header_bytes", callers.max_header_bytes.0);
        self.at_least_one("callers.max_body_bytes", callers.max_body_bytes.0);
        self.at_least_one("callers.queue_capacity", callers.queue_capacity.into());
        self.length_ms("callers.read_timeout_ms", callers.read_timeout_ms);
        self.length_ms(
            "callers.first_byte_timeout_ms",
            callers.first_byte_timeout_ms,
        );
        self.length_ms("callers.drain_notice_ms", callers.drain_notice_ms);
        self.length_ms("callers.drain_timeout_ms", callers.drain_timeout_ms);
    }

    fn upstreams(&mut self, upstreams: &UpstreamSettings) {
        self.length_ms(
            "upstreams.announce_interval_ms",
            upstreams.announce_interval_ms,
        );
        self.length_ms("upstreams.connect_timeout_ms", upstreams.connect_timeout_ms);
        self.lease(
            ("upstreams.lease_ms", upstreams.lease_ms),
            (
                "upstreams.announce_interval_ms",
                upstreams.announce_interval_ms,
            ),
        );
    }

    fn domain(&mut self, domain: &DomainSettings) {
        self.length_ms("domain.heartbeat_ms", domain.heartbeat_ms);
        self.length_ms("domain.settle_ms", domain.settle_ms);
        self.clock_rate(
            "domain.clock_rate_error_percent",
            domain.clock_rate_error_percent,
        );
        self.lease(
            ("domain.leader_lease_ms", domain.leader_lease_ms),
            ("domain.heartbeat_ms", domain.heartbeat_ms),
        );
    }

    fn agreement(&mut self, agreement: &AgreementSettings) {
        self.length_ms("agreement.heartbeat_ms", agreement.heartbeat_ms);
        self.clock_rate(
            "agreement.clock_rate_error_percent",
            agreement.clock_rate_error_percent,
        );
        self.at_least_one(
            "agreement.compact_after_entries",
            agreement.compact_after_entries,
        );
        self.lease(
            (
                "agreement.election_timeout_ms",
                agreement.election_timeout_ms,
            ),
            ("agreement.heartbeat_ms", agreement.heartbeat_ms),
        );
    }

    /// One lost renewal must not end a lease, or a single dropped packet would cost an election.
    fn lease(&mut self, lease: (&str, u64), renewal: (&str, u64)) {
        self.length_ms(lease.0, lease.1);
        let holds = lease.1 >= renewal.1.saturating_mul(RENEWALS_PER_LEASE);
        let allowed = format!("at least twice {} ({})", renewal.0, renewal.1);
        self.require(holds, lease.0, lease.1, &allowed);
    }

    fn logs(&mut self, logs: &LogSettings) {
        if let Some(file) = &logs.file {
            self.path_text("logs.file", file);
        }
    }

    fn listeners(&mut self, listeners: &[(&str, Option<Address>)]) {
        let mut seen: BTreeMap<Address, &str> = BTreeMap::new();
        for (path, address) in listeners {
            let Some(address) = address else { continue };
            if address.port() == 0 {
                continue;
            }
            if let Some(other) = seen.insert(*address, path) {
                let allowed = format!("an address other than that of {other}");
                self.require(false, path, address, &allowed);
            }
        }
    }

    fn membership(
        &mut self,
        membership: Option<&MembershipSettings>,
        own: &DaemonId,
        peers: &[PeerAddress],
    ) {
        let Some(membership) = membership else {
            return;
        };
        let path = "membership";
        self.require(
            peers.is_empty(),
            path,
            "beside `peers`",
            "either `peers` or `membership`",
        );
        let is_ip = own.as_str().parse::<std::net::IpAddr>().is_ok();
        let allowed = "the daemon's IP number, where daemons find each other by seeds";
        self.require(is_ip, "daemon", own, allowed);
        let port = u64::from(membership.peer_port);
        self.at_least_one("membership.peer_port", port);
        self.length_ms("membership.hello_interval_ms", membership.hello_interval_ms);
    }

    fn retries(&mut self, retries: &RetrySettings) {
        let ratio = retries.budget_ratio;
        let path = "retries.budget_ratio";
        self.require((0.0..=1.0).contains(&ratio), path, ratio, "0 to 1");
        self.length_ms("retries.window_ms", retries.window_ms);
        let quantile = retries.late_quantile;
        let path = "retries.late_quantile";
        self.require(
            (0.5..1.0).contains(&quantile),
            path,
            quantile,
            "0.5 to below 1",
        );
        for (path, factor) in [
            ("retries.late_factor", retries.late_factor),
            ("retries.expected_factor", retries.expected_factor),
        ] {
            self.require((1.0..=100.0).contains(&factor), path, factor, "1 to 100");
        }
    }

    fn peers(&mut self, own: &DaemonId, own_domain: &FailureDomain, peers: &[PeerAddress]) {
        let mut names: BTreeMap<&DaemonId, usize> = BTreeMap::new();
        let mut addresses: BTreeMap<Address, usize> = BTreeMap::new();
        for (index, peer) in peers.iter().enumerate() {
            self.peer(index, peer, own, own_domain);
            if let Some(first) = names.insert(&peer.daemon, index) {
                let path = format!("peers[{index}].daemon");
                let allowed = format!("a name other than that of peers[{first}]");
                self.require(false, &path, &peer.daemon, &allowed);
            }
            if let Some(first) = addresses.insert(peer.address, index) {
                let path = format!("peers[{index}].address");
                let allowed = format!("an address other than that of peers[{first}]");
                self.require(false, &path, peer.address, &allowed);
            }
        }
    }

    fn peer(
        &mut self,
        index: usize,
        peer: &PeerAddress,
        own: &DaemonId,
        own_domain: &FailureDomain,
    ) {
        let address_path = format!("peers[{index}].address");
        let reachable = peer.address.port() != 0 && !peer.address.ip().is_unspecified();
        self.require(
            reachable,
            &address_path,
            peer.address,
            "an address that can be dialled, with a port",
        );
        if peer.daemon == *own {
            let path = format!("peers[{index}].failure_domain");
            let allowed = format!("{own_domain}, as this daemon's failure_domain says");
            let holds = peer.failure_domain == *own_domain;
            self.require(holds, &path, &peer.failure_domain, &allowed);
        }
    }
}
