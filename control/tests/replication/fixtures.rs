//! Fixtures: control daemons, the links between them, and an operator's requests.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use cicadabend_testutils::{
    client::{
        self,
        Answer, //
    },
    fault_proxy::FaultProxy,
    ports::reserve_address,
    process::ManagedProcess,
    wait::eventually, //
};
use http::Method;
use serde_json::{
    Value,
    json, //
};
use tempfile::TempDir;

/// How long a test waits for anything that must happen.
pub const LIMIT: Duration = Duration::from_secs(20);
const ELECTION_TIMEOUT_MS: u64 = 500;
const HEARTBEAT_MS: u64 = 60;
/// The number of applied entries after which a daemon compacts its log; small, so that a test
/// compacts the log several times.
const COMPACT_AFTER_ENTRIES: u64 = 60;

#[derive(Clone, Copy)]
struct Addresses {
    peers: SocketAddr,
    operators: SocketAddr,
}

/// Control daemons that are connected by proxies.
pub struct Controls {
    folder: TempDir,
    addresses: Vec<Addresses>,
    links: BTreeMap<(usize, usize), FaultProxy>,
    pub processes: Vec<ManagedProcess>,
}

fn name(at: usize) -> String {
    format!("control-{}", at + 1)
}

impl Controls {
    /// Starts `count` daemons with empty disks.
    pub fn start(count: usize) -> Self {
        let address = || reserve_address().expect("loopback has a free port");
        let addresses = (0..count).map(|_| Addresses {
            peers: address(),
            operators: address(),
        });
        let mut controls = Self {
            folder: tempfile::tempdir().expect("a temporary folder can be made"),
            addresses: addresses.collect(),
            links: BTreeMap::new(),
            processes: Vec::new(),
        };
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let proxy = FaultProxy::start(controls.addresses[to].peers);
                let proxy = proxy.expect("a proxy starts");
                controls.links.insert((from, to), proxy);
            }
        }
        fs::write(controls.tokens(), "tester token\n").expect("tokens can be written");
        for at in 0..count {
            controls.write_settings(at);
            let process = controls.process(at);
            controls.processes.push(process);
        }
        controls
    }

    fn process(&self, at: usize) -> ManagedProcess {
        let settings = self.settings_path(at).display().to_string();
        let arguments = ["--config", settings.as_str()];
        ManagedProcess::start(
            &name(at),
            "cicadabend-control",
            &arguments,
            self.folder.path(),
        )
        .expect("the control daemon starts")
    }

    /// Starts a daemon that has ended again.
    pub fn start_again(&mut self, at: usize) {
        self.processes[at] = self.process(at);
    }

    /// Removes a daemon's data folder; the daemon must not be running.
    pub fn lose_disk(&self, at: usize) {
        fs::remove_dir_all(self.data_folder(at)).expect("the data folder can be removed");
    }

    /// Cuts one daemon off from the others, in both directions.
    pub fn cut_off(&mut self, at: usize) {
        for ((from, to), link) in &mut self.links {
            if *from == at || *to == at {
                link.cut();
            }
        }
    }

    /// Repairs all links.
    pub fn heal(&mut self) {
        for link in self.links.values_mut() {
            link.heal().expect("a proxy listens again");
        }
    }

    pub fn data_folder(&self, at: usize) -> PathBuf {
        self.folder.path().join(format!("{}-data", name(at)))
    }

    fn tokens(&self) -> PathBuf {
        self.folder.path().join("tokens")
    }

    fn settings_path(&self, at: usize) -> PathBuf {
        self.folder.path().join(format!("{}.json", name(at)))
    }

    fn write_settings(&self, at: usize) {
        let links = self.links.iter().filter(|((from, _), _)| *from == at);
        let peers: Vec<Value> = links
            .map(|((_, to), link)| {
                json!({
                    "daemon": name(*to),
                    "role": "control",
                    "failure_domain": "cumbaya",
                    "address": link.address(),
                })
            })
            .collect();
        let settings = json!({
            "cluster": "test",
            "daemon": name(at),
            "failure_domain": "cumbaya",
            "data_folder": self.data_folder(at),
            "operators": { "listen": self.addresses[at].operators, "token_file": self.tokens() },
            "peer_listen": self.addresses[at].peers,
            "peers": peers,
            "agreement": {
                "election_timeout_ms": ELECTION_TIMEOUT_MS,
                "heartbeat_ms": HEARTBEAT_MS,
                "compact_after_entries": COMPACT_AFTER_ENTRIES,
            },
        });
        fs::write(self.settings_path(at), settings.to_string()).expect("settings can be written");
    }

    /// Sends one operator's request to one daemon.
    pub fn send(&self, at: usize, method: Method, path: &str, body: &Value) -> Option<Answer> {
        let headers = [("authorization", "Bearer token")];
        let operators = self.addresses[at].operators;
        client::send(operators, method, path, &headers, body.to_string()).ok()
    }

    /// Sends a request to the daemons one by one; returns the first successful answer's JSON.
    fn send_to_any(
        &self,
        among: &[usize],
        method: &Method,
        path: &str,
        body: &Value,
    ) -> Option<Value> {
        among.iter().find_map(|at| {
            let answer = self.send(*at, method.clone(), path, body)?;
            answer.status.is_success().then(|| answer.json())
        })
    }

    /// Creates a plan at the leader among these daemons; waits until there is one.
    pub fn plan(&self, among: &[usize], weight: u64) -> Value {
        eventually("a plan", LIMIT, || {
            self.send_to_any(among, &Method::POST, "/v1/plans", &intent(weight))
        })
    }

    /// Confirms a plan; sends the request again with the same key until there is an answer.
    pub fn confirm(&self, among: &[usize], plan: &Value, key: &str) -> Value {
        let body = json!({"plan": plan["id"], "idempotency_key": key});
        eventually("a confirmation", LIMIT, || {
            self.send_to_any(among, &Method::POST, "/v1/confirm", &body)
        })
    }

    /// Creates and confirms a plan; returns the accepted revision.
    pub fn change(&self, among: &[usize], weight: u64) -> u64 {
        let plan = self.plan(among, weight);
        let reply = self.confirm(among, &plan, &format!("key-{weight}"));
        let revision = reply["accepted"]["revision"].as_u64();
        revision.unwrap_or_else(|| panic!("{reply}"))
    }

    /// Returns the accepted revision and the weight in it, as the leader returns them.
    pub fn accepted(&self, among: &[usize]) -> (u64, u64) {
        let config = eventually("the configuration", LIMIT, || {
            self.send_to_any(among, &Method::GET, "/v1/config", &Value::Null)
        });
        let weight = &config["config"]["teams"]["quality"]["weight"];
        let number = |value: &Value| value.as_u64().expect("a number");
        (number(&config["revision"]), number(weight))
    }

    /// Returns the index of the daemon that leads; waits until one does.
    pub fn leader(&self, among: &[usize]) -> usize {
        eventually("a leader", LIMIT, || {
            let mut among = among.iter().copied();
            among.find(|at| {
                let answer = self.send(*at, Method::GET, "/v1/config", &Value::Null);
                answer.is_some_and(|answer| answer.status.is_success())
            })
        })
    }
}

/// Returns an intent in which the team `quality` has this weight.
pub fn intent(weight: u64) -> Value {
    json!({
        "config": {"teams": {"quality": {
            "api_key_sha256": "00".repeat(32),
            "weight": weight,
            "requests_per_second": 100,
            "max_concurrent_requests": 10,
        }}},
        "operator": "",
        "reason": format!("weight {weight}"),
    })
}

impl Drop for Controls {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for process in &self.processes {
                eprintln!("{}:\n{}", process.name(), process.log_tail());
            }
        }
    }
}
