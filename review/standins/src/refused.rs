//! Clients that file receipts, each of which may be run once only, while one engine fails part of
//! its requests.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup,
    engine::{Engine, Kind, Seen},
    http::Connection,
};

const CLIENTS: usize = 8;
/// Each client's pause between two receipts; all together send some 16 a second.
const PAUSE: Duration = Duration::from_millis(450);
/// `srv_grey`: one of three engines, x = 0.45, for_s = 6.5.
const FAILED_OF_HUNDRED: u32 = 45;
const BEFORE: Duration = Duration::from_secs(5);
const GREY: Duration = Duration::from_millis(6_500);
const AFTER: Duration = Duration::from_secs(4);
const DEADLINE_MS: u64 = 1_000;

struct Attempt {
    receipt: String,
    id: String,
    status: u16,
}

/// Sends one attempt on a connection of its own; the status is 0 if no answer came.
fn send(address: std::net::SocketAddr, receipt: &str, id: &str, left: Duration) -> (u16, f64) {
    let answer = (|| {
        let mut open = Connection::open(address, Duration::from_secs(1))?;
        open.stream
            .set_read_timeout(Some(left + Duration::from_millis(500)))?;
        let head = format!(
            "POST /receipts/{receipt} HTTP/1.1\r\nHost: field.example\r\nX-Request-Id: {id}\r\n\
             @deadline@: {}\r\nAuthorization: Token {}\r\nContent-Length: {}\r\n\r\n{receipt}",
            left.as_millis(),
            crate::KEY,
            receipt.len()
        );
        open.write_text(&head)?;
        open.read()
    })();
    match answer {
        Ok(answer) => {
            let after = answer.header("retry-after");
            let after = after.and_then(|text| text.parse().ok()).unwrap_or(0.0);
            (answer.status(), after)
        }
        Err(_) => (0, 0.0),
    }
}

/// Returns whether the rule was broken; `None` if the case could not run.
pub fn run(setup: &Setup) -> Option<bool> {
    let record = Arc::clone(&setup.record);
    let platform = crate::start_platform(setup, 1, 1, &[("receipts", "unsafe", DEADLINE_MS)])?;
    let seen = Arc::new(Seen::default());
    let is_grey = Arc::new(AtomicBool::new(false));
    let engines: Vec<Arc<Engine>> = (1..=3)
        .map(|number| {
            let kind = Kind {
                service: crate::SERVICE,
                zone: "zg-lucko",
                slots: 6,
                queue: 24,
                work: Duration::from_millis(15),
            };
            let control = platform.cores.iter().map(|core| core.service).collect();
            let (is_grey, count) = (Arc::clone(&is_grey), AtomicU32::new(0));
            let script = move |_: &crate::http::Message| {
                let fails = number == 1 && is_grey.load(Ordering::Relaxed) && {
                    let count = count.fetch_add(1, Ordering::Relaxed);
                    // Spreads the failures evenly.
                    (count * FAILED_OF_HUNDRED) % 100 < FAILED_OF_HUNDRED
                };
                // It has run the request, so it doesn't say that it has not.
                (if fails { 503 } else { 200 }, String::new())
            };
            Engine::start(
                &format!("i-{number}"),
                platform.cores[0].ip,
                kind,
                control,
                Arc::clone(&seen),
                Arc::clone(&record),
                Box::new(script),
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let address = platform.fronts[0].service;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (attempts, is_over) = (Arc::clone(&attempts), Arc::clone(&is_over));
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let receipt = format!("receipt-{client}-{number}");
                    let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS);
                    for attempt in 1..=2 {
                        let left = deadline.saturating_duration_since(Instant::now());
                        if left < Duration::from_millis(50) {
                            break;
                        }
                        let id = format!("{receipt}-try-{attempt}");
                        record.line(&format!("client {client}: sends {id}"));
                        let (status, after) = send(address, &receipt, &id, left);
                        record.line(&format!("client {client}: {id} gets {status}"));
                        let receipt = receipt.clone();
                        attempts.lock().unwrap().push(Attempt {
                            receipt,
                            id,
                            status,
                        });
                        // A request that may run once only is retried only after a promise.
                        if !matches!(status, 408 | 421 | 429 | 503) {
                            break;
                        }
                        thread::sleep(Duration::from_secs_f64(after.min(left.as_secs_f64() / 3.0)));
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(BEFORE);
    if setup.trouble {
        record.say("engine i-1 begins to fail part of its requests; its health check is good");
        is_grey.store(true, Ordering::Relaxed);
    }
    thread::sleep(GREY);
    is_grey.store(false, Ordering::Relaxed);
    thread::sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    platform.stop();
    for engine in &engines {
        engine.stop();
    }
    let attempts = attempts.lock().unwrap();
    let run = seen.run.lock().unwrap();
    let mut broken = 0;
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for attempt in attempts.iter() {
        let times = run.get(&attempt.id).copied().unwrap_or(0);
        *runs.entry(&attempt.receipt).or_default() += times;
        if times > 0 && matches!(attempt.status, 408 | 421 | 429 | 503) {
            broken += 1;
            record.line(&format!(
                "{} got {} and has run",
                attempt.id, attempt.status
            ));
        }
    }
    let twice = runs.values().filter(|times| **times > 1).count();
    let served = attempts
        .iter()
        .filter(|attempt| attempt.status == 200)
        .count();
    record.say(&format!("{} attempts, {served} served", attempts.len()));
    record.say(&format!(
        "REFUSED: {broken} requests that may run once only were answered 408, 421, 429 or 503 and \
         have run; {twice} receipts were filed twice by the clients' retries"
    ));
    (served > 0).then_some(broken > 0)
}
