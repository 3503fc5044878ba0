//! What the answers to one question, `Probe` or `Acquire`, add up to.

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

/// The answers of the voters so far, one each.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    voters: VoterSet,
    answers: BTreeMap<Voter, ClaimVerdict>,
    /// Attempts that some voter knows to be released.
    released: BTreeSet<Claimant>,
    /// Voters that hold the key for a released attempt, of which they have not heard.
    outdated: BTreeMap<Voter, Claimant>,
}

/// What the answers prove.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// A majority holds the key for this attempt, or would if it was only probed.
    Granted,
    /// Another attempt has run.
    Completed {
        outcome: StoredOutcome,
        fingerprint_differs: bool,
    },
    /// Another attempt has a majority, or may have one.
    HeldBy {
        holder: Claimant,
        fingerprint_differs: bool,
        /// Whether further answers could change this.
        is_final: bool,
    },
    /// Neither this attempt nor any other can have a majority.
    Contended,
    /// Too few answers can be had; nothing is known of other attempts.
    Unreachable,
    /// Further answers may grant it.
    Open,
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

    /// Returns a tally without answers that remembers which attempts are released.
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

    /// Counts an answer; only named voters count, each once, its disk number included.
    ///
    /// A control daemon that lost its disk has another number and has forgotten its
    /// claims: counting it could make a second majority.
    pub fn add(&mut self, voter: &Voter, verdict: ClaimVerdict) {
        if !self.voters.voters.contains(voter) {
            return;
        }
        self.answers.insert(voter.clone(), verdict);
        self.note_released(voter);
    }

    /// Follows the releases that this answer tells of.
    ///
    /// A voter that still holds the key for a released attempt is to be told, and its answer
    /// to `Acquire` is to be asked for again.
    fn note_released(&mut self, voter: &Voter) {
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

    /// Returns the released attempt that a voter holds the key for.
    pub fn outdated_holder(&self, voter: &Voter) -> Option<&Claimant> {
        self.outdated.get(voter)
    }

    /// Returns what each voter has said, for logs.
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
        if let Some(completed) = self.completed() {
            return completed;
        }
        let majority = self.voters.majority();
        let held = self.count(|answer| self.is_for_this_attempt(answer));
        if !self.voters.voters.is_empty() && held >= majority {
            return Verdict::Granted;
        }
        let silent = self.voters.voters.len() - self.answers.len();
        let unavailable = self.count(|answer| matches!(answer, ClaimVerdict::Unavailable));
        if held + silent >= majority {
            return Verdict::Open;
        }
        self.not_granted(majority, silent, unavailable)
    }

    /// Returns what the answers so far prove if no further ones come.
    pub fn final_verdict(&self) -> Verdict {
        match self.verdict() {
            Verdict::Open => {
                let silent = self.voters.voters.len() - self.answers.len();
                let unavailable = self.count(|answer| matches!(answer, ClaimVerdict::Unavailable));
                self.not_granted(self.voters.majority(), silent, unavailable)
            }
            verdict => verdict,
        }
    }

    fn not_granted(&self, majority: usize, silent: usize, unavailable: usize) -> Verdict {
        let Some((holder, count, fingerprint_differs)) = self.strongest_other() else {
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

    /// One replica that knows the outcome is enough: only the attempt that ran sends it.
    fn completed(&self) -> Option<Verdict> {
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

    fn strongest_other(&self) -> Option<(Claimant, usize, bool)> {
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

/// Returns the other attempt that an answer names, and whether its request differs.
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
