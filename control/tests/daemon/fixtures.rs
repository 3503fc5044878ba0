//! Fixtures: real control daemons, an operator's requests, and a stand-in for an entry daemon.

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    path::Path,
    process::{
        Child,
        Command, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use cicadabend::{
    peer_api::{
        DomainReport,
        PeerMessage, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    peers::{
        Incoming,
        PeerIdentity,
        Peers, //
    },
    ring::{
        self,
        Receiver, //
    },
    settings::{
        PeerAddress,
        PeerRole, //
    },
};
use cicadabend_testutils::ports::reserve_address;
use http::{
    Method,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tempfile::TempDir;

/// How long a test waits for a condition before it fails.
pub const DEADLINE: Duration = Duration::from_secs(20);
/// The maximum request size in the settings of the daemon under test.
pub const MAX_REQUEST_BYTES: usize = 64 * 1024;
/// The token of the operator `ana`.
pub const ANA: &str = "token-of-ana";
/// The token of the operator `bojan`.
pub const BOJAN: &str = "token-of-bojan";

fn free_address() -> SocketAddr {
    reserve_address().expect("loopback has a free port")
}

/// The failure domains of the control daemons, in the order of the daemons' numbers.
pub const DOMAINS: [&str; 3] = ["cumbaya", "carcelen", "sangolqui"];

/// One control daemon, its folder and its settings.
pub struct ControlDaemon {
    pub folder: TempDir,
    pub daemon: DaemonId,
    pub operators: SocketAddr,
    pub peer: PeerAddress,
    pub metrics: SocketAddr,
    child: Option<Child>,
}

impl ControlDaemon {
    /// Starts the only control daemon of a cluster.
    pub fn start(entries: &[PeerAddress]) -> Self {
        Self::start_cluster(1, entries).remove(0)
    }

    /// Starts a cluster of control daemons, one in each failure domain, and waits until one of
    /// them leads.
    pub fn start_cluster(count: usize, entries: &[PeerAddress]) -> Vec<Self> {
        let mut daemons: Vec<Self> = (0..count).map(Self::prepare).collect();
        let controls = daemons.iter().map(|daemon| daemon.peer.clone());
        let peers: Vec<PeerAddress> = controls.chain(entries.iter().cloned()).collect();
        for daemon in &mut daemons {
            daemon.write_settings(&peers);
            daemon.spawn();
        }
        wait_until("a leader", || daemons.iter().any(Self::leads));
        daemons
    }

    fn prepare(number: usize) -> Self {
        let name = format!("control-{}", number + 1);
        Self {
            folder: tempfile::tempdir().expect("a temporary folder can be made"),
            daemon: name.parse().expect("a valid name"),
            operators: free_address(),
            peer: peer_in(DOMAINS[number], &name, PeerRole::Control, free_address()),
            metrics: free_address(),
            child: None,
        }
    }

    /// Starts the daemon with its existing data folder.
    pub fn spawn(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_cicadabend-control"))
            .arg("--config")
            .arg(self.settings_path())
            .spawn()
            .expect("the control daemon starts");
        self.child = Some(child);
    }

    /// Starts the only daemon of a cluster again and waits until it leads.
    pub fn start_again(&mut self) {
        self.spawn();
        wait_until("the leader", || self.leads());
    }

    /// Returns whether the daemon answers operators, which only a leader does.
    pub fn leads(&self) -> bool {
        get(self.operators, "/v1/config").is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Returns whether the daemon has accepted this revision.
    pub fn knows_revision(&self, revision: u64) -> bool {
        let gauge = format!("\"accepted_revision\":{revision},");
        get(self.metrics, "/metrics").is_some_and(|answer| answer.contains(&gauge))
    }

    /// Kills the daemon, which simulates a crash.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("a running child can be killed");
            child.wait().expect("a killed child ends");
        }
    }

    /// Sends SIGTERM and returns the exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal_stop();
        self.wait_for_exit()
    }

    /// Sends SIGTERM.
    pub fn signal_stop(&self) {
        let child = self.child.as_ref().expect("the daemon runs");
        let signalled = Command::new("kill")
            .args(["-TERM", &child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(signalled.success());
    }

    /// Waits until the daemon ends and returns the exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        child.wait().expect("a terminated child ends").code()
    }

    pub fn settings_path(&self) -> std::path::PathBuf {
        self.folder.path().join("control.json")
    }

    /// Sends one request and returns the status and the JSON of the answer.
    pub async fn request(
        &self,
        token: &str,
        method: Method,
        path: &str,
        body: &str,
    ) -> (StatusCode, Value) {
        let (status, bytes) = request(self.operators, token, method, path, body).await;
        let value = serde_json::from_slice(&bytes).expect("every answer is JSON");
        (status, value)
    }

    /// Creates a plan and returns it.
    pub async fn plan(&self, token: &str, intent: &Value) -> Value {
        let body = intent.to_string();
        let (status, plan) = self.request(token, Method::POST, "/v1/plans", &body).await;
        assert_eq!(status, 200, "{plan}");
        plan
    }

    /// Confirms a plan and returns the answer.
    pub async fn confirm(&self, token: &str, plan: &Value, key: &str) -> Value {
        let body = serde_json::json!({"plan": plan["id"], "idempotency_key": key}).to_string();
        let (status, reply) = self
            .request(token, Method::POST, "/v1/confirm", &body)
            .await;
        assert_eq!(status, 200, "{reply}");
        reply
    }

    /// Creates and confirms a plan and returns the accepted revision.
    pub async fn change(&self, intent: &Value, key: &str) -> u64 {
        let plan = self.plan(ANA, intent).await;
        let reply = self.confirm(ANA, &plan, key).await;
        reply["accepted"]["revision"]
            .as_u64()
            .unwrap_or_else(|| panic!("{reply}"))
    }

    /// Returns the daemon's metrics.
    pub async fn metrics(&self) -> Value {
        let (_, body) = request(self.metrics, "", Method::GET, "/metrics", "").await;
        serde_json::from_slice(&body).expect("figures are JSON")
    }

    fn write_settings(&self, peers: &[PeerAddress]) {
        let tokens = self.folder.path().join("tokens");
        fs::write(&tokens, format!("ana {ANA}\nbojan {BOJAN}\n")).expect("tokens can be written");
        let settings = serde_json::json!({
            "cluster": "test",
            "daemon": self.daemon,
            "failure_domain": self.peer.failure_domain,
            "data_folder": path_text(&self.folder.path().join("data")),
            "operators": {
                "listen": self.operators,
                "token_file": path_text(&tokens),
                "max_request_bytes": MAX_REQUEST_BYTES,
            },
            "peer_listen": self.peer.address,
            "peers": peers,
            "metrics": {"listen": self.metrics},
        });
        fs::write(self.settings_path(), settings.to_string()).expect("settings can be written");
    }
}

impl Drop for ControlDaemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}

/// Returns the whole response to a GET request, or `None` if no response arrives.
fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\
         authorization: Bearer {ANA}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Sends one HTTP request and returns the status and the body.
pub async fn request(
    address: SocketAddr,
    token: &str,
    method: Method,
    path: &str,
    body: &str,
) -> (StatusCode, Bytes) {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("the listener takes connections");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("an HTTP/1.1 connection opens");
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "control")
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request is well formed");
    let answer = sender.send_request(request).await.expect("an answer comes");
    let status = answer.status();
    let body = answer.into_body().collect().await.expect("a whole answer");
    (status, body.to_bytes())
}

/// Waits for a condition; fails the test if the condition stays false until the deadline.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < DEADLINE, "{what} did not come about");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A stand-in for an entry daemon: sends and receives peer messages.
pub struct EntryPeer {
    pub address: PeerAddress,
    pub controls: Vec<DaemonId>,
    pub peers: Peers,
    pub inbox: Receiver<Incoming>,
}

impl EntryPeer {
    /// Listens on `address` and connects to the control daemons.
    pub fn start(address: &PeerAddress, controls: &[&ControlDaemon]) -> Self {
        let (sender, inbox) = ring::bounded("test-inbox", 1_024);
        let identity = PeerIdentity {
            cluster: "test".parse().expect("a valid name"),
            daemon: address.daemon.clone(),
            boot: BootId(1),
        };
        let peers: Vec<PeerAddress> = controls.iter().map(|it| it.peer.clone()).collect();
        let peers =
            Peers::start(address.address, identity, &peers, sender).expect("the peer listens");
        Self {
            address: address.clone(),
            controls: controls.iter().map(|it| it.daemon.clone()).collect(),
            peers,
            inbox,
        }
    }

    /// Sends a message to every control daemon.
    pub fn send(&self, message: &PeerMessage) {
        for control in &self.controls {
            self.peers.sender().send(control, message.clone());
        }
    }

    /// Sends a report as the leader of its failure domain.
    pub fn report(&self, applied: Revision, sequence: u64) {
        let report = DomainReport {
            failure_domain: self.address.failure_domain.clone(),
            leader: self.address.daemon.clone(),
            epoch: 1,
            sequence,
            applied,
            lagging: Default::default(),
            unreachable: Vec::new(),
            groups: Vec::new(),
            vms: Vec::new(),
            group_downtime_ms: 0,
            stranded_accelerator_ms: 0,
        };
        self.send(&PeerMessage::Report(report));
    }

    /// Waits for the next message.
    pub async fn next(&mut self) -> Incoming {
        tokio::time::timeout(DEADLINE, self.inbox.next())
            .await
            .expect("a message comes in time")
            .expect("the peers are open")
    }
}

/// Returns the settings' entry of an entry daemon in the first failure domain.
pub fn entry(daemon: &str) -> PeerAddress {
    entry_in(DOMAINS[0], daemon)
}

/// Returns the settings' entry of an entry daemon.
pub fn entry_in(failure_domain: &str, daemon: &str) -> PeerAddress {
    peer_in(failure_domain, daemon, PeerRole::Entry, free_address())
}

fn peer_in(failure_domain: &str, daemon: &str, role: PeerRole, address: SocketAddr) -> PeerAddress {
    PeerAddress {
        daemon: daemon.parse().expect("a valid name"),
        role,
        failure_domain: failure_domain.parse().expect("a valid name"),
        address,
    }
}

/// Returns an intent with one team of this weight.
pub fn intent(weight: u32) -> Value {
    serde_json::json!({
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
