//! The replicated log on a disk that fills up or fails, with a single voter.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::{
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread::JoinHandle,
    time::Duration,
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
    stop::{
        self,
        StopSignal, //
    },
    storage::{
        DataFolder,
        Disk,
        DiskFile,
        SystemDisk, //
    },
};
use cicadabend_testutils::ports::reserve_address;
use serde_json::json;

#[expect(dead_code, reason = "only a part of the log's interface is used here")]
#[path = "../src/replication/mod.rs"]
mod replication;

/// Stands in for the daemon's module `run`, of which the log uses one function.
mod run {
    /// Returns a fixed number: with a single voter, election time-outs need not differ.
    pub(crate) fn random_number() -> u64 {
        7
    }
}

use replication::{
    ReplicationError,
    ReplicationHandle, //
};

/// The real file system, with switches that make writes or syncs fail.
#[derive(Clone, Default)]
struct FaultyDisk {
    is_full: Arc<AtomicBool>,
    fails_syncs: Arc<AtomicBool>,
}

struct FaultyFile {
    disk: FaultyDisk,
    file: Box<dyn DiskFile>,
}

impl Disk for FaultyDisk {
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        let file = SystemDisk.create(path)?;
        let disk = self.clone();
        Ok(Box::new(FaultyFile { disk, file }))
    }
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        SystemDisk.read(path)
    }
    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        SystemDisk.list(folder)
    }
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        SystemDisk.rename(from, to)
    }
    fn remove(&self, path: &Path) -> io::Result<()> {
        SystemDisk.remove(path)
    }
    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        SystemDisk.sync_folder(folder)
    }
}

impl DiskFile for FaultyFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.disk.is_full.load(Ordering::Relaxed) {
            self.file.write(&bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.file.write(bytes)
    }
    fn sync(&mut self) -> io::Result<()> {
        if self.disk.fails_syncs.load(Ordering::Relaxed) {
            return Err(io::Error::other("injected: sync failed"));
        }
        self.file.sync()
    }
    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.file.cut(length)
    }
}

/// A running replicated log of one daemon.
struct RunningLog {
    handle: ReplicationHandle,
    stop: StopSignal,
    peers: Peers,
    agreement: JoinHandle<()>,
}

impl RunningLog {
    fn start(folder: &Path, disk: &FaultyDisk) -> Self {
        let settings = settings(folder);
        let (stop_requester, stop) = stop::manual();
        let process = Process {
            stop: stop.clone(),
            stop_requester,
            metrics: Metrics::in_process_only(),
            clock: Clock::start(),
            settings_path: None,
        };
        let identity = PeerIdentity {
            cluster: settings.cluster.clone(),
            daemon: settings.daemon.clone(),
            boot: BootId(1),
        };
        let (inbox, messages) = ring::bounded("agreement", 64);
        let peers = Peers::start(settings.peer_listen, identity, &[], inbox).unwrap();
        let data = DataFolder::open_on(Arc::new(disk.clone()), folder, &settings.daemon, 7);
        let (handle, agreement) = replication::start(
            &settings,
            &data.unwrap(),
            &process,
            peers.sender(),
            messages,
        )
        .unwrap();
        Self {
            handle,
            stop,
            peers,
            agreement,
        }
    }

    fn stop(self) {
        drop(self.peers);
        self.agreement.join().unwrap();
    }
}

fn settings(folder: &Path) -> ControlSettings {
    let settings = json!({
        "cluster": "test",
        "daemon": "control-1",
        "failure_domain": "cumbaya",
        "data_folder": folder,
        "operators": { "listen": "127.0.0.1:0", "token_file": "unused" },
        "peer_listen": reserve_address().unwrap(),
        "peers": [],
    });
    serde_json::from_value(settings).unwrap()
}

/// Returns a command whose effect shows in the state: the state records its answer by this key.
fn command(key: &str) -> FleetCommand {
    FleetCommand::Confirm(Confirmation {
        plan: PlanId(9),
        operator: "tester".to_owned(),
        idempotency_key: key.parse().unwrap(),
        at_unix_s: 0,
        objection: None,
    })
}

/// Returns whether a command is refused within 50 ms because the disk is full.
///
/// A command that arrives before the thread `agreement` knows that the disk is full waits instead.
async fn is_refused_for_full_disk(handle: &ReplicationHandle) -> bool {
    let soon = Duration::from_millis(50);
    let outcome = tokio::time::timeout(soon, handle.propose(command("tried"))).await;
    matches!(outcome, Ok(Err(ReplicationError::Storage(_))))
}

// Guards against a full disk that stops the log for good or loses a command. The command whose
// write meets the full disk waits, and later ones are refused at once with a reason. Once there is
// room, the waiting command is answered and the log accepts commands again.
#[tokio::test]
async fn a_full_disk_refuses_commands_until_there_is_room() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FaultyDisk::default();
    let log = RunningLog::start(folder.path(), &disk);
    log.handle.propose(command("first")).await.unwrap();

    disk.is_full.store(true, Ordering::Relaxed);
    let waiting = log.handle.propose(command("second"));
    let refused = async {
        while !is_refused_for_full_disk(&log.handle).await {}
        disk.is_full.store(false, Ordering::Relaxed);
    };
    let (second, ()) = tokio::join!(waiting, refused);

    assert!(second.is_ok(), "{second:?}");
    log.handle.propose(command("third")).await.unwrap();
    let state = log.handle.local();
    log.stop();
    let restarted = RunningLog::start(folder.path(), &disk);
    assert_eq!(*restarted.handle.read().await.unwrap(), *state);
    restarted.stop();
}

// Guards against acknowledging a command whose sync has failed. The outcome of the running command
// is unknown, later commands are refused, the process is asked to stop, and after a restart every
// acknowledged command is there.
#[tokio::test]
async fn a_failed_sync_stops_the_daemon() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FaultyDisk::default();
    let log = RunningLog::start(folder.path(), &disk);
    log.handle.propose(command("first")).await.unwrap();
    let answered = log.handle.local();

    disk.fails_syncs.store(true, Ordering::Relaxed);
    let under_way = log.handle.propose(command("second")).await;
    assert!(
        matches!(under_way, Err(ReplicationError::OutcomeUnknown)),
        "{under_way:?}"
    );
    log.stop.clone().requested().await;
    assert!(log.handle.failure().unwrap().contains("sync"));
    let later = log.handle.propose(command("third")).await;
    assert!(
        matches!(later, Err(ReplicationError::Storage(_))),
        "{later:?}"
    );
    assert!(!log.handle.status().is_leader);
    log.stop();

    let restarted = RunningLog::start(folder.path(), &FaultyDisk::default());
    let state = restarted.handle.read().await.unwrap();
    let mut with_second = (*answered).clone();
    with_second.apply(command("second"));
    assert!(*state == *answered || *state == with_second);
    restarted.stop();
}
