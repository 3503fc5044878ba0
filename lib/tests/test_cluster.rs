//! Who votes, as disks are lost and VMs replaced.

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

fn next(voters: &[Voter], here: &[Voter], silent: &[&str]) -> Option<BTreeSet<Voter>> {
    let voters: BTreeSet<Voter> = voters.iter().cloned().collect();
    let silent_for = |daemon: &DaemonId| {
        let is_silent = silent.contains(&daemon.as_str());
        Some(Duration::from_secs(if is_silent { 30 } else { 0 }))
    };
    next_voters(&VoterView {
        voters: &voters,
        me: &voter("10.0.0.1", 1),
        live_controls: here,
        silent_for: &silent_for,
        listening_for: Duration::from_secs(60),
    })
}

#[test]
fn nothing_changes_while_all_are_here() {
    let all = [
        voter("10.0.0.1", 1),
        voter("10.0.0.2", 2),
        voter("10.0.0.3", 3),
    ];

    assert_eq!(next(&all, &all[1..], &[]), None);
}

#[test]
fn a_lost_disk_goes_before_the_new_one_comes() {
    // The daemon is back with an empty disk. Counting it as the voter it was would let
    // two such disks make a majority that has lost what was acknowledged.
    let voters = [
        voter("10.0.0.1", 1),
        voter("10.0.0.2", 2),
        voter("10.0.0.3", 3),
    ];
    let here = [voter("10.0.0.2", 2), voter("10.0.0.3", 33)];

    let first = next(&voters, &here, &[]).unwrap();
    let left: Vec<Voter> = first.iter().cloned().collect();
    let second = next(&left, &here, &[]).unwrap();

    assert_eq!(left, voters[..2]);
    assert!(second.contains(&voter("10.0.0.3", 33)));
}

#[test]
fn a_voter_that_was_replaced_elsewhere_goes_once_its_successor_votes() {
    let old = [
        voter("10.0.0.1", 1),
        voter("10.0.0.2", 2),
        voter("10.0.0.3", 3),
    ];
    let new = voter("10.0.0.9", 9);
    let here = [voter("10.0.0.2", 2), new.clone()];

    let first = next(&old, &here, &["10.0.0.3"]).unwrap();
    let grown: Vec<Voter> = first.iter().cloned().collect();
    let second = next(&grown, &here, &["10.0.0.3"]).unwrap();

    assert!(first.contains(&new) && first.len() == 4);
    assert_eq!(second.len(), 3);
    assert!(!second.contains(&voter("10.0.0.3", 3)));
}

#[test]
fn silence_alone_never_leaves_fewer_than_three() {
    let all = [
        voter("10.0.0.1", 1),
        voter("10.0.0.2", 2),
        voter("10.0.0.3", 3),
    ];

    assert_eq!(next(&all, &all[1..2], &["10.0.0.3"]), None);
}
