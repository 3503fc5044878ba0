//! The types of the replicated log: terms, entries, voter sets, snapshots.

use std::{
    collections::BTreeSet,
    fmt, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::fleet::Voter;

/// The number of an election period; each term has at most one leader.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// The index of an entry in the log; the first entry has index one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl Term {
    /// Returns the term that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogIndex {
    /// Returns the index after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one; the index before the first entry is zero.
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

/// A proposal's number, chosen by the proposer within this process and never sent to others.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProposalId(pub u64);

/// A read's number, chosen by the reader within this process and never sent to others.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReadId(pub u64);

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The entry's index in the log.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The entry's content.
    pub body: EntryBody,
}

/// The content of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryBody {
    /// The first entry of a leader's term; once it is committed, all entries before it are.
    TermStart,
    /// A command for the state machine, opaque to the log.
    Command(Vec<u8>),
    /// The set of voters that is in force from this entry on.
    Voters(VoterSet),
}

/// The nodes that vote, and the nodes that receive the log before they may vote.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// Grows by one with each change of the voters; zero before the first set.
    pub number: u64,
    /// The nodes whose votes and acknowledgements count.
    pub voters: BTreeSet<Voter>,
    /// The nodes that receive the log, but whose votes and acknowledgements do not count.
    pub learners: BTreeSet<Voter>,
}

impl VoterSet {
    /// Returns a set with number one and without learners.
    pub fn of(voters: impl IntoIterator<Item = Voter>) -> Self {
        Self {
            number: 1,
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Returns the number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a majority of the voters satisfies `counts`.
    pub fn has_majority(&self, counts: impl Fn(&Voter) -> bool) -> bool {
        let counted = self.voters.iter().filter(|voter| counts(voter)).count();
        !self.voters.is_empty() && counted >= self.majority()
    }

    /// Returns the highest value that a majority has reached; `of` returns a voter's value.
    pub fn majority_value<Value: Ord + Default>(&self, of: impl Fn(&Voter) -> Value) -> Value {
        let mut values: Vec<Value> = self.voters.iter().map(of).collect();
        values.sort_by(|a, b| b.cmp(a));
        let rank_of_majority = self.majority() - 1;
        values.into_iter().nth(rank_of_majority).unwrap_or_default()
    }

    /// Returns all voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &Voter> {
        self.voters.iter().chain(&self.learners)
    }
}

/// The state that a node must keep over a restart besides its entries.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The highest term that the node has seen.
    pub term: Term,
    /// The candidate that this node has voted for in that term.
    pub vote: Option<Voter>,
    /// The last entry known to be committed; stored before the entry is applied, so that a
    /// restarted process does not show an older state than before.
    pub commit: LogIndex,
}

/// A snapshot of the state machine's state, which replaces the entries up to its index.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The set of voters in force at that entry.
    pub voters: VoterSet,
    /// The state, encoded by the state machine's owner.
    pub data: Vec<u8>,
}
