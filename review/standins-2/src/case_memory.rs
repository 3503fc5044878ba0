//! Many clients upload bodies within the limits at one machine, whose memory is bounded.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    client::{Client, plain_config},
    engine::Engine,
    fleet::{Fleet, ZONES},
    http::Connection,
    record::Record,
    words::word,
};

/// `memoryMb` 260, read as MiB; only the process's own anonymous memory is counted.
const MEMORY_KB: u64 = 260 * 1_024;
const BODY: usize = 4_194_304;

fn resident_kb(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

pub fn run(record: &Record, has_trouble: bool) -> ! {
    let number = |name: &str, usual: usize| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
    };
    let (uploads, body) = (number("UPLOADS", 60), number("BODY", BODY));
    let fleet = Arc::new(Fleet::draw(record, 3));
    fleet.start_all();
    let routes = [("status", "safe", "portal"), ("upload", "safe", "portal")];
    fleet.put_config(&plain_config(7, &routes));
    let engines: Vec<_> = (0..3)
        .map(|host: usize| {
            let place = fleet.address(101 + host, fleet.ports.front + 20);
            let id = format!("i-portal-{host}");
            let controls = (0..3).map(|turn| fleet.control((host + turn) % 3)).collect();
            let work = Duration::from_millis(200);
            Engine::start(record, (&id, "portal", ZONES[host]), place, controls, work)
        })
        .collect();
    fleet.wait_ready();
    sleep(Duration::from_millis(4_500));
    let lost = Arc::new(AtomicUsize::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let most = Arc::new(AtomicUsize::new(0));
    for which in 0..12 {
        let mut client = Client::new(record, fleet.front(0));
        let (lost, is_over) = (Arc::clone(&lost), Arc::clone(&is_over));
        let engines = engines.clone();
        thread::spawn(move || {
            for turn in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("status-{which}-{turn}");
                let is_kept = client.is_connected();
                let answer = client.ask("/status/x", &id, 1_500, b"x");
                let has_run = |engine: &Arc<Engine>| {
                    engine.runs.lock().unwrap().iter().any(|run| run.id == id)
                };
                if answer.is_err() && is_kept && engines.iter().any(has_run) {
                    lost.fetch_add(1, Ordering::SeqCst);
                    sleep(Duration::from_millis(300));
                }
            }
        });
    }
    let watched = Arc::clone(&fleet);
    let (watch_over, peak) = (Arc::clone(&is_over), Arc::clone(&most));
    let watch = thread::spawn(move || {
        while !watch_over.load(Ordering::SeqCst) {
            let ip = watched.entries[0].clone();
            let kb = resident_kb(watched.process_id(&ip));
            peak.fetch_max(kb as usize, Ordering::SeqCst);
            if kb > MEMORY_KB {
                watched.record.say(&format!("{ip} uses {kb} kB: the platform kills it"));
                watched.kill(&ip);
                sleep(Duration::from_millis(500));
                watched.start_entry(0);
            }
            sleep(Duration::from_millis(5));
        }
    });
    sleep(Duration::from_millis(1_000));
    if has_trouble {
        let sending: Vec<_> = (0..uploads)
            .map(|which| {
                let address = fleet.front(0);
                let record = record.clone();
                thread::spawn(move || {
                    let Ok(mut connection) = Connection::open(address, Duration::from_secs(8)) else {
                        return 0;
                    };
                    let head = format!(
                        "POST /upload/x HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: up-{which}\r\n\
                         {}: 8000\r\nContent-Length: {body}\r\n\r\n",
                        word("deadline"),
                    );
                    let begun = Instant::now();
                    if connection.write(&head, b"").is_err() {
                        return 0;
                    }
                    let piece = vec![b'u'; 65_536];
                    let mut left = body;
                    while left > 0 {
                        let length = left.min(piece.len());
                        if connection.stream.write_all(&piece[..length]).is_err() {
                            return 0;
                        }
                        left -= length;
                        // Some 4 MB in 2 s.
                        sleep(Duration::from_millis(30));
                    }
                    let status = connection.read().ok().flatten().map_or(0, |answer| answer.status());
                    record.line(&format!("up-{which} gets {status} after {:?}", begun.elapsed()));
                    status
                })
            })
            .collect();
        let statuses: Vec<u16> = sending.into_iter().map(|one| one.join().unwrap_or(0)).collect();
        let served = statuses.iter().filter(|status| **status == 200).count();
        record.say(&format!("{served} of {uploads} uploads were served"));
    } else {
        sleep(Duration::from_millis(4_000));
    }
    sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    let _ = watch.join();
    let lost = lost.load(Ordering::SeqCst);
    record.say(&format!("largest anonymous resident memory: {} kB", most.load(Ordering::SeqCst)));
    let verdict = format!("{lost} requests that had been passed on got no answer; the rule allows 3");
    fleet.finish(lost > 3, &verdict)
}
