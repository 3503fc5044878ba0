//! Terms, entries, voter sets: what the replicated log is made of.

use std::{
    collections::BTreeSet,
    fmt, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::fleet::Voter;

/// The number of a leadership; at most one leader has each.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// A place in the log; the first entry has number one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl Term {
    /// Returns the term after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogIndex {
    /// Returns the place after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the place before this one; the place before the first entry is zero.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A proposal's number, chosen by whoever proposes; it never leaves this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProposalId(pub u64);

/// A read's number, chosen by whoever reads; it never leaves this process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReadId(pub u64);

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its place.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its content.
    pub body: EntryBody,
}

/// The content of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryBody {
    /// The first entry of a leader's term: once it is committed, so is all before it.
    TermStart,
    /// A command for the state machine, opaque here.
    Command(Vec<u8>),
    /// Who votes from this entry on.
    Voters(VoterSet),
}

/// Who votes, and who is being brought up to date before it may vote.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// Grows by one with each change of the voters; zero before the first set.
    pub number: u64,
    /// Those whose votes and acknowledgements count.
    pub voters: BTreeSet<Voter>,
    /// Those that get the log but do not count.
    pub learners: BTreeSet<Voter>,
}

impl VoterSet {
    /// Makes a set without learners.
    pub fn of(voters: impl IntoIterator<Item = Voter>) -> Self {
        Self {
            number: 1,
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Returns how many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the voters for which `counts` holds are a majority.
    pub fn has_majority(&self, counts: impl Fn(&Voter) -> bool) -> bool {
        let counted = self.voters.iter().filter(|voter| counts(voter)).count();
        !self.voters.is_empty() && counted >= self.majority()
    }

    /// Returns the highest value that a majority has reached.
    pub fn majority_value<Value: Ord + Default>(&self, of: impl Fn(&Voter) -> Value) -> Value {
        let mut values: Vec<Value> = self.voters.iter().map(of).collect();
        values.sort_by(|a, b| b.cmp(a));
        let place = self.majority() - 1;
        values.into_iter().nth(place).unwrap_or_default()
    }

    /// Returns voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &Voter> {
        self.voters.iter().chain(&self.learners)
    }
}

/// What a node must not forget besides its entries.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// Whom this node voted for in that term.
    pub vote: Option<Voter>,
    /// What is known to be committed; recorded before it is applied, so that a
    /// restarted process does not show an older state than it has shown.
    pub commit: LogIndex,
}

/// A state machine's state in place of the entries that led to it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The last entry it includes.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// Who voted as of that entry.
    pub voters: VoterSet,
    /// The state, encoded by the state machine's owner.
    pub data: Vec<u8>,
}
