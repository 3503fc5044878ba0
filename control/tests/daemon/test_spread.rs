//! Sending of hundreds of revisions to a receiver, across restarts of the control daemon.

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

/// Returns an intent with ten teams, as both deployments have; the weight is that of the first.
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

async fn metric(control: &ControlDaemon, kind: &str, name: &str) -> u64 {
    control.metrics().await[kind][name]
        .as_u64()
        .unwrap_or_default()
}

async fn accepted(control: &ControlDaemon) -> (u64, FleetConfig) {
    let (_, answer) = control.request(ANA, Method::GET, "/v1/config", "").await;
    let config = serde_json::from_value(answer["config"].clone()).expect("a configuration");
    (answer["revision"].as_u64().expect("a number"), config)
}

/// Guards against sending an older revision after a crash. After 300 changes the control daemon is
/// killed and started again. The daemon must still have revision 300, a receiver that had all
/// revisions must get no older one, and a new receiver must get the same configuration.
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
    holder.wait_for_revision(Revision(CHANGES)).await;

    control.kill();
    control.start_again();

    let (revision, config) = accepted(&control).await;
    assert_eq!(revision, CHANGES);
    assert_eq!(*holder.configs.config(), config);
    let mut fresh = Holder::new(EntryPeer::start(&addresses[1], &[&control]));
    fresh.wait_for_revision(Revision(CHANGES)).await;
    assert_eq!(*fresh.configs.config(), config);
    let last = control.change(&intent(CHANGES + 1), "one-more").await;
    fresh.wait_for_revision(Revision(last)).await;
    assert_eq!((holder.older_seen, fresh.older_seen), (0, 0));
}

/// Guards against sending whole configurations where the changes suffice. Prints the bytes per
/// change that a domain leader receives; each change is acknowledged before the next.
#[tokio::test]
async fn a_change_costs_a_daemon_little_more_than_what_changes() {
    let address = entry("entry-1");
    let control = ControlDaemon::start(std::slice::from_ref(&address));
    let mut holder = Holder::new(EntryPeer::start(&address, &[&control]));
    holder.entry.report(Revision(0), 0);
    control.change(&intent(1), "first").await;
    holder.wait_for_revision(Revision(1)).await;
    let counters = holder.entry.peers.sender();
    let received = || {
        counters
            .counters()
            .received_bytes
            .load(std::sync::atomic::Ordering::Relaxed)
    };
    let before = (
        received(),
        metric(&control, "counters", "config_sent.whole").await,
    );

    for change in 2..=CHANGES {
        control
            .change(&intent(change), &format!("change-{change}"))
            .await;
        holder.wait_for_revision(Revision(change)).await;
    }

    let wholes = metric(&control, "counters", "config_sent.whole").await - before.1;
    let deltas = metric(&control, "counters", "config_sent.delta").await;
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
