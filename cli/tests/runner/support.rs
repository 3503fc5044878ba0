//! A fake control daemon, and functions that run the command against it.

use std::{
    collections::VecDeque,
    convert::Infallible,
    net::{
        SocketAddr,
        TcpListener as StdListener, //
    },
    path::PathBuf,
    sync::{
        Arc,
        Mutex,
        mpsc, //
    },
    thread,
};

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode,
    header::AUTHORIZATION, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::Value;
use tempfile::TempDir;
use tokio::net::TcpListener;

pub const TOKEN: &str = "secret-of-ana";

/// The fake daemon's reaction to one request.
pub enum Step {
    Answer(StatusCode, Value),
    /// Reads the request and closes the connection without an answer.
    LoseAnswer,
}

impl Step {
    pub fn ok(body: impl Serialize) -> Self {
        Self::Answer(StatusCode::OK, serde_json::to_value(body).unwrap())
    }

    pub fn refuse(status: StatusCode, error: impl Serialize) -> Self {
        Self::Answer(status, serde_json::to_value(error).unwrap())
    }
}

/// One request that the fake daemon received.
#[derive(Clone, Debug)]
pub struct Received {
    pub path: String,
    pub authorization: String,
    pub body: Value,
}

/// A fake control daemon, which takes one step for each request and then repeats the last step.
pub struct FakeControl {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    steps: Arc<Mutex<VecDeque<Step>>>,
}

impl FakeControl {
    pub fn start(steps: Vec<Step>) -> Self {
        let received = Arc::default();
        let steps = Arc::new(Mutex::new(VecDeque::from(steps)));
        let (address_sender, address) = mpsc::channel();
        let script = Script {
            steps: Arc::clone(&steps),
            received: Arc::clone(&received),
        };
        thread::spawn(move || {
            tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap()
                .block_on(async {
                    let listener = StdListener::bind("127.0.0.1:0").unwrap();
                    listener.set_nonblocking(true).unwrap();
                    address_sender.send(listener.local_addr().unwrap()).unwrap();
                    script
                        .accept(TcpListener::from_std(listener).unwrap())
                        .await;
                });
        });
        Self {
            address: address.recv().unwrap(),
            received,
            steps,
        }
    }

    /// Answers all further requests with this step.
    pub fn set_step(&self, step: Step) {
        *self.steps.lock().unwrap() = VecDeque::from([step]);
    }

    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

#[derive(Clone)]
struct Script {
    steps: Arc<Mutex<VecDeque<Step>>>,
    received: Arc<Mutex<Vec<Received>>>,
}

impl Script {
    async fn accept(&self, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let script = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| script.handle(request));
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, LostAnswer> {
        let path = request.uri().path().to_owned();
        let authorization = request.headers()[AUTHORIZATION]
            .to_str()
            .unwrap()
            .to_owned();
        let body = request.into_body().collect().await.unwrap().to_bytes();
        self.received.lock().unwrap().push(Received {
            path,
            authorization,
            body: serde_json::from_slice(&body).unwrap_or_default(),
        });
        match self.next() {
            Step::LoseAnswer => Err(LostAnswer),
            Step::Answer(status, body) => {
                let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
                *response.status_mut() = status;
                Ok(response)
            }
        }
    }

    fn next(&self) -> Step {
        let mut steps = self.steps.lock().unwrap();
        match steps.len() {
            0 => Step::LoseAnswer,
            1 => match &steps[0] {
                Step::Answer(status, body) => Step::Answer(*status, body.clone()),
                Step::LoseAnswer => Step::LoseAnswer,
            },
            _ => steps.pop_front().unwrap(),
        }
    }
}

#[derive(Debug)]
struct LostAnswer;

impl std::fmt::Display for LostAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is lost on purpose")
    }
}

impl std::error::Error for LostAnswer {}

impl From<Infallible> for LostAnswer {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The command's output and exit code.
#[derive(Debug, Eq, PartialEq)]
pub struct Seen {
    pub stdout: String,
    pub stderr: String,
    pub code: u8,
}

/// A folder with a client settings file and a token, as an operator has it.
pub struct Operator {
    folder: TempDir,
}

impl Operator {
    pub fn with_control(control: &[SocketAddr]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let token_file = folder.path().join("token.txt");
        std::fs::write(&token_file, format!("{TOKEN}\n")).unwrap();
        let settings = serde_json::json!({
            "control": control,
            "token_file": token_file,
            "operator": "ana",
            "timeout_ms": 700,
        });
        std::fs::write(folder.path().join("client.json"), settings.to_string()).unwrap();
        Self { folder }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    pub fn run(&self, arguments: &[&str]) -> Seen {
        let config = self.path("client.json");
        let mut all = vec!["--config", config.to_str().unwrap()];
        all.extend(arguments);
        run(&all)
    }
}

/// Runs the command as the binary does.
pub fn run(arguments: &[&str]) -> Seen {
    let mut stdout = Vec::new();
    let mut stderr = Vec::new();
    let all = ["cicadabend"].iter().chain(arguments).map(Into::into);
    let code = cicadabend_cli::run(all, &mut stdout, &mut stderr);
    Seen {
        stdout: String::from_utf8(stdout).unwrap(),
        stderr: String::from_utf8(stderr).unwrap(),
        code,
    }
}
