//! Model engines under the rules of groups, all in this process.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    engine::unix_ms,
    http::{self, Connection, Message},
    record::Record,
    words::word,
};

const REJOIN: Duration = Duration::from_millis(200);
const FORM: Duration = Duration::from_millis(300);
const WARM: Duration = Duration::from_millis(300);
const LOAD: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
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

/// An engine's membership in a group.
#[derive(Clone, Debug)]
pub struct Held {
    pub group: String,
    pub epoch: u64,
    pub members: Vec<String>,
    pub model: String,
    pub state: State,
}

impl Held {
    fn is_of(&self, order: &Order) -> bool {
        self.group == order.group && self.epoch == order.epoch
    }
}

/// What all engines are in, and the joins that took a member from a head that serves.
#[derive(Default)]
pub struct World {
    pub held: Mutex<BTreeMap<String, Held>>,
    pub taken: Mutex<Vec<String>>,
}

struct Order {
    op: String,
    group: String,
    epoch: u64,
    model: String,
    members: Vec<String>,
    cuts: bool,
    expect: Option<u64>,
}

/// Returns what follows a field's name in an order, which is an object without nested ones.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    Some(text[start..].trim_start())
}

fn string(text: &str, name: &str) -> String {
    let value = field(text, name).and_then(|rest| rest.strip_prefix('"'));
    value.and_then(|rest| rest.split('"').next()).unwrap_or_default().to_owned()
}

fn number(text: &str, name: &str) -> Option<u64> {
    let digits = field(text, name)?;
    let end = digits.find(|one: char| !one.is_ascii_digit()).unwrap_or(digits.len());
    digits[..end].parse().ok()
}

impl Order {
    fn read(body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body).into_owned();
        let members = field(&text, "members").and_then(|rest| rest.strip_prefix('['));
        let members = members.and_then(|rest| rest.split(']').next()).unwrap_or_default();
        Self {
            op: string(&text, "op"),
            group: string(&text, "group"),
            epoch: number(&text, "epoch").unwrap_or(0),
            model: string(&text, "model"),
            members: members
                .split(',')
                .map(|member| member.trim().trim_matches('"').to_owned())
                .filter(|member| !member.is_empty())
                .collect(),
            cuts: string(&text, "closeMode") == "cut",
            expect: number(&text, "expect"),
        }
    }
}

#[derive(Default)]
struct Life {
    sequence: u64,
    highest_epoch: u64,
    last_model: Option<String>,
    staged: Option<String>,
    beats: u64,
}

pub struct ModelEngine {
    pub id: String,
    zone: String,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    born_ms: u128,
    life: Mutex<Life>,
    beating: Mutex<()>,
    world: Arc<World>,
    record: Record,
}

impl ModelEngine {
    pub fn start(
        record: &Record,
        world: &Arc<World>,
        (id, zone): (&str, &str),
        address: SocketAddr,
        controls: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address,
            controls,
            born_ms: unix_ms(),
            life: Mutex::default(),
            beating: Mutex::default(),
            world: Arc::clone(world),
            record: record.clone(),
        });
        let listener = TcpListener::bind(address).expect("the engine's address is free");
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&serving);
                thread::spawn(move || engine.serve(stream));
            }
        });
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        engine
    }

    fn held(&self) -> Option<Held> {
        self.world.held.lock().unwrap().get(&self.id).cloned()
    }

    /// Returns what a model engine says of itself, but for its models and its group.
    fn common(&self, sequence: u64) -> String {
        format!(
            r#""service":"models","address":"{}","zone":"{}","version":"v1","slots":26,"state":"ready","{}":0,"born":{},"sequence":{sequence}"#,
            self.address,
            self.zone,
            word("cold"),
            self.born_ms
        )
    }

    fn groups(&self) -> String {
        let staged = self.life.lock().unwrap().staged.clone();
        let staged = staged.map_or(String::new(), |model| format!("\"{model}\""));
        let mut text = format!(r#""stage":"both","domain":"fabric-{}","staged":[{staged}]"#, self.zone);
        match self.held() {
            None => text.push_str(r#","models":[]"#),
            Some(held) => {
                let rank = held.members.iter().position(|member| *member == self.id).unwrap_or(0);
                text.push_str(&format!(
                    r#","models":[{{"name":"{}","version":1,"adapters":[]}}],"group":{{"name":"{}","epoch":{},"rank":{rank},"state":"{}"}}"#,
                    held.model,
                    held.group,
                    held.epoch,
                    held.state.name()
                ));
            }
        }
        text
    }

    /// Sends a heartbeat, to the next daemon if one does not acknowledge it; returns the status.
    fn put(&self, body: &str) -> u16 {
        let path = format!("{}{}", word("instances"), self.id);
        for control in &self.controls {
            let timeout = Duration::from_secs(1);
            let answer = http::call(*control, "PUT", &path, body.as_bytes(), timeout);
            let status = answer.map_or(0, |answer| answer.status());
            if status / 100 == 2 {
                return status;
            }
        }
        0
    }

    pub fn beat(&self) {
        let _one = self.beating.lock().unwrap();
        let sequence = {
            let mut life = self.life.lock().unwrap();
            life.beats += 1;
            life.beats
        };
        let body = format!("{{{},{}}}", self.common(sequence), self.groups());
        let status = self.put(&body);
        self.record.line(&format!("engine {} gets {status} for {body}", self.id));
    }

    /// A heartbeat for this engine by another writer, without the fields of model engines.
    pub fn beat_of_another_writer(&self) {
        let _one = self.beating.lock().unwrap();
        let sequence = self.life.lock().unwrap().beats + 1;
        let body = format!("{{{}}}", self.common(sequence));
        self.record.say(&format!("another writer sends for {}: {body}", self.id));
        let status = self.put(&body);
        self.record.say(&format!("the other writer gets {status}"));
    }

    /// Four heartbeats by another writer, of a service that no configuration names, for a process of
    /// its own that names this engine's address.
    pub fn beats_of_another_service(&self) {
        for sequence in 1..=4 {
            let body = format!(
                r#"{{"service":"backup-agent","address":"{}","zone":"{}","version":"v1","slots":1,"state":"ready","{}":0,"born":{},"sequence":{sequence}}}"#,
                self.address,
                self.zone,
                word("cold"),
                self.born_ms
            );
            self.record.say(&format!("another writer sends for agent-1: {body}"));
            let path = format!("{}agent-1", word("instances"));
            let timeout = Duration::from_secs(1);
            let answer = http::call(self.controls[0], "PUT", &path, body.as_bytes(), timeout);
            let status = answer.map_or(0, |answer| answer.status());
            self.record.say(&format!("the other writer gets {status}"));
            thread::sleep(Duration::from_millis(300));
        }
    }

    fn set_state(&self, order: &Order, from: State, to: State) -> bool {
        let mut all = self.world.held.lock().unwrap();
        let held = all.get_mut(&self.id).filter(|held| held.is_of(order) && held.state == from);
        let Some(held) = held else { return false };
        held.state = to;
        true
    }

    fn order(self: &Arc<Self>, order: Order) -> u16 {
        let mut life = self.life.lock().unwrap();
        if order.expect.is_some_and(|expected| expected != life.sequence) {
            return 409;
        }
        let mut all = self.world.held.lock().unwrap();
        let held = all.get(&self.id).cloned();
        let own = held.as_ref().is_some_and(|held| held.is_of(&order));
        let state = held.as_ref().map(|held| held.state);
        let status = match order.op.as_str() {
            "join" if order.epoch < life.highest_epoch => 412,
            "join" if own => match held.as_ref().is_some_and(|held| held.members == order.members) {
                true => 200,
                false => 412,
            },
            "join" => {
                if let Some(held) = &held {
                    self.check_taken(held, &order, &all);
                }
                life.highest_epoch = order.epoch;
                all.insert(
                    self.id.clone(),
                    Held {
                        group: order.group.clone(),
                        epoch: order.epoch,
                        members: order.members.clone(),
                        model: order.model.clone(),
                        state: State::Joining,
                    },
                );
                202
            }
            "open" if own && state == Some(State::Open) => 200,
            "open" if own && state == Some(State::Ready) => 202,
            "close" if own && state == Some(State::Ready) => 200,
            "close" if own && state != Some(State::Joining) => {
                if let Some(held) = all.get_mut(&self.id) {
                    held.state = State::Closing;
                }
                202
            }
            "open" | "close" => 409,
            "leave" if own => {
                all.remove(&self.id);
                202
            }
            "leave" => 200,
            "stage" => 202,
            _ => 400,
        };
        drop(all);
        if status == 202 {
            life.sequence += 1;
        }
        drop(life);
        self.record.line(&format!(
            "engine {} answers {status} to {} {} {} {:?}",
            self.id, order.op, order.group, order.epoch, order.members
        ));
        if status == 202 {
            let engine = Arc::clone(self);
            thread::spawn(move || engine.carry_out(order));
        }
        status
    }

    /// Notes a join that takes this engine from a group whose head is open or closing.
    fn check_taken(&self, held: &Held, order: &Order, all: &BTreeMap<String, Held>) {
        let Some(head) = held.members.first() else { return };
        let of_head = all.get(head).filter(|of_head| of_head.group == held.group);
        let serves = of_head.is_some_and(|of_head| {
            of_head.epoch == held.epoch && matches!(of_head.state, State::Open | State::Closing)
        });
        if serves && held.group != order.group {
            let text = format!(
                "{} takes a join of {} while {head}, the head of its group {}, is {}",
                self.id,
                order.group,
                held.group,
                of_head.map_or("", |of_head| of_head.state.name())
            );
            self.record.say(&text);
            self.world.taken.lock().unwrap().push(text);
        }
    }

    fn carry_out(&self, order: Order) {
        match order.op.as_str() {
            "join" => {
                let time = {
                    let life = self.life.lock().unwrap();
                    match (life.last_model.as_ref(), life.staged.as_ref()) {
                        (Some(last), _) if *last == order.model => REJOIN,
                        (_, Some(staged)) if *staged == order.model => WARM,
                        _ => LOAD,
                    }
                };
                self.beat();
                thread::sleep(time);
                self.life.lock().unwrap().staged = Some(order.model.clone());
                if self.set_state(&order, State::Joining, State::Ready) {
                    self.life.lock().unwrap().last_model = Some(order.model.clone());
                }
            }
            "open" => {
                thread::sleep(FORM);
                self.set_state(&order, State::Ready, State::Open);
            }
            "close" => {
                thread::sleep(Duration::from_millis(if order.cuts { 1 } else { 50 }));
                self.set_state(&order, State::Closing, State::Ready);
            }
            "stage" => {
                thread::sleep(LOAD);
                self.life.lock().unwrap().staged = Some(order.model.clone());
            }
            _ => {}
        }
        self.beat();
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let (status, extra, body) = self.answer(&request);
            let id = request.header("x-request-id").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 {status} Status\r\nX-Request-Id: {id}\r\n{extra}Content-Length: {}\r\n\r\n",
                body.len()
            );
            if connection.write(&head, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, request: &Message) -> (u16, String, String) {
        let not_run = format!("{}: 1\r\n", word("not-run"));
        let json = "Content-Type: application/json\r\n".to_owned();
        if request.header(word("expect")).is_some_and(|expected| expected != self.id) {
            return (421, not_run, String::new());
        }
        if request.path() == word("order") {
            return (self.order(Order::read(&request.body)), json, "{}".to_owned());
        }
        if request.path() == word("report") {
            let sequence = self.life.lock().unwrap().sequence;
            let body = format!(
                r#"{{{},"busy":false,"sequence":{sequence},"queued":0,"running":0,"kvUsed":0,"kvTotal":1400000,"handles":0,"born":{}}}"#,
                self.groups(),
                self.born_ms
            );
            return (200, json, body);
        }
        let id = request.header("x-request-id").unwrap_or_default();
        let model = request.header("x-model");
        let serves = self.held().is_some_and(|held| {
            held.state == State::Open
                && held.members.first() == Some(&self.id)
                && model == Some(held.model.as_str())
        });
        if !serves {
            return (421, not_run, String::new());
        }
        self.record.line(&format!("engine {} runs {id}", self.id));
        thread::sleep(Duration::from_millis(30));
        let extra = format!(
            "{}: {}.{id}\r\nContent-Type: text/event-stream\r\n",
            word("stamp"),
            self.id
        );
        (200, extra, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n".to_owned())
    }
}
