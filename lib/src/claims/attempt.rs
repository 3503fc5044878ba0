//! One attempt to run a request under an idempotency key, from the probe to the recorded outcome.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    output::{
        ClaimOutput,
        ClaimRefusal,
        ClaimTiming,
        VoterAnswer, //
    },
    tally::{
        Tally,
        Verdict, //
    }, //
};
use crate::{
    fleet::Voter,
    peer_api::{
        ClaimAction,
        ClaimKey,
        ClaimReply,
        ClaimRequest,
        ClaimVerdict,
        Claimant,
        StoredOutcome,
        VoterSet, //
    },
    prelude::*,
};

/// The number of retransmits of an outcome or release after which silent replicas are given
/// up, provided that a majority has recorded it.
///
/// Retransmitting without end while one replica is down would cost more than all other
/// messages together. A replica that missed an outcome is outvoted by those that have it.
const RETRANSMITS_AFTER_MAJORITY: u32 = 3;

/// One attempt to run a request under an idempotency key.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    key: ClaimKey,
    claimant: Claimant,
    fingerprint: u64,
    timing: ClaimTiming,
    phase: Phase,
    /// The time at which the attempt began or, once it settles, at which settling began.
    began_at: Timestamp,
    /// The time at which the current request was last sent to any voter.
    sent_at: Timestamp,
    /// The number of retransmits of the current request.
    retransmits: u32,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Asks the voters whether the key is free, which records nothing.
    Probing(Tally),
    /// Asks the voters to hold the key, after a majority has answered the probe.
    Acquiring(Tally),
    /// Was granted; sends nothing until the entry daemon completes or releases it.
    Running { voters: VoterSet },
    /// Sends its outcome or release to the voters.
    Settling {
        voters: VoterSet,
        action: ClaimAction,
        recorded: BTreeSet<Voter>,
    },
}

/// The consequence of the answers that an attempt has got so far.
pub(super) enum Decision {
    Undecided,
    /// The probe found the key free at a majority; the attempt now sends `Acquire`.
    Acquire,
    Granted,
    Refused(ClaimRefusal),
    /// A majority has recorded the attempt's outcome or release.
    Settled,
}

impl Attempt {
    pub fn new(
        key: ClaimKey,
        claimant: Claimant,
        fingerprint: u64,
        voters: VoterSet,
        timing: ClaimTiming,
        now: Timestamp,
    ) -> Self {
        Self {
            key,
            claimant,
            fingerprint,
            timing,
            phase: Phase::Probing(Tally::new(voters)),
            began_at: now,
            sent_at: now,
            retransmits: 0,
        }
    }

    /// Counts a voter's answer and decides by all answers so far.
    pub fn handle_reply(
        &mut self,
        reply: &ClaimReply,
        now: Timestamp,
        is_live: impl Fn(&Claimant) -> bool,
    ) -> Decision {
        // After a pause the process reads answers that were sent before it. The replicas may
        // have forgotten the claim since, so late answers grant nothing.
        if self.is_timed_out(now) {
            return self.decide_at_timeout(now, is_live);
        }
        if reply.question != self.question() {
            return Decision::Undecided;
        }
        match &mut self.phase {
            Phase::Probing(tally) | Phase::Acquiring(tally) => {
                tally.add(&reply.voter, reply.verdict.clone());
                let verdict = tally.verdict();
                self.decide(verdict, false, is_live)
            }
            Phase::Settling { .. } => self.record_settlement(reply),
            Phase::Running { .. } => Decision::Undecided,
        }
    }

    /// Refuses the attempt before any voter was asked.
    pub fn refuse_without_probe(&self, number: u64) -> ClaimOutput {
        ClaimOutput::Refused {
            attempt: number,
            refusal: ClaimRefusal::NoMajority {
                retry_after: self.jittered_retry_after(),
            },
            answers: self.answers(),
        }
    }

    /// Records that a voter has stored the attempt's outcome or release.
    fn record_settlement(&mut self, reply: &ClaimReply) -> Decision {
        let was_settled = self.is_settled();
        if let Phase::Settling {
            voters, recorded, ..
        } = &mut self.phase
            && reply.verdict == ClaimVerdict::Recorded
            && voters.voters.contains(&reply.voter)
        {
            recorded.insert(reply.voter.clone());
        }
        match !was_settled && self.is_settled() {
            true => Decision::Settled,
            false => Decision::Undecided,
        }
    }

    /// Returns whether a majority has recorded the attempt's outcome or release.
    pub fn is_settled(&self) -> bool {
        match &self.phase {
            Phase::Settling {
                voters, recorded, ..
            } => recorded.intersection(&voters.voters).count() >= voters.majority(),
            _ => false,
        }
    }

    /// Switches to a newer set of voters.
    ///
    /// Answers under the older set are dropped: some answers from each set can together look
    /// like a majority without being one of either set. Holds that voters have recorded stay
    /// valid, and the voters report them again.
    pub fn change_voters(&mut self, new: &VoterSet) {
        match &mut self.phase {
            Phase::Probing(tally) | Phase::Acquiring(tally)
                if tally.voters().number < new.number =>
            {
                *tally = tally.for_next_question(new.clone());
            }
            Phase::Running { voters } | Phase::Settling { voters, .. }
                if voters.number < new.number =>
            {
                *voters = new.clone();
            }
            _ => {}
        }
    }

    /// Decides by the answers so far if the timeout for answers has passed.
    pub fn decide_at_timeout(
        &mut self,
        now: Timestamp,
        is_live: impl Fn(&Claimant) -> bool,
    ) -> Decision {
        match &self.phase {
            Phase::Probing(tally) | Phase::Acquiring(tally) if self.is_timed_out(now) => {
                let verdict = tally.final_verdict();
                self.decide(verdict, true, is_live)
            }
            _ => Decision::Undecided,
        }
    }

    fn is_timed_out(&self, now: Timestamp) -> bool {
        let awaits_answers = matches!(self.phase, Phase::Probing(_) | Phase::Acquiring(_));
        awaits_answers && now >= self.began_at + self.timing.acquire_timeout
    }

    /// Returns whether a granted attempt may still be sent to an upstream.
    ///
    /// A daemon that was paused after the grant must not send the request: the replicas may
    /// have forgotten the claim, and another attempt may have run.
    pub fn may_start(&self, now: Timestamp) -> bool {
        self.is_running() && now < self.began_at + self.timing.start_within
    }

    fn decide(
        &mut self,
        verdict: Verdict,
        has_timed_out: bool,
        is_live: impl Fn(&Claimant) -> bool,
    ) -> Decision {
        let retry_after = self.jittered_retry_after();
        let refusal = match verdict {
            Verdict::Pending => return Decision::Undecided,
            Verdict::HeldBy { is_final, .. } if !is_final && !has_timed_out => {
                return Decision::Undecided;
            }
            Verdict::Granted => return self.advance_phase(),
            Verdict::Completed {
                fingerprint_differs: true,
                ..
            }
            | Verdict::HeldBy {
                fingerprint_differs: true,
                ..
            } => ClaimRefusal::KeyReused,
            Verdict::Completed { outcome, .. } => ClaimRefusal::AlreadyCompleted(outcome),
            Verdict::HeldBy { holder, .. } if is_live(&holder) => {
                ClaimRefusal::InProgress { retry_after }
            }
            Verdict::HeldBy { .. } => ClaimRefusal::OutcomeUnknown,
            Verdict::Contended => ClaimRefusal::Contended { retry_after },
            Verdict::Unreachable => ClaimRefusal::NoMajority { retry_after },
        };
        Decision::Refused(refusal)
    }

    /// Moves from probing to acquiring, or from acquiring to running.
    fn advance_phase(&mut self) -> Decision {
        match &self.phase {
            Phase::Probing(tally) => {
                let tally = tally.for_next_question(tally.voters().clone());
                self.phase = Phase::Acquiring(tally);
                self.retransmits = 0;
                Decision::Acquire
            }
            _ => {
                self.start_running();
                Decision::Granted
            }
        }
    }

    /// Returns the delay before a client retry, 0.5 to 1.5 times the configured one, so that two
    /// attempts that denied each other a majority do not collide again.
    fn jittered_retry_after(&self) -> Duration {
        let seed = self.claimant.boot.0.wrapping_add(self.claimant.attempt);
        let jitter = xxh3_64(&seed.to_le_bytes()) % 1_024;
        self.timing
            .retry_after
            .mul_f64(0.5 + jitter as f64 / 1_024.0)
    }

    fn start_running(&mut self) {
        let voters = self.voters().clone();
        self.phase = Phase::Running { voters };
    }

    /// Starts to send the attempt's outcome or release to the voters; this is final.
    pub fn settle(&mut self, end: AttemptEnd, now: Timestamp) {
        let claimant = self.claimant.clone();
        let action = match end {
            AttemptEnd::NotRun => ClaimAction::Release { claimant },
            AttemptEnd::Ran(outcome) => ClaimAction::Complete {
                claimant,
                fingerprint: self.fingerprint,
                outcome,
            },
        };
        self.phase = Phase::Settling {
            voters: self.voters().clone(),
            action,
            recorded: BTreeSet::new(),
        };
        self.began_at = now;
        self.retransmits = 0;
    }

    /// Returns whether the attempt is sending its outcome or release to the voters.
    pub fn is_settling(&self) -> bool {
        matches!(self.phase, Phase::Settling { .. })
    }

    /// Returns whether a voter may hold the key for this attempt.
    pub fn may_be_held(&self) -> bool {
        !matches!(self.phase, Phase::Probing(_))
    }

    /// Returns whether the attempt was granted and is not yet completed or released.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }

    /// Returns the voters' answers to the probe or claim, for logs.
    pub fn answers(&self) -> Vec<VoterAnswer> {
        match &self.phase {
            Phase::Probing(tally) | Phase::Acquiring(tally) => tally.answers(),
            Phase::Running { .. } | Phase::Settling { .. } => Vec::new(),
        }
    }

    /// Returns whether the attempt is finished: all voters have recorded its outcome or release,
    /// or a majority has and the retransmits are used up.
    pub fn is_over(&self) -> bool {
        match &self.phase {
            Phase::Settling {
                voters, recorded, ..
            } => {
                let is_outvoted =
                    self.is_settled() && self.retransmits >= RETRANSMITS_AFTER_MAJORITY;
                voters.voters.is_subset(recorded) || is_outvoted
            }
            _ => false,
        }
    }

    /// Returns the time of the attempt's next timeout or retransmit; `None` while it runs.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let retransmit = self.next_retransmit();
        match &self.phase {
            Phase::Probing(_) | Phase::Acquiring(_) => {
                Some(retransmit.min(self.began_at + self.timing.acquire_timeout))
            }
            Phase::Settling { .. } => Some(retransmit),
            Phase::Running { .. } => None,
        }
    }

    /// Returns whether a retransmit to silent replicas is due.
    pub fn is_retransmit_due(&self, now: Timestamp) -> bool {
        !self.is_running() && now >= self.next_retransmit()
    }

    fn next_retransmit(&self) -> Timestamp {
        match self.is_overdue() {
            true => self.sent_at + self.timing.slow_retransmit_interval,
            false => self.sent_at + self.timing.retransmit_after * (1 << self.retransmits.min(5)),
        }
    }

    /// Returns whether the attempt has sent its outcome or release for at least
    /// `slow_retransmit_interval` without a majority recording it.
    pub fn is_overdue(&self) -> bool {
        let is_late = self.sent_at.since(self.began_at) >= self.timing.slow_retransmit_interval;
        self.is_settling() && !self.is_settled() && is_late
    }

    /// Returns whether a voter has not yet recorded the attempt's outcome or release.
    pub fn is_unrecorded_by(&self, voter: &Voter) -> bool {
        self.is_settling() && !self.has_answered(voter)
    }

    /// Returns the current request again for each voter that has not answered it.
    pub fn retransmit(&mut self, now: Timestamp) -> Vec<ClaimOutput> {
        self.retransmits += 1;
        self.unanswered_requests(now)
    }

    /// Returns the current request for each voter that has not answered it.
    pub fn unanswered_requests(&mut self, now: Timestamp) -> Vec<ClaimOutput> {
        self.sent_at = now;
        let (claimant, fingerprint) = (self.claimant.clone(), self.fingerprint);
        let action = match &self.phase {
            Phase::Running { .. } => return Vec::new(),
            Phase::Settling { action, .. } => action.clone(),
            Phase::Probing(_) => ClaimAction::Probe {
                claimant,
                fingerprint,
            },
            Phase::Acquiring(_) => ClaimAction::Acquire {
                claimant,
                fingerprint,
            },
        };
        let mut outputs = Vec::new();
        let voters = self.voters().voters.iter();
        for voter in voters.filter(|voter| !self.has_answered(voter)) {
            outputs.extend(self.forwarded_release(voter));
            outputs.push(self.send_output(voter, self.question(), action.clone()));
        }
        outputs
    }

    /// Returns the release of another attempt for which a voter still holds the key.
    ///
    /// The release is sent before this attempt's `Acquire`. Any daemon may forward a release: it
    /// is final, and the released attempt's own daemon may be cut off from this voter for as
    /// long as a partition lasts.
    fn forwarded_release(&self, voter: &Voter) -> Option<ClaimOutput> {
        let Phase::Acquiring(tally) = &self.phase else {
            return None;
        };
        let claimant = tally.outdated_holder(voter)?.clone();
        let question = self.question_number(QuestionKind::ForwardedRelease);
        Some(self.send_output(voter, question, ClaimAction::Release { claimant }))
    }

    fn send_output(&self, voter: &Voter, question: u64, action: ClaimAction) -> ClaimOutput {
        ClaimOutput::Send {
            to: voter.daemon.clone(),
            request: ClaimRequest {
                question,
                key: self.key.clone(),
                voters_number: self.voters().number,
                action,
            },
        }
    }

    fn has_answered(&self, voter: &Voter) -> bool {
        match &self.phase {
            Phase::Probing(tally) | Phase::Acquiring(tally) => tally.has_answered(voter),
            Phase::Settling { recorded, .. } => recorded.contains(voter),
            Phase::Running { .. } => true,
        }
    }

    fn voters(&self) -> &VoterSet {
        match &self.phase {
            Phase::Probing(tally) | Phase::Acquiring(tally) => tally.voters(),
            Phase::Running { voters } | Phase::Settling { voters, .. } => voters,
        }
    }

    /// Returns the number of the current question, which the voters' answers repeat.
    ///
    /// The number is a hash of the boot, the attempt, the set of voters and the phase, so that
    /// a late answer to an earlier question, or to the process before a restart, does not
    /// count for the current question.
    pub fn question(&self) -> u64 {
        self.question_number(match &self.phase {
            Phase::Acquiring(_) => QuestionKind::Acquire,
            Phase::Running { .. } => QuestionKind::Running,
            Phase::Settling { .. } => QuestionKind::Settle,
            Phase::Probing(_) => QuestionKind::Probe,
        })
    }

    fn question_number(&self, kind: QuestionKind) -> u64 {
        let hashed_values = [
            self.claimant.boot.0,
            self.claimant.attempt,
            self.voters().number,
            kind as u64,
        ];
        xxh3_64(&hashed_values.map(u64::to_le_bytes).concat())
    }
}

/// The kind of a question, which is hashed into its number.
#[derive(Clone, Copy)]
enum QuestionKind {
    Acquire,
    Running,
    Settle,
    Probe,
    ForwardedRelease,
}

/// The way in which an attempt ended.
pub(super) enum AttemptEnd {
    /// The attempt certainly did not run and never will.
    NotRun,
    /// The attempt ran or may have run, with this outcome.
    Ran(StoredOutcome),
}
