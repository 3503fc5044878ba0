//! What the threads start from.

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
    requests::Starting, //
};
use crate::run::random_number;

/// Restarted nodes wait one before they vote, and candidates up to two.
const ELECTION_TIMEOUTS_AT_START: u64 = 3;

/// Rebuilds what the node had stored.
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

/// Makes the node from what it had stored.
pub(super) fn node(
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

/// Returns how long requests wait for a first leader.
pub(super) fn starting(settings: &ControlSettings, now: Timestamp) -> Starting {
    let longest = ELECTION_TIMEOUTS_AT_START * settings.agreement.election_timeout_ms;
    Starting {
        until: now + Duration::from_millis(longest),
        requests: Vec::new(),
    }
}

/// Makes this daemon's part in making the first set of voters.
pub(super) fn founding(settings: &ControlSettings, folder: &storage::DataFolder) -> Founding {
    let me = folder.identity().clone();
    if let Some(membership) = &settings.membership {
        let seeds = membership
            .seed_peers()
            .into_iter()
            .map(|(daemon, _)| daemon);
        let seeds: Vec<DaemonId> = seeds.collect();
        // A daemon that the seeds do not name is taken in once they have founded.
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
