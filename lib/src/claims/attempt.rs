//! The life of one attempt, from its claim to the recorded outcome.

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

/// How often an outcome is sent again to replicas that are silent while a majority has it.
///
/// Sending on without end would cost more than all other messages together while one
/// replica is down; a replica that missed an outcome is outvoted by those that have it.
const RESENDS_BEYOND_MAJORITY: u32 = 3;

/// One attempt.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    key: ClaimKey,
    claimant: Claimant,
    fingerprint: u64,
    timing: ClaimTiming,
    phase: Phase,
    began_at: Timestamp,
    sent_at: Timestamp,
    resends: u32,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Asks whether the key is free; nothing is recorded anywhere.
    Probing(Tally),
    /// Asks a majority to hold the key; it was reached a moment ago.
    Acquiring(Tally),
    Running {
        voters: VoterSet,
    },
    Settling {
        voters: VoterSet,
        action: ClaimAction,
        recorded: BTreeSet<Voter>,
    },
}

/// What an attempt's answers have led to.
pub(super) enum Decision {
    Undecided,
    /// The key is free as far as a majority knows: it is asked for now.
    Acquire,
    Granted,
    Refused(ClaimRefusal),
    /// A majority has recorded what became of the attempt.
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
            resends: 0,
        }
    }

    /// Counts an answer and decides.
    pub fn handle_reply(
        &mut self,
        reply: &ClaimReply,
        now: Timestamp,
        is_alive: impl Fn(&Claimant) -> bool,
    ) -> Decision {
        // A process that was paused finds answers from before the pause. The replicas
        // may have forgotten the claim since, so these answers grant nothing.
        if self.is_timed_out(now) {
            return self.time_out(now, is_alive);
        }
        if reply.question != self.question() {
            return Decision::Undecided;
        }
        match &mut self.phase {
            Phase::Probing(tally) | Phase::Acquiring(tally) => {
                tally.add(&reply.voter, reply.verdict.clone());
                let verdict = tally.verdict();
                self.decide(verdict, false, is_alive)
            }
            Phase::Settling { .. } => self.record(reply),
            Phase::Running { .. } => Decision::Undecided,
        }
    }

    /// Refuses the attempt before anybody was asked.
    pub fn refuse_unasked(&self, number: u64) -> ClaimOutput {
        ClaimOutput::Refused {
            attempt: number,
            refusal: ClaimRefusal::NoMajority {
                retry_after: self.jittered_retry_after(),
            },
            answers: self.answers(),
        }
    }

    /// Notes that a voter has recorded what became of the attempt.
    fn record(&mut self, reply: &ClaimReply) -> Decision {
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

    /// Returns whether a majority has recorded what became of the attempt.
    pub fn is_settled(&self) -> bool {
        match &self.phase {
            Phase::Settling {
                voters, recorded, ..
            } => recorded.intersection(&voters.voters).count() >= voters.majority(),
            _ => false,
        }
    }

    /// Goes over to a newer set of voters.
    ///
    /// Answers that were counted by the older set are dropped: half of a majority of
    /// each would not be a majority of either. The holds stand and are told again.
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

    /// Decides by what has come when the time for answers is over.
    pub fn time_out(&mut self, now: Timestamp, is_alive: impl Fn(&Claimant) -> bool) -> Decision {
        match &self.phase {
            Phase::Probing(tally) | Phase::Acquiring(tally) if self.is_timed_out(now) => {
                let verdict = tally.final_verdict();
                self.decide(verdict, true, is_alive)
            }
            _ => Decision::Undecided,
        }
    }

    fn is_timed_out(&self, now: Timestamp) -> bool {
        let waits = matches!(self.phase, Phase::Probing(_) | Phase::Acquiring(_));
        waits && now >= self.began_at + self.timing.acquire_timeout
    }

    /// Returns whether a granted attempt may still be sent to an upstream.
    ///
    /// A daemon that was paused after the grant must not send: the replicas may have
    /// forgotten the claim, and another attempt may have run.
    pub fn may_start(&self, now: Timestamp) -> bool {
        self.is_running() && now < self.began_at + self.timing.start_within
    }

    fn decide(
        &mut self,
        verdict: Verdict,
        is_last: bool,
        is_alive: impl Fn(&Claimant) -> bool,
    ) -> Decision {
        let retry_after = self.jittered_retry_after();
        let refusal = match verdict {
            Verdict::Open => return Decision::Undecided,
            Verdict::HeldBy { is_final, .. } if !is_final && !is_last => {
                return Decision::Undecided;
            }
            Verdict::Granted => return self.go_on(),
            Verdict::Completed {
                fingerprint_differs: true,
                ..
            }
            | Verdict::HeldBy {
                fingerprint_differs: true,
                ..
            } => ClaimRefusal::KeyReused,
            Verdict::Completed { outcome, .. } => ClaimRefusal::AlreadyCompleted(outcome),
            Verdict::HeldBy { holder, .. } if is_alive(&holder) => {
                ClaimRefusal::InProgress { retry_after }
            }
            Verdict::HeldBy { .. } => ClaimRefusal::OutcomeUnknown,
            Verdict::Contended => ClaimRefusal::Contended { retry_after },
            Verdict::Unreachable => ClaimRefusal::NoMajority { retry_after },
        };
        Decision::Refused(refusal)
    }

    /// Goes from the probe to the claim, and from the claim to the run.
    fn go_on(&mut self) -> Decision {
        match &self.phase {
            Phase::Probing(tally) => {
                let tally = tally.for_next_question(tally.voters().clone());
                self.phase = Phase::Acquiring(tally);
                self.resends = 0;
                Decision::Acquire
            }
            _ => {
                self.run();
                Decision::Granted
            }
        }
    }

    /// Two attempts that took each other's majority must not meet again at once.
    fn jittered_retry_after(&self) -> Duration {
        let seed = self.claimant.boot.0.wrapping_add(self.claimant.attempt);
        let spread = xxh3_64(&seed.to_le_bytes()) % 1_024;
        self.timing
            .retry_after
            .mul_f64(0.5 + spread as f64 / 1_024.0)
    }

    fn run(&mut self) {
        let voters = self.voters().clone();
        self.phase = Phase::Running { voters };
    }

    /// Goes over to recording what became of the attempt, for good.
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
        self.resends = 0;
    }

    /// Returns whether the voters are being told what became of the attempt.
    pub fn is_settling(&self) -> bool {
        matches!(self.phase, Phase::Settling { .. })
    }

    /// Returns whether a voter may hold the key for this attempt.
    pub fn may_be_held(&self) -> bool {
        !matches!(self.phase, Phase::Probing(_))
    }

    /// Returns whether the attempt runs.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running { .. })
    }

    /// Returns what voters have said of the claim, for logs.
    pub fn answers(&self) -> Vec<VoterAnswer> {
        match &self.phase {
            Phase::Probing(tally) | Phase::Acquiring(tally) => tally.answers(),
            Phase::Running { .. } | Phase::Settling { .. } => Vec::new(),
        }
    }

    /// Returns whether nothing more is to be sent.
    pub fn is_over(&self) -> bool {
        match &self.phase {
            Phase::Settling {
                voters, recorded, ..
            } => {
                let is_outvoted = self.is_settled() && self.resends >= RESENDS_BEYOND_MAJORITY;
                voters.voters.is_subset(recorded) || is_outvoted
            }
            _ => false,
        }
    }

    /// Returns when the attempt has something to do by itself; `None` while it runs.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let resend = self.next_resend();
        match &self.phase {
            Phase::Probing(_) | Phase::Acquiring(_) => {
                Some(resend.min(self.began_at + self.timing.acquire_timeout))
            }
            Phase::Settling { .. } => Some(resend),
            Phase::Running { .. } => None,
        }
    }

    /// Returns whether silent replicas are to be asked again.
    pub fn is_resend_due(&self, now: Timestamp) -> bool {
        !self.is_running() && now >= self.next_resend()
    }

    fn next_resend(&self) -> Timestamp {
        match self.is_overdue() {
            true => self.sent_at + self.timing.settle_slowly_after,
            false => self.sent_at + self.timing.resend_after * (1 << self.resends.min(5)),
        }
    }

    /// Returns whether no majority has recorded for long what became of the attempt.
    pub fn is_overdue(&self) -> bool {
        let is_late = self.sent_at.since(self.began_at) >= self.timing.settle_slowly_after;
        self.is_settling() && !self.is_settled() && is_late
    }

    /// Returns whether a voter has yet to record what became of the attempt.
    pub fn is_due_to(&self, voter: &Voter) -> bool {
        self.is_settling() && !self.has_answered(voter)
    }

    /// Asks silent voters once more.
    pub fn resend(&mut self, now: Timestamp) -> Vec<ClaimOutput> {
        self.resends += 1;
        self.questions(now)
    }

    /// Returns the present question for each voter that has not answered it.
    pub fn questions(&mut self, now: Timestamp) -> Vec<ClaimOutput> {
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
            outputs.extend(self.passed_on_release(voter));
            outputs.push(self.send(voter, self.question(), action.clone()));
        }
        outputs
    }

    /// Returns the release of a dead attempt that a voter has not heard of, before it is asked
    /// for the key.
    ///
    /// Any daemon may pass a release on: it is a fact, and the attempt's own daemon may be
    /// unable to reach this voter for as long as a partition lasts.
    fn passed_on_release(&self, voter: &Voter) -> Option<ClaimOutput> {
        let Phase::Acquiring(tally) = &self.phase else {
            return None;
        };
        let claimant = tally.outdated_holder(voter)?.clone();
        let question = self.question_of(QuestionKind::PassedOnRelease);
        Some(self.send(voter, question, ClaimAction::Release { claimant }))
    }

    fn send(&self, voter: &Voter, question: u64, action: ClaimAction) -> ClaimOutput {
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

    /// Returns the present question's number.
    ///
    /// It is a hash of the run, the attempt, the set of voters and the phase, so that a
    /// late answer to an earlier question, or to the run before a restart, is not
    /// counted for this one.
    pub fn question(&self) -> u64 {
        self.question_of(match &self.phase {
            Phase::Acquiring(_) => QuestionKind::Acquire,
            Phase::Running { .. } => QuestionKind::Nothing,
            Phase::Settling { .. } => QuestionKind::Settle,
            Phase::Probing(_) => QuestionKind::Probe,
        })
    }

    fn question_of(&self, kind: QuestionKind) -> u64 {
        let parts = [
            self.claimant.boot.0,
            self.claimant.attempt,
            self.voters().number,
            kind as u64,
        ];
        xxh3_64(&parts.map(u64::to_le_bytes).concat())
    }
}

/// What a question is about, as a part of its number.
#[derive(Clone, Copy)]
enum QuestionKind {
    Acquire,
    Nothing,
    Settle,
    Probe,
    PassedOnRelease,
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// It certainly did not run and never will.
    NotRun,
    /// It ran, or may have.
    Ran(StoredOutcome),
}
