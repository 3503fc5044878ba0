//! The path of an operator's intent: it becomes a plan, is accepted, survives a crash of the
//! control daemon and reaches an entry daemon.

use crate::fixtures::{
    ANA,
    ControlDaemon,
    EntryPeer,
    entry,
    intent, //
};
use cicadabend::{
    peer_api::{
        ConfigBody,
        PeerMessage, //
    },
    prelude::*,
};
use http::Method;

#[tokio::test]
async fn an_accepted_plan_is_on_disk_and_reaches_the_entry_daemon() {
    let entry = entry("entry-1");
    let mut control = ControlDaemon::start(std::slice::from_ref(&entry));
    let mut entry = EntryPeer::start(&entry, &[&control]);
    let body = intent(3).to_string();

    let (status, plan) = control.request(ANA, Method::POST, "/v1/plans", &body).await;
    assert_eq!(status, 200, "{plan}");
    assert_eq!(plan["base_revision"], 0);
    assert_eq!(plan["changes"][0]["value"]["path"], "$.teams.quality");
    let confirm = format!(r#"{{"plan": {}, "idempotency_key": "k1"}}"#, plan["id"]);
    let (_, first) = control
        .request(ANA, Method::POST, "/v1/confirm", &confirm)
        .await;
    assert_eq!(first["accepted"]["revision"], 1, "{first}");

    control.kill();
    control.start_again();
    let (_, resent) = control
        .request(ANA, Method::POST, "/v1/confirm", &confirm)
        .await;
    assert_eq!(resent, first);
    let (_, config) = control.request(ANA, Method::GET, "/v1/config", "").await;
    assert_eq!(config["revision"], 1);

    receive_whole(&mut entry, Revision(1)).await;
    entry.report(Revision(0), 0);
    wait_for_in_force(&control, &entry).await;
    assert_eq!(control.terminate(), Some(0));
}

async fn receive_whole(entry: &mut EntryPeer, wanted: Revision) {
    loop {
        let PeerMessage::Config(update) = entry.next().await.message else {
            continue;
        };
        match update.body {
            ConfigBody::Whole(config) if update.revision == wanted => {
                assert_eq!(config.teams.len(), 1);
                return;
            }
            _ if update.revision == wanted => {
                let have = Revision(0);
                let request = PeerMessage::ConfigRequest { have };
                entry.send(&request);
            }
            _ => {}
        }
    }
}

async fn wait_for_in_force(control: &ControlDaemon, entry: &EntryPeer) {
    for sequence in 1.. {
        entry.report(Revision(1), sequence);
        let (_, status) = control.request(ANA, Method::GET, "/v1/status", "").await;
        if status["in_force"] == true && status["unreachable"] == serde_json::json!([]) {
            assert_eq!(status["revision"], 1);
            return;
        }
        assert!(sequence < 400, "{status}");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}
