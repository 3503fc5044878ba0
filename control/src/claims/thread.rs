//! Takes messages, syncs their records together, and answers.

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

/// The most messages whose records share one sync.
const BATCH_LIMIT: usize = 4_096;
/// The most lines on single claims in one second.
const LINES_PER_S: u32 = 50;
/// How often expired claims are forgotten while no message comes.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// An answer and who gets it.
pub(crate) struct Answer {
    /// The entry daemon.
    pub(crate) to: DaemonId,
    /// The reply.
    pub(crate) message: PeerMessage,
}

impl Answer {
    fn new(to: DaemonId, reply: ClaimReply) -> Self {
        let message = PeerMessage::ClaimReply(reply);
        Self { to, message }
    }
}

/// The claims of one control daemon.
pub(crate) struct ClaimThread {
    replica: ClaimReplica,
    log: ClaimLog,
    voters: Arc<ArcSwap<VoterSet>>,
    clock: Clock,
    unanswered: Vec<(DaemonId, ClaimReply)>,
    lines: LineBudget,
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
            unanswered: Vec::new(),
            lines: LineBudget::new(LINES_PER_S),
        }
    }

    /// Answers until the ring is closed or the disk can no longer be trusted.
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
                // The state in memory is ahead of a disk of unknown content. Answering
                // from it could grant a claim that a restart would not remember.
                LogEvent::Stopped {
                    reason: error.to_string(),
                }
                .emit();
                return;
            }
        }
    }

    fn answer_batch(
        &mut self,
        first: Incoming,
        messages: &mut Receiver<Incoming>,
        send: &mut impl FnMut(Answer),
    ) -> Result<(), ClaimsError> {
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(incoming) = next {
            self.handle(incoming, send)?;
            taken += 1;
            next = match taken < BATCH_LIMIT {
                true => messages.try_next(),
                false => None,
            };
        }
        self.sync()?;
        for (to, reply) in self.unanswered.drain(..) {
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
            // It records nothing, and what it finds binds nobody.
            ClaimAction::Probe { .. } => send(Answer::new(incoming.from, reply)),
            _ => self.unanswered.push((incoming.from, reply)),
        }
        Ok(())
    }

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
        let left_out = |lines| LogEvent::ClaimLinesLeftOut { lines }.emit();
        self.lines.write(self.clock.now(), line, left_out);
    }

    /// Makes the batch durable; on a full disk takes it back and refuses all of it.
    fn sync(&mut self) -> Result<(), ClaimsError> {
        match self.log.sync() {
            Ok(()) => {
                self.replica.commit();
                Ok(())
            }
            Err(StorageError::DiskFull { .. }) => {
                LogEvent::DiskFull {}.emit();
                self.replica.roll_back();
                for (_, reply) in &mut self.unanswered {
                    reply.verdict = ClaimVerdict::Unavailable;
                }
                Ok(())
            }
            Err(error) => Err(ClaimsError::Storage(error)),
        }
    }

    fn clean_up(&mut self) -> Result<(), ClaimsError> {
        let now = self.clock.now();
        self.replica.expire(now);
        let mut standing = self.replica.update_voters(&self.voters.load(), now);
        match self.log.rotate(now) {
            Ok(Some(journal)) => {
                LogEvent::JournalEmptied { journal }.emit();
                // The journal that says that this disk may grant is emptied in its turn.
                standing = self.replica.grant_right_record();
            }
            Ok(None) => {}
            Err(StorageError::DiskFull { .. }) => LogEvent::DiskFull {}.emit(),
            Err(error) => return Err(ClaimsError::Storage(error)),
        }
        if let Some(record) = standing {
            self.log.append(&record)?;
            self.sync()?;
        }
        Ok(())
    }
}
