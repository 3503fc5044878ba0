//! Confirms the accepted revision: the leader reads the revision from a majority.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cicadabend::{
    peer_api::ConfirmedRevision,
    prelude::*, //
};

use tokio::sync::oneshot::{
    self,
    error::TryRecvError, //
};

use crate::replication::ReplicationHandle;

/// How often the leader reads the revision again while no new instance (boot) of a control daemon
/// appears.
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(1);
/// How long a confirmed revision may be sent to other daemons. While this daemon holds the leader
/// lease, every later leader has at least this revision; without the bound, a pause of this process
/// could make the revision outdated.
const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(2);

/// The last confirmed revision, and the read that is in progress.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    /// The last confirmed revision and when it was confirmed.
    confirmed: Option<(Timestamp, ConfirmedRevision)>,
    /// When the last read began, and the process instances (boots) of the control daemons at that
    /// time.
    requested: Option<(Timestamp, BTreeMap<DaemonId, BootId>)>,
    /// Receives the outcome of the read in progress.
    answer: Option<oneshot::Receiver<ConfirmedRevision>>,
}

impl Confirmation {
    /// Returns the revision that has been confirmed since the last call, if any.
    pub(super) fn take_confirmed(&mut self, now: Timestamp) -> Option<Revision> {
        match self.answer.as_mut()?.try_recv() {
            Ok(confirmed) => {
                let revision = confirmed.revision;
                self.confirmed = Some((now, confirmed));
                self.answer = None;
                Some(revision)
            }
            Err(TryRecvError::Empty) => None,
            // The read failed; a later call of `start_if_due` starts another one.
            Err(TryRecvError::Closed) => {
                self.answer = None;
                None
            }
        }
    }

    /// Returns the last confirmed revision if it may still be sent to other daemons.
    pub(super) fn valid(&self, now: Timestamp) -> Option<&ConfirmedRevision> {
        let (at, confirmed) = self.confirmed.as_ref()?;
        (now.since(*at) <= CONFIRMATION_VALIDITY).then_some(confirmed)
    }

    /// Starts a read if the last one is too old or if an instance of a control daemon is new.
    pub(super) fn start_if_due(
        &mut self,
        replication: &ReplicationHandle,
        runs: BTreeMap<DaemonId, BootId>,
        now: Timestamp,
    ) {
        let is_due = self.requested.as_ref().is_none_or(|(at, requested)| {
            now.since(*at) >= CONFIRMATION_INTERVAL || *requested != runs
        });
        if !is_due || self.answer.is_some() {
            return;
        }
        self.requested = Some((now, runs.clone()));
        let (answer, answered) = oneshot::channel();
        self.answer = Some(answered);
        let replication = replication.clone();
        tokio::spawn(async move {
            if let Ok(state) = replication.read().await {
                let revision = state.revision();
                // The thread may have ended meanwhile.
                let _ = answer.send(ConfirmedRevision { revision, runs });
            }
        });
    }
}
