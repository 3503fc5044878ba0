//! Hundreds of changes, restarts and a daemon that applies what it is sent.

use cicadabend::{fleet::FleetConfig, prelude::*};
use http::Method;
use serde_json::{
    Value,
    json, //
};

use crate::{
    fixtures::{
        ANA,
        ControlDaemon,
        EntryPeer,
        entry, //
    },
    holder::Holder,
};

const CHANGES: u64 = 300;
const TEAMS: usize = 10;

/// Ten teams, as both users have; the first one's weight is what changes.
fn intent(weight: u64) -> Value {
    let team = |number: usize| {
        json!({
            "api_key_sha256": format!("{number:064x}"),
            "weight": if number == 0 { weight } else { 1 },
            "requests_per_second": 100,
            "max_concurrent_requests": 10,
        })
    };
    let teams: serde_json::Map<String, Value> = (0..TEAMS)
        .map(|number| (format!("team-{number}"), team(number)))
        .collect();
    json!({"config": {"teams": teams}, "operator": "", "reason": "a test"})
}

async fn figure(control: &ControlDaemon, kind: &str, name: &str) -> u64 {
    control.figures().await[kind][name]
        .as_u64()
        .unwrap_or_default()
}

async fn accepted(control: &ControlDaemon) -> (u64, FleetConfig) {
    let (_, answer) = control.request(ANA, Method::GET, "/v1/config", "").await;
    let config = serde_json::from_value(answer["config"].clone()).expect("a configuration");
    (answer["revision"].as_u64().expect("a number"), config)
}

/// After 300 changes the control daemon is killed and started again. It holds revision
/// 300, a daemon that had everything is sent nothing older, and a fresh daemon without a
/// disk gets the same configuration.
#[tokio::test]
async fn after_300_changes_and_a_crash_everyone_holds_the_last_one() {
    let addresses = [1, 2].map(|number| entry(&format!("entry-{number}")));
    let mut control = ControlDaemon::start(&addresses);
    let mut holder = Holder::new(EntryPeer::start(&addresses[0], &[&control]));
    holder.entry.report(Revision(0), 0);
    for change in 1..=CHANGES {
        control
            .change(&intent(change), &format!("change-{change}"))
            .await;
    }
    holder.hold(Revision(CHANGES)).await;

    control.kill();
    control.start_again();

    let (revision, config) = accepted(&control).await;
    assert_eq!(revision, CHANGES);
    assert_eq!(*holder.configs.config(), config);
    let mut fresh = Holder::new(EntryPeer::start(&addresses[1], &[&control]));
    fresh.hold(Revision(CHANGES)).await;
    assert_eq!(*fresh.configs.config(), config);
    let last = control.change(&intent(CHANGES + 1), "one-more").await;
    fresh.hold(Revision(last)).await;
    assert_eq!((holder.older_seen, fresh.older_seen), (0, 0));
}

/// Measures the bytes that one change costs the way from control to a domain leader,
/// with each change acknowledged before the next, and prints them.
#[tokio::test]
async fn a_change_costs_a_daemon_little_more_than_what_changes() {
    let address = entry("entry-1");
    let control = ControlDaemon::start(std::slice::from_ref(&address));
    let mut holder = Holder::new(EntryPeer::start(&address, &[&control]));
    holder.entry.report(Revision(0), 0);
    control.change(&intent(1), "first").await;
    holder.hold(Revision(1)).await;
    let counters = holder.entry.peers.sender();
    let received = || {
        counters
            .counters()
            .received_bytes
            .load(std::sync::atomic::Ordering::Relaxed)
    };
    let before = (
        received(),
        figure(&control, "counters", "config_sent.whole").await,
    );

    for change in 2..=CHANGES {
        control
            .change(&intent(change), &format!("change-{change}"))
            .await;
        holder.hold(Revision(change)).await;
    }

    let wholes = figure(&control, "counters", "config_sent.whole").await - before.1;
    let deltas = figure(&control, "counters", "config_sent.delta").await;
    let bytes = received() - before.0;
    let whole = postcard::to_stdvec(&*holder.configs.config())
        .expect("a configuration")
        .len();
    println!(
        "{} changes: {} bytes a change, {deltas} deltas, {wholes} whole; a whole one has {whole}",
        CHANGES - 1,
        bytes / (CHANGES - 1),
    );
    assert_eq!(wholes, 0);
    assert!(bytes / (CHANGES - 1) < whole as u64);
}
