//! Another writer sends a heartbeat for the head of an open group, without the fields of engines.

use std::{sync::Arc, thread::sleep, time::Duration};

use crate::{
    fleet::{Fleet, ZONES},
    http::Connection,
    model_engine::{ModelEngine, State, World},
    record::Record,
    words::word,
};

fn config() -> String {
    let service = include_str!("../model_service.json").trim();
    format!(
        r#"{{"version":7,"routes":[{{"name":"report","host":"portal.example","{}":"/report/","kind":"streaming","timeoutMs":8000,"{}":500,"priority":1,"service":"models","maxAttempts":2,"public":true,"sticky":true,"resumable":true,"{}":300}}],"services":[{service}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        word("path-prefix"),
        word("target-latency"),
        word("gap-target")
    )
}

/// Sends one request for a model; returns its status.
fn ask(fleet: &Fleet, id: &str, model: &str) -> u16 {
    let Ok(mut connection) = Connection::open(fleet.front(0), Duration::from_secs(9)) else {
        return 0;
    };
    let head = format!(
        "POST /report/x HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: {id}\r\n{}: 8000\r\n\
         X-Model: {model}\r\n{}: 1460,80\r\n{}: 5c1e07a2:800,{id}:660\r\nContent-Length: 1\r\n\r\n",
        word("deadline"),
        word("tokens"),
        word("prefix")
    );
    fleet.record.line(&format!("client sends {id} for {model}"));
    if connection.write(&head, b"x").is_err() {
        return 0;
    }
    let status = connection.read().ok().flatten().map_or(0, |answer| answer.status());
    fleet.record.line(&format!("client gets {status} for {id}"));
    status
}

pub fn run(record: &Record, has_trouble: bool) -> ! {
    let fleet = Fleet::draw(record, 3);
    fleet.start_all();
    fleet.put_config(&config());
    let world = Arc::new(World::default());
    let controls: Vec<_> = (0..3).map(|number| fleet.control(number)).collect();
    let engines: Vec<_> = (0..6)
        .map(|host| {
            let place = fleet.address(101 + host, fleet.ports.front + 20);
            let id = format!("i-engine-{host}");
            ModelEngine::start(record, &world, (&id, ZONES[0]), place, controls.clone())
        })
        .collect();
    fleet.wait_ready();
    let heads = || -> Vec<(String, String)> {
        let held = world.held.lock().unwrap();
        let open = held.iter().filter(|(_, held)| held.state == State::Open);
        open.map(|(id, held)| (held.model.clone(), id.clone())).collect()
    };
    fleet.wait_for("a group of each model to be open", || heads().len() == 2);
    for turn in 0..10 {
        ask(&fleet, &format!("aa{turn}"), "large");
        ask(&fleet, &format!("bb{turn}"), "small");
    }
    sleep(Duration::from_millis(5_000));
    let found = heads();
    let Some((_, head)) = found.iter().find(|(model, _)| model == "large") else {
        fleet.give_up("the large group did not stay open");
    };
    let engine = engines.iter().find(|engine| engine.id == *head).unwrap();
    if has_trouble {
        match std::env::var("WRITER").as_deref() {
            Ok("address") => engine.beats_of_another_service(),
            _ => engine.beat_of_another_writer(),
        }
    }
    for turn in 0..60 {
        sleep(Duration::from_millis(100));
        if turn % 10 == 0 {
            ask(&fleet, &format!("cc{turn}"), "large");
        }
    }
    let taken = world.taken.lock().unwrap().len();
    let verdict = format!("{taken} joins took a member from a group whose head served");
    fleet.finish(taken > 0, &verdict)
}
