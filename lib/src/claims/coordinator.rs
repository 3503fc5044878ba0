//! An entry daemon's coordinator of claims: all of its attempts that are not finished.

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

/// The number of overdue attempts (no majority has recorded their outcome or release) from which
/// new claims are refused.
///
/// Each overdue attempt holds its outcome in memory. Dropping one would leave its key without
/// an outcome, so new claims are refused instead; without a majority most of them would be
/// refused anyway.
const MAX_OVERDUE_ATTEMPTS: usize = 1_000;
/// A voter that answers after a silence of at least this length gets at once the outcomes and
/// releases that it has not recorded.
const VOTER_SILENCE: Duration = Duration::from_secs(2);

/// Every attempt of one entry daemon process that is not yet recorded by all voters.
#[derive(Clone, Debug)]
pub struct ClaimCoordinator {
    daemon: DaemonId,
    boot: BootId,
    timing: ClaimTiming,
    voters: VoterSet,
    /// The unfinished attempts by number.
    attempts: BTreeMap<u64, Attempt>,
    /// The numbers of the attempts by the number of their current question.
    attempts_by_question: HashMap<u64, u64>,
    /// The time of each attempt's next timeout or retransmit, with the attempt's number.
    wakes: BTreeSet<(Timestamp, u64)>,
    last_attempt: u64,
    /// The numbers of the overdue attempts.
    overdue: BTreeSet<u64>,
    /// The time of each voter's last answer.
    last_contact: BTreeMap<Voter, Timestamp>,
    /// The boot of each entry daemon's latest process; `None` if the daemon is gone.
    latest_boots: BTreeMap<DaemonId, Option<BootId>>,
}

impl ClaimCoordinator {
    /// Returns a coordinator without attempts.
    ///
    /// The control daemons of the settings are used as voters until one of them has sent the
    /// actual set of voters. Requests to them carry the set number zero, under which no control
    /// daemon grants a claim.
    pub fn new(
        daemon: DaemonId,
        boot: BootId,
        timing: ClaimTiming,
        control_daemons: impl IntoIterator<Item = DaemonId>,
    ) -> Self {
        let configured = control_daemons.into_iter();
        let voters = configured.map(|daemon| Voter { daemon, disk: 0 }).collect();
        Self {
            daemon,
            boot,
            timing,
            voters: VoterSet { number: 0, voters },
            attempts: BTreeMap::new(),
            attempts_by_question: HashMap::new(),
            wakes: BTreeSet::new(),
            last_attempt: 0,
            overdue: BTreeSet::new(),
            last_contact: BTreeMap::new(),
            latest_boots: BTreeMap::new(),
        }
    }

    /// Begins an attempt and returns its number; the attempt may run once
    /// [`ClaimOutput::Granted`] names it.
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
        if self.overdue.len() >= MAX_OVERDUE_ATTEMPTS {
            return (number, vec![attempt.refuse_without_probe(number)]);
        }
        let outputs = attempt.unanswered_requests(now);
        self.store_attempt(number, attempt);
        (number, outputs)
    }

    /// Handles a replica's answer.
    pub fn handle_reply(&mut self, reply: &ClaimReply, now: Timestamp) -> Vec<ClaimOutput> {
        if let ClaimVerdict::VotersChanged(voters) = &reply.verdict {
            return self.set_voters(voters.clone(), now);
        }
        let mut outputs = self.handle_answer(reply, now);
        let previous_contact = self.last_contact.insert(reply.voter.clone(), now);
        if previous_contact.is_some_and(|before| now.since(before) >= VOTER_SILENCE) {
            outputs.extend(self.retransmit_unrecorded(&reply.voter, now));
        }
        outputs
    }

    fn handle_answer(&mut self, reply: &ClaimReply, now: Timestamp) -> Vec<ClaimOutput> {
        let Some(&number) = self.attempts_by_question.get(&reply.question) else {
            return Vec::new();
        };
        let Some(mut attempt) = self.remove_attempt(number) else {
            return Vec::new();
        };
        let decision = attempt.handle_reply(reply, now, |holder| self.is_holder_live(holder));
        self.apply_decision(number, attempt, decision, now)
    }

    /// Retransmits the outcomes and releases that a voter has not recorded, as after a
    /// partition.
    fn retransmit_unrecorded(&mut self, voter: &Voter, now: Timestamp) -> Vec<ClaimOutput> {
        let attempts = self.attempts.iter();
        let unrecorded = attempts.filter(|(_, attempt)| attempt.is_unrecorded_by(voter));
        let unrecorded: Vec<u64> = unrecorded.map(|(number, _)| *number).collect();
        let mut outputs = Vec::new();
        for number in unrecorded {
            if let Some(mut attempt) = self.remove_attempt(number) {
                outputs.extend(attempt.retransmit(now));
                self.store_attempt(number, attempt);
            }
        }
        outputs
    }

    /// Switches to a newer set of voters and sends all open requests again under its number.
    pub fn set_voters(&mut self, voters: VoterSet, now: Timestamp) -> Vec<ClaimOutput> {
        if voters.number <= self.voters.number {
            return Vec::new();
        }
        self.voters = voters;
        let numbers: Vec<u64> = self.attempts.keys().copied().collect();
        let mut outputs = Vec::new();
        for number in numbers {
            if let Some(mut attempt) = self.remove_attempt(number) {
                attempt.change_voters(&self.voters);
                outputs.extend(attempt.unanswered_requests(now));
                self.store_attempt(number, attempt);
            }
        }
        outputs
    }

    /// Records the boot of an entry daemon's latest process; attempts of its earlier processes
    /// count as dead.
    pub fn record_boot(&mut self, daemon: &DaemonId, boot: BootId) {
        self.latest_boots.insert(daemon.clone(), Some(boot));
    }

    /// Records that an entry daemon is gone, since nothing is received from it any more; all of its
    /// attempts count as dead.
    pub fn record_gone(&mut self, daemon: &DaemonId) {
        self.latest_boots.insert(daemon.clone(), None);
    }

    /// Returns whether a granted attempt may still be sent to an upstream.
    ///
    /// The entry daemon checks this right before it sends the request, each time. Once the result
    /// is false, it completes the attempt if the request was sent before, and releases it
    /// otherwise.
    pub fn may_start(&self, attempt: u64, now: Timestamp) -> bool {
        self.attempts
            .get(&attempt)
            .is_some_and(|attempt| attempt.may_start(now))
    }

    /// Retransmits unanswered requests and refuses attempts that have timed out.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        while let Some(&(at, number)) = self.wakes.first()
            && at <= now
        {
            let Some(mut attempt) = self.remove_attempt(number) else {
                break;
            };
            if attempt.is_over() {
                continue;
            }
            let decision = attempt.decide_at_timeout(now, |holder| self.is_holder_live(holder));
            if attempt.is_retransmit_due(now) && matches!(decision, Decision::Undecided) {
                outputs.extend(attempt.retransmit(now));
            }
            outputs.extend(self.apply_decision(number, attempt, decision, now));
        }
        outputs
    }

    /// Returns the time at which [`Self::tick`] is next due; `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.wakes.first().map(|(at, _)| *at)
    }

    /// Records the outcome of an attempt that ran or may have run.
    pub fn complete(
        &mut self,
        attempt: u64,
        outcome: StoredOutcome,
        now: Timestamp,
    ) -> Vec<ClaimOutput> {
        self.settle(attempt, AttemptEnd::Ran(outcome), now)
    }

    /// Releases an attempt that certainly did not run; it must never run after this call.
    ///
    /// [`ClaimOutput::Settled`] is returned once a majority has recorded the release, or at once
    /// if no voter can hold the key for the attempt. Before that the caller must not be answered
    /// that the request did not run: to a majority the attempt may still be running, and a client
    /// retry would be refused until this daemon reaches the voters again.
    pub fn release(&mut self, attempt: u64, now: Timestamp) -> Vec<ClaimOutput> {
        let settled = vec![ClaimOutput::Settled { attempt }];
        match self.attempts.get(&attempt) {
            None => settled,
            Some(existing) if existing.is_settled() => settled,
            Some(existing) if !existing.may_be_held() => {
                self.remove_attempt(attempt);
                settled
            }
            Some(_) => self.settle(attempt, AttemptEnd::NotRun, now),
        }
    }

    /// Returns the number of attempts that are not yet recorded by all voters.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether every attempt is recorded; a daemon waits for this before it stops.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    fn settle(&mut self, number: u64, end: AttemptEnd, now: Timestamp) -> Vec<ClaimOutput> {
        let Some(mut attempt) = self.remove_attempt(number) else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        if !attempt.is_settling() {
            attempt.settle(end, now);
            outputs = attempt.unanswered_requests(now);
        }
        self.store_attempt(number, attempt);
        outputs
    }

    /// Applies a decision to an attempt; a refused attempt that a voter may hold the key for is
    /// released.
    fn apply_decision(
        &mut self,
        number: u64,
        mut attempt: Attempt,
        decision: Decision,
        now: Timestamp,
    ) -> Vec<ClaimOutput> {
        let mut outputs = Vec::new();
        match decision {
            Decision::Undecided => {}
            Decision::Acquire => outputs.extend(attempt.unanswered_requests(now)),
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
                outputs.extend(attempt.unanswered_requests(now));
            }
        }
        if !attempt.is_over() {
            self.store_attempt(number, attempt);
        }
        outputs
    }

    fn is_holder_live(&self, holder: &Claimant) -> bool {
        if holder.daemon == self.daemon {
            return holder.boot == self.boot && self.attempts.contains_key(&holder.attempt);
        }
        // Nothing is known about a daemon without a recorded boot. It counts as live, so that
        // the caller is answered "in progress" and retries later.
        self.latest_boots
            .get(&holder.daemon)
            .is_none_or(|boot| *boot == Some(holder.boot))
    }

    fn remove_attempt(&mut self, number: u64) -> Option<Attempt> {
        let attempt = self.attempts.remove(&number)?;
        self.attempts_by_question.remove(&attempt.question());
        self.overdue.remove(&number);
        if let Some(wake) = attempt.next_wake() {
            self.wakes.remove(&(wake, number));
        }
        Some(attempt)
    }

    fn store_attempt(&mut self, number: u64, attempt: Attempt) {
        if let Some(wake) = attempt.next_wake() {
            self.wakes.insert((wake, number));
        }
        self.attempts_by_question.insert(attempt.question(), number);
        if attempt.is_overdue() {
            self.overdue.insert(number);
        }
        self.attempts.insert(number, attempt);
    }
}
