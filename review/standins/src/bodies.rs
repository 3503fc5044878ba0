//! Clients that send bodies of the allowed length, while the platform hands most new connections
//! to one front machine.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup,
    engine::{Engine, Kind, Seen},
    http::Connection,
    platform::Platform,
    record::Record,
};

/// The clients of the sheet: 24 + 31 + 35, and its front machines.
const CLIENTS: usize = 90;
const FRONTS: u8 = 9;
/// Of ten clients, this many send uploads and the others status checks.
const UPLOADERS_OF_TEN: usize = 9;
/// One client of so many is spread as ever during the disruption: the platform hands over most new
/// connections, not all.
const SPREAD_ONE_OF: usize = 9;
/// `maxBodyBytes` of the configuration on the pages.
const BODY_BYTES: usize = 4_194_304;
/// How fast an upload is sent, in bytes a second; all clients together stay under `linkMbps`.
const BYTES_PER_S: f64 = 1_000_000.0;
/// How often a part of an upload is sent.
const PART_EVERY: Duration = Duration::from_millis(20);
const USUAL: Duration = Duration::from_secs(10);
const DISRUPTION: Duration = Duration::from_secs(9);
const AFTER: Duration = Duration::from_secs(8);
/// More lost requests than this break the rule.
const MOST_LOST: usize = 3;

struct Outcome {
    id: String,
    is_kept: bool,
    front: usize,
    /// The status, or what was seen in place of an answer.
    answer: Result<u16, String>,
}

struct Case {
    platform: Arc<Platform>,
    record: Arc<Record>,
    outcomes: Mutex<Vec<Outcome>>,
    is_disrupted: AtomicBool,
    is_over: AtomicBool,
}

impl Case {
    /// Returns the front machine that the platform hands a new connection to.
    fn front_for(&self, client: usize, tries: usize) -> (usize, SocketAddr) {
        let fronts = &self.platform.fronts;
        let hashed = (client + tries * 4) % fronts.len();
        // A retry meets another daemon as ever.
        let is_handed_over = client % SPREAD_ONE_OF != 0;
        let is_disrupted = self.is_disrupted.load(Ordering::Relaxed);
        let number = match is_disrupted && is_handed_over && tries == 0 {
            true => 0,
            false => hashed,
        };
        (number, fronts[number].service)
    }

    fn run_client(&self, client: usize) {
        let uploads = client % 10 < UPLOADERS_OF_TEN;
        let mut connection: Option<(usize, Connection, u32)> = None;
        let mut number = 0;
        let mut tries = 0;
        let mut was_disrupted = false;
        // Clients start at different times.
        thread::sleep(Duration::from_millis((client as u64 * 37) % 1_000));
        while !self.is_over.load(Ordering::Relaxed) {
            let is_disrupted = self.is_disrupted.load(Ordering::Relaxed);
            // Clients open new connections more often during the disruption.
            if is_disrupted && !was_disrupted {
                connection = None;
            }
            was_disrupted = is_disrupted;
            let (front, mut open, served) = match connection.take() {
                Some(open) => open,
                None => {
                    let (front, address) = self.front_for(client, tries);
                    match Connection::open(address, Duration::from_secs(1)) {
                        Ok(open) => (front, open, 0),
                        Err(_) => {
                            tries += 1;
                            thread::sleep(Duration::from_millis(100));
                            continue;
                        }
                    }
                }
            };
            number += 1;
            // The first request of each connection is a short one.
            let length = match uploads && served > 0 {
                true => BODY_BYTES,
                false => 200,
            };
            let id = format!("c{client}-{number}");
            self.record.line(&format!(
                "client {client}: sends {id} ({length} bytes) to front-{}",
                front + 1
            ));
            let answer = send(&mut open, &id, length);
            let text = match &answer {
                Ok((status, _)) => status.to_string(),
                Err(error) => format!("no answer: {error}"),
            };
            self.record
                .line(&format!("client {client}: {id} gets {text}"));
            let closes = answer.as_ref().map_or(true, |(_, closes)| *closes);
            let is_success = answer.as_ref().is_ok_and(|(status, _)| *status == 200);
            self.outcomes.lock().unwrap().push(Outcome {
                id,
                is_kept: served > 0,
                front,
                answer: answer
                    .map(|(status, _)| status)
                    .map_err(|error| error.to_string()),
            });
            tries = if is_success { 0 } else { tries + 1 };
            if !closes {
                connection = Some((front, open, served + 1));
            }
            thread::sleep(Duration::from_millis(if is_success { 20 } else { 200 }));
        }
    }
}

/// Sends a request and returns the status, and whether the connection ends with it.
fn send(open: &mut Connection, id: &str, length: usize) -> io::Result<(u16, bool)> {
    let limit = Some(Duration::from_secs(9));
    open.stream.set_read_timeout(limit)?;
    open.stream.set_write_timeout(limit)?;
    let head = format!(
        "POST /uploads/x HTTP/1.1\r\nHost: field.example\r\nX-Request-Id: {id}\r\n\
         @deadline@: 8000\r\nAuthorization: Token {}\r\nContent-Length: {length}\r\n\r\n",
        crate::KEY
    );
    open.write_text(&head)?;
    let body = vec![b'x'; length];
    let began = Instant::now();
    let mut sent = 0;
    while sent < length {
        let due = (began.elapsed().as_secs_f64() * BYTES_PER_S) as usize + 20_000;
        let until = due.min(length);
        if until > sent {
            open.write(&body[sent..until])?;
            sent = until;
        }
        if sent < length {
            thread::sleep(PART_EVERY);
        }
    }
    let answer = open.read()?;
    if answer.header("x-request-id").is_some_and(|of| of != id) {
        return Err(io::Error::other("an answer to another request"));
    }
    let closes = answer
        .header("connection")
        .is_some_and(|value| value.contains("close"));
    Ok((answer.status(), closes))
}

/// Returns whether the rule was broken; `None` if the case could not run.
pub fn run(setup: &Setup) -> Option<bool> {
    let record = Arc::clone(&setup.record);
    let platform = crate::start_platform(setup, FRONTS, 1, &[("uploads", "unsafe", 8_000)])?;
    let seen = Arc::new(Seen::default());
    let engines: Vec<Arc<Engine>> = (1..=3)
        .map(|number| {
            let kind = Kind {
                service: crate::SERVICE,
                zone: "zg-lucko",
                slots: 26,
                queue: 52,
                work: Duration::from_millis(300),
            };
            let control = platform.cores.iter().map(|core| core.service).collect();
            let ip = platform.cores[0].ip;
            let id = format!("i-{number}");
            let script = Box::new(|_: &crate::http::Message| (200, String::new()));
            Engine::start(
                &id,
                ip,
                kind,
                control,
                Arc::clone(&seen),
                Arc::clone(&record),
                script,
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let case = Arc::new(Case {
        platform: Arc::clone(&platform),
        record: Arc::clone(&record),
        outcomes: Mutex::default(),
        is_disrupted: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
    });
    record.say(&format!(
        "{CLIENTS} clients begin, spread over {FRONTS} front machines"
    ));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let case = Arc::clone(&case);
            thread::spawn(move || case.run_client(client))
        })
        .collect();
    thread::sleep(USUAL);
    if setup.trouble {
        record.say("the platform hands new connections to front-1");
        case.is_disrupted.store(true, Ordering::Relaxed);
    }
    thread::sleep(DISRUPTION);
    if setup.trouble {
        record.say("the platform spreads new connections again");
    }
    case.is_disrupted.store(false, Ordering::Relaxed);
    thread::sleep(AFTER);
    case.is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let ends = platform.ends();
    platform.stop();
    for engine in &engines {
        engine.stop();
    }
    let outcomes = case.outcomes.lock().unwrap();
    let run = seen.run.lock().unwrap();
    let is_lost = |one: &&Outcome| one.is_kept && one.answer.is_err() && run.contains_key(&one.id);
    let lost: Vec<&Outcome> = outcomes.iter().filter(is_lost).collect();
    for one in &lost {
        let text = one.answer.as_ref().err().cloned().unwrap_or_default();
        record.line(&format!(
            "lost: {} by front-{} ({text}): an engine ran it",
            one.id,
            one.front + 1
        ));
    }
    let served = outcomes.iter().filter(|one| one.answer == Ok(200)).count();
    record.say(&format!("{} requests, {served} served", outcomes.len()));
    for (name, ends, peak) in ends {
        record.say(&format!(
            "{name}: {ends} ends of its process, {peak} kB at its peak"
        ));
    }
    record.say(&format!(
        "LOST: {} requests from kept connections were passed on to a sound engine, and their \
         connection was closed without an answer; {MOST_LOST} are allowed",
        lost.len()
    ));
    if served == 0 {
        return None;
    }
    Some(lost.len() > MOST_LOST)
}
