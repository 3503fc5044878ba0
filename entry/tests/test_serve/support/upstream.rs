//! An upstream that follows a script on its socket, so that a test decides on every byte.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        mpsc, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// What stands for an endless number of bytes, so that a test that fails takes no more memory.
const ENDLESS_BYTES: usize = 256 * 1024 * 1024;

/// One action of the upstream on a connection.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes these bytes.
    Send(Vec<u8>),
    /// Writes these bytes again and again until the connection ends or [`ENDLESS_BYTES`] are written,
    /// and counts those that it has written.
    SendOn(Vec<u8>, Arc<AtomicUsize>),
    /// Does nothing for this time, in milliseconds.
    PauseMs(u64),
    /// Closes the connection.
    Close,
    /// Waits until the entry daemon closes the connection.
    AwaitClose,
}

impl Step {
    pub fn send(text: &str) -> Step {
        Step::Send(text.as_bytes().to_vec())
    }

    /// Returns a complete response with this body.
    pub fn whole(status: &str, body: &str) -> Step {
        let length = body.len();
        Step::send(&format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
    }

    /// Returns a complete response with this body, in chunks and without `content-length`.
    pub fn chunked(status: &str, body: &str) -> Step {
        let length = body.len();
        Step::send(&format!(
            "HTTP/1.1 {status}\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
        ))
    }

    /// Returns the status line and headers of an event stream.
    pub fn stream_head() -> Step {
        Step::send(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n",
        )
    }

    /// Returns one chunk with this text.
    pub fn chunk(text: &str) -> Step {
        Step::send(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    /// Returns one event of the generation `gen-1` at a stream position.
    pub fn event(position: u64, token: &str) -> Step {
        Step::event_of("gen-1", position, token)
    }

    /// Returns one event of a generation at a stream position.
    pub fn event_of(generation: &str, position: u64, token: &str) -> Step {
        Step::chunk(&format!(
            "id: {position}\ndata: {{\"id\":\"{generation}\",\"token\":\"{token}\"}}\n\n"
        ))
    }

    /// Returns one event that names the request which it answers.
    pub fn event_for(request: &str, position: u64, token: &str) -> Step {
        Step::chunk(&format!(
            "id: {position}\ndata: {{\"request_id\":\"{request}\",\"token\":\"{token}\"}}\n\n"
        ))
    }

    /// Returns the response of an engine that did not start the request.
    pub fn not_started(status: &str) -> Step {
        Step::send(&format!(
            "HTTP/1.1 {status}\r\nx-cicadabend-not-started: true\r\ncontent-length: 0\r\n\r\n"
        ))
    }

    /// Returns the last event and the end of the stream.
    pub fn done() -> Vec<Step> {
        vec![Step::chunk("data: [DONE]\n\n"), Step::last_chunk()]
    }

    pub fn last_chunk() -> Step {
        Step::send("0\r\n\r\n")
    }
}

/// A request as the upstream received it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}:");
        let line = |l: &&str| l.to_ascii_lowercase().starts_with(&prefix);
        let line = self.head.lines().find(line)?;
        Some(line[prefix.len()..].trim().to_owned())
    }

    pub fn is_cancel(&self) -> bool {
        self.head.starts_with("POST /cicadabend/v1/cancel/")
    }
}

type Script = dyn Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync;

/// The upstream; it answers cancel requests without the script, and records them separately.
pub struct ScriptedUpstream {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    cancels: Arc<Mutex<Vec<ReceivedRequest>>>,
    closed: mpsc::Receiver<()>,
}

struct Shared {
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    cancels: Arc<Mutex<Vec<ReceivedRequest>>>,
    script: Box<Script>,
    /// What follows a cancel request.
    cancel_answer: Vec<Step>,
}

impl ScriptedUpstream {
    /// Starts an upstream; the script gets each request with its number, from zero.
    pub fn start(
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        Self::start_answering_cancels(vec![Step::whole("200 OK", "")], script)
    }

    /// Does the same with an answer of its own to cancel requests.
    pub fn start_answering_cancels(
        cancel_answer: Vec<Step>,
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let cancels = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::new(Shared {
            requests: Arc::clone(&requests),
            cancels: Arc::clone(&cancels),
            script: Box::new(script),
            cancel_answer,
        });
        let (closing, closed) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                let closing = closing.clone();
                thread::spawn(move || {
                    serve_connection(stream, &shared);
                    let _ = closing.send(());
                });
            }
        });
        Self {
            address,
            requests,
            cancels,
            closed,
        }
    }

    /// Starts an upstream that reads `bytes` bytes of each connection and then closes it.
    ///
    /// Returns its address, and the number of connections that it has closed.
    pub fn closing_after(bytes: usize) -> (SocketAddr, Arc<AtomicUsize>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let closed = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&closed);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let _ = stream.read_exact(&mut vec![0; bytes]);
                count.fetch_add(1, Ordering::SeqCst);
            }
        });
        (address, closed)
    }

    /// Returns the complete requests that were received, without cancel requests.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Waits for the first cancel request, and returns all that were received.
    pub fn wait_for_cancels(&self) -> Vec<ReceivedRequest> {
        let end = Instant::now() + Duration::from_secs(10);
        while self.cancels.lock().unwrap().is_empty() {
            assert!(Instant::now() < end, "no cancel came");
            thread::sleep(Duration::from_millis(5));
        }
        self.cancels.lock().unwrap().clone()
    }

    /// Waits until any connection has ended, at most 10 s.
    pub fn wait_closed(&self) {
        self.closed.recv_timeout(Duration::from_secs(10)).unwrap();
    }
}

/// Serves one connection by the script until it ends.
fn serve_connection(mut stream: TcpStream, shared: &Shared) {
    stream.set_nodelay(true).unwrap();
    while let Some(request) = read_request(&mut stream) {
        if request.is_cancel() {
            shared.cancels.lock().unwrap().push(request);
            let mut steps = shared.cancel_answer.iter();
            if !steps.all(|step| perform_step(&mut stream, step)) {
                return;
            }
            continue;
        }
        let number = {
            let mut requests = shared.requests.lock().unwrap();
            requests.push(request.clone());
            requests.len() - 1
        };
        for step in (shared.script)(number, &request) {
            if !perform_step(&mut stream, &step) {
                return;
            }
        }
    }
}

/// Performs one step; returns whether the connection stays open.
fn perform_step(stream: &mut TcpStream, step: &Step) -> bool {
    match step {
        Step::Send(bytes) => stream.write_all(bytes).is_ok(),
        Step::SendOn(bytes, written) => {
            while written.load(Ordering::SeqCst) < ENDLESS_BYTES && stream.write_all(bytes).is_ok()
            {
                written.fetch_add(bytes.len(), Ordering::SeqCst);
            }
            false
        }
        Step::PauseMs(pause_ms) => {
            thread::sleep(Duration::from_millis(*pause_ms));
            true
        }
        Step::Close => false,
        Step::AwaitClose => {
            let mut rest = [0; 1024];
            while matches!(stream.read(&mut rest), Ok(1..)) {}
            false
        }
    }
}

fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes: Vec<u8> = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        read_byte(stream, &mut bytes)?;
    }
    let mut request = ReceivedRequest {
        head: String::from_utf8(bytes).unwrap(),
        body: Vec::new(),
    };
    if let Some(length) = request.header("content-length") {
        let mut body = vec![0; length.parse().unwrap()];
        stream.read_exact(&mut body).ok()?;
        request.body = body;
    } else if request.header("transfer-encoding").is_some() {
        // The body keeps its chunk framing, since tests compare chunks and trailers.
        while !request.body.ends_with(b"0\r\n\r\n") && !has_trailers(&request.body) {
            read_byte(stream, &mut request.body)?;
        }
    }
    Some(request)
}

/// Returns whether a chunked body has ended with trailers.
fn has_trailers(raw: &[u8]) -> bool {
    raw.windows(3).any(|part| part == b"0\r\n") && raw.ends_with(b"\r\n\r\n")
}

fn read_byte(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut byte = [0];
    stream.read_exact(&mut byte).ok()?;
    bytes.push(byte[0]);
    Some(())
}
