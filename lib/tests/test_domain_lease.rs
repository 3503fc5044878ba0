//! The domain leader's lease among voters; the test delivers their messages itself.

#![expect(
    clippy::expect_used,
    reason = "a fixture that cannot be set up ends its test"
)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use cicadabend::{
    domain::{
        lease::{
            Lease,
            LeaseSend, //
        },
        parameters::{
            DomainParameters,
            DomainTiming, //
        },
    },
    peer_api::LeaseMessage,
    prelude::*,
};

const LEASE_MS: u64 = 2_000;

fn daemon(number: usize) -> DaemonId {
    format!("entry-{number}").parse().expect("a valid name")
}

fn parameters(number: usize, count: usize) -> DomainParameters {
    DomainParameters {
        daemon: daemon(number),
        failure_domain: "cumbaya".parse().expect("a valid name"),
        daemons: (0..count).map(daemon).collect(),
        control: BTreeMap::new(),
        other_domains: BTreeMap::new(),
        timing: DomainTiming {
            leader_lease: Duration::from_millis(LEASE_MS),
            heartbeat: Duration::from_millis(400),
            clock_rate_error: Percent(5),
            settle: Duration::from_millis(1_500),
            upstream_lease: Duration::from_millis(2_000),
            announce_interval: Duration::from_millis(500),
        },
        seed: number as u64,
    }
}

/// Voters that share one clock. Messages arrive at once; a dead voter gets none.
struct Voters {
    leases: Vec<Lease>,
    dead: BTreeSet<usize>,
    now_ms: u64,
}

impl Voters {
    fn new(count: usize) -> Self {
        let start = |number| Lease::new(parameters(number, count), Timestamp(0));
        Self {
            leases: (0..count).map(start).collect(),
            dead: BTreeSet::new(),
            now_ms: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.now_ms)
    }

    /// Lets time pass in steps of 50 ms; each live voter ticks in each step.
    fn advance(&mut self, length_ms: u64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.now_ms += 50;
            for number in 0..self.leases.len() {
                if !self.dead.contains(&number) {
                    let now = self.now();
                    let sends = self.leases[number].tick(now);
                    self.deliver(number, sends);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, sends: Vec<LeaseSend>) {
        for (to, message) in sends {
            let receiver = (0..self.leases.len()).find(|number| daemon(*number) == to);
            let receiver = receiver.expect("a known daemon");
            if self.dead.contains(&receiver) {
                continue;
            }
            let now = self.now();
            let replies = self.leases[receiver].handle(&daemon(from), &message, now);
            self.deliver(receiver, replies);
        }
    }

    fn holder(&self) -> Option<(usize, u32)> {
        let mut numbers = 0..self.leases.len();
        numbers.find_map(|number| {
            let epoch = self.leases[number].held_epoch(self.now())?;
            Some((number, epoch))
        })
    }
}

/// A lone daemon leads one lease length after its start: it may have granted the lease before a
/// restart and has no record of that.
#[test]
fn one_daemon_leads_alone_after_one_lease_length() {
    let mut voters = Voters::new(1);

    voters.advance(LEASE_MS);
    let before = voters.holder();
    voters.advance(LEASE_MS);

    assert_eq!(before, None);
    assert_eq!(voters.holder().map(|(number, _)| number), Some(0));
}

/// With two of three daemons dead, the third doesn't lead, so the groups are still served but
/// not repaired. The daemon can't tell a crash from a network partition, on whose other side
/// the two might have a leader.
#[test]
fn one_of_three_daemons_does_not_lead() {
    let mut voters = Voters::new(3);
    voters.advance(2 * LEASE_MS);
    let (leader, epoch) = voters.holder().expect("a leader");

    voters.dead = (0..3).filter(|number| *number != leader).collect();
    voters.advance(10 * LEASE_MS);
    let alone = voters.holder();
    voters.dead.clear();
    voters.advance(3 * LEASE_MS);

    assert_eq!(alone, None);
    let (_, later) = voters.holder().expect("a leader again");
    assert!(later > epoch);
}

/// The leader is suspended between checking its lease and sending. On waking, its lease has
/// expired by its own clock before any other daemon gets one.
#[test]
fn a_woken_leader_does_not_hold_the_lease() {
    let mut voters = Voters::new(3);
    voters.advance(2 * LEASE_MS);
    let (leader, epoch) = voters.holder().expect("a leader");

    voters.dead.insert(leader);
    let mut held_until_ms = voters.now_ms;
    while voters.leases[leader]
        .held_epoch(Timestamp(held_until_ms))
        .is_some()
    {
        held_until_ms += 1;
    }
    let mut taken_over_ms = None;
    while taken_over_ms.is_none() {
        voters.advance(50);
        let other = voters.holder().filter(|(number, _)| *number != leader);
        taken_over_ms = other.map(|_| voters.now_ms);
    }

    assert!(taken_over_ms > Some(held_until_ms));
    assert_eq!(voters.leases[leader].held_epoch(voters.now()), None);
    assert!(voters.holder().expect("a leader").1 > epoch);
}

/// A leader that sees a higher epoch in an engine's token steps down at once, although its
/// lease still runs: another daemon was granted a later lease.
#[test]
fn a_higher_epoch_ends_the_lease_at_once() {
    let mut voters = Voters::new(3);
    voters.advance(2 * LEASE_MS);
    let (leader, epoch) = voters.holder().expect("a leader");
    let now = voters.now();

    voters.leases[leader].observe_epoch(epoch + 1, now);

    assert_eq!(voters.leases[leader].held_epoch(now), None);
    voters.advance(3 * LEASE_MS);
    assert!(voters.holder().expect("a leader").1 > epoch + 1);
}

/// A follower that was partitioned off probes for the lease over and over. Probes don't depose
/// the leader, because a probe changes nothing at the voters.
#[test]
fn a_probe_does_not_depose_the_leader() {
    let mut voters = Voters::new(3);
    voters.advance(2 * LEASE_MS);
    let before = voters.holder().expect("a leader");
    let follower = (before.0 + 1) % 3;

    for _ in 0..50 {
        let probe = LeaseMessage::Probe { epoch: 1_000 };
        voters.deliver(follower, vec![(daemon(before.0), probe)]);
        voters.advance(50);
    }

    assert_eq!(voters.holder(), Some(before));
}

/// A voter restarts while the leader lives. The voter grants nothing for one lease length, then
/// accepts the leader's renewals; the leader keeps its lease throughout.
#[test]
fn a_restarted_voter_follows_the_present_leader() {
    let mut voters = Voters::new(3);
    voters.advance(2 * LEASE_MS);
    let before = voters.holder().expect("a leader");
    let restarted = (before.0 + 1) % 3;

    voters.leases[restarted] = Lease::new(parameters(restarted, 3), voters.now());
    voters.advance(LEASE_MS);
    let early = voters.leases[restarted].leader(voters.now()).is_some();
    voters.advance(LEASE_MS);

    assert!(!early);
    assert_eq!(voters.holder(), Some(before));
    let now = voters.now();
    let leader = voters.leases[restarted]
        .leader(now)
        .map(|(leader, _)| leader.clone());
    assert_eq!(leader, Some(daemon(before.0)));
}

/// Late and duplicate replies to earlier rounds arrive. Counted for the newest round, they
/// would extend the lease beyond the voters' grants.
#[test]
fn late_and_duplicate_grants_do_not_extend_the_lease() {
    let mut voters = Voters::new(3);
    voters.advance(2 * LEASE_MS);
    let (leader, epoch) = voters.holder().expect("a leader");
    let until = voters.leases[leader].held_until();

    for round in 0..3 {
        for follower in (0..3).filter(|number| *number != leader) {
            let reply = LeaseMessage::Reply {
                epoch,
                round,
                granted: true,
                highest_epoch: epoch,
            };
            let now = voters.now();
            voters.leases[leader].handle(&daemon(follower), &reply, now);
        }
    }

    assert_eq!(voters.leases[leader].held_until(), until);
}
