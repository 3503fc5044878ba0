//! The settings files of a deployment's processes.

use std::{
    fs,
    io, //
};

use serde_json::{
    Value,
    json, //
};

use super::{
    Deployment,
    shape::{
        OPERATOR_TOKEN,
        PLAIN_SERVICE, //
    },
};

/// Short enough for quick tests, long enough for a busy machine.
const ELECTION_TIMEOUT_MS: u64 = 600;
const LEADER_LEASE_MS: u64 = 900;
const HEARTBEAT_MS: u64 = 100;
const ANNOUNCE_INTERVAL_MS: u64 = 100;
const UPSTREAM_LEASE_MS: u64 = 800;

impl Deployment {
    /// Writes one settings file for each process, and the operators' token file.
    pub(super) fn write_files(&self) -> io::Result<()> {
        fs::write(self.token_file(), format!("tester {OPERATOR_TOKEN}\n"))?;
        fs::write(self.folder().join("operator-token"), OPERATOR_TOKEN)?;
        for name in self.shape.control_names() {
            self.write(&name, &self.control_settings(&name))?;
        }
        for name in self.shape.entry_names() {
            self.write(&name, &self.entry_settings(&name))?;
        }
        for name in self.shape.engine_names() {
            self.write(&name, &self.vm_settings(&name, &self.engine_kind()))?;
        }
        for name in self.shape.plain_names() {
            let kind = json!({ "plain": { "service": PLAIN_SERVICE } });
            self.write(&name, &self.vm_settings(&name, &kind))?;
        }
        Ok(())
    }

    fn token_file(&self) -> String {
        let path = self.folder().join("operator-tokens");
        path.to_string_lossy().into_owned()
    }

    fn write(&self, name: &str, settings: &Value) -> io::Result<()> {
        let text = serde_json::to_string_pretty(settings)?;
        fs::write(self.folder().join(format!("{name}.json")), text)
    }

    fn peers_of(&self, name: &str) -> Vec<Value> {
        let others = self.shape.daemon_names().into_iter();
        let others = others.filter(|other| other != name);
        others
            .map(|other| {
                let link = &self.peer_links[&(name.to_owned(), other.clone())];
                let role = if self.shape.is_control(&other) {
                    "control"
                } else {
                    "entry"
                };
                json!({
                    "daemon": other,
                    "role": role,
                    "failure_domain": self.shape.domain_of(&other),
                    "address": link.address(),
                })
            })
            .collect()
    }

    fn control_settings(&self, name: &str) -> Value {
        let addresses = self.addresses[name];
        json!({
            "cluster": "test",
            "daemon": name,
            "failure_domain": self.shape.domain_of(name),
            "data_folder": self.folder().join(format!("{name}-data")),
            "operators": { "listen": addresses.http, "token_file": self.token_file() },
            "peer_listen": addresses.peers,
            "peers": self.peers_of(name),
            "agreement": {
                "election_timeout_ms": ELECTION_TIMEOUT_MS,
                "heartbeat_ms": HEARTBEAT_MS,
            },
            "metrics": { "listen": addresses.metrics },
        })
    }

    fn entry_settings(&self, name: &str) -> Value {
        let addresses = self.addresses[name];
        json!({
            "cluster": "test",
            "daemon": name,
            "failure_domain": self.shape.domain_of(name),
            "callers": {
                "listen": addresses.http,
                "drain_notice_ms": 300,
                "drain_timeout_ms": 20_000,
            },
            "upstreams": {
                "listen": addresses.upstreams,
                "announce_interval_ms": ANNOUNCE_INTERVAL_MS,
                "lease_ms": UPSTREAM_LEASE_MS,
            },
            "peer_listen": addresses.peers,
            "peers": self.peers_of(name),
            "domain": {
                "leader_lease_ms": LEADER_LEASE_MS,
                "heartbeat_ms": HEARTBEAT_MS,
                "settle_ms": 300,
            },
            "metrics": { "listen": addresses.metrics },
        })
    }

    fn engine_kind(&self) -> Value {
        json!({ "engine": {
            "accelerators": 8,
            "checks_tokens": self.shape.engines_check_tokens,
            "weight_load_ms": self.shape.weight_load_ms,
            "token_interval_us": self.shape.token_interval_us,
        } })
    }

    fn vm_settings(&self, name: &str, kind: &Value) -> Value {
        let domain = self.shape.domain_of(name);
        let entries = self.shape.entries_of(domain).into_iter();
        let announce_to: Vec<_> = entries
            .map(|entry| self.announce_links[&entry].address())
            .collect();
        let peers: serde_json::Map<_, _> = self
            .vm_addresses
            .iter()
            .map(|(vm, address)| (vm.clone(), json!(address)))
            .collect();
        json!({
            "vms": [{
                "vm": name,
                "failure_domain": domain,
                "fabric_domain": format!("{domain}-fabric-1"),
                "listen": self.vm_addresses[name],
                "advertise": self.vm_links[name].address(),
                "announce_to": announce_to,
                "announce_interval_ms": ANNOUNCE_INTERVAL_MS,
                "leave_notice_ms": 300,
                "slots": 8,
                "kind": kind,
            }],
            "peers": peers,
        })
    }
}
