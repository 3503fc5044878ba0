//! Changes to the set of voters when disks are lost and VMs are replaced.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use cicadabend::{
    cluster::{
        VoterView,
        next_voters, //
    },
    fleet::Voter,
    prelude::*,
};

fn voter(daemon: &str, disk: u64) -> Voter {
    Voter {
        daemon: daemon.parse().unwrap(),
        disk,
    }
}

/// Returns the next set of voters; the leader is 10.0.0.1, `live_controls` are the other live
/// control daemons, and those in `silent` sent their last message 30 s ago.
fn next(voters: &[Voter], live_controls: &[Voter], silent: &[&str]) -> Option<BTreeSet<Voter>> {
    let voters: BTreeSet<Voter> = voters.iter().cloned().collect();
    let silent_for = |daemon: &DaemonId| {
        let is_silent = silent.contains(&daemon.as_str());
        Some(Duration::from_secs(if is_silent { 30 } else { 0 }))
    };
    next_voters(&VoterView {
        voters: &voters,
        me: &voter("10.0.0.1", 1),
        live_controls,
        silent_for: &silent_for,
        listening_for: Duration::from_secs(60),
    })
}

#[test]
fn voters_stay_the_same_while_all_are_live() {
    let all = [
        voter("10.0.0.1", 1),
        voter("10.0.0.2", 2),
        voter("10.0.0.3", 3),
    ];

    assert_eq!(next(&all, &all[1..], &[]), None);
}

#[test]
fn a_lost_disk_is_removed_before_the_new_one_is_added() {
    // A daemon returns with an empty disk. If it still counted as its old voter, two such daemons
    // would form a majority that lacks acknowledged entries.
    let voters = [
        voter("10.0.0.1", 1),
        voter("10.0.0.2", 2),
        voter("10.0.0.3", 3),
    ];
    let live = [voter("10.0.0.2", 2), voter("10.0.0.3", 33)];

    let first = next(&voters, &live, &[]).unwrap();
    let left: Vec<Voter> = first.iter().cloned().collect();
    let second = next(&left, &live, &[]).unwrap();

    assert_eq!(left, voters[..2]);
    assert!(second.contains(&voter("10.0.0.3", 33)));
}

#[test]
fn a_silent_voter_is_removed_once_its_replacement_is_a_voter() {
    let old = [
        voter("10.0.0.1", 1),
        voter("10.0.0.2", 2),
        voter("10.0.0.3", 3),
    ];
    let new = voter("10.0.0.9", 9);
    let live = [voter("10.0.0.2", 2), new.clone()];

    let first = next(&old, &live, &["10.0.0.3"]).unwrap();
    let grown: Vec<Voter> = first.iter().cloned().collect();
    let second = next(&grown, &live, &["10.0.0.3"]).unwrap();

    assert!(first.contains(&new) && first.len() == 4);
    assert_eq!(second.len(), 3);
    assert!(!second.contains(&voter("10.0.0.3", 3)));
}

#[test]
fn a_silent_voter_stays_if_fewer_than_three_would_remain() {
    let all = [
        voter("10.0.0.1", 1),
        voter("10.0.0.2", 2),
        voter("10.0.0.3", 3),
    ];

    assert_eq!(next(&all, &all[1..2], &["10.0.0.3"]), None);
}
