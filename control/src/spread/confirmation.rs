//! Asks a majority, as leader, what is accepted.

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

/// How often the question is asked again while nothing has changed.
const INTERVAL: Duration = Duration::from_secs(1);
/// How long an answer may be passed on. With the leader's lease it is still what any
/// later leader will have; without this bound a pause could make it old.
const PASSED_ON: Duration = Duration::from_secs(2);

/// The last answer, and the question that is under way.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    confirmed: Option<(Timestamp, ConfirmedRevision)>,
    asked: Option<(Timestamp, BTreeMap<DaemonId, BootId>)>,
    answer: Option<oneshot::Receiver<ConfirmedRevision>>,
}

impl Confirmation {
    /// Returns the answer that has arrived since the last call.
    pub(super) fn take(&mut self, now: Timestamp) -> Option<Revision> {
        match self.answer.as_mut()?.try_recv() {
            Ok(confirmed) => {
                let revision = confirmed.revision;
                self.confirmed = Some((now, confirmed));
                self.answer = None;
                Some(revision)
            }
            Err(TryRecvError::Empty) => None,
            // The question was refused; it is asked again.
            Err(TryRecvError::Closed) => {
                self.answer = None;
                None
            }
        }
    }

    /// Returns the last answer if it may still be passed on.
    pub(super) fn fresh(&self, now: Timestamp) -> Option<&ConfirmedRevision> {
        let (at, confirmed) = self.confirmed.as_ref()?;
        (now.since(*at) <= PASSED_ON).then_some(confirmed)
    }

    /// Asks if the last question is old, or another run of a control daemon was heard.
    pub(super) fn ask(
        &mut self,
        replication: &ReplicationHandle,
        runs: BTreeMap<DaemonId, BootId>,
        now: Timestamp,
    ) {
        let is_due = self
            .asked
            .as_ref()
            .is_none_or(|(at, asked)| now.since(*at) >= INTERVAL || *asked != runs);
        if !is_due || self.answer.is_some() {
            return;
        }
        self.asked = Some((now, runs.clone()));
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
