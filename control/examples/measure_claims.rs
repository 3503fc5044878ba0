//! Measures how many claims per second one replica answers on this disk.
//!
//! `cargo run --release -p cicadabend-control --example measure_claims [FOLDER]`
//!
//! Each run keeps a fixed number of claims in progress. Latencies are printed as multiples
//! of one sync of one small record on the same disk, measured in the same run.

use std::{
    collections::HashMap,
    error::Error,
    path::Path,
    sync::{
        Arc,
        mpsc, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use arc_swap::ArcSwap;
use cicadabend::{
    claims::{
        ClaimReplica,
        ReplicaBounds, //
    },
    fleet::Voter,
    peer_api::{
        ClaimAction,
        ClaimKey,
        ClaimReply,
        ClaimRequest,
        ClaimVerdict,
        Claimant,
        Envelope,
        PROTOCOL_VERSION,
        PeerMessage,
        StoredOutcome,
        VoterSet, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
    duty,
    peers::Incoming,
    ring,
    storage::{
        DataFolder,
        Journal,
        JournalSettings, //
    },
};

#[expect(dead_code, reason = "the binary's entry point is not called here")]
#[path = "../src/claims/mod.rs"]
mod claims;

const SYNCS: usize = 200;
const CLAIMS: u64 = 100_000;
const CLAIMS_IN_PROGRESS: [u64; 5] = [1, 16, 256, 1_024, 4_096];
const BODY_BYTES: usize = 1_024;
const KEYS_IN_MEMORY: u64 = 6_500_000;

fn main() -> Result<(), Box<dyn Error>> {
    let parent = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let directory = tempfile::tempdir_in(parent)?;
    let folder = DataFolder::open(directory.path(), &"control-1".parse()?, 42)?;
    let sync = median_sync(&folder)?;
    println!("one sync of one record: {} us", sync.as_micros());
    print_sizes()?;
    print_memory()?;
    println!("in progress | kind | claims/s | p50 in syncs | p99 in syncs");
    drop(folder);
    for in_progress in CLAIMS_IN_PROGRESS {
        for has_outcome in [false, true] {
            let claims = CLAIMS.min(in_progress * 1_000);
            measure(directory.path(), in_progress, claims, has_outcome, sync)?;
        }
    }
    Ok(())
}

/// Prints the size of each message about one request, without its length prefix of 4 bytes.
fn print_sizes() -> Result<(), Box<dyn Error>> {
    let voter = Voter {
        daemon: "control-cumbaya".parse()?,
        disk: u64::MAX,
    };
    let reply = |verdict| {
        PeerMessage::ClaimReply(ClaimReply {
            question: u64::MAX,
            voter: voter.clone(),
            verdict,
        })
    };
    let messages = [
        ("acquire", request(1, false)?.message),
        ("held", reply(ClaimVerdict::Held)),
        ("complete, 1 KiB", request(1, true)?.message),
        ("recorded", reply(ClaimVerdict::Recorded)),
    ];
    for (kind, message) in messages {
        let envelope = Envelope {
            protocol_version: PROTOCOL_VERSION,
            cluster: "auditorias-quito".parse()?,
            from: "entry-cumbaya-1".parse()?,
            boot: BootId(u64::MAX),
            number: 0,
            heard: 0,
            message,
        };
        println!("{kind}: {} bytes", postcard::to_stdvec(&envelope)?.len());
    }
    Ok(())
}

/// Prints the memory per stored key, with an outcome whose body was dropped.
fn print_memory() -> Result<(), Box<dyn Error>> {
    let identity = Voter {
        daemon: "control-1".parse()?,
        disk: 1,
    };
    let voters = VoterSet {
        number: 1,
        voters: [identity.clone()].into(),
    };
    let bounds = ReplicaBounds {
        retention: Duration::from_secs(300),
        max_keys: usize::MAX,
        max_body_bytes: 0,
        max_total_body_bytes: 0,
    };
    let mut replica = ClaimReplica::recover(identity, bounds, Vec::new(), Timestamp(0));
    let before = resident_bytes()?;
    for number in 0..KEYS_IN_MEMORY {
        let PeerMessage::Claim(request) = request(number, true)?.message else {
            continue;
        };
        replica.handle(&request, &voters, Timestamp(number / 1_000));
        replica.commit();
    }
    let bytes = resident_bytes()?.saturating_sub(before);
    let per_key = bytes / replica.len() as u64;
    println!("{KEYS_IN_MEMORY} keys: {per_key} bytes each in memory");
    Ok(())
}

fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    const PAGE_BYTES: u64 = 4_096;
    let pages = std::fs::read_to_string("/proc/self/statm")?;
    let resident = pages.split(' ').nth(1).ok_or("no resident size")?;
    Ok(resident.parse::<u64>()? * PAGE_BYTES)
}

fn median_sync(folder: &DataFolder) -> Result<Duration, Box<dyn Error>> {
    let (mut journal, _) = Journal::open(folder, "synctest", JournalSettings::default())?;
    let mut times = Vec::new();
    for _ in 0..SYNCS {
        let start = Instant::now();
        journal.append(&[7; 100])?;
        journal.sync()?;
        times.push(start.elapsed());
    }
    times.sort_unstable();
    Ok(times[SYNCS / 2])
}

fn request(number: u64, has_outcome: bool) -> Result<Incoming, Box<dyn Error>> {
    let claimant = Claimant {
        daemon: "entry-cumbaya-1".parse()?,
        boot: BootId(0x1234_5678_9abc_def0),
        attempt: number,
    };
    let fingerprint = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let action = if has_outcome {
        let outcome = StoredOutcome {
            status: 200,
            content_type: "application/json".to_owned(),
            body: Some(vec![b'x'; BODY_BYTES]),
        };
        ClaimAction::Complete {
            claimant,
            fingerprint,
            outcome,
        }
    } else {
        ClaimAction::Acquire {
            claimant,
            fingerprint,
        }
    };
    let key = ClaimKey {
        team: "auditorias-norte".parse()?,
        key: format!("{number:08}-7d1c-4f0e-9b1a-5f2b8f3c1a20-{has_outcome}").parse()?,
    };
    Ok(Incoming {
        from: "entry-cumbaya-1".parse()?,
        boot: BootId(1),
        message: PeerMessage::Claim(ClaimRequest {
            question: number,
            key,
            voters_number: 1,
            action,
        }),
    })
}

fn measure(
    path: &Path,
    in_progress: u64,
    claims: u64,
    has_outcome: bool,
    sync: Duration,
) -> Result<(), Box<dyn Error>> {
    let folder_path = path.join(format!("{in_progress}-{has_outcome}"));
    let folder = DataFolder::open(&folder_path, &"control-1".parse()?, 42)?;
    let voters = VoterSet {
        number: 1,
        voters: [folder.identity().clone()].into(),
    };
    let voters = Arc::new(ArcSwap::from_pointee(voters));
    let retention = Duration::from_secs(3_600);
    let thread = claims::open(&folder, retention, voters, Clock::start())?;
    let (requests_in, requests_out) = ring::bounded("claims", 4_096);
    let (answers_in, answers_out) = mpsc::channel();
    let send = move |answer: claims::Answer| {
        // The receiver is dropped only after the measurement has ended.
        let _ = answers_in.send(answer.message);
    };
    let joined = duty::spawn("claims", move || thread.run(requests_out, send))?;
    let mut sent = HashMap::new();
    let mut times = Vec::new();
    let start = Instant::now();
    let mut next = 0;
    while (times.len() as u64) < claims {
        while next < claims && (sent.len() as u64) < in_progress {
            let request = request(next, has_outcome)?;
            sent.insert(next, Instant::now());
            requests_in.push(request).map_err(|_| "the ring is full")?;
            next += 1;
        }
        if let PeerMessage::ClaimReply(reply) = answers_out.recv()?
            && let Some(at) = sent.remove(&reply.question)
        {
            times.push(at.elapsed());
        }
    }
    let rate = claims as f64 / start.elapsed().as_secs_f64();
    drop(requests_in);
    joined.join().map_err(|_| "the thread panicked")?;
    times.sort_unstable();
    let in_syncs = |percent: usize| {
        let time = times[times.len() * percent / 100];
        time.as_secs_f64() / sync.as_secs_f64()
    };
    let kind = if has_outcome {
        "complete, 1 KiB"
    } else {
        "acquire"
    };
    let (p50, p99) = (in_syncs(50), in_syncs(99));
    println!("{in_progress:>9} | {kind} | {rate:>8.0} | {p50:>6.1} | {p99:>6.1}");
    Ok(())
}
