//! The log of accepted commands, with a single voter.
//!
//! A stand-in until the replicated log lands: it appends each command to a file
//! of this daemon alone and syncs it before it answers. It is therefore refused
//! when the settings name more than one control daemon.

use std::{
    fs::{
        self,
        File,
        OpenOptions, //
    },
    io::{
        self,
        Read,
        Write, //
    },
    path::Path,
    sync::Arc,
    thread::JoinHandle,
};

use arc_swap::ArcSwap;
use cicadabend::{
    fleet::{
        FleetAnswer,
        FleetCommand,
        FleetState, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
    duty,
    peers::{
        Incoming,
        PeerSender, //
    },
    ring::{
        self,
        Receiver,
        Sender, //
    },
    settings::{
        ControlSettings,
        PeerRole, //
    },
};
use displaydoc::Display;
use thiserror::Error;
use tokio::sync::oneshot;

const LOG_FILE: &str = "fleet.log";
const PROPOSALS_CAPACITY: usize = 256;

/// Why a command was not applied, or may not have been.
#[derive(Debug, Display, Error)]
pub(crate) enum ReplicationError {
    /// this control daemon is not the leader
    NotLeader {
        /// Who is, if known.
        leader: Option<DaemonId>,
    },
    /// no majority of control daemons can be reached; nothing was changed
    NoQuorum,
    /// the command may or may not have been applied
    OutcomeUnknown,
    /// the data folder cannot be used: {0}
    Storage(String),
}

/// Who leads, as far as this daemon knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicationStatus {
    /// The leader, if known.
    pub(crate) leader: Option<DaemonId>,
    /// The term of its leadership.
    pub(crate) term: u64,
    /// Whether this daemon is it.
    pub(crate) is_leader: bool,
}

struct Proposal {
    command: FleetCommand,
    answer: oneshot::Sender<Result<FleetAnswer, ReplicationError>>,
}

/// Gives commands to the log and reads the state they lead to.
#[derive(Clone)]
pub(crate) struct ReplicationHandle {
    daemon: DaemonId,
    state: Arc<ArcSwap<FleetState>>,
    proposals: Sender<Proposal>,
}

impl ReplicationHandle {
    /// Appends a command, syncs it and returns what applying it gave.
    pub(crate) async fn propose(
        &self,
        command: FleetCommand,
    ) -> Result<FleetAnswer, ReplicationError> {
        let status = self.status();
        if !status.is_leader {
            return Err(ReplicationError::NotLeader {
                leader: status.leader,
            });
        }
        let (answer, answered) = oneshot::channel();
        self.proposals
            .push(Proposal { command, answer })
            .map_err(|_| ReplicationError::NoQuorum)?;
        answered
            .await
            .unwrap_or(Err(ReplicationError::OutcomeUnknown))
    }

    /// Returns a state that holds every command acknowledged before the call.
    pub(crate) async fn read(&self) -> Result<Arc<FleetState>, ReplicationError> {
        Ok(self.local())
    }

    /// Returns the state that this daemon has applied, which may be old.
    pub(crate) fn local(&self) -> Arc<FleetState> {
        self.state.load_full()
    }

    /// Returns who leads.
    pub(crate) fn status(&self) -> ReplicationStatus {
        ReplicationStatus {
            leader: Some(self.daemon.clone()),
            term: 1,
            is_leader: true,
        }
    }
}

/// Opens the log and starts the thread that appends to it.
pub(crate) fn start(
    settings: &ControlSettings,
    _peers: PeerSender,
    _messages: Receiver<Incoming>,
    _clock: Clock,
) -> Result<(ReplicationHandle, JoinHandle<()>), ReplicationError> {
    let others = settings
        .peers
        .iter()
        .filter(|peer| peer.role == PeerRole::Control && peer.daemon != settings.daemon);
    if others.count() > 0 {
        let reason = "only one control daemon is possible until the replicated log lands";
        return Err(ReplicationError::Storage(reason.to_owned()));
    }
    let folder = Path::new(&settings.data_folder);
    let (state, file) = open(folder).map_err(|e| ReplicationError::Storage(e.to_string()))?;
    let state = Arc::new(ArcSwap::from_pointee(state));
    let (proposals, queue) = ring::bounded("proposals", PROPOSALS_CAPACITY);
    let handle = ReplicationHandle {
        daemon: settings.daemon.clone(),
        state: Arc::clone(&state),
        proposals,
    };
    let thread = duty::spawn("agreement", move || append_all(queue, state, file))
        .map_err(|e| ReplicationError::Storage(e.to_string()))?;
    Ok((handle, thread))
}

async fn append_all(
    mut queue: Receiver<Proposal>,
    state: Arc<ArcSwap<FleetState>>,
    mut file: File,
) {
    while let Some(proposal) = queue.next().await {
        if let Err(error) = append(&mut file, &proposal.command) {
            // After a failed write or sync the file's content is unknown, so nothing
            // further is acknowledged in this run.
            let _ = proposal
                .answer
                .send(Err(ReplicationError::Storage(error.to_string())));
            return;
        }
        let mut next = FleetState::clone(&state.load());
        let answer = next.apply(proposal.command);
        state.store(Arc::new(next));
        // The operator may have gone; the command stands all the same.
        let _ = proposal.answer.send(Ok(answer));
    }
}

fn append(file: &mut File, command: &FleetCommand) -> io::Result<()> {
    let record = postcard::to_stdvec(command).map_err(io::Error::other)?;
    let length = u32::try_from(record.len()).map_err(io::Error::other)?;
    file.write_all(&length.to_le_bytes())?;
    file.write_all(&record)?;
    file.sync_data()
}

fn open(folder: &Path) -> io::Result<(FleetState, File)> {
    fs::create_dir_all(folder)?;
    let path = folder.join(LOG_FILE);
    let mut file = OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(path)?;
    File::open(folder)?.sync_all()?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let (state, whole_bytes) = replay(&bytes)?;
    // What follows the last whole record was never acknowledged.
    file.set_len(whole_bytes as u64)?;
    Ok((state, file))
}

fn replay(bytes: &[u8]) -> io::Result<(FleetState, usize)> {
    let mut state = FleetState::default();
    let mut rest = bytes;
    while let Some((length, body)) = rest.split_first_chunk::<4>() {
        let length = u32::from_le_bytes(*length) as usize;
        let Some((record, after)) = body.split_at_checked(length) else {
            break;
        };
        let command = postcard::from_bytes(record).map_err(io::Error::other)?;
        state.apply(command);
        rest = after;
    }
    Ok((state, bytes.len() - rest.len()))
}
