//! Builds the state with which the thread `agreement` starts.

use std::time::Duration;

use cicadabend::{
    agreement::{
        DurableRecord,
        Founding,
        Node,
        Recovered,
        Settings,
        VoterSet, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    settings::{
        ControlSettings,
        PeerRole, //
    },
    storage, //
};

use super::{
    error::ReplicationError,
    events::LogEvent,
    requests::StartupPhase, //
};
use crate::run::random_number;

/// The number of election timeouts that a first election may take after a start: a restarted
/// node waits one before it votes, and a candidate waits up to two.
const ELECTION_TIMEOUTS_AT_START: u64 = 3;

/// Decodes the node's stored state from the records of the journal.
///
/// # Errors
///
/// Returns [`ReplicationError::Storage`] if a record cannot be decoded.
pub(super) fn recover(journal: &storage::Recovered) -> Result<Recovered, ReplicationError> {
    if let Some(torn) = journal.torn_tail {
        let cut_bytes = torn.cut_bytes;
        LogEvent::TornTail { cut_bytes }.emit();
    }
    let mut recovered = Recovered::default();
    for record in &journal.records {
        let decoded = DurableRecord::decode(&record.payload).map_err(|error| {
            let sequence = record.sequence;
            ReplicationError::Storage(format!("record {sequence} of the log: {error}"))
        })?;
        recovered.add(decoded);
    }
    Ok(recovered)
}

/// Creates the node of the agreement protocol from its stored state.
pub(super) fn new_node(
    settings: &ControlSettings,
    folder: &storage::DataFolder,
    recovered: Recovered,
    now: Timestamp,
) -> Node {
    let me = folder.identity().clone();
    LogEvent::Recovered {
        disk: me.disk,
        snapshot: recovered.snapshot.index,
        entries: recovered.entries.len(),
    }
    .emit();
    let agreement = Settings {
        election_timeout_ms: settings.agreement.election_timeout_ms,
        heartbeat_ms: settings.agreement.heartbeat_ms,
        clock_rate_error_percent: settings.agreement.clock_rate_error_percent,
        ..Settings::default()
    };
    let voters = VoterSet::default();
    Node::new(agreement, me, voters, recovered, random_number(), now)
}

/// Returns the start-up phase, in which requests wait for the first leader.
pub(super) fn startup_phase(settings: &ControlSettings, now: Timestamp) -> StartupPhase {
    let longest = ELECTION_TIMEOUTS_AT_START * settings.agreement.election_timeout_ms;
    StartupPhase {
        until: now + Duration::from_millis(longest),
        requests: Vec::new(),
    }
}

/// Creates the state by which this daemon takes part in founding the first set of voters.
pub(super) fn new_founding(settings: &ControlSettings, folder: &storage::DataFolder) -> Founding {
    let me = folder.identity().clone();
    if let Some(membership) = &settings.membership {
        let seeds = membership
            .seed_peers()
            .into_iter()
            .map(|(daemon, _)| daemon);
        let seeds: Vec<DaemonId> = seeds.collect();
        // A daemon that is no seed joins after the seeds have founded the set.
        return match membership.may_found && seeds.contains(&me.daemon) {
            true => Founding::new(me, seeds, random_number()),
            false => Founding::not_allowed(me),
        };
    }
    let controls = settings.peers.iter();
    let controls = controls
        .filter(|peer| peer.role == PeerRole::Control)
        .map(|peer| peer.daemon.clone());
    Founding::new(me, controls, random_number())
}
