//! The count of the voters' answers to one question, `Probe` or `Acquire`.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::output::VoterAnswer;
use crate::{
    fleet::Voter,
    peer_api::{
        ClaimVerdict,
        Claimant,
        StoredOutcome,
        VoterSet, //
    },
};

/// The voters' answers so far, at most one for each voter.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    voters: VoterSet,
    answers: BTreeMap<Voter, ClaimVerdict>,
    /// Attempts that some voter has reported as released.
    released: BTreeSet<Claimant>,
    /// The voters that still hold the key for a released attempt, with that attempt; they have
    /// not received its release.
    outdated: BTreeMap<Voter, Claimant>,
}

/// The conclusion from the answers so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// A majority holds the key for this attempt or, for a probe, could hold it.
    Granted,
    /// Another attempt has run, with this outcome.
    Completed {
        outcome: StoredOutcome,
        fingerprint_differs: bool,
    },
    /// Another attempt has a majority or may have one.
    HeldBy {
        holder: Claimant,
        fingerprint_differs: bool,
        /// Whether further answers can no longer change this verdict.
        is_final: bool,
    },
    /// Neither this attempt nor any other can get a majority from these answers.
    Contended,
    /// Too few voters answer or are available, and no answer names another attempt.
    Unreachable,
    /// Further answers can still lead to a grant.
    Pending,
}

impl Tally {
    pub fn new(voters: VoterSet) -> Self {
        Self {
            voters,
            answers: BTreeMap::new(),
            released: BTreeSet::new(),
            outdated: BTreeMap::new(),
        }
    }

    /// Returns a tally without answers that retains the known releases.
    pub fn for_next_question(&self, voters: VoterSet) -> Self {
        Self {
            voters,
            answers: BTreeMap::new(),
            released: self.released.clone(),
            outdated: self.outdated.clone(),
        }
    }

    pub fn voters(&self) -> &VoterSet {
        &self.voters
    }

    /// Adds a voter's answer, in place of its earlier one; ignores voters outside the set.
    ///
    /// The disk number is part of a voter's identity: a control daemon that lost its disk has
    /// forgotten its claims, and counting it as the old voter could make a second majority.
    pub fn add(&mut self, voter: &Voter, verdict: ClaimVerdict) {
        if !self.voters.voters.contains(voter) {
            return;
        }
        self.answers.insert(voter.clone(), verdict);
        self.record_releases(voter);
    }

    /// Records the released attempts that a voter's answer lists.
    ///
    /// Voters that still hold the key for a released attempt are remembered, so that they get
    /// the release, and their answers to `Acquire` are dropped, so that they are asked again.
    fn record_releases(&mut self, voter: &Voter) {
        if let Some(ClaimVerdict::Report(report)) = self.answers.get(voter) {
            self.released.extend(report.released.iter().cloned());
        }
        for (voter, answer) in &self.answers {
            if let Some((holder, _)) = other_holder(answer)
                && self.released.contains(holder)
            {
                self.outdated.insert(voter.clone(), holder.clone());
            }
        }
        let released = &self.released;
        self.answers.retain(|_, answer| {
            !matches!(answer, ClaimVerdict::HeldByOther { holder, .. } if released.contains(holder))
        });
    }

    /// Returns the released attempt for which a voter still holds the key.
    pub fn outdated_holder(&self, voter: &Voter) -> Option<&Claimant> {
        self.outdated.get(voter)
    }

    /// Returns the answer of each voter, for logs.
    pub fn answers(&self) -> Vec<VoterAnswer> {
        let voters = self.voters.voters.iter();
        voters
            .map(|voter| VoterAnswer {
                voter: voter.daemon.clone(),
                verdict: self.answers.get(voter).cloned(),
            })
            .collect()
    }

    pub fn has_answered(&self, voter: &Voter) -> bool {
        self.answers.contains_key(voter)
    }

    pub fn verdict(&self) -> Verdict {
        if let Some(completed_verdict) = self.completed_verdict() {
            return completed_verdict;
        }
        let majority = self.voters.majority();
        let held = self.count(|answer| self.is_for_this_attempt(answer));
        if !self.voters.voters.is_empty() && held >= majority {
            return Verdict::Granted;
        }
        let silent = self.voters.voters.len() - self.answers.len();
        let unavailable = self.count(|answer| matches!(answer, ClaimVerdict::Unavailable));
        if held + silent >= majority {
            return Verdict::Pending;
        }
        self.verdict_without_grant(majority, silent, unavailable)
    }

    /// Returns the verdict under the assumption that no further answers come.
    pub fn final_verdict(&self) -> Verdict {
        match self.verdict() {
            Verdict::Pending => {
                let silent = self.voters.voters.len() - self.answers.len();
                let unavailable = self.count(|answer| matches!(answer, ClaimVerdict::Unavailable));
                self.verdict_without_grant(self.voters.majority(), silent, unavailable)
            }
            verdict => verdict,
        }
    }

    fn verdict_without_grant(&self, majority: usize, silent: usize, unavailable: usize) -> Verdict {
        let Some((holder, count, fingerprint_differs)) = self.most_supported_other() else {
            return if silent + unavailable >= majority {
                Verdict::Unreachable
            } else {
                Verdict::Contended
            };
        };
        if count + silent + unavailable < majority {
            return Verdict::Contended;
        }
        Verdict::HeldBy {
            holder,
            fingerprint_differs,
            is_final: count >= majority || silent == 0,
        }
    }

    /// Returns the outcome if any replica has it; one is enough, since only the attempt that ran
    /// sends an outcome.
    fn completed_verdict(&self) -> Option<Verdict> {
        self.answers.values().find_map(|answer| match answer {
            ClaimVerdict::Completed {
                outcome,
                fingerprint_differs,
            } => Some(Verdict::Completed {
                outcome: outcome.clone(),
                fingerprint_differs: *fingerprint_differs,
            }),
            _ => None,
        })
    }

    fn most_supported_other(&self) -> Option<(Claimant, usize, bool)> {
        let mut counts: BTreeMap<&Claimant, (usize, bool)> = BTreeMap::new();
        for answer in self.answers.values() {
            if let Some((holder, fingerprint_differs)) = other_holder(answer)
                && !self.released.contains(holder)
            {
                let entry = counts.entry(holder).or_default();
                entry.0 += 1;
                entry.1 |= fingerprint_differs;
            }
        }
        counts
            .into_iter()
            .max_by_key(|(_, (count, _))| *count)
            .map(|(holder, (count, differs))| (holder.clone(), count, differs))
    }

    fn is_for_this_attempt(&self, answer: &ClaimVerdict) -> bool {
        match answer {
            ClaimVerdict::Held => true,
            ClaimVerdict::Report(report) => {
                let holder = report.holder.as_ref();
                holder.is_none_or(|holder| self.released.contains(holder))
            }
            _ => false,
        }
    }

    fn count(&self, is_counted: impl Fn(&ClaimVerdict) -> bool) -> usize {
        self.answers.values().filter(|a| is_counted(a)).count()
    }
}

/// Returns the other attempt that an answer names as holder, and whether that attempt's request
/// has another fingerprint.
fn other_holder(answer: &ClaimVerdict) -> Option<(&Claimant, bool)> {
    match answer {
        ClaimVerdict::HeldByOther {
            holder,
            fingerprint_differs,
        } => Some((holder, *fingerprint_differs)),
        ClaimVerdict::Report(report) => {
            let holder = report.holder.as_ref()?;
            Some((holder, report.fingerprint_differs))
        }
        _ => None,
    }
}
