//! A request that crashes each engine that begins to run it comes again and again, at several
//! machines at the same moment.

use std::{
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    client::{Client, keyed_config},
    engine::{Engine, Run},
    fleet::{Fleet, ZONES},
    record::Record,
};

const CONTACT: Duration = Duration::from_millis(3_000);
/// How long an engine is down after a crash: "back after some seconds".
const DOWN: Duration = Duration::from_millis(2_500);
const ROUND: Duration = Duration::from_millis(5_000);
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const FATAL: &[u8] = b"the request that crashes engines";
/// What the rule allows to arrive later than three seconds after the third crash.
const ALLOWED: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> ! {
    let number = |name: &str, usual: usize| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
    };
    let (clients, tries, rounds) = (number("CLIENTS", 3), number("TRIES", 2), number("ROUNDS", 3));
    let kind = std::env::var("KIND").unwrap_or_else(|_| "safe".to_owned());
    let fleet = Fleet::draw(record, 3);
    fleet.start_all();
    let routes = [("filing", kind.as_str(), "portal")];
    fleet.put_config(&keyed_config(7, &routes, KEY));
    let engines: Vec<_> = (0..9)
        .map(|host: usize| {
            let place = fleet.address(101 + host, fleet.ports.front + 20);
            let id = format!("i-portal-{host}");
            let zone = ZONES[host % 3];
            let controls = (0..3).map(|turn| fleet.control((host + turn) % 3)).collect();
            let work = Duration::from_millis(20);
            let engine = Engine::start(record, (&id, "portal", zone), place, controls, work);
            let fatal = has_trouble.then(|| (FATAL.to_vec(), DOWN));
            *engine.fatal.lock().unwrap() = fatal;
            engine
        })
        .collect();
    fleet.wait_ready();
    let client = |number: usize| {
        let mut client = Client::new(record, fleet.front(number));
        client.key = Some(KEY);
        client
    };
    // Sound requests go on all the while, as from other users of the same tenant.
    for number in 0..3 {
        let mut client = client(number);
        thread::spawn(move || {
            for turn in 0.. {
                let id = format!("sound-{number}-{turn}");
                let body = format!("sound request {number} {turn}");
                let _ = client.ask("/filing/x", &id, 1_500, body.as_bytes());
                sleep(Duration::from_millis(100));
            }
        });
    }
    sleep(CONTACT + Duration::from_millis(2_000));
    for round in 0..rounds {
        let asking: Vec<_> = (0..clients)
            .map(|which| {
                let machines: Vec<Client> =
                    (0..3).map(|turn| client((round + which + turn) % 3)).collect();
                thread::spawn(move || ask_again_and_again(machines, round, which, tries))
            })
            .collect();
        for one in asking {
            let _ = one.join();
        }
        sleep(ROUND);
    }
    let mut arrivals: Vec<Run> =
        engines.iter().flat_map(|engine| engine.crashes.lock().unwrap().clone()).collect();
    arrivals.sort_by_key(|run| run.at);
    for run in &arrivals {
        record.say(&format!("an engine crashed by {} at {:.3}", run.id, run.at.as_secs_f64()));
    }
    let third = arrivals.get(2).map(|run| run.at);
    let late = arrivals.iter().filter(|run| third.is_some_and(|third| run.at > third + CONTACT));
    let late = late.count();
    let verdict = format!(
        "{late} arrivals later than 3 s after the third crash; the rule allows {ALLOWED}"
    );
    fleet.finish(late > ALLOWED, &verdict)
}

/// Sends the request until it is answered with success, each time at the next machine and at once.
fn ask_again_and_again(mut machines: Vec<Client>, round: usize, which: usize, tries: usize) {
    for turn in 0..tries {
        let id = format!("again-{round}-{which}-{turn}");
        let answer = machines[turn % 3].ask("/filing/x", &id, 1_500, FATAL);
        if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
            return;
        }
    }
}
