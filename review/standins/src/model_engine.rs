//! Model engines, which run requests as heads of groups: orders, reports and streams.
//!
//! Only heads crash in these cases, so no head misses a member.

use std::{
    collections::{HashMap, HashSet},
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection, Message},
    record::Record,
    words,
};

/// The pause between two heartbeats (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LOAD: Duration = Duration::from_millis(2_000);
const WARM: Duration = Duration::from_millis(300);
const REJOIN: Duration = Duration::from_millis(200);
pub const FORM: Duration = Duration::from_millis(300);
pub const SLOTS: u32 = 26;
const QUEUE: u32 = 52;
/// How long a prompt is read, and the pause between two events.
const READ: Duration = Duration::from_millis(60);
const EVENT_PAUSE: Duration = Duration::from_millis(30);
const EVENTS: u64 = 12;
/// How long an engine that has crashed is down.
const DOWN: Duration = Duration::from_millis(4_500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Joining,
    Ready,
    Open,
    Closing,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Ready => "ready",
            State::Open => "open",
            State::Closing => "closing",
        }
    }
}

#[derive(Clone, Debug)]
struct Membership {
    group: String,
    epoch: u64,
    model: String,
    members: Vec<String>,
    state: State,
}

/// What one life of an engine holds; a restart clears it.
#[derive(Default)]
struct Life {
    born_ms: u64,
    membership: Option<Membership>,
    last_model: Option<String>,
    highest_epoch: u64,
    /// The number of orders that have begun something.
    orders: u64,
    beats: u64,
}

/// Arrivals of requests and crashes, for the rule.
#[derive(Default)]
pub struct Log {
    /// When a request that holds the fatal part has reached an engine, with its id.
    pub fatal_arrivals: Mutex<Vec<(Instant, String)>>,
    /// When an engine has crashed.
    pub crashes: Mutex<Vec<Instant>>,
    /// The ids of the requests without the fatal part that an engine has begun to run.
    pub begun: Mutex<HashSet<String>>,
}

pub struct ModelEngine {
    id: String,
    address: SocketAddr,
    domain: String,
    service: &'static str,
    zone: &'static str,
    control: Vec<SocketAddr>,
    life: Mutex<Life>,
    changed: Condvar,
    staged: Mutex<Vec<String>>,
    running: AtomicU32,
    /// Grows with each life; connections and orders of earlier ones do nothing any more.
    number: AtomicU64,
    is_down: AtomicBool,
    is_over: AtomicBool,
    connections: Mutex<HashMap<u64, TcpStream>>,
    log: Arc<Log>,
    record: Arc<Record>,
    /// The name of the part that crashes an engine; none if there is no disruption.
    fatal_part: &'static str,
    crashes: bool,
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_millis() as u64)
}

/// Returns a text field of an order, which holds no escapes.
fn text(body: &str, name: &str) -> Option<String> {
    let rest = body.split(&format!("\"{name}\":\"")).nth(1)?;
    Some(rest.split('"').next()?.to_owned())
}

fn number(body: &str, name: &str) -> Option<u64> {
    let rest = body.split(&format!("\"{name}\":")).nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn texts(body: &str, name: &str) -> Vec<String> {
    let rest = body.split(&format!("\"{name}\":[")).nth(1).unwrap_or("");
    let list = rest.split(']').next().unwrap_or("");
    let names = list
        .split(',')
        .map(|name| name.trim_matches('"').to_owned());
    names.filter(|name| !name.is_empty()).collect()
}

pub struct Place {
    pub id: String,
    pub address: SocketAddr,
    pub domain: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub control: Vec<SocketAddr>,
}

impl ModelEngine {
    pub fn start(
        place: Place,
        log: Arc<Log>,
        record: Arc<Record>,
        fatal_part: &'static str,
        crashes: bool,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            id: place.id,
            address: place.address,
            domain: place.domain,
            service: place.service,
            zone: place.zone,
            control: place.control,
            life: Mutex::default(),
            changed: Condvar::new(),
            staged: Mutex::default(),
            running: AtomicU32::new(0),
            number: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            connections: Mutex::default(),
            log,
            record,
            fatal_part,
            crashes,
        });
        engine.life.lock().unwrap().born_ms = now_ms();
        let listening = Arc::clone(&engine);
        thread::spawn(move || listening.listen());
        let beating = Arc::clone(&engine);
        thread::spawn(move || beating.beat());
        engine
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Accepts connections while the engine is up; nothing listens while it is down.
    fn listen(self: &Arc<Self>) {
        let mut next = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            if self.is_down.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            listener
                .set_nonblocking(true)
                .expect("a listener can be made non-blocking");
            while !self.is_down.load(Ordering::SeqCst) && !self.is_over.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                next += 1;
                if let Ok(copy) = stream.try_clone() {
                    self.connections.lock().unwrap().insert(next, copy);
                }
                let (engine, of_life) = (Arc::clone(self), self.number.load(Ordering::SeqCst));
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read() {
                        let answered = engine.answer(&mut connection, &request, of_life);
                        if answered.is_err() || engine.number.load(Ordering::SeqCst) != of_life {
                            break;
                        }
                    }
                    engine.connections.lock().unwrap().remove(&next);
                    let _ = connection.stream.shutdown(Shutdown::Both);
                });
            }
        }
    }

    /// Ends this life: every connection breaks and nothing listens until the next one.
    fn crash(self: &Arc<Self>) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.number.fetch_add(1, Ordering::SeqCst);
        self.log.crashes.lock().unwrap().push(Instant::now());
        self.record.line(&format!("engine {}: crashes", self.id));
        for (_, stream) in self.connections.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let engine = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(DOWN);
            let life = Life {
                born_ms: now_ms(),
                ..Life::default()
            };
            *engine.life.lock().unwrap() = life;
            engine.running.store(0, Ordering::SeqCst);
            engine
                .record
                .line(&format!("engine {}: is back", engine.id));
            engine.is_down.store(false, Ordering::SeqCst);
            engine.changed.notify_all();
        });
    }

    /// Reports to the system at intervals, and at once after a change.
    fn beat(&self) {
        while !self.is_over.load(Ordering::SeqCst) {
            if !self.is_down.load(Ordering::SeqCst) {
                let body = {
                    let mut life = self.life.lock().unwrap();
                    life.beats += 1;
                    let beats = life.beats;
                    format!(
                        r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{SLOTS},"state":"ready","@cold@":0,"stage":"both",{},"sequence":{beats},"born":{}}}"#,
                        self.service,
                        self.address,
                        self.zone,
                        self.status(&life),
                        life.born_ms
                    )
                };
                let first = format!("PUT @instances@/{}", self.id);
                for control in &self.control {
                    let wait = Duration::from_secs(1);
                    let answer = http::call(*control, &first, body.as_bytes(), wait);
                    if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                        break;
                    }
                }
            }
            let life = self.life.lock().unwrap();
            drop(self.changed.wait_timeout(life, HEARTBEAT));
        }
    }

    /// Returns `models`, `domain`, `staged` and `group` as fields.
    fn status(&self, life: &Life) -> String {
        let staged: Vec<String> = self
            .staged
            .lock()
            .unwrap()
            .iter()
            .map(|name| format!("\"{name}\""))
            .collect();
        let (models, group) = match &life.membership {
            None => (String::new(), String::new()),
            Some(held) => {
                let rank = held.members.iter().position(|member| *member == self.id);
                (
                    format!(r#"{{"name":"{}","version":1,"adapters":[]}}"#, held.model),
                    format!(
                        r#","group":{{"name":"{}","epoch":{},"rank":{},"state":"{}"}}"#,
                        held.group,
                        held.epoch,
                        rank.unwrap_or(0),
                        held.state.name()
                    ),
                )
            }
        };
        format!(
            r#""models":[{models}],"domain":"{}","staged":[{}]{group}"#,
            self.domain,
            staged.join(",")
        )
    }

    fn answer(
        self: &Arc<Self>,
        connection: &mut Connection,
        request: &Message,
        of_life: u64,
    ) -> io::Result<()> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let expected = request.header(&words::header("expect"));
        if expected.is_some_and(|expected| expected != self.id) {
            return connection.write_text(&whole(421, &id, "@not-run@: 1\r\n", ""));
        }
        match request.path() {
            path if path == words::put("@order@") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let status = self.order(&body, of_life);
                self.record
                    .line(&format!("engine {}: order {body}: {status}", self.id));
                connection.write_text(&whole(status, &id, "", "{}"))
            }
            "/v1/report" => {
                let life = self.life.lock().unwrap();
                let body = format!(
                    r#"{{"stage":"both",{},"busy":false,"sequence":{},"queued":0,"running":{},"kvUsed":0,"kvTotal":1400000,"handles":0,"pace":1.0,"born":{}}}"#,
                    self.status(&life),
                    life.orders,
                    self.running.load(Ordering::SeqCst),
                    life.born_ms
                );
                drop(life);
                connection.write_text(&whole(200, &id, "", &body))
            }
            "/health" => {
                let more = format!("X-Instance-Id: {}\r\n", self.id);
                connection.write_text(&whole(200, &id, &more, "{}"))
            }
            _ => self.run(connection, request, &id, of_life),
        }
    }

    /// Carries out an order as the pages say; returns the status.
    fn order(self: &Arc<Self>, body: &str, of_life: u64) -> u16 {
        let op = text(body, "op").unwrap_or_default();
        let group = text(body, "group").unwrap_or_default();
        let epoch = number(body, "epoch").unwrap_or(0);
        let mut life = self.life.lock().unwrap();
        if number(body, "expect").is_some_and(|expected| expected != life.orders) {
            return 409;
        }
        let is_held = life
            .membership
            .as_ref()
            .is_some_and(|held| held.group == group && held.epoch == epoch);
        let state = life
            .membership
            .as_ref()
            .map(|held| held.state)
            .filter(|_| is_held);
        let is_head = is_held
            && life
                .membership
                .as_ref()
                .is_some_and(|held| held.members.first() == Some(&self.id));
        match op.as_str() {
            "join" => {
                let (model, members) = (
                    text(body, "model").unwrap_or_default(),
                    texts(body, "members"),
                );
                if epoch < life.highest_epoch {
                    return 412;
                }
                if is_held {
                    let is_same = life
                        .membership
                        .as_ref()
                        .is_some_and(|held| held.members == members);
                    return if is_same { 200 } else { 412 };
                }
                life.highest_epoch = epoch;
                life.orders += 1;
                let takes = if life.last_model.as_ref() == Some(&model) {
                    REJOIN
                } else if self.staged.lock().unwrap().contains(&model) {
                    WARM
                } else {
                    LOAD
                };
                life.membership = Some(Membership {
                    group: group.clone(),
                    epoch,
                    model: model.clone(),
                    members,
                    state: State::Joining,
                });
                let engine = Arc::clone(self);
                thread::spawn(move || {
                    thread::sleep(takes);
                    engine.stage(&model);
                    if engine.change((&group, epoch), of_life, State::Joining, State::Ready) {
                        engine.life.lock().unwrap().last_model = Some(model);
                    }
                });
                202
            }
            "open" => match state {
                Some(State::Open) => 200,
                Some(State::Ready) if is_head => {
                    life.orders += 1;
                    let engine = Arc::clone(self);
                    thread::spawn(move || {
                        thread::sleep(FORM);
                        engine.change((&group, epoch), of_life, State::Ready, State::Open);
                    });
                    202
                }
                _ => 409,
            },
            "close" => match state {
                Some(State::Ready) => 200,
                Some(State::Open) => {
                    life.orders += 1;
                    if let Some(held) = &mut life.membership {
                        held.state = State::Closing;
                    }
                    let engine = Arc::clone(self);
                    thread::spawn(move || {
                        while engine.running.load(Ordering::SeqCst) > 0 {
                            thread::sleep(Duration::from_millis(20));
                        }
                        engine.change((&group, epoch), of_life, State::Closing, State::Ready);
                    });
                    202
                }
                Some(State::Closing) => 202,
                _ => 409,
            },
            "leave" => {
                if is_held {
                    life.orders += 1;
                    life.membership = None;
                    self.changed.notify_all();
                }
                200
            }
            "stage" => {
                let model = text(body, "model").unwrap_or_default();
                if self.staged.lock().unwrap().contains(&model) {
                    return 200;
                }
                life.orders += 1;
                let engine = Arc::clone(self);
                thread::spawn(move || {
                    thread::sleep(LOAD);
                    engine.stage(&model);
                    engine.changed.notify_all();
                });
                202
            }
            _ => 400,
        }
    }

    /// A host keeps the last model that was staged, also across restarts.
    fn stage(&self, model: &str) {
        *self.staged.lock().unwrap() = vec![model.to_owned()];
    }

    /// Changes the state of a group that this life is still in.
    fn change(&self, (group, epoch): (&str, u64), of_life: u64, from: State, to: State) -> bool {
        if self.number.load(Ordering::SeqCst) != of_life {
            return false;
        }
        let mut life = self.life.lock().unwrap();
        let Some(held) = &mut life.membership else {
            return false;
        };
        if held.group != group || held.epoch != epoch || held.state != from {
            return false;
        }
        held.state = to;
        self.changed.notify_all();
        true
    }

    fn is_open(&self, model: Option<&str>) -> bool {
        let life = self.life.lock().unwrap();
        life.membership.as_ref().is_some_and(|held| {
            held.state == State::Open
                && held.members.first() == Some(&self.id)
                && model.is_none_or(|model| model == held.model)
        })
    }

    fn run(
        self: &Arc<Self>,
        connection: &mut Connection,
        request: &Message,
        id: &str,
        of_life: u64,
    ) -> io::Result<()> {
        let parts = request.header(&words::header("parts")).unwrap_or_default();
        let is_fatal = parts
            .split(',')
            .any(|part| part.split(':').next() == Some(self.fatal_part));
        if is_fatal {
            self.log
                .fatal_arrivals
                .lock()
                .unwrap()
                .push((Instant::now(), id.to_owned()));
            self.record.line(&format!(
                "engine {}: {id} arrives, which has the part",
                self.id
            ));
        }
        if !self.is_open(request.header("x-model")) {
            return connection.write_text(&whole(421, id, "@not-run@: 1\r\n", ""));
        }
        if self.running.load(Ordering::SeqCst) >= SLOTS + QUEUE {
            return connection.write_text(&whole(503, id, "@not-run@: 1\r\n", "full"));
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let ended = self.stream(connection, request, id, is_fatal, of_life);
        if self.number.load(Ordering::SeqCst) == of_life {
            self.running.fetch_sub(1, Ordering::SeqCst);
        }
        ended
    }

    fn stream(
        self: &Arc<Self>,
        connection: &mut Connection,
        request: &Message,
        id: &str,
        is_fatal: bool,
        of_life: u64,
    ) -> io::Result<()> {
        thread::sleep(READ);
        if is_fatal && self.crashes {
            // It begins to write the answer.
            self.crash();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             @stamp@: stamp-of-{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        self.log.begun.lock().unwrap().insert(id.to_owned());
        connection.write_text(&head)?;
        for event in last + 1..=EVENTS {
            if self.number.load(Ordering::SeqCst) != of_life {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {event}\ndata: {id} {event}\n\n");
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(EVENT_PAUSE);
        }
        connection.write(b"0\r\n\r\n")
    }
}

fn whole(status: u16, id: &str, more: &str, body: &str) -> String {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        409 => "Conflict",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        _ => "Service Unavailable",
    };
    format!(
        "HTTP/1.1 {status} {reason}\r\nX-Request-Id: {id}\r\n{more}Content-Type: application/json\r\n\
         Keep-Alive: timeout=20\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
