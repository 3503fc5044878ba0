//! Named scenarios of the replicated log: pauses, crashes, partitions, lost disks and transfers.

use cicadabend::{
    agreement::{
        ChangeRefusal,
        Event,
        Founding,
        LogIndex,
        Message,
        MessageBody,
        Position,
        ProposalFailure,
        ProposalId,
        ReadMode,
        Refusal,
        RoleName,
        Settings,
        Status,
        Term,
        Unavailable,
        VoterChange, //
    },
    prelude::*, //
};
use rstest::rstest;

use super::cluster::{
    Cluster,
    InjectedFault,
    Step,
    Violation,
    entries_in,
    voter, //
};

const ELECTION_MS: u64 = 4_000;

fn settings() -> Settings {
    Settings {
        read_mode: ReadMode::Lease,
        trailing_entries: 2,
        ..Settings::default()
    }
}

/// Transfers leadership to node 0, whichever node the leader would choose.
fn make_first_lead(cluster: &mut Cluster) -> Result<(), Violation> {
    let leader = cluster.leader().unwrap();
    if leader != 0 {
        let term = status(cluster, leader).term;
        cluster.handle_event(leader, Event::Transfer)?;
        cluster
            .network
            .retain(|message| message.body != MessageBody::TimeoutNow);
        let take_over = Message {
            from: cluster.nodes[leader].voter.clone(),
            to: voter(0, 1),
            term,
            body: MessageBody::TimeoutNow,
        };
        cluster.handle_event(0, Event::Message(take_over))?;
        cluster.run(500)?;
    }
    assert_eq!(cluster.leader(), Some(0));
    Ok(())
}

/// Returns a cluster whose node 0 leads and has committed one proposal.
fn cluster_led_by_first(size: usize, fault: InjectedFault) -> Result<Cluster, Violation> {
    let mut cluster = Cluster::new(size, settings(), fault);
    cluster.run(ELECTION_MS)?;
    make_first_lead(&mut cluster)?;
    let id = cluster.propose(0)?;
    cluster.run(200)?;
    assert!(cluster.answered.contains(&id));
    Ok(cluster)
}

fn status(cluster: &Cluster, at: usize) -> Status {
    cluster.nodes[at].node.as_ref().unwrap().status()
}

fn failure_reason(cluster: &Cluster, id: ProposalId) -> Option<ProposalFailure> {
    let mut failed = cluster.failed.iter();
    failed
        .find(|(of, _)| *of == id)
        .map(|(_, reason)| reason.clone())
}

/// Makes a follower campaign, with messages to and from these voters only; it must win. The
/// messages that it sends as leader stay in flight.
fn elect(cluster: &mut Cluster, candidate: usize, voters: &[usize]) -> Result<(), Violation> {
    campaign(cluster, candidate)?;
    cluster.deliver_to(voters)?;
    cluster
        .network
        .retain(|message| matches!(message.body, MessageBody::VoteReply { .. }));
    for voter in voters {
        cluster.sync_all(*voter)?;
    }
    cluster.deliver_to(&[candidate])?;
    assert_eq!(status(cluster, candidate).role, RoleName::Leader);
    Ok(())
}

/// Makes a follower request votes in the next term; its requests stay in flight.
fn campaign(cluster: &mut Cluster, candidate: usize) -> Result<(), Violation> {
    let me = cluster.nodes[candidate].voter.clone();
    let take_over = Message {
        from: me.clone(),
        to: me,
        term: status(cluster, candidate).term,
        body: MessageBody::TimeoutNow,
    };
    cluster.network.clear();
    cluster.handle_event(candidate, Event::Message(take_over))?;
    cluster.sync_all(candidate)
}

/// Makes a node start a term without success and restart, so that its next term is higher.
fn skip_a_term(cluster: &mut Cluster, at: usize) -> Result<(), Violation> {
    campaign(cluster, at)?;
    cluster.crash(at)?;
    cluster.restart(at)
}

/// Partitions one node from all others.
fn cut_off(cluster: &mut Cluster, at: u8) -> Result<(), Violation> {
    cluster.step(&Step::Partition { side: 1 << at })
}

fn heal(cluster: &mut Cluster) -> Result<(), Violation> {
    cluster.step(&Step::Heal)
}

// Guards against stale reads and writes after a pause: the leader's process is paused while its
// lease is valid, the others elect another leader and commit. When the old leader resumes, a read
// and a proposal reach it before any message; neither may succeed.
#[test]
fn a_paused_leader_serves_nothing_after_it_resumes() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    cluster.pause(0)?;
    cluster.run(ELECTION_MS)?;
    let new_leader = cluster.leader().unwrap();
    let newer = cluster.propose(new_leader)?;
    cluster.run(500)?;
    assert!(cluster.answered.contains(&newer));

    cluster.resume(0)?;
    let read = cluster.read(0)?;
    let change = cluster.propose(0)?;

    assert!(cluster.reads_failed.contains(&read));
    let refused = ProposalFailure::NotAppended(Unavailable::NoQuorum);
    assert_eq!(failure_reason(&cluster, change), Some(refused));
    cluster.run(ELECTION_MS)?;
    assert!(!cluster.answered.contains(&change));
    assert_eq!(status(&cluster, 0).role, RoleName::Follower);
    Ok(())
}

// Guards against a commit from old answers: the leader appended a proposal just before a pause, and
// messages of the others wait in its sockets. After it resumes, the proposal must not be committed.
#[test]
fn a_paused_leader_does_not_commit_the_entry_it_had_appended() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    let change = cluster.propose(0)?;
    cluster.network.clear();
    cluster.pause(0)?;
    cluster.run(ELECTION_MS)?;
    let new_leader = cluster.leader().unwrap();
    cluster.propose(new_leader)?;
    cluster.run(500)?;

    cluster.resume(0)?;
    cluster.run(ELECTION_MS)?;

    assert_eq!(
        failure_reason(&cluster, change),
        Some(ProposalFailure::Superseded)
    );
    assert!(!cluster.answered.contains(&change));
    Ok(())
}

// Guards against committing an entry of an older term by counting replicas: a later leader brings
// it to a majority and crashes before its own first entry reaches one. A node without the entry
// can still be elected; the checker fails if the entry was committed.
#[test]
fn an_older_terms_entry_is_not_committed_by_counting() -> Result<(), Violation> {
    let one_entry_a_message = Settings {
        append_limit_bytes: 1,
        ..settings()
    };
    let mut cluster = Cluster::new(5, one_entry_a_message, InjectedFault::None);
    cluster.run(ELECTION_MS)?;
    make_first_lead(&mut cluster)?;
    cluster.run(1_000)?;
    let settled = status(&cluster, 0).commit;

    cluster.network.clear();
    cluster.propose(0)?;
    cluster.sync_all(0)?;
    cluster.deliver_to(&[1])?;
    cluster.sync_all(1)?;
    cluster.crash(0)?;
    cluster.restart(0)?;
    elect(&mut cluster, 4, &[2, 3])?;
    cluster.sync_all(4)?;
    cluster.crash(4)?;

    skip_a_term(&mut cluster, 0)?;
    elect(&mut cluster, 0, &[1, 2])?;
    cluster.sync_all(0)?;
    for _ in 0..2 {
        // Node 1 answers before it syncs the entry of the leader's term; node 2 lacks both entries.
        cluster.deliver_to(&[1, 2])?;
        cluster.deliver_to(&[0])?;
        cluster.sync_all(2)?;
    }
    cluster.deliver_to(&[0])?;
    assert_eq!(status(&cluster, 0).commit, settled);
    cluster.crash(0)?;

    cluster.restart(4)?;
    skip_a_term(&mut cluster, 4)?;
    elect(&mut cluster, 4, &[2, 3])?;
    cluster.recover()?;
    cluster.run(ELECTION_MS)
}

// Guards against lease reads after a leadership transfer: the voters elect the target at once,
// although they have just answered the old leader, whose lease would still be valid. Partitioned,
// the old leader must not serve reads by that lease.
#[test]
fn a_lease_is_void_once_a_transfer_was_requested() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    cluster.run(500)?;
    cluster.handle_event(0, Event::Transfer)?;
    cluster.deliver_to(&[1, 2])?;
    cut_off(&mut cluster, 0)?;
    cluster.run(100)?;
    let new_leader = status(&cluster, 1).leader.map(|leader| leader.daemon);
    assert_ne!(new_leader, Some(voter(0, 1).daemon));
    let new_leader = (1..3).find(|at| status(&cluster, *at).role == RoleName::Leader);
    let id = cluster.propose(new_leader.unwrap())?;
    cluster.run(100)?;
    assert!(cluster.answered.contains(&id));
    assert_eq!(status(&cluster, 0).role, RoleName::Leader);

    let read = cluster.read(0)?;

    assert!(!cluster.reads_ready.contains(&read));
    cluster.run(ELECTION_MS)?;
    assert!(cluster.reads_failed.contains(&read));
    Ok(())
}

// Guards against stale reads on a new leader: its predecessor commits and answers a proposal and
// crashes before the others learn of the commit. The new leader has the entry, but may serve reads
// only after the first entry of its own term is committed.
#[test]
fn a_new_leader_does_not_read_before_it_knows_what_is_committed() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    cluster.run(500)?;
    cluster.network.clear();
    let id = cluster.propose(0)?;
    cluster.sync_all(0)?;
    cluster.deliver_to(&[1])?;
    cluster.sync_all(1)?;
    cluster.deliver_to(&[0])?;
    cluster.sync_all(0)?;
    assert!(cluster.answered.contains(&id));
    cluster.crash(0)?;

    elect(&mut cluster, 1, &[2])?;
    let read = cluster.read(1)?;
    cluster.deliver_to(&[2])?;
    cluster.deliver_to(&[1])?;
    assert!(!cluster.reads_ready.contains(&read));

    cluster.run(1_000)?;
    assert!(cluster.reads_ready.contains(&read));
    Ok(())
}

// Guards against a check of reads that cannot fail: a leader's clock far slower than allowed keeps
// its lease too long, and the check must find a stale lease read. Quorum reads stay correct.
#[rstest]
#[case::lease(ReadMode::Lease, true)]
#[case::quorum(ReadMode::Quorum, false)]
fn a_clock_beyond_the_allowed_error_breaks_only_lease_reads(
    #[case] read_mode: ReadMode,
    #[case] breaks: bool,
) {
    let run = || -> Result<(), Violation> {
        let slow = InjectedFault::SlowClock;
        let mut cluster = Cluster::new(
            3,
            Settings {
                read_mode,
                ..settings()
            },
            slow,
        );
        cluster.run(ELECTION_MS)?;
        make_first_lead(&mut cluster)?;
        cut_off(&mut cluster, 0)?;
        for _ in 0..30 {
            cluster.run(100)?;
            for at in [1, 2] {
                cluster.propose(at)?;
            }
            cluster.read(0)?;
        }
        Ok(())
    };
    assert_eq!(run().is_err(), breaks, "{:?}", run());
}

// Guards against needless elections: a VM is partitioned for 60 s, keeps starting pre-votes, and
// returns. The leader must keep its leadership and its term.
#[test]
fn a_returning_vm_does_not_depose_the_leader() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    let term = status(&cluster, 0).term;
    cut_off(&mut cluster, 2)?;
    cluster.run(60_000)?;
    assert_eq!(status(&cluster, 2).term, term);

    heal(&mut cluster)?;
    cluster.run(5_000)?;

    assert_eq!(cluster.leader(), Some(0));
    assert_eq!(status(&cluster, 0).term, term);
    assert_eq!(status(&cluster, 2).leader, Some(voter(0, 1)));
    Ok(())
}

// Guards against a healthy leader being deposed: a candidate without a pre-vote requests votes in
// a higher term. Voters with a live leader must not even adopt the term.
#[test]
fn a_vote_request_is_ignored_while_a_leader_is_live() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    let term = status(&cluster, 0).term;
    for to in [0, 1] {
        let message = Message {
            from: voter(2, 1),
            to: voter(to, 1),
            term: Term(term.0 + 5),
            body: MessageBody::Vote {
                last: Position {
                    term: Term(term.0 + 4),
                    index: LogIndex(99),
                },
                transfer: false,
            },
        };
        cluster.handle_event(to, Event::Message(message))?;
    }

    assert_eq!(cluster.leader(), Some(0));
    assert_eq!(status(&cluster, 0).term, term);
    let refusals = cluster.nodes[1].node.as_ref().unwrap().refusals();
    assert_eq!(refusals.of(Refusal::LeaderAlive), 1);
    Ok(())
}

// Guards against a leader that accepts proposals without a majority: it must refuse them with "no
// quorum" once its lease has ended and step down within an election timeout. After the other nodes
// return, a leader must commit again.
#[test]
fn a_leader_without_majority_steps_down() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    cluster.crash(1)?;
    cluster.crash(2)?;
    cluster.run(950)?;
    let early = cluster.propose(0)?;
    cluster.run(250)?;
    let late = cluster.propose(0)?;

    let refused = ProposalFailure::NotAppended(Unavailable::NoQuorum);
    assert_eq!(failure_reason(&cluster, early), Some(refused.clone()));
    assert_eq!(failure_reason(&cluster, late), Some(refused));
    assert_ne!(status(&cluster, 0).role, RoleName::Leader);

    cluster.recover()?;
    cluster.run(ELECTION_MS)?;
    let leader = cluster.leader().unwrap();
    let id = cluster.propose(leader)?;
    cluster.run(500)?;
    assert!(cluster.answered.contains(&id));
    Ok(())
}

// Guards against lost entries after a disk loss: one of three VMs restarts with an empty disk while
// another one is down. It had acknowledged entries that it no longer has, so it may neither vote
// nor acknowledge under its old disk number.
#[test]
fn a_voter_that_lost_its_disk_is_refused() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    cluster.crash(2)?;
    let committed = cluster.propose(0)?;
    cluster.run(500)?;
    assert!(cluster.answered.contains(&committed));

    cluster.lose_disk(1)?;
    cluster.crash(0)?;
    cluster.restart(2)?;
    cluster.run(30_000)?;

    assert_eq!(cluster.leader(), None, "the entry's only holder is down");
    let refusals = cluster.nodes[1].node.as_ref().unwrap().refusals();
    assert!(refusals.of(Refusal::OtherVoter) > 0);

    cluster.restart(0)?;
    cluster.run(ELECTION_MS)?;
    assert_eq!(cluster.leader(), Some(0));
    cluster.run(1_000)?;
    assert_eq!(status(&cluster, 2).applied, status(&cluster, 0).applied);
    assert!(status(&cluster, 1).voters.voters.is_empty());
    Ok(())
}

// Guards against a replacement disk that does not count as a voter: the daemon is added as learner,
// promoted, and its old disk number removed. Then the new voter must make a majority with each of
// the others.
#[test]
fn a_lost_disk_is_replaced_one_voter_at_a_time() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    cluster.lose_disk(1)?;
    let new = voter(1, 2);

    let add = cluster.change(0, VoterChange::AddLearner(new.clone()))?;
    cluster.run(500)?;
    let promote = cluster.change(0, VoterChange::Promote(new.clone()))?;
    cluster.run(500)?;
    let remove = cluster.change(0, VoterChange::Remove(voter(1, 1)))?;
    cluster.run(500)?;
    for id in [add, promote, remove] {
        assert!(
            cluster.answered.contains(&id),
            "{:?}",
            failure_reason(&cluster, id)
        );
    }

    cluster.crash(2)?;
    let id = cluster.propose(0)?;
    cluster.run(500)?;
    assert!(
        cluster.answered.contains(&id),
        "the new voter makes the majority"
    );
    cluster.crash(0)?;
    cluster.restart(2)?;
    cluster.run(2 * ELECTION_MS)?;
    assert_eq!(
        cluster.leader(),
        Some(1),
        "only the new voter has the entry"
    );
    Ok(())
}

#[test]
fn only_one_change_of_voters_at_a_time() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;

    let first = cluster.change(0, VoterChange::Remove(voter(1, 1)))?;
    let second = cluster.change(0, VoterChange::Remove(voter(2, 1)))?;
    let unknown = cluster.change(0, VoterChange::Promote(voter(7, 1)))?;

    let refused = ProposalFailure::ChangeRefused(ChangeRefusal::NotSettled);
    assert_eq!(failure_reason(&cluster, second), Some(refused.clone()));
    assert_eq!(failure_reason(&cluster, unknown), Some(refused));
    cluster.run(500)?;
    assert!(cluster.answered.contains(&first));
    Ok(())
}

#[test]
fn an_empty_learner_is_not_promoted() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    for _ in 0..100 {
        cluster.propose(0)?;
    }
    // No process has this name, so the learner acknowledges nothing.
    let add = cluster.change(0, VoterChange::AddLearner(voter(7, 1)))?;
    cluster.run(500)?;
    assert!(cluster.answered.contains(&add));

    let promote = cluster.change(0, VoterChange::Promote(voter(7, 1)))?;

    let refused = ProposalFailure::ChangeRefused(ChangeRefusal::NotCaughtUp);
    assert_eq!(failure_reason(&cluster, promote), Some(refused));
    Ok(())
}

// Guards against a gap in leadership at a planned stop: another voter must lead long before an
// election timeout has passed, and the proposal made just before the transfer is not lost.
#[test]
fn leadership_is_transferred_without_a_gap() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    let id = cluster.propose(0)?;
    cluster.handle_event(0, Event::Transfer)?;
    let refused = cluster.propose(0)?;
    cluster.run(100)?;

    let leader = cluster.leader().unwrap();
    assert_ne!(leader, 0);
    cluster.run(200)?;
    assert!(cluster.answered.contains(&id));
    let expected = Unavailable::NotLeader {
        leader: cluster.nodes[leader].voter.clone(),
    };
    assert_eq!(
        failure_reason(&cluster, refused),
        Some(ProposalFailure::NotAppended(expected))
    );
    Ok(())
}

// Guards against a follower that cannot catch up: it was down while the others compacted their logs
// several times, so it needs a snapshot.
#[test]
fn a_follower_behind_the_compacted_log_gets_a_snapshot() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    cluster.crash(2)?;
    for _ in 0..40 {
        cluster.propose(0)?;
        cluster.run(40)?;
        cluster.compact(0)?;
        cluster.compact(1)?;
    }

    cluster.restart(2)?;
    cluster.run(2_000)?;

    assert_eq!(status(&cluster, 2).applied, status(&cluster, 0).applied);
    assert!(
        cluster.nodes[2]
            .node
            .as_ref()
            .unwrap()
            .entry(LogIndex(2))
            .is_none()
    );
    Ok(())
}

#[test]
fn entries_are_not_retransmitted_to_a_silent_node() -> Result<(), Violation> {
    // Guards against retransmits that pile up for an unreachable node: they queue in the leader's
    // memory, at 1.4 MB/s, and arrive all at once when the partition ends. 25 MB after 15 s blocked
    // all other traffic on that link for two seconds. Here one node is partitioned for 30 s.
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    for _ in 0..50 {
        cluster.propose(0)?;
        cluster.run(20)?;
    }
    cluster.step(&Step::Partition { side: 0b001 })?;
    cluster.run(2_000)?;
    let lone = voter(0, 1).daemon;
    let before = cluster.entries_sent[&lone];

    cluster.run(28_000)?;

    let leader = cluster.leader().unwrap();
    assert_ne!(leader, 0);
    assert_eq!(cluster.entries_sent[&lone] - before, 0);

    cluster.step(&Step::Heal)?;
    cluster.propose(leader)?;
    cluster.run(1_000)?;
    assert_eq!(cluster.nodes[0].applied, cluster.nodes[leader].applied);
    Ok(())
}

#[rstest]
#[case::an_append(false)]
#[case::a_snapshot(true)]
fn lost_entries_and_snapshots_are_retransmitted(#[case] compacts: bool) -> Result<(), Violation> {
    // Guards against entries that are never retransmitted: all entries to a live follower are lost for
    // a short time. It answers the next heartbeat and must get them without a further proposal.
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    cluster.crash(2)?;
    cluster.propose(0)?;
    cluster.run(500)?;
    if compacts {
        for _ in 0..5 {
            cluster.propose(0)?;
            cluster.run(50)?;
        }
        cluster.compact(0)?;
    }
    cluster.restart(2)?;
    for _ in 0..10 {
        cluster.advance(20)?;
        cluster
            .network
            .retain(|message| entries_in(&message.body) == 0);
        cluster.run(20)?;
    }

    cluster.run(2_000)?;

    assert_eq!(cluster.nodes[2].applied, cluster.nodes[0].applied);
    Ok(())
}

// Guards against state that reverts: after 300 proposals with compactions all processes crash at
// once and restart. Each must show its previous state at once, before it receives any message.
#[test]
fn nothing_reverts_after_hundreds_of_changes_and_a_restart_of_all() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    for change in 0..300 {
        let leader = cluster.leader().unwrap();
        cluster.propose(leader)?;
        cluster.run(20)?;
        if change % 50 == 49 {
            for at in 0..3 {
                cluster.compact(at)?;
            }
        }
    }
    cluster.run(500)?;
    let before = status(&cluster, 0).applied;
    for at in 0..3 {
        cluster.crash(at)?;
    }
    cluster.network.clear();
    for at in 0..3 {
        cluster.restart(at)?;
        assert_eq!(status(&cluster, at).applied, before);
    }
    cluster.run(ELECTION_MS)?;
    assert!(cluster.leader().is_some());
    Ok(())
}

// Guards against votes that break a lease: a follower answers the leader, whose lease relies on the
// answer, and restarts at once. It has forgotten the leader's message, so it must wait before it
// votes.
#[test]
fn a_restarted_follower_does_not_vote_within_a_lease() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;
    cluster.crash(1)?;
    cluster.restart(1)?;
    let term = status(&cluster, 1).term;
    let message = Message {
        from: voter(2, 1),
        to: voter(1, 1),
        term: term.next(),
        body: MessageBody::Vote {
            last: Position {
                term,
                index: LogIndex(99),
            },
            transfer: false,
        },
    };

    cluster.handle_event(1, Event::Message(message))?;

    assert_eq!(status(&cluster, 1).term, term);
    Ok(())
}

#[test]
fn a_follower_names_the_leader() -> Result<(), Violation> {
    let mut cluster = cluster_led_by_first(3, InjectedFault::None)?;

    let id = cluster.propose(1)?;
    let read = cluster.read(2)?;

    let leader = voter(0, 1);
    let expected = ProposalFailure::NotAppended(Unavailable::NotLeader { leader });
    assert_eq!(failure_reason(&cluster, id), Some(expected));
    assert!(cluster.reads_failed.contains(&read));
    Ok(())
}

fn founding(position: usize, nonce: u64) -> Founding {
    let daemons: Vec<DaemonId> = (0..3).map(|at| voter(at, 1).daemon).collect();
    Founding::new(voter(position, 40 + position as u64), daemons, nonce)
}

#[test]
fn a_cluster_is_founded_when_all_nodes_are_new() {
    let mut first = founding(0, 11);
    let mut others = [founding(1, 12), founding(2, 13)];
    assert!(others.iter().all(|other| other.invitations().is_empty()));

    for (other, invitation) in others.iter_mut().zip(first.invitations()) {
        let answer = other.receive(&invitation).unwrap();
        assert_eq!(first.complete_voter_set(), None);
        first.receive(&answer);
    }

    let voters = first.complete_voter_set().unwrap().voters;
    assert_eq!(voters, [voter(0, 40), voter(1, 41), voter(2, 42)].into());
}

// Guards against a second founding: the first and the second daemon lost their disks. The third has
// state and does not answer, so no cluster is founded. A late answer to the founder's earlier
// process, with another nonce, must not count either.
#[test]
fn one_node_with_state_prevents_a_second_founding() {
    let mut first = founding(0, 11);
    let mut second = founding(1, 12);
    let invitation = first.invitations().remove(0);
    first.receive(&second.receive(&invitation).unwrap());
    let late = Message {
        from: voter(2, 42),
        to: voter(0, 40),
        term: Term(0),
        body: MessageBody::Fresh { nonce: 10 },
    };
    first.receive(&late);

    assert_eq!(first.complete_voter_set(), None);
    assert_eq!(first.invitations().len(), 1);
}
