//! The main loop of the thread `claims`: handles messages in batches, with one sync per batch.

use std::{
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    claims::ClaimReplica,
    peer_api::{
        ClaimAction,
        ClaimReply,
        ClaimVerdict,
        PeerMessage,
        VoterSet, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
    logs::budget::LineBudget,
    peers::Incoming,
    ring::Receiver,
    storage::StorageError, //
};

use super::{
    ClaimLog,
    ClaimsError,
    events::LogEvent, //
};

/// The maximum number of messages whose records share one sync.
const MAX_BATCH_MESSAGES: usize = 4_096;
/// The maximum number of log lines about single claims per second.
const MAX_LOG_LINES_PER_S: u32 = 50;
/// How often expired claims are removed while no message arrives.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// A reply and its recipient.
pub(crate) struct Answer {
    /// The entry daemon that sent the claim.
    pub(crate) to: DaemonId,
    /// The reply; always a [`PeerMessage::ClaimReply`].
    pub(crate) message: PeerMessage,
}

impl Answer {
    fn new(to: DaemonId, reply: ClaimReply) -> Self {
        let message = PeerMessage::ClaimReply(reply);
        Self { to, message }
    }
}

/// The state of the thread `claims`.
pub(crate) struct ClaimThread {
    replica: ClaimReplica,
    log: ClaimLog,
    voters: Arc<ArcSwap<VoterSet>>,
    clock: Clock,
    /// The replies that wait until the batch is synced.
    deferred_replies: Vec<(DaemonId, ClaimReply)>,
    line_budget: LineBudget,
}

impl ClaimThread {
    pub(super) fn new(
        replica: ClaimReplica,
        log: ClaimLog,
        voters: Arc<ArcSwap<VoterSet>>,
        clock: Clock,
    ) -> Self {
        Self {
            replica,
            log,
            voters,
            clock,
            deferred_replies: Vec::new(),
            line_budget: LineBudget::new(MAX_LOG_LINES_PER_S),
        }
    }

    /// Handles messages until the ring is closed or a write to the disk fails.
    pub(crate) async fn run(
        mut self,
        mut messages: Receiver<Incoming>,
        mut send: impl FnMut(Answer),
    ) {
        loop {
            let outcome = match tokio::time::timeout(IDLE_INTERVAL, messages.next()).await {
                Err(_idle) => self.clean_up(),
                Ok(None) => return,
                Ok(Some(first)) => self.answer_batch(first, &mut messages, &mut send),
            };
            if let Err(error) = outcome {
                // The state in memory includes records that the disk may lack. Replies from this
                // state could grant a claim that is lost at a restart.
                LogEvent::Stopped {
                    reason: error.to_string(),
                }
                .emit();
                return;
            }
        }
    }

    /// Handles the first and all queued messages, syncs once and sends the replies.
    fn answer_batch(
        &mut self,
        first: Incoming,
        messages: &mut Receiver<Incoming>,
        send: &mut impl FnMut(Answer),
    ) -> Result<(), ClaimsError> {
        let mut next = Some(first);
        let mut handled = 0;
        while let Some(incoming) = next {
            self.handle(incoming, send)?;
            handled += 1;
            next = match handled < MAX_BATCH_MESSAGES {
                true => messages.try_next(),
                false => None,
            };
        }
        self.sync()?;
        for (to, reply) in self.deferred_replies.drain(..) {
            send(Answer::new(to, reply));
        }
        self.clean_up()
    }

    fn handle(
        &mut self,
        incoming: Incoming,
        send: &mut impl FnMut(Answer),
    ) -> Result<(), ClaimsError> {
        let PeerMessage::Claim(request) = incoming.message else {
            return Ok(());
        };
        let voters = self.voters.load();
        let handled = self.replica.handle(&request, &voters, self.clock.now());
        for record in &handled.records {
            self.log.append(record)?;
        }
        self.log_holder(&request.action, &handled.verdict);
        let reply = ClaimReply {
            question: request.question,
            voter: self.replica.identity().clone(),
            verdict: handled.verdict,
        };
        match request.action {
            // A probe writes no record and grants nothing, so its reply need not wait for the sync.
            ClaimAction::Probe { .. } => send(Answer::new(incoming.from, reply)),
            _ => self.deferred_replies.push((incoming.from, reply)),
        }
        Ok(())
    }

    /// Logs who holds the claim if an acquisition was refused because of another holder.
    fn log_holder(&self, action: &ClaimAction, verdict: &ClaimVerdict) {
        let (ClaimAction::Acquire { claimant, .. }, ClaimVerdict::HeldByOther { holder, .. }) =
            (action, verdict)
        else {
            return;
        };
        let line = || {
            LogEvent::HeldByOther {
                claimant: claimant.to_string(),
                holder: holder.to_string(),
            }
            .emit();
        };
        let log_suppressed = |lines| LogEvent::ClaimLinesLeftOut { lines }.emit();
        self.line_budget
            .write(self.clock.now(), line, log_suppressed);
    }

    /// Syncs the batch; if the disk is full, rolls the batch back and refuses all its claims.
    fn sync(&mut self) -> Result<(), ClaimsError> {
        match self.log.sync() {
            Ok(()) => {
                self.replica.commit();
                Ok(())
            }
            Err(StorageError::DiskFull { .. }) => {
                LogEvent::DiskFull {}.emit();
                self.replica.roll_back();
                for (_, reply) in &mut self.deferred_replies {
                    reply.verdict = ClaimVerdict::Unavailable;
                }
                Ok(())
            }
            Err(error) => Err(ClaimsError::Storage(error)),
        }
    }

    /// Removes expired claims, applies a change of voters and rotates the journals.
    fn clean_up(&mut self) -> Result<(), ClaimsError> {
        let now = self.clock.now();
        self.replica.expire(now);
        let mut grant_right = self.replica.update_voters(&self.voters.load(), now);
        match self.log.rotate(now) {
            Ok(Some(journal)) => {
                LogEvent::JournalEmptied { journal }.emit();
                // The emptied journal may have held the record that allows this disk to grant
                // claims, so the record is written again.
                grant_right = self.replica.grant_right_record();
            }
            Ok(None) => {}
            Err(StorageError::DiskFull { .. }) => LogEvent::DiskFull {}.emit(),
            Err(error) => return Err(ClaimsError::Storage(error)),
        }
        if let Some(record) = grant_right {
            self.log.append(&record)?;
            self.sync()?;
        }
        Ok(())
    }
}
