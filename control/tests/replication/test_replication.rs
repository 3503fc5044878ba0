//! What operators see while control daemons die, stop, are cut off or lose their disk.

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

// The leader dies right after it has accepted a change. The operator resends the
// confirmation to the others and gets the first answer; nothing is lost.
#[test]
fn a_dead_leader_loses_nothing() {
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

// The leader's process is stopped for longer than any lease. The others accept a
// change. Woken, the old leader may neither tell the old revision nor accept anything.
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
            // It may have been elected anew; then it knows what the others accepted.
            assert_eq!(answer.json()["revision"], 2);
        }
    }
    assert_eq!(controls.accepted(&ALL), (2, 2));
}

// The leader is cut off from the other control daemons, but not from its operators.
// It says that there is no majority; the others go on; healed, all tell the same.
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
    // Only with the healed daemon is there a majority now.
    assert_eq!(controls.accepted(&[old, leader]), (3, 3));
}

// One daemon loses its disk while another one is down. Its old self has acknowledged
// the last change; the empty one must not make a majority with a daemon that lacks it.
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

// 300 changes, the log compacted many times, then everything dies at once.
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

// The leader is asked to stop. It hands over, ends with success, and the next change
// is accepted by the others.
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

// All daemons die in the middle of a change, again and again. Whatever was answered
// is there afterwards, and a resend of what was not answered gets one clear answer.
#[test]
fn crashes_of_all_keep_what_was_answered() {
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
