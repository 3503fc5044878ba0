//! A cluster of real processes on loopback, without anything between them.
//!
//! The fixtures of the tests put a fault-injecting proxy into each path, which a
//! measurement must not have; so the benchmarks lay out their own.

use std::{
    collections::BTreeMap,
    fs,
    io,
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use cicadabend::{
    fleet::{
        FleetConfig,
        ModelService,
        PlainService,
        RecoverySettings,
        RoutingArm,
        RoutingPolicy,
        Service,
        Team, //
    },
    ids::IdError,
    operator_api::{
        ConfirmReply,
        FleetStatus, //
    },
    prelude::*,
};
use cicadabend_testutils::{
    operator::Operator,
    ports::reserve_address,
    process::ManagedProcess,
    wait::eventually, //
};
use displaydoc::Display;
use serde_json::{
    Value,
    json, //
};
use sha2::{
    Digest,
    Sha256, //
};
use tempfile::TempDir;
use thiserror::Error;

use super::process_stats::Listeners;
use crate::workload::{
    Deployment,
    Workload, //
};

/// How long one step of the set-up may take.
const STEP_LIMIT: Duration = Duration::from_secs(60);
/// The token of the operator.
const OPERATOR_TOKEN: &str = "bench-operator";
/// Control daemons unless a part says otherwise.
const DEFAULT_CONTROLS: usize = 3;
/// How many VMs one process of fake upstreams plays.
const VMS_PER_PROCESS: usize = 16;

/// Why a cluster cannot be measured.
#[derive(Debug, Display, Error)]
pub enum ClusterError {
    /// files or processes: {0}
    Io(#[from] io::Error),
    /// a name is not valid: {0}
    Name(#[from] IdError),
    /// settings: {0}
    Json(#[from] serde_json::Error),
    /// the plan was refused: {0}
    Refused(String),
}

/// How many of what a cluster has.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The deployment whose names are used.
    pub deployment: Deployment,
    /// How many of its failure domains.
    pub domains: usize,
    /// Control daemons, one in each failure domain.
    pub controls: usize,
    /// Entry daemons in each failure domain.
    pub entries_per_domain: usize,
    /// Engine VMs in each failure domain.
    pub engines_per_domain: usize,
    /// VMs of one group.
    pub vms_per_group: u32,
    /// VMs with the plain service in each failure domain.
    pub plain_per_domain: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Time between two tokens of a request that runs alone.
    pub token_interval_us: u64,
    /// By how much each further request of a batch lengthens it.
    pub batch_slowdown_percent: u64,
    /// Prefill time of one token.
    pub prefill_us_per_token: u64,
    /// How old the load is that engines report.
    pub report_lag_ms: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            deployment: Deployment::Auditorias,
            domains: 3,
            controls: DEFAULT_CONTROLS,
            entries_per_domain: 1,
            engines_per_domain: 6,
            vms_per_group: 1,
            plain_per_domain: 1,
            slots: 16,
            token_interval_us: 5_000,
            batch_slowdown_percent: 3,
            prefill_us_per_token: 20,
            report_lag_ms: 0,
        }
    }
}

/// Addresses of one daemon.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    peers: SocketAddr,
    http: SocketAddr,
    upstreams: SocketAddr,
    metrics: SocketAddr,
}

/// A running cluster; its processes are killed when it is dropped.
pub struct Cluster {
    shape: Shape,
    folder: TempDir,
    daemons: BTreeMap<String, Addresses>,
    vms: BTreeMap<String, SocketAddr>,
    processes: BTreeMap<String, ManagedProcess>,
    confirmations: u32,
}

impl Cluster {
    /// Starts all processes, puts a configuration in force and waits until all groups serve.
    ///
    /// # Errors
    ///
    /// Returns an error if a file, port or process cannot be had.
    ///
    /// # Panics
    ///
    /// Panics if the cluster does not serve within a minute.
    pub fn start(shape: Shape, policy: RoutingPolicy) -> Result<Self, ClusterError> {
        let mut cluster = Self {
            folder: tempfile::tempdir()?,
            shape,
            daemons: BTreeMap::new(),
            vms: BTreeMap::new(),
            processes: BTreeMap::new(),
            confirmations: 0,
        };
        cluster.lay_out()?;
        cluster.start_processes()?;
        cluster.put_in_force(cluster.config(policy)?)?;
        cluster.wait_until_serving();
        Ok(cluster)
    }

    /// Returns the shape.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Returns where callers reach the entry daemons.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let names = self.entry_names().into_iter();
        names.map(|name| self.daemons[&name].http).collect()
    }

    /// Returns where the upstreams are.
    pub fn upstreams(&self) -> Vec<SocketAddr> {
        self.vms.values().copied().collect()
    }

    /// Returns the names of the entry daemons.
    pub fn entry_names(&self) -> Vec<String> {
        self.names("entry", self.shape.entries_per_domain)
    }

    /// Returns the process id of a daemon.
    pub fn process_id(&self, daemon: &str) -> Option<u32> {
        self.processes.get(daemon).map(ManagedProcess::id)
    }

    /// Returns which connections of a daemon are to peers and which to upstreams.
    pub fn listeners(&self, daemon: &str) -> Listeners {
        Listeners {
            peers: self
                .daemons
                .values()
                .map(|addresses| addresses.peers)
                .collect(),
            announcements: self
                .daemons
                .get(daemon)
                .map(|addresses| addresses.upstreams),
        }
    }

    /// Returns an operator that asks all control daemons.
    pub fn operator(&self) -> Operator {
        let names = self.control_names().into_iter();
        let addresses = names.map(|name| self.daemons[&name].http).collect();
        Operator::new(addresses, OPERATOR_TOKEN)
    }

    /// Plans and confirms a configuration; returns the revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan is refused.
    pub fn put_in_force(&mut self, config: FleetConfig) -> Result<Revision, ClusterError> {
        self.confirmations += 1;
        let key = format!("bench-{}", self.confirmations);
        let plan = self.operator().plan(config);
        match self.operator().confirm(plan.id, &key) {
            ConfirmReply::Accepted { revision } => Ok(revision),
            refused => Err(ClusterError::Refused(format!("{refused:?}"))),
        }
    }

    /// Waits until every daemon has applied a revision; returns the status.
    ///
    /// # Panics
    ///
    /// Panics if it is not in force within a minute.
    pub fn wait_until_in_force(&self, revision: Revision) -> FleetStatus {
        eventually(&format!("{revision} is in force"), STEP_LIMIT, || {
            let status = self.operator().status()?;
            (status.in_force && status.revision >= revision).then_some(status)
        })
    }

    /// Returns the configuration that the shape is made for.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not valid.
    pub fn config(&self, policy: RoutingPolicy) -> Result<FleetConfig, ClusterError> {
        let workload = self.shape.deployment.workload()?;
        let routing = vec![RoutingArm {
            policy,
            share_percent: Percent(100),
        }];
        let mut groups = BTreeMap::new();
        for domain in self.domain_names() {
            groups.insert(domain.parse()?, self.groups_per_domain());
        }
        let model = ModelService {
            model: "weights".parse()?,
            version: "1".to_owned(),
            adapters: Vec::new(),
            vms_per_group: self.shape.vms_per_group,
            groups_by_failure_domain: groups,
            spare_vms_by_failure_domain: BTreeMap::new(),
            may_span_fabric_domains: false,
            routing: routing.clone(),
        };
        let plain = PlainService {
            routing,
            unsafe_methods_are_repeatable: false,
        };
        Ok(FleetConfig {
            services: [
                (workload.model.clone(), Service::Model(model)),
                (workload.plain_service.clone(), Service::Plain(plain)),
            ]
            .into(),
            teams: teams(&workload),
            recovery: RecoverySettings {
                weight_load_ms: 100,
                expected_return_ms: 2_000,
                ..RecoverySettings::default()
            },
            ..FleetConfig::default()
        })
    }

    /// Ends all processes gracefully; those that do not end are killed.
    pub fn stop(mut self) {
        for process in self.processes.values() {
            process.terminate();
        }
        for process in self.processes.values_mut() {
            let _ = process.wait_for_exit(Duration::from_secs(10));
        }
    }

    fn groups_per_domain(&self) -> u32 {
        let engines = u32::try_from(self.shape.engines_per_domain).unwrap_or(u32::MAX);
        engines / self.shape.vms_per_group.max(1)
    }

    fn domain_names(&self) -> Vec<&'static str> {
        let mut names = self.shape.deployment.failure_domains().to_vec();
        names.truncate(self.shape.domains);
        names
    }

    fn names(&self, kind: &str, count: usize) -> Vec<String> {
        let each = |domain: &str| {
            let domain = domain.to_owned();
            (1..=count).map(move |number| format!("{domain}.{kind}-{number}"))
        };
        self.domain_names().into_iter().flat_map(each).collect()
    }

    fn control_names(&self) -> Vec<String> {
        let mut names = self.names("control", 1);
        names.truncate(self.shape.controls);
        names
    }

    fn lay_out(&mut self) -> Result<(), ClusterError> {
        for name in [self.control_names(), self.entry_names()].concat() {
            let addresses = Addresses {
                peers: reserve_address()?,
                http: reserve_address()?,
                upstreams: reserve_address()?,
                metrics: reserve_address()?,
            };
            self.daemons.insert(name, addresses);
        }
        let engines = self.names("engine", self.shape.engines_per_domain);
        let plain = self.names("plain", self.shape.plain_per_domain);
        for name in [engines, plain].concat() {
            self.vms.insert(name, reserve_address()?);
        }
        Ok(())
    }

    fn start_processes(&mut self) -> Result<(), ClusterError> {
        let tokens = format!("bench {OPERATOR_TOKEN}\n");
        fs::write(self.folder.path().join("tokens"), tokens)?;
        for name in self.control_names() {
            self.start_one(&name, "cicadabend-control", &self.control_settings(&name))?;
        }
        for name in self.entry_names() {
            self.start_one(&name, "cicadabend-entry", &self.entry_settings(&name))?;
        }
        let vms: Vec<_> = self.vms.keys().cloned().collect();
        for (number, names) in vms.chunks(VMS_PER_PROCESS).enumerate() {
            let settings: Vec<_> = names.iter().map(|name| self.vm_settings(name)).collect();
            let process = format!("upstreams-{number}");
            self.start_one(&process, "fake-engine", &json!({ "vms": settings }))?;
        }
        Ok(())
    }

    fn start_one(
        &mut self,
        name: &str,
        binary: &str,
        settings: &Value,
    ) -> Result<(), ClusterError> {
        let folder = self.folder.path().to_owned();
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, serde_json::to_vec(settings)?)?;
        let file = file.to_string_lossy();
        let process = ManagedProcess::start(name, binary, &["--config", &file], &folder)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn wait_until_serving(&self) {
        let wanted = self.domain_names().len() * self.groups_per_domain() as usize;
        eventually("all groups serve", STEP_LIMIT, || {
            let status = self.operator().status()?;
            let domains = status.domains.iter();
            let groups = domains.flat_map(|domain| &domain.report.groups);
            let serving = groups.filter(|group| group.state == "serving").count();
            (serving == wanted).then_some(())
        });
        for entry in self.entries() {
            eventually("an entry daemon is ready", STEP_LIMIT, || {
                let path = cicadabend::caller_api::PATH_READY;
                let method = http::Method::GET;
                let answer = cicadabend_testutils::client::send(entry, method, path, &[], "");
                answer.ok()?.status.is_success().then_some(())
            });
        }
    }

    fn peers_of(&self, name: &str) -> Vec<Value> {
        let others = self.daemons.iter().filter(|(other, _)| *other != name);
        let peer = |(other, addresses): (&String, &Addresses)| {
            let role = match other.contains(".control-") {
                true => "control",
                false => "entry",
            };
            json!({
                "daemon": other,
                "role": role,
                "failure_domain": domain_of(other),
                "address": addresses.peers,
            })
        };
        others.map(peer).collect()
    }

    fn control_settings(&self, name: &str) -> Value {
        let addresses = self.daemons[name];
        json!({
            "cluster": "bench",
            "daemon": name,
            "failure_domain": domain_of(name),
            "data_folder": self.path(&format!("{name}-data")),
            "operators": { "listen": addresses.http, "token_file": self.path("tokens") },
            "peer_listen": addresses.peers,
            "peers": self.peers_of(name),
            "metrics": { "listen": addresses.metrics },
        })
    }

    fn entry_settings(&self, name: &str) -> Value {
        let addresses = self.daemons[name];
        json!({
            "cluster": "bench",
            "daemon": name,
            "failure_domain": domain_of(name),
            "callers": { "listen": addresses.http, "drain_notice_ms": 100 },
            "upstreams": { "listen": addresses.upstreams },
            "peer_listen": addresses.peers,
            "peers": self.peers_of(name),
            "metrics": { "listen": addresses.metrics },
        })
    }

    fn vm_settings(&self, name: &str) -> Value {
        let domain = domain_of(name);
        let entries = self.entry_names().into_iter();
        let own = entries.filter(|entry| domain_of(entry) == domain);
        let announce_to: Vec<_> = own.map(|entry| self.daemons[&entry].upstreams).collect();
        let kind = match name.contains(".plain-") {
            true => json!({ "plain": { "service": self.shape.deployment.plain_service() } }),
            false => json!({ "engine": {
                "weight_load_ms": 100,
                "token_interval_us": self.shape.token_interval_us,
                "batch_slowdown_percent": self.shape.batch_slowdown_percent,
                "prefill_us_per_token": self.shape.prefill_us_per_token,
            } }),
        };
        json!({
            "vm": name,
            "failure_domain": domain,
            "fabric_domain": format!("{domain}.fabric"),
            "listen": self.vms[name],
            "announce_to": announce_to,
            "announce_interval_ms": 500,
            "report_lag_ms": self.shape.report_lag_ms,
            "leave_notice_ms": 100,
            "slots": self.shape.slots,
            "kind": kind,
        })
    }

    fn path(&self, name: &str) -> String {
        path_text(&self.folder.path().join(name))
    }
}

fn path_text(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}

fn domain_of(name: &str) -> &str {
    name.split('.').next().unwrap_or(name)
}

fn teams(workload: &Workload) -> BTreeMap<TeamName, Team> {
    let team = |load: &crate::workload::TeamLoad| {
        let digest = Sha256::digest(load.api_key.as_bytes());
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let team = Team {
            api_key_sha256: hex,
            weight: load.weight,
            requests_per_second: RatePerSecond(100_000),
            max_concurrent_requests: 100_000,
        };
        (load.name.clone(), team)
    };
    workload.teams.iter().map(team).collect()
}
