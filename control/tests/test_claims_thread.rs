//! Claims on a real disk: no claim is granted before it is synced or removed before it expires.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::{
    path::Path,
    sync::{
        Arc,
        mpsc, //
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use cicadabend::{
    claims::{
        ClaimRecord,
        NumberedRecord, //
    },
    peer_api::{
        ClaimAction,
        ClaimKey,
        ClaimRequest,
        ClaimVerdict,
        Claimant,
        PeerMessage,
        VoterSet, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
    duty,
    peers::Incoming,
    ring,
    storage::DataFolder, //
};

#[expect(dead_code, reason = "the binary's entry point is not called here")]
#[path = "../src/claims/mod.rs"]
mod claims;

use claims::ClaimLog;

const RETENTION: Duration = Duration::from_secs(300);
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

fn folder(path: &Path) -> DataFolder {
    DataFolder::open(path, &"control-1".parse().unwrap(), 42).unwrap()
}

fn key(text: &str) -> ClaimKey {
    ClaimKey {
        team: "large".parse().unwrap(),
        key: text.parse().unwrap(),
    }
}

fn claimant(attempt: u64) -> Claimant {
    Claimant {
        daemon: "entry-1".parse().unwrap(),
        boot: BootId(1),
        attempt,
    }
}

fn acquire(question: u64, key_text: &str, attempt: u64) -> Incoming {
    let request = ClaimRequest {
        question,
        key: key(key_text),
        voters_number: 1,
        action: ClaimAction::Acquire {
            claimant: claimant(attempt),
            fingerprint: 7,
        },
    };
    Incoming {
        from: "entry-1".parse().unwrap(),
        boot: BootId(1),
        message: PeerMessage::Claim(request),
    }
}

/// Runs the claims thread on a folder until it has answered these requests.
///
/// Returns the verdicts, sorted by the number of the question.
fn answers(path: &Path, requests: Vec<Incoming>) -> Vec<(u64, ClaimVerdict)> {
    let folder = folder(path);
    let voters = VoterSet {
        number: 1,
        voters: [folder.identity().clone()].into(),
    };
    let voters = Arc::new(ArcSwap::from_pointee(voters));
    let thread = claims::open(&folder, RETENTION, voters, Clock::start()).unwrap();
    let (requests_in, requests_out) = ring::bounded("claims", 16);
    let (answers_in, answers_out) = mpsc::channel();
    let count = requests.len();
    for request in requests {
        requests_in.push(request).unwrap();
    }
    let send = move |answer: claims::Answer| answers_in.send(answer).unwrap();
    let joined = duty::spawn("claims", move || thread.run(requests_out, send)).unwrap();
    let mut verdicts: Vec<(u64, ClaimVerdict)> = (0..count)
        .map(|_| answers_out.recv_timeout(REPLY_TIMEOUT).unwrap())
        .map(|answer| match answer.message {
            PeerMessage::ClaimReply(reply) => (reply.question, reply.verdict),
            other => panic!("not a reply: {other:?}"),
        })
        .collect();
    drop(requests_in);
    joined.join().unwrap();
    verdicts.sort_by_key(|(question, _)| *question);
    verdicts
}

// Guards against a second execution after a restart: a control daemon grants a claim and restarts.
// A later attempt with the same key must still be refused, since the first one may have run.
#[test]
fn a_claim_that_was_answered_is_remembered_after_a_restart() {
    let directory = tempfile::tempdir().unwrap();

    let first = answers(directory.path(), vec![acquire(1, "k", 1)]);
    let after_restart = answers(
        directory.path(),
        vec![acquire(2, "k", 2), acquire(3, "other", 3)],
    );

    assert_eq!(first, [(1, ClaimVerdict::Held)]);
    let by_first = ClaimVerdict::HeldByOther {
        holder: claimant(1),
        fingerprint_differs: false,
    };
    assert_eq!(after_restart, [(2, by_first), (3, ClaimVerdict::Held)]);
}

fn record(number: u64) -> NumberedRecord {
    let record = ClaimRecord::Released {
        key: key(&format!("k{number}")),
        claimant: claimant(number),
    };
    NumberedRecord { number, record }
}

/// Writes one record a second for this many seconds; returns the numbers of the remaining records.
fn remaining_after(seconds: u64) -> Vec<u64> {
    let directory = tempfile::tempdir().unwrap();
    let folder = folder(directory.path());
    let (mut log, _) = ClaimLog::open(&folder, RETENTION, Timestamp(0)).unwrap();
    for second in 0..=seconds {
        log.append(&record(second)).unwrap();
        log.sync().unwrap();
        log.rotate(Timestamp(second * 1_000)).unwrap();
    }
    drop(log);
    let (_, records) = ClaimLog::open(&folder, RETENTION, Timestamp(0)).unwrap();
    let mut numbers: Vec<u64> = records.iter().map(|record| record.number).collect();
    numbers.sort_unstable();
    numbers
}

// Guards against removing records before they expire, and against never removing them. The
// retention is 300 s and a journal is written for 100 s. The first journal is closed at 100 s, so
// its last record must remain until 400 s.
#[test]
fn records_leave_the_disk_when_their_retention_has_ended_and_not_before() {
    let before = remaining_after(399);
    let after = remaining_after(400);

    assert_eq!(before, (0..=399).collect::<Vec<_>>());
    assert_eq!(after, (101..=400).collect::<Vec<_>>());
}
