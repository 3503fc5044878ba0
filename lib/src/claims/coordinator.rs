//! An entry daemon's attempts.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration,
};

use super::{
    attempt::{
        Attempt,
        AttemptEnd,
        Decision, //
    },
    output::{
        ClaimOutput,
        ClaimTiming, //
    }, //
};
use crate::{
    fleet::Voter,
    peer_api::{
        ClaimKey,
        ClaimReply,
        ClaimVerdict,
        Claimant,
        StoredOutcome,
        VoterSet, //
    },
    prelude::*,
};

/// How many attempts may wait for a majority to record what became of them.
///
/// Each holds its outcome. None is dropped, which would leave its key without an outcome; new
/// claims are refused instead, as most are where no majority answers.
const OVERDUE_LIMIT: usize = 1_000;
/// After which silence a voter that is heard again is told at once what it has yet to record.
const SILENCE: Duration = Duration::from_secs(2);

/// Every attempt of one run of an entry daemon that is not recorded everywhere yet.
#[derive(Clone, Debug)]
pub struct ClaimCoordinator {
    daemon: DaemonId,
    boot: BootId,
    timing: ClaimTiming,
    voters: VoterSet,
    attempts: BTreeMap<u64, Attempt>,
    questions: HashMap<u64, u64>,
    wakes: BTreeSet<(Timestamp, u64)>,
    last_attempt: u64,
    overdue: BTreeSet<u64>,
    heard_at: BTreeMap<Voter, Timestamp>,
    boots: BTreeMap<DaemonId, Option<BootId>>,
}

impl ClaimCoordinator {
    /// Makes a coordinator without attempts.
    ///
    /// The control daemons of the settings stand in for the voters until one of them has
    /// told the real set; they are asked by number zero, under which none grants anything.
    pub fn new(
        daemon: DaemonId,
        boot: BootId,
        timing: ClaimTiming,
        control_daemons: impl IntoIterator<Item = DaemonId>,
    ) -> Self {
        let stand_ins = control_daemons.into_iter();
        let voters = stand_ins.map(|daemon| Voter { daemon, disk: 0 }).collect();
        Self {
            daemon,
            boot,
            timing,
            voters: VoterSet { number: 0, voters },
            attempts: BTreeMap::new(),
            questions: HashMap::new(),
            wakes: BTreeSet::new(),
            last_attempt: 0,
            overdue: BTreeSet::new(),
            heard_at: BTreeMap::new(),
            boots: BTreeMap::new(),
        }
    }

    /// Begins an attempt; it may run once [`ClaimOutput::Granted`] names it.
    pub fn begin(
        &mut self,
        key: ClaimKey,
        fingerprint: u64,
        now: Timestamp,
    ) -> (u64, Vec<ClaimOutput>) {
        self.last_attempt += 1;
        let number = self.last_attempt;
        let claimant = Claimant {
            daemon: self.daemon.clone(),
            boot: self.boot,
            attempt: number,
        };
        let voters = self.voters.clone();
        let mut attempt = Attempt::new(key, claimant, fingerprint, voters, self.timing, now);
        if self.overdue.len() >= OVERDUE_LIMIT {
            return (number, vec![attempt.refuse_unasked(number)]);
        }
        let outputs = attempt.questions(now);
        self.keep(number, attempt);
        (number, outputs)
    }

    /// Takes in a replica's answer.
    pub fn handle_reply(&mut self, reply: &ClaimReply, now: Timestamp) -> Vec<ClaimOutput> {
        if let ClaimVerdict::VotersChanged(voters) = &reply.verdict {
            return self.set_voters(voters.clone(), now);
        }
        let mut outputs = self.answer_question(reply, now);
        let heard_before = self.heard_at.insert(reply.voter.clone(), now);
        if heard_before.is_some_and(|before| now.since(before) >= SILENCE) {
            outputs.extend(self.tell_what_is_due(&reply.voter, now));
        }
        outputs
    }

    fn answer_question(&mut self, reply: &ClaimReply, now: Timestamp) -> Vec<ClaimOutput> {
        let Some(&number) = self.questions.get(&reply.question) else {
            return Vec::new();
        };
        let Some(mut attempt) = self.take(number) else {
            return Vec::new();
        };
        let decision = attempt.handle_reply(reply, now, |holder| self.is_alive(holder));
        self.follow(number, attempt, decision, now)
    }

    /// Tells a voter that was silent what it has yet to record, as after a partition.
    fn tell_what_is_due(&mut self, voter: &Voter, now: Timestamp) -> Vec<ClaimOutput> {
        let attempts = self.attempts.iter();
        let due = attempts.filter(|(_, attempt)| attempt.is_due_to(voter));
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        let mut outputs = Vec::new();
        for number in due {
            if let Some(mut attempt) = self.take(number) {
                outputs.extend(attempt.resend(now));
                self.keep(number, attempt);
            }
        }
        outputs
    }

    /// Goes over to a newer set of voters, and asks again by it.
    pub fn set_voters(&mut self, voters: VoterSet, now: Timestamp) -> Vec<ClaimOutput> {
        if voters.number <= self.voters.number {
            return Vec::new();
        }
        self.voters = voters;
        let numbers: Vec<u64> = self.attempts.keys().copied().collect();
        let mut outputs = Vec::new();
        for number in numbers {
            if let Some(mut attempt) = self.take(number) {
                attempt.change_voters(&self.voters);
                outputs.extend(attempt.questions(now));
                self.keep(number, attempt);
            }
        }
        outputs
    }

    /// Notes the latest run of an entry daemon, to know whether a holder is gone.
    pub fn record_boot(&mut self, daemon: &DaemonId, boot: BootId) {
        self.boots.insert(daemon.clone(), Some(boot));
    }

    /// Notes that an entry daemon is not heard any more.
    pub fn record_departure(&mut self, daemon: &DaemonId) {
        self.boots.insert(daemon.clone(), None);
    }

    /// Returns whether a granted attempt may still be sent to an upstream.
    ///
    /// To be asked right before each sending. Once it says no, the attempt is completed
    /// if it was sent before, and otherwise released.
    pub fn may_start(&self, attempt: u64, now: Timestamp) -> bool {
        self.attempts
            .get(&attempt)
            .is_some_and(|attempt| attempt.may_start(now))
    }

    /// Sends questions again and ends attempts whose time is over.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        while let Some(&(at, number)) = self.wakes.first()
            && at <= now
        {
            let Some(mut attempt) = self.take(number) else {
                break;
            };
            if attempt.is_over() {
                continue;
            }
            let decision = attempt.time_out(now, |holder| self.is_alive(holder));
            if attempt.is_resend_due(now) && matches!(decision, Decision::Undecided) {
                outputs.extend(attempt.resend(now));
            }
            outputs.extend(self.follow(number, attempt, decision, now));
        }
        outputs
    }

    /// Returns when [`Self::tick`] has something to do next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.wakes.first().map(|(at, _)| *at)
    }

    /// Records the outcome of an attempt that ran, or may have.
    pub fn complete(
        &mut self,
        attempt: u64,
        outcome: StoredOutcome,
        now: Timestamp,
    ) -> Vec<ClaimOutput> {
        self.settle(attempt, AttemptEnd::Ran(outcome), now)
    }

    /// Gives up an attempt that certainly did not run; it must never run after this call.
    ///
    /// [`ClaimOutput::Settled`] tells when a majority knows, at once if none holds the key for
    /// it. Before that the caller must not be told that it did not run: as far as a majority
    /// knows it may be running, and a resend would get nothing until this daemon is heard.
    pub fn release(&mut self, attempt: u64, now: Timestamp) -> Vec<ClaimOutput> {
        let settled = vec![ClaimOutput::Settled { attempt }];
        match self.attempts.get(&attempt) {
            None => settled,
            Some(known) if known.is_settled() => settled,
            Some(known) if !known.may_be_held() => {
                self.take(attempt);
                settled
            }
            Some(_) => self.settle(attempt, AttemptEnd::NotRun, now),
        }
    }

    /// Returns how many attempts are not recorded everywhere yet.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether every attempt is recorded; a daemon that stops waits for it.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    fn settle(&mut self, number: u64, end: AttemptEnd, now: Timestamp) -> Vec<ClaimOutput> {
        let Some(mut attempt) = self.take(number) else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        if !attempt.is_settling() {
            attempt.settle(end, now);
            outputs = attempt.questions(now);
        }
        self.keep(number, attempt);
        outputs
    }

    /// Carries a decision out; whoever is refused releases what it holds.
    fn follow(
        &mut self,
        number: u64,
        mut attempt: Attempt,
        decision: Decision,
        now: Timestamp,
    ) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        match decision {
            Decision::Undecided => {}
            Decision::Acquire => outputs.extend(attempt.questions(now)),
            Decision::Granted => outputs.push(ClaimOutput::Granted { attempt: number }),
            Decision::Settled => outputs.push(ClaimOutput::Settled { attempt: number }),
            Decision::Refused(refusal) => {
                outputs.push(ClaimOutput::Refused {
                    attempt: number,
                    refusal,
                    answers: attempt.answers(),
                });
                if !attempt.may_be_held() {
                    return outputs;
                }
                attempt.settle(AttemptEnd::NotRun, now);
                outputs.extend(attempt.questions(now));
            }
        }
        if !attempt.is_over() {
            self.keep(number, attempt);
        }
        outputs
    }

    fn is_alive(&self, holder: &Claimant) -> bool {
        if holder.daemon == self.daemon {
            return holder.boot == self.boot && self.attempts.contains_key(&holder.attempt);
        }
        // Of a daemon that was never heard nothing is known; a caller told that its
        // request runs comes back, and then learns more.
        self.boots
            .get(&holder.daemon)
            .is_none_or(|boot| *boot == Some(holder.boot))
    }

    fn take(&mut self, number: u64) -> Option<Attempt> {
        let attempt = self.attempts.remove(&number)?;
        self.questions.remove(&attempt.question());
        self.overdue.remove(&number);
        if let Some(wake) = attempt.next_wake() {
            self.wakes.remove(&(wake, number));
        }
        Some(attempt)
    }

    fn keep(&mut self, number: u64, attempt: Attempt) {
        if let Some(wake) = attempt.next_wake() {
            self.wakes.insert((wake, number));
        }
        self.questions.insert(attempt.question(), number);
        if attempt.is_overdue() {
            self.overdue.insert(number);
        }
        self.attempts.insert(number, attempt);
    }
}
