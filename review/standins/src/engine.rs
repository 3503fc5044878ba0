//! Engines of a plain service: they register, check health, and run requests in their slots.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Connection, Message},
    record::Record,
    words,
};

/// The pause between two heartbeats (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What engines have seen.
#[derive(Default)]
pub struct Seen {
    /// The ids of the requests that an engine has begun to run, and how often.
    pub run: Mutex<HashMap<String, u32>>,
    /// The ids of the requests that an engine has answered to the end.
    pub answered: Mutex<HashSet<String>>,
}

/// How a request is answered: the status, and further header lines with their line ends.
pub type Script = dyn Fn(&Message) -> (u16, String) + Send + Sync;

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    slots: u32,
    queue: u32,
    work: Duration,
    busy: Mutex<(u32, u32)>,
    freed: Condvar,
    seen: Arc<Seen>,
    is_over: AtomicBool,
    script: Box<Script>,
    record: Arc<Record>,
}

pub struct Kind {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub queue: u32,
    pub work: Duration,
}

impl Engine {
    pub fn start(
        id: &str,
        ip: IpAddr,
        kind: Kind,
        control: Vec<SocketAddr>,
        seen: Arc<Seen>,
        record: Arc<Record>,
        script: Box<Script>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let Kind {
            service,
            zone,
            slots,
            queue,
            work,
        } = kind;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            slots,
            queue,
            work,
            busy: Mutex::default(),
            freed: Condvar::new(),
            seen,
            is_over: AtomicBool::new(false),
            script,
            record,
        });
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&serving);
                thread::spawn(move || engine.serve(Connection::new(stream)));
            }
        });
        let beating = Arc::clone(&engine);
        thread::spawn(move || beating.beat(service, zone, &control));
        engine
    }

    fn beat(&self, service: &str, zone: &str, control: &[SocketAddr]) {
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |since| since.as_millis());
        for sequence in 1.. {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let body = format!(
                r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{},"state":"ready","@cold@":0,"sequence":{sequence},"born":{born}}}"#,
                self.address, self.slots
            );
            let first = format!("PUT @instances@/{}", self.id);
            for control in control {
                let wait = Duration::from_secs(1);
                let answer = http::call(*control, &first, body.as_bytes(), wait);
                if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Serves one connection, one request at a time.
    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            let id = request
                .header("x-request-id")
                .unwrap_or_default()
                .to_owned();
            let answer = self.answer(&request, &id);
            if connection.write_text(&answer).is_err() {
                return;
            }
            self.seen.answered.lock().unwrap().insert(id);
        }
    }

    fn answer(&self, request: &Message, id: &str) -> String {
        let expected = request.header(&words::header("expect"));
        if expected.is_some_and(|expected| expected != self.id) {
            return message(421, id, "@not-run@: 1\r\n", "");
        }
        if request.path() == "/health" {
            let more = format!("X-Instance-Id: {}\r\n", self.id);
            return message(200, id, &more, "{}");
        }
        if !self.take_slot() {
            return message(503, id, "@not-run@: 1\r\n", "full");
        }
        *self
            .seen
            .run
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default() += 1;
        self.record.line(&format!(
            "engine {}: runs {id} ({} bytes)",
            self.id,
            request.body.len()
        ));
        thread::sleep(self.work);
        self.free_slot();
        let (status, more) = (self.script)(request);
        self.record
            .line(&format!("engine {}: answers {id} with {status}", self.id));
        let more = format!("@stamp@: stamp-of-{id}\r\n{more}");
        message(status, id, &more, &format!("ran {id} at {}", self.id))
    }

    /// Waits for a slot; returns false if the queue is full.
    fn take_slot(&self) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if busy.0 >= self.slots {
            if busy.1 >= self.queue {
                return false;
            }
            busy.1 += 1;
            while busy.0 >= self.slots {
                busy = self.freed.wait(busy).unwrap();
            }
            busy.1 -= 1;
        }
        busy.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.busy.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

fn message(status: u16, id: &str, more: &str, body: &str) -> String {
    let reason = match status {
        200 => "OK",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        _ => "Service Unavailable",
    };
    format!(
        "HTTP/1.1 {status} {reason}\r\nX-Request-Id: {id}\r\n{more}Keep-Alive: timeout=20\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
