//! The answers that operators get while control daemons crash, pause, are cut off or lose their
//! disk.

use std::{
    thread,
    time::Duration, //
};

use cicadabend_daemon::storage::verify;
use cicadabend_testutils::wait::eventually;
use http::Method;
use serde_json::{
    Value,
    json, //
};

use crate::fixtures::{
    Controls,
    LIMIT,
    intent, //
};

const ALL: [usize; 3] = [0, 1, 2];

fn others(than: usize) -> Vec<usize> {
    ALL.into_iter().filter(|at| *at != than).collect()
}

// Guards against losing an accepted change with its leader. The leader is killed right after it has
// accepted a change; the operator sends the confirmation again, to the other daemons, and must get
// the same answer.
#[test]
fn a_change_survives_the_crash_of_its_leader() {
    let mut controls = Controls::start(3);
    let plan = controls.plan(&ALL, 1);
    let first = controls.confirm(&ALL, &plan, "key-1");
    let leader = controls.leader(&ALL);

    controls.processes[leader].kill();

    let rest = others(leader);
    assert_eq!(controls.confirm(&rest, &plan, "key-1"), first);
    assert_eq!(controls.accepted(&rest), (1, 1));
    assert_eq!(controls.change(&rest, 2), 2);

    controls.start_again(leader);
    controls.processes[rest[0]].kill();
    let now = [leader, rest[1]];
    assert_eq!(controls.accepted(&now), (2, 2));
}

// Guards against a paused leader that still believes in its lease. Its process is paused for longer
// than any lease while the others accept a change. After it continues, it must neither return the
// old revision nor accept anything.
#[test]
fn a_paused_leader_wakes_and_tells_nothing_old() {
    let controls = Controls::start(3);
    controls.change(&ALL, 1);
    let old = controls.leader(&ALL);
    let rest = others(old);

    controls.processes[old].pause();
    assert_eq!(controls.change(&rest, 2), 2);
    controls.processes[old].resume();
    for _ in 0..50 {
        let answer = controls.send(old, Method::GET, "/v1/config", &Value::Null);
        let answer = answer.expect("the old leader answers");
        if answer.status.is_success() {
            // The old leader may have been elected again; then it has the others' change.
            assert_eq!(answer.json()["revision"], 2);
        }
    }
    assert_eq!(controls.accepted(&ALL), (2, 2));
}

// Guards against a leader that accepts changes without a majority. The leader is cut off from the
// other control daemons, but not from its operators: it must answer `no_quorum` while the others
// accept changes, and must have these changes once the links are repaired.
#[test]
fn a_cut_off_leader_refuses_and_catches_up() {
    let mut controls = Controls::start(3);
    controls.change(&ALL, 1);
    let old = controls.leader(&ALL);
    let rest = others(old);

    controls.cut_off(old);
    assert_eq!(controls.change(&rest, 2), 2);
    let refused = controls.send(old, Method::POST, "/v1/plans", &intent(9));
    let refused = refused.expect("the cut-off daemon answers");
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.json(), json!("no_quorum"));

    controls.heal();
    let leader = controls.leader(&rest);
    let third = rest
        .iter()
        .find(|at| **at != leader)
        .expect("three daemons");
    assert_eq!(controls.change(&rest, 3), 3);
    controls.processes[*third].kill();
    // The daemon that was cut off is now needed for a majority.
    assert_eq!(controls.accepted(&[old, leader]), (3, 3));
}

// Guards against losing an acknowledged change with a disk. One daemon acknowledges the last change
// and then loses its disk, while another daemon was down and lacks the change. These two must not
// form a majority.
#[test]
fn a_lost_disk_is_no_voter() {
    let mut controls = Controls::start(3);
    controls.change(&ALL, 1);
    let leader = controls.leader(&ALL);
    let rest = others(leader);
    let (lagging, losing) = (rest[0], rest[1]);
    controls.processes[lagging].kill();
    assert_eq!(controls.change(&[leader, losing], 2), 2);

    controls.processes[losing].kill();
    controls.lose_disk(losing);
    controls.processes[leader].kill();
    controls.start_again(losing);
    controls.start_again(lagging);
    thread::sleep(Duration::from_secs(3));
    for at in [losing, lagging] {
        let answer = controls.send(at, Method::GET, "/v1/config", &Value::Null);
        let answer = answer.expect("the daemon answers");
        assert_eq!(answer.status, 503, "{}", answer.text());
    }

    controls.start_again(leader);
    assert_eq!(controls.accepted(&ALL), (2, 2));
    eventually("the new disk is named", LIMIT, || {
        let log = controls.processes[leader].log();
        log.contains("CB1705").then_some(())
    });
}

// Guards against losing changes by compaction: 300 changes are made, by which the log is compacted
// many times, then all daemons are killed and started again.
#[test]
fn hundreds_of_changes_survive_a_restart_of_all() {
    let mut controls = Controls::start(3);
    for weight in 1..=300 {
        assert_eq!(controls.change(&ALL, weight), weight);
    }
    for at in ALL {
        controls.processes[at].kill();
    }
    for at in ALL {
        let report = verify(&controls.data_folder(at)).expect("the folder is whole");
        let log = report.journals.iter().find(|one| one.name == "agreement");
        let records = log.expect("the log is there").records.len();
        assert!(records < 600, "{records} records after compaction");
    }
    for at in ALL {
        controls.start_again(at);
    }
    assert_eq!(controls.accepted(&ALL), (300, 300));
}

// Guards against a planned stop that leaves the fleet without a leader until an election time-out.
// The leader is asked to stop; it must hand over and exit with 0, and the others accept changes.
#[test]
fn a_planned_stop_hands_leadership_over() {
    let mut controls = Controls::start(3);
    controls.change(&ALL, 1);
    let leader = controls.leader(&ALL);

    controls.processes[leader].terminate();
    let exit = controls.processes[leader].wait_for_exit(LIMIT);

    assert_eq!(exit.expect("the daemon ends").code(), Some(0));
    let log = controls.processes[leader].log();
    assert!(
        log.contains("CB1703"),
        "it stopped leading before it ended:\n{log}"
    );
    assert_eq!(controls.change(&others(leader), 2), 2);
}

// Guards against losing an acknowledged change when all daemons crash at once. They are killed
// during a confirmation, five times; a confirmation that is sent again with the same key must get
// one definite answer.
#[test]
fn acknowledged_changes_survive_crashes_of_all_daemons() {
    let mut controls = Controls::start(3);
    for round in 1..=5 {
        let plan = controls.plan(&ALL, round);
        let leader = controls.leader(&ALL);
        let body = json!({"plan": plan["id"], "idempotency_key": format!("key-{round}")});
        thread::scope(|scope| {
            let confirming =
                scope.spawn(|| controls.send(leader, Method::POST, "/v1/confirm", &body));
            thread::sleep(Duration::from_millis(round * 2));
            confirming.join().expect("the operator's thread ends")
        });
        for at in ALL {
            controls.processes[at].kill();
        }
        for at in ALL {
            controls.start_again(at);
        }
        let reply = controls.confirm(&ALL, &plan, &format!("key-{round}"));
        assert_eq!(reply["accepted"]["revision"], round, "{reply}");
    }
}
