//! Requests of which one part of the prompt crashes each engine that begins to write an answer on it.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup,
    http::Connection,
    model_engine::{Log, ModelEngine, Place},
    platform::Platform,
};

const FRONTS: u8 = 3;
const CORES: u8 = 3;
const ENGINES: usize = 16;
const ENGINES_OF_A_DOMAIN: usize = 8;
const MODEL: &str = "m0";
const FATAL_PART: &str = "fa7a1000";
/// How many parts a prompt has; the last one belongs to the request.
const PARTS: usize = 20;
/// The place of the fatal part among them, from 1; all others are those of sound requests. `PLACE` in
/// the environment sets another one, for comparison.
const USUAL_PLACE: usize = 18;
const SOUND_CALLERS: usize = 12;
const SOUND_PAUSE: Duration = Duration::from_millis(300);
const FATAL_PAUSE: Duration = Duration::from_millis(700);
const BEFORE: Duration = Duration::from_secs(6);
const FATAL: Duration = Duration::from_secs(30);
const CONTACT: Duration = Duration::from_secs(3);
const DEADLINE_MS: u64 = 6_000;
/// After this crash all machines in touch must know the part within [`CONTACT`].
const CRASHES: usize = 5;
/// More late requests than this break the rule.
const MOST_LATE: usize = 3;

fn config() -> String {
    let route = format!(
        r#"{{"name":"r-drafts","host":"field.example","@prefix@":"/drafts/","kind":"streaming","timeoutMs":{DEADLINE_MS},"@objective@":500,"priority":1,"service":"{0}","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"@gap@":300}}"#,
        crate::SERVICE
    );
    let engine = format!(
        r#""engine":{{"slots":26,"@kv@":1400000,"kvTokenBytes":35136,"linkMbps":400000.0,"stride":5,"models":[{{"name":"{MODEL}","size":2,"share":1.0,"pace":1.0,"loadTimeS":2.0,"warmupS":0.3}}],"step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,"pairs_per_m":0.7,"chunk":2048,"report_lag_ms":200.0,"@loads@":4.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":1076,"answer":116}},"keeps":1,"far_x":3.0,"formMs":300.0}}"#
    );
    let text = crate::config_of(1, &[route]);
    text.replace(r#""tls":false}"#, &format!(r#""tls":false,{engine}}}"#))
}

/// Returns the parts of a request's prompt: they are shared but for the last one.
fn parts(own: u64, fatal_place: Option<usize>) -> String {
    let mut parts: Vec<String> = (1..PARTS)
        .map(|place| {
            // Some shared parts have three forms, as of several documents.
            let form = if place % 4 == 0 { own % 3 } else { 0 };
            format!("{:08x}:40", place as u64 * 16 + form)
        })
        .collect();
    if let Some(place) = fatal_place {
        parts[place - 1] = format!("{FATAL_PART}:40");
    }
    parts.push(format!("{:08x}:200", 0xa000_0000 + own));
    parts.join(",")
}

/// Sends a request and reads the stream; returns whether it was whole, or else what was seen.
fn ask(front: SocketAddr, id: &str, own: u64, fatal_place: Option<usize>) -> Result<(), String> {
    let answer = (|| {
        let mut open = Connection::open(front, Duration::from_secs(1))?;
        let limit = Some(Duration::from_millis(DEADLINE_MS + 500));
        open.stream.set_read_timeout(limit)?;
        let body = format!("draft {id}");
        let head = format!(
            "POST /drafts/x HTTP/1.1\r\nHost: field.example\r\nX-Request-Id: {id}\r\n\
             @deadline@: {DEADLINE_MS}\r\nAuthorization: Token {}\r\nX-Model: {MODEL}\r\n\
             @tokens@: 960,60\r\n@parts@: {}\r\nContent-Length: {}\r\n\r\n{body}",
            crate::KEY,
            parts(own, fatal_place),
            body.len()
        );
        open.write_text(&head)?;
        open.read()
    })();
    match answer {
        Ok(answer) if answer.status() == 200 => Ok(()),
        Ok(answer) => Err(answer.status().to_string()),
        Err(error) => Err(format!("broken off: {error}")),
    }
}

/// Kills the front machines' processes in series if `KILLS` names a number of rounds, for comparison.
fn kills_of_fronts(platform: &Arc<Platform>) -> Option<thread::JoinHandle<()>> {
    let rounds: usize = std::env::var("KILLS").ok()?.parse().ok()?;
    let platform = Arc::clone(platform);
    Some(thread::spawn(move || {
        for turn in 0..rounds * platform.fronts.len() {
            thread::sleep(Duration::from_millis(800));
            platform.kill_front(turn % platform.fronts.len(), Duration::from_millis(500));
        }
    }))
}

/// Returns whether the rule was broken; `None` if the case could not run.
pub fn run(setup: &Setup) -> Option<bool> {
    let record = Arc::clone(&setup.record);
    let place = std::env::var("PLACE")
        .ok()
        .and_then(|text| text.parse().ok());
    let place = place.unwrap_or(USUAL_PLACE).clamp(1, PARTS - 1);
    let platform = crate::start_platform_with(setup, FRONTS, CORES, &config())?;
    let log = Arc::new(Log::default());
    let control: Vec<SocketAddr> = platform.cores.iter().map(|core| core.service).collect();
    let engines: Vec<Arc<ModelEngine>> = (0..ENGINES)
        .map(|number| {
            let ip = platform.cores[0].ip;
            let free = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
            let address = free.local_addr().expect("a bound socket has an address");
            drop(free);
            let mut control = control.clone();
            control.rotate_left(number % CORES as usize);
            let place = Place {
                id: format!("i-{number:02}"),
                address,
                domain: format!("d{}", number / ENGINES_OF_A_DOMAIN),
                service: crate::SERVICE,
                zone: "zg-lucko",
                control,
            };
            let (log, record) = (Arc::clone(&log), Arc::clone(&record));
            ModelEngine::start(place, log, record, FATAL_PART, setup.trouble)
        })
        .collect();
    let fronts: Vec<SocketAddr> = platform.fronts.iter().map(|front| front.service).collect();
    let until = Instant::now() + Duration::from_secs(25);
    let mut warm = 0;
    while warm < 6 {
        if Instant::now() > until {
            record.say("no request was served: the case could not run");
            return None;
        }
        match ask(
            fronts[warm % fronts.len()],
            &format!("warm-{warm}"),
            900 + warm as u64,
            None,
        ) {
            Ok(()) => warm += 1,
            Err(_) => thread::sleep(Duration::from_millis(200)),
        }
    }
    thread::sleep(Duration::from_secs(3));
    let own = Arc::new(AtomicU64::new(1_000));
    let is_over = Arc::new(AtomicBool::new(false));
    // By the second of the run: requests, and those that were served whole.
    let served: Arc<Mutex<BTreeMap<u64, (u32, u32, u32)>>> = Arc::default();
    let start = Instant::now();
    let sound: Vec<_> = (0..SOUND_CALLERS)
        .map(|caller| {
            let (own, is_over) = (Arc::clone(&own), Arc::clone(&is_over));
            let log = Arc::clone(&log);
            let (served, record, fronts) =
                (Arc::clone(&served), Arc::clone(&record), fronts.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let number = own.fetch_add(1, Ordering::Relaxed);
                    let id = format!("sound-{number}");
                    let second = start.elapsed().as_secs();
                    let outcome = ask(fronts[caller % fronts.len()], &id, number, None);
                    record.line(&format!("{id}: {outcome:?}"));
                    let has_begun = log.begun.lock().unwrap().contains(&id);
                    let mut served = served.lock().unwrap();
                    let counts = served.entry(second).or_default();
                    counts.0 += 1;
                    counts.1 += u32::from(outcome.is_ok());
                    counts.2 += u32::from(has_begun);
                    drop(served);
                    thread::sleep(SOUND_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(BEFORE);
    record.say(&format!(
        "requests with the part come, at place {place} of {PARTS}; it {}",
        if setup.trouble {
            "crashes engines"
        } else {
            "does no harm"
        }
    ));
    let fatal_began = Instant::now();
    let kills = kills_of_fronts(&platform);
    let mut turn = 0;
    let mut asking = Vec::new();
    while fatal_began.elapsed() < FATAL {
        turn += 1;
        let (front, number) = (
            fronts[turn % fronts.len()],
            own.fetch_add(1, Ordering::Relaxed),
        );
        let record = Arc::clone(&record);
        asking.push(thread::spawn(move || {
            let id = format!("fatal-{number}");
            let outcome = ask(front, &id, number, Some(place));
            record.line(&format!("{id}: {outcome:?}"));
        }));
        thread::sleep(FATAL_PAUSE);
    }
    for one in asking {
        let _ = one.join();
    }
    if let Some(kills) = kills {
        let _ = kills.join();
    }
    is_over.store(true, Ordering::Relaxed);
    for one in sound {
        let _ = one.join();
    }
    platform.stop();
    for engine in &engines {
        engine.stop();
    }
    let crashes = log.crashes.lock().unwrap();
    let arrivals = log.fatal_arrivals.lock().unwrap();
    let fifth = crashes.get(CRASHES - 1).copied();
    let late = arrivals
        .iter()
        .filter(|(at, _)| fifth.is_some_and(|fifth| *at > fifth + CONTACT));
    let late = late.count();
    let share = |from: u64, to: u64| {
        let served = served.lock().unwrap();
        let sum = served
            .range(from..to)
            .fold((0, 0, 0), |(all, whole, begun), (_, counts)| {
                (all + counts.0, whole + counts.1, begun + counts.2)
            });
        format!("{} of {} whole, {} begun at an engine", sum.1, sum.0, sum.2)
    };
    let (before, until) = (BEFORE.as_secs(), (BEFORE + FATAL).as_secs());
    record.say(&format!("sound requests before: {}", share(0, before)));
    for from in (before..until).step_by(5) {
        let text = share(from, from + 5);
        record.say(&format!(
            "sound requests sent {from} to {} s after the begin: {text}",
            from + 5
        ));
    }
    record.say(&format!(
        "{} requests with the part reached engines, and {} engines crashed",
        arrivals.len(),
        crashes.len()
    ));
    record.say(&format!(
        "BUDGET: {late} requests with the part reached engines later than 3 s after the fifth crash; \
         {MOST_LATE} are allowed"
    ));
    Some(late > MOST_LATE)
}
