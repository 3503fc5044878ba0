//! Measures how long a command takes until a majority of three daemons has synced it to disk.
//!
//! `cargo run --release -p cicadabend-control --example measure_commits [FOLDER]`
//!
//! Three control daemons' `agreement` and `storage` threads run in this process, with
//! a data folder each on the same disk and connections over loopback between them. Latencies
//! are printed as multiples of one sync of one small record, measured in the same run.

use std::{
    error::Error,
    net::SocketAddr,
    path::Path,
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use cicadabend::{
    fleet::{
        FleetCommand,
        state::Confirmation, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
    metrics::Metrics,
    peers::{
        PeerIdentity,
        Peers, //
    },
    program::Process,
    ring,
    settings::ControlSettings,
    stop,
    storage::{
        DataFolder,
        Journal,
        JournalSettings, //
    },
};
use futures_util::future::join_all;
use serde_json::json;

#[expect(dead_code, reason = "only a part of the log's interface is used here")]
#[path = "../src/replication/mod.rs"]
mod replication;

/// Stands in for the daemon's module `run`, of which the log uses one function.
mod run {
    use std::hash::{
        BuildHasher,
        Hasher,
        RandomState, //
    };

    pub(crate) fn random_number() -> u64 {
        RandomState::new().build_hasher().finish()
    }
}

use replication::ReplicationHandle;

const DAEMONS: usize = 3;
const SYNCS: usize = 150;
const COMMANDS_IN_PROGRESS: [usize; 5] = [1, 4, 16, 64, 256];
const MEASURE_TIME: Duration = Duration::from_secs(2);
const ELECTIONS: usize = 6;
const LEADER_LIMIT: Duration = Duration::from_secs(20);

struct Daemon {
    handle: ReplicationHandle,
    peers: Peers,
    agreement: JoinHandle<()>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let parent = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let directory = tempfile::tempdir_in(parent)?;
    let addresses = free_addresses()?;
    let mut daemons = start_all(directory.path(), &addresses)?;
    println!("in progress | changes/s | sync p50 | changes per sync time | p50 in syncs | p99");
    for in_progress in COMMANDS_IN_PROGRESS {
        // Syncs are measured before and after each row, because other load on the machine changes
        // the duration of a sync.
        let mut sync = measure_syncs(directory.path())?;
        let (times, failures) = measure_commits(&daemons, in_progress)?;
        sync.extend(measure_syncs(directory.path())?);
        print_row(in_progress, &quantiles(times), &quantiles(sync), failures);
    }
    measure_elections(directory.path(), &addresses, &mut daemons)?;
    for daemon in daemons.into_iter().flatten() {
        daemon.stop();
    }
    Ok(())
}

struct Quantiles {
    count: usize,
    p50: Duration,
    p99: Duration,
}

fn quantiles(mut times: Vec<Duration>) -> Quantiles {
    times.sort_unstable();
    Quantiles {
        count: times.len(),
        p50: times[times.len() / 2],
        p99: times[times.len() * 99 / 100],
    }
}

fn measure_syncs(parent: &Path) -> Result<Vec<Duration>, Box<dyn Error>> {
    let folder = DataFolder::open(&parent.join("sync"), &"control-0".parse()?, 1)?;
    let (mut journal, _) = Journal::open(&folder, "synctest", JournalSettings::default())?;
    let mut times = Vec::new();
    for _ in 0..SYNCS {
        let start = Instant::now();
        journal.append(&[7; 100])?;
        journal.sync()?;
        times.push(start.elapsed());
    }
    Ok(times)
}

fn free_addresses() -> Result<Vec<SocketAddr>, Box<dyn Error>> {
    let addresses = (0..DAEMONS).map(|_| Ok(cicadabend_testutils::ports::reserve_address()?));
    addresses.collect()
}

fn settings(
    parent: &Path,
    addresses: &[SocketAddr],
    at: usize,
) -> Result<ControlSettings, Box<dyn Error>> {
    let peers = addresses.iter().enumerate().map(|(peer, address)| {
        json!({
            "daemon": format!("control-{peer}"),
            "role": "control",
            "failure_domain": format!("domain-{peer}"),
            "address": address,
        })
    });
    let peers: Vec<_> = peers.collect();
    Ok(serde_json::from_value(json!({
        "cluster": "measure",
        "daemon": format!("control-{at}"),
        "failure_domain": format!("domain-{at}"),
        "data_folder": parent.join(format!("control-{at}")),
        "operators": { "listen": "127.0.0.1:0", "token_file": "unused" },
        "peer_listen": addresses[at],
        "peers": peers,
    }))?)
}

fn start_all(
    parent: &Path,
    addresses: &[SocketAddr],
) -> Result<Vec<Option<Daemon>>, Box<dyn Error>> {
    let starts = (0..DAEMONS).map(|at| Ok(Some(start(parent, addresses, at)?)));
    starts.collect()
}

fn start(parent: &Path, addresses: &[SocketAddr], at: usize) -> Result<Daemon, Box<dyn Error>> {
    let settings = settings(parent, addresses, at)?;
    let (stop_requester, stop) = stop::manual();
    let process = Process {
        stop,
        stop_requester,
        metrics: Metrics::in_process_only(),
        clock: Clock::start(),
        settings_path: None,
    };
    let identity = PeerIdentity {
        cluster: settings.cluster.clone(),
        daemon: settings.daemon.clone(),
        boot: BootId(run::random_number()),
    };
    let (inbox, messages) = ring::bounded("agreement", 4_096);
    let peers = Peers::start(settings.peer_listen, identity, &settings.peers, inbox)?;
    let folder = DataFolder::open(
        Path::new(&settings.data_folder),
        &settings.daemon,
        run::random_number(),
    )?;
    let (handle, agreement) =
        replication::start(&settings, &folder, &process, peers.sender(), messages)?;
    Ok(Daemon {
        handle,
        peers,
        agreement,
    })
}

impl Daemon {
    fn stop(self) {
        drop(self.peers);
        // A panic of that thread was already reported by its own hook.
        let _ = self.agreement.join();
    }
}

fn leader(daemons: &[Option<Daemon>]) -> Result<usize, Box<dyn Error>> {
    let start = Instant::now();
    while start.elapsed() < LEADER_LIMIT {
        let leads = |daemon: &Option<Daemon>| {
            let daemon = daemon.as_ref();
            daemon.is_some_and(|daemon| daemon.handle.status().is_leader)
        };
        if let Some(at) = daemons.iter().position(leads) {
            return Ok(at);
        }
        thread::sleep(Duration::from_millis(1));
    }
    Err("no leader".into())
}

fn command(number: usize) -> Result<FleetCommand, Box<dyn Error>> {
    Ok(FleetCommand::Confirm(Confirmation {
        plan: PlanId(0),
        operator: "measure".to_owned(),
        idempotency_key: format!("key-{number}").parse()?,
        at_unix_s: 0,
        objection: None,
    }))
}

/// Keeps a fixed number of commands in progress at the leader for [`MEASURE_TIME`].
///
/// Returns the latencies of the successful commands and the number of failed ones.
fn measure_commits(
    daemons: &[Option<Daemon>],
    in_progress: usize,
) -> Result<(Vec<Duration>, usize), Box<dyn Error>> {
    let at = leader(daemons)?;
    let Some(daemon) = &daemons[at] else {
        return Err("the leader has been stopped".into());
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let start = Instant::now();
    let callers = (0..in_progress).map(|caller| async move {
        let mut times = Vec::new();
        let mut failures = 0_usize;
        while start.elapsed() < MEASURE_TIME {
            let number = in_progress * 10_000_000 + caller * 100_000 + times.len();
            let Ok(command) = command(number) else {
                break;
            };
            let begun = Instant::now();
            match daemon.handle.propose(command).await {
                Ok(_) => times.push(begun.elapsed()),
                Err(_) => failures += 1,
            }
        }
        (times, failures)
    });
    let results = runtime.block_on(join_all(callers));
    let failures = results.iter().map(|(_, failures)| failures).sum();
    let times = results.into_iter().flat_map(|(times, _)| times).collect();
    Ok((times, failures))
}

fn print_row(in_progress: usize, commit: &Quantiles, sync: &Quantiles, failures: usize) {
    let one_sync = sync.p50.as_secs_f64();
    let per_second = commit.count as f64 / MEASURE_TIME.as_secs_f64();
    println!(
        "{in_progress} | {per_second:.0} | {} us | {:.2} | {:.1} | {:.1} | {failures} failed",
        sync.p50.as_micros(),
        per_second * one_sync,
        commit.p50.as_secs_f64() / one_sync,
        commit.p99.as_secs_f64() / one_sync,
    );
}

/// Stops the leader without a hand-over, like a crash, and measures the time to the next leader.
fn measure_elections(
    parent: &Path,
    addresses: &[SocketAddr],
    daemons: &mut [Option<Daemon>],
) -> Result<(), Box<dyn Error>> {
    let mut times = Vec::new();
    for _ in 0..ELECTIONS {
        let at = leader(daemons)?;
        let ended = daemons[at].take();
        let start = Instant::now();
        if let Some(daemon) = ended {
            daemon.stop();
        }
        leader(daemons)?;
        times.push(start.elapsed());
        daemons[at] = Some(self::start(parent, addresses, at)?);
        // The restarted daemon must have contact to the leader before the next one is stopped.
        thread::sleep(Duration::from_millis(1_500));
    }
    times.sort_unstable();
    let ms: Vec<u128> = times.iter().map(Duration::as_millis).collect();
    println!("from the leader's stop to the next leader, election timeout 1,000 ms: {ms:?} ms");
    Ok(())
}
