//! A process of fake upstreams and a client, for this crate's tests.
#![expect(
    clippy::unwrap_used,
    dead_code,
    reason = "a fixture that cannot go on fails its test, and no test file uses all of it"
)]

use std::{
    collections::BTreeMap,
    io::{
        BufRead,
        BufReader,
        Write, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use fake_engine::run::RunReport;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor,
};
use serde_json::{
    Value,
    json, //
};

/// How long a condition may take to come true.
const PATIENCE: Duration = Duration::from_secs(20);

/// A running process; it is killed when this is dropped.
pub struct Upstreams {
    child: Child,
    addresses: BTreeMap<String, String>,
    _config: tempfile::NamedTempFile,
}

impl Upstreams {
    /// Starts a process with these VMs.
    pub fn start(vms: Vec<Value>) -> Self {
        let mut config = tempfile::NamedTempFile::new().unwrap();
        let count = vms.len();
        let settings = json!({ "vms": vms }).to_string();
        config.write_all(settings.as_bytes()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_fake-engine"))
            .arg("--config")
            .arg(config.path())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let mut addresses = BTreeMap::new();
        for line in output.lines().take(count) {
            let line: Value = serde_json::from_str(&line.unwrap()).unwrap();
            let text = |name: &str| line[name].as_str().unwrap().to_owned();
            addresses.insert(text("vm"), text("address"));
        }
        Self {
            child,
            addresses,
            _config: config,
        }
    }

    /// Returns the URL of a path on a VM.
    pub fn url(&self, vm: &str, path: &str) -> String {
        format!("http://{}{path}", self.addresses[vm])
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        Command::new("kill").arg(id).status().unwrap();
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Upstreams {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the settings of an engine that serves `drafting-llm` as one of these members.
pub fn member(vm: &str, members: &[&str], engine: Value) -> Value {
    let mut engine = engine;
    engine["initial_group"] = json!({
        "group": "g1", "service": "drafting-llm", "members": members,
    });
    upstream(vm, json!({ "engine": engine }))
}

/// Returns the settings of an upstream.
pub fn upstream(vm: &str, kind: Value) -> Value {
    json!({
        "vm": vm,
        "failure_domain": "cumbaya",
        "fabric_domain": "fabric-1",
        "listen": "127.0.0.1:0",
        "kind": kind,
    })
}

/// A client.
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Makes a client.
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        }
    }

    /// Sends a request with headers.
    pub async fn send(
        &self,
        method: &str,
        url: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        self.client.request(request.body(body).unwrap()).await
    }

    /// Sends a request and reads the answer as JSON.
    pub async fn json(&self, method: &str, url: &str, body: &Value) -> Value {
        let response = self.send(method, url, &[], body).await.unwrap();
        let bytes = response.into_body().collect().await.unwrap().to_bytes();
        serde_json::from_slice(&bytes).unwrap()
    }

    /// Starts a streamed chat completion.
    pub async fn chat(
        &self,
        upstreams: &Upstreams,
        vm: &str,
        request_id: &str,
        headers: &[(&str, &str)],
        max_tokens: u64,
    ) -> Response<Incoming> {
        let body = json!({
            "model": "drafting-llm",
            "messages": [{ "role": "user", "content": "three words here" }],
            "max_tokens": max_tokens,
            "stream": true,
        });
        let url = upstreams.url(vm, "/v1/chat/completions");
        let mut all = vec![("x-request-id", request_id)];
        all.extend(headers);
        self.send("POST", &url, &all, &body).await.unwrap()
    }

    /// Returns the account of a VM.
    pub async fn runs(&self, upstreams: &Upstreams, vm: &str) -> RunReport {
        let url = upstreams.url(vm, "/fake/runs");
        serde_json::from_value(self.json("GET", &url, &Value::Null).await).unwrap()
    }

    /// Waits until the account of a VM is as wanted.
    pub async fn wait_for_runs(
        &self,
        upstreams: &Upstreams,
        vm: &str,
        wanted: impl Fn(&RunReport) -> bool,
    ) -> RunReport {
        let start = Instant::now();
        loop {
            let report = self.runs(upstreams, vm).await;
            if wanted(&report) {
                return report;
            }
            assert!(start.elapsed() < PATIENCE, "never as wanted: {report:#?}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// An answer as far as it came.
#[derive(Debug, Default)]
pub struct Streamed {
    /// The positions.
    pub positions: Vec<u64>,
    /// The text.
    pub content: String,
    /// The ids of the generations.
    pub generations: Vec<String>,
    /// Whether it came to its end.
    pub done: bool,
    /// Whether the connection broke.
    pub broken: bool,
}

/// Reads a stream to its end, its break, or until it has this many positions.
pub async fn read(body: &mut Incoming, most: usize) -> Streamed {
    let mut streamed = Streamed::default();
    let mut text = String::new();
    while streamed.positions.len() < most {
        let Some(frame) = body.frame().await else {
            break;
        };
        let Ok(frame) = frame else {
            streamed.broken = true;
            break;
        };
        let data = frame.into_data().unwrap_or_default();
        text.push_str(std::str::from_utf8(&data).unwrap());
        while let Some((event, rest)) = text.split_once("\n\n") {
            take_event(&mut streamed, event);
            text = rest.to_owned();
        }
    }
    streamed
}

fn take_event(streamed: &mut Streamed, event: &str) {
    if event == "data: [DONE]" {
        streamed.done = true;
        return;
    }
    let (id, data) = event.split_once('\n').unwrap();
    let position = id.strip_prefix("id: ").unwrap().parse().unwrap();
    let chunk: Value = serde_json::from_str(data.strip_prefix("data: ").unwrap()).unwrap();
    streamed.positions.push(position);
    let content = chunk["choices"][0]["delta"]["content"].as_str().unwrap();
    streamed.content.push_str(content);
    streamed
        .generations
        .push(chunk["id"].as_str().unwrap().to_owned());
}
