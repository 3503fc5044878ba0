//! A real control daemon, an operator and an entry daemon's side of the protocol.

use std::{
    fs,
    net::{
        SocketAddr,
        TcpListener,
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

/// How long a test waits for anything that must happen.
pub const DEADLINE: Duration = Duration::from_secs(20);
/// The largest request that the daemon under test takes.
pub const MAX_REQUEST_BYTES: usize = 64 * 1024;
/// The token of the operator `ana`.
pub const ANA: &str = "token-of-ana";
/// The token of the operator `bojan`.
pub const BOJAN: &str = "token-of-bojan";

/// Returns an address on loopback that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener
        .local_addr()
        .expect("a bound listener has an address")
}

/// One control daemon of one voter, its folder and its settings.
pub struct ControlDaemon {
    pub folder: TempDir,
    pub operators: SocketAddr,
    pub peer_listen: SocketAddr,
    pub metrics: SocketAddr,
    child: Option<Child>,
}

impl ControlDaemon {
    /// Writes the settings and starts the daemon.
    pub fn start(entries: &[PeerAddress]) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let mut daemon = Self {
            folder,
            operators: free_address(),
            peer_listen: free_address(),
            metrics: free_address(),
            child: None,
        };
        daemon.write_settings(entries);
        daemon.start_again();
        daemon
    }

    /// Starts the daemon on its folder and waits until it takes operators' connections.
    pub fn start_again(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_cicadabend-control"))
            .arg("--config")
            .arg(self.settings_path())
            .spawn()
            .expect("the control daemon starts");
        self.child = Some(child);
        let address = self.operators;
        wait_until("the operators' listener", || {
            TcpStream::connect(address).is_ok()
        });
    }

    /// Ends the daemon at once, as a crash does.
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

    /// Waits for the daemon's end and returns the exit code.
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

    /// Makes a plan and returns it.
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

    /// Makes a plan, confirms it and returns the accepted revision.
    pub async fn change(&self, intent: &Value, key: &str) -> u64 {
        let plan = self.plan(ANA, intent).await;
        let reply = self.confirm(ANA, &plan, key).await;
        reply["accepted"]["revision"]
            .as_u64()
            .unwrap_or_else(|| panic!("{reply}"))
    }

    /// Returns the daemon's figures.
    pub async fn figures(&self) -> Value {
        let (_, body) = request(self.metrics, "", Method::GET, "/metrics", "").await;
        serde_json::from_slice(&body).expect("figures are JSON")
    }

    fn write_settings(&self, entries: &[PeerAddress]) {
        let tokens = self.folder.path().join("tokens");
        fs::write(&tokens, format!("ana {ANA}\nbojan {BOJAN}\n")).expect("tokens can be written");
        let settings = serde_json::json!({
            "cluster": "test",
            "daemon": "control-1",
            "failure_domain": "cumbaya",
            "data_folder": path_text(&self.folder.path().join("data")),
            "operators": {
                "listen": self.operators,
                "token_file": path_text(&tokens),
                "max_request_bytes": MAX_REQUEST_BYTES,
            },
            "peer_listen": self.peer_listen,
            "peers": entries,
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

/// Waits for a condition and fails the test if it does not come about.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < DEADLINE, "{what} did not come about");
        thread::sleep(Duration::from_millis(10));
    }
}

/// The entry daemon's side of the protocol, without the entry daemon.
pub struct EntryPeer {
    pub peers: Peers,
    pub inbox: Receiver<Incoming>,
}

impl EntryPeer {
    /// Listens as `address` says and dials the control daemon.
    pub fn start(address: &PeerAddress, control: SocketAddr) -> Self {
        let (sender, inbox) = ring::bounded("test-inbox", 1_024);
        let identity = PeerIdentity {
            cluster: "test".parse().expect("a valid name"),
            daemon: address.daemon.clone(),
            boot: BootId(1),
        };
        let control = peer("control-1", PeerRole::Control, control);
        let peers = Peers::start(address.address, identity, &[control], sender)
            .expect("the entry peer listens");
        Self { peers, inbox }
    }

    /// Reports as the leader of its failure domain.
    pub fn report(&self, applied: Revision, sequence: u64) {
        let sender = self.peers.sender();
        let report = DomainReport {
            failure_domain: "cumbaya".parse().expect("a valid name"),
            leader: sender.identity().daemon.clone(),
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
        sender.send(&control_1(), PeerMessage::Report(report));
    }

    /// Waits for the next message.
    pub async fn next(&mut self) -> Incoming {
        tokio::time::timeout(DEADLINE, self.inbox.next())
            .await
            .expect("a message comes in time")
            .expect("the peers are open")
    }
}

/// Returns a peer's entry for the settings.
pub fn peer(daemon: &str, role: PeerRole, address: SocketAddr) -> PeerAddress {
    PeerAddress {
        daemon: daemon.parse().expect("a valid name"),
        role,
        failure_domain: "cumbaya".parse().expect("a valid name"),
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

/// Returns the name of the control daemon under test.
pub fn control_1() -> DaemonId {
    "control-1".parse().expect("a valid name")
}
