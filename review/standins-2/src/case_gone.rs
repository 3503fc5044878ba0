//! An upstream says that it has gone; the control daemon that acknowledged it is killed at once.

use std::{sync::atomic::Ordering, thread::sleep, time::Duration};

use crate::{
    client::{Client, plain_config},
    engine::Engine,
    fleet::{Fleet, ZONES},
    record::Record,
};

/// The bounds of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long a killed daemon takes to start again.
const DOWN: Duration = Duration::from_millis(500);

pub fn run(record: &Record, has_trouble: bool) -> ! {
    let fleet = Fleet::draw(record, 3);
    fleet.start_all();
    let routes = [("status", "safe", "portal"), ("other", "safe", "other")];
    fleet.put_config(&plain_config(7, &routes));
    let controls = vec![fleet.control(1), fleet.control(0), fleet.control(2)];
    let (port, work) = (fleet.ports.front + 20, Duration::from_millis(20));
    let place = fleet.address(101, port);
    let leaver =
        Engine::start(record, ("i-leaver", "portal", ZONES[1]), place, controls.clone(), work);
    let place = fleet.address(102, port);
    let _other = Engine::start(record, ("i-other", "other", ZONES[0]), place, controls, work);
    fleet.wait_ready();
    let mut clients: Vec<Client> = (0..3).map(|n| Client::new(record, fleet.front(n))).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let mut turn = 0;
        fleet.wait_for("the upstream to serve", || {
            turn += 1;
            let answer = client.ask("/status/x", &format!("first-{number}-{turn}"), 1_500, b"x");
            answer.is_ok_and(|answer| answer.status() == 200)
        });
    }
    // Everything has run for longer than the time after which machines are in touch.
    sleep(CONTACT + Duration::from_millis(1_500));
    leaver.beats.store(false, Ordering::SeqCst);
    record.line("i-leaver sends its DELETE");
    let acknowledged = leaver.say_gone(fleet.control(1));
    let acked_at = record.now();
    if !acknowledged {
        fleet.give_up("the end was not acknowledged");
    }
    leaver.is_leaving.store(true, Ordering::SeqCst);
    let mut calm_from = acked_at + DRAIN;
    if has_trouble {
        let ip = fleet.controls[1].clone();
        match std::env::var("HOW").as_deref() {
            Ok("term") => fleet.signal(&ip, "TERM"),
            _ => fleet.kill(&ip),
        }
        record.line(&format!("acknowledged at {:.4}", acked_at.as_secs_f64()));
        sleep(DOWN);
        if std::env::var("HOW").is_ok() {
            fleet.wait_for("it to end", || fleet.has_ended(&ip));
        }
        fleet.start_control(1, false);
        calm_from = calm_from.max(record.now() + CONTACT);
    }
    record.say("the end of i-leaver is acknowledged");
    let wait = calm_from.saturating_sub(record.now()) + Duration::from_millis(700);
    sleep(wait);
    record.say("all machines have been in touch for longer than the bounds; clients ask");
    let mut late = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("late-{number}");
        let _ = client.ask("/status/x", &id, 1_500, b"x");
        late.push(id);
    }
    sleep(Duration::from_millis(300));
    let runs = leaver.runs.lock().unwrap().clone();
    let broken: Vec<_> = runs.iter().filter(|run| late.contains(&run.id)).collect();
    leaver.exit();
    for run in &broken {
        let after = run.at.saturating_sub(acked_at).as_secs_f64();
        record.say(&format!("{} reached i-leaver {after:.3} s after the acknowledgement", run.id));
    }
    let verdict = format!("{} of 3 late requests reached the engine that has gone", broken.len());
    fleet.finish(!broken.is_empty(), &verdict)
}
