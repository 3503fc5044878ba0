//! An operator whose configuration grows by many routes and goes on changing, and the end of all
//! core processes at the same moment.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{Setup, http, platform::Platform};

/// Each growth adds this many routes (`big_config`, `count = 350`).
const ROUTES_OF_A_GROWTH: usize = 350;
const GROWTHS: usize = 32;
/// Routes of a usual configuration.
const USUAL_ROUTES: usize = 118;
/// Changes after the growths: storms of one change each 0.33 s for 4 s (`config_storm`).
const STORMS: usize = 5;
const CHANGES_OF_A_STORM: usize = 12;
const STORM_GAP: Duration = Duration::from_millis(330);
/// How long the operator waits for one acknowledgement.
const ACK_LIMIT: Duration = Duration::from_secs(10);
/// The operator sends no more changes after this time.
const CHANGES_LIMIT: Duration = Duration::from_secs(50);
/// The core is back within a second.
const DOWN: Duration = Duration::from_millis(800);
/// How long the operator reads back; the recovery may take 12 s.
const READ_BACK: Duration = Duration::from_secs(20);

pub fn config(version: usize, routes: usize) -> String {
    let route = |number: usize| {
        format!(
            r#"{{"name":"r-{number:07}","host":"field.example","@prefix@":"/p{number:06}/","kind":"streaming","timeoutMs":6000,"@objective@":300,"priority":1,"service":"{}","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"@gap@":200}}"#,
            crate::SERVICE
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    crate::config_of(version, &routes)
}

/// Returns whether the rule was broken; `None` if the case could not run.
pub fn run(setup: &Setup) -> Option<bool> {
    let record = Arc::clone(&setup.record);
    let platform = Arc::new(Platform::plan(
        &setup.root,
        &setup.folder,
        1,
        3,
        Arc::clone(&record),
    ));
    platform.start();
    let mut routes = USUAL_ROUTES;
    let mut version = 1;
    if !platform.configure(&config(version, routes), Duration::from_secs(20)) {
        record.say("the configuration was not acknowledged: the case could not run");
        return None;
    }
    if !platform.wait_until_ready(Duration::from_secs(20)) {
        record.say("the front machine did not get ready: the case could not run");
        return None;
    }
    let mut acknowledged = version;
    let changes = GROWTHS + STORMS * CHANGES_OF_A_STORM;
    let first = Instant::now();
    let mut sent = 0;
    for change in 0..changes {
        if first.elapsed() > CHANGES_LIMIT {
            break;
        }
        sent += 1;
        let began = Instant::now();
        version += 1;
        if change < GROWTHS && setup.trouble {
            routes += ROUTES_OF_A_GROWTH;
        }
        let text = config(version, routes);
        let is_acked = platform.configure(&text, ACK_LIMIT);
        record.line(&format!(
            "operator: version {version}, {routes} routes, {} bytes: {}",
            text.len(),
            if is_acked {
                "acknowledged"
            } else {
                "not acknowledged"
            }
        ));
        if is_acked {
            acknowledged = version;
        }
        thread::sleep(STORM_GAP.saturating_sub(began.elapsed()));
    }
    record.say(&format!(
        "the operator has sent {sent} changes; version {acknowledged} with {routes} routes was \
         acknowledged last"
    ));
    for (name, ends, peak) in platform.ends() {
        record.say(&format!(
            "{name}: {ends} ends of its process, {peak} kB at its peak"
        ));
    }
    platform.kill_all_cores(DOWN);
    let newest = read_back(&platform, acknowledged);
    let ends = platform.ends();
    platform.stop();
    for (name, ends, peak) in &ends {
        record.say(&format!(
            "{name}: {ends} ends of its process, {peak} kB at its peak"
        ));
    }
    match newest {
        Some(version) => record.say(&format!(
            "read back at the end: version {version}; version {acknowledged} was acknowledged"
        )),
        None => record.say(&format!(
            "read back at the end for {} s: no configuration comes; version {acknowledged} was \
             acknowledged",
            READ_BACK.as_secs()
        )),
    }
    Some(newest.is_none_or(|newest| newest < acknowledged))
}

/// Asks all core machines in turn until one answers with a version that is not too old; returns the
/// newest version that any has answered with.
fn read_back(platform: &Platform, acknowledged: usize) -> Option<usize> {
    let until = Instant::now() + READ_BACK;
    let mut newest = None;
    while Instant::now() < until {
        for core in &platform.cores {
            let mut to = core.service;
            for _ in 0..3 {
                let Ok(answer) = http::call(to, "GET /v1/config", b"", Duration::from_secs(2))
                else {
                    break;
                };
                if answer.status() == 200 {
                    newest = newest.max(version_of(&answer.body));
                    break;
                }
                let Some(next) = answer.redirect() else {
                    break;
                };
                to = next;
            }
        }
        if newest.is_some_and(|newest| newest >= acknowledged) {
            return newest;
        }
        thread::sleep(Duration::from_millis(200));
    }
    newest
}

fn version_of(body: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
    let rest = text.split("\"version\":").nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
