//! The part of the log that is in memory.

use std::collections::VecDeque;

use super::{
    message::Position,
    types::{
        Entry,
        EntryBody,
        LogIndex,
        Snapshot,
        Term,
        VoterSet, //
    },
};

/// The consecutive entries after a base position; earlier entries are compacted.
#[derive(Clone, Debug)]
pub(super) struct Log {
    /// The position of the entry before the first one in memory.
    base: Position,
    entries: VecDeque<Entry>,
    /// The voter sets with the indices of their entries; the first one is at or before the base.
    voter_sets: Vec<(LogIndex, VoterSet)>,
}

impl Log {
    pub(super) fn new(snapshot: &Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base: Position {
                term: snapshot.term,
                index: snapshot.index,
            },
            entries: VecDeque::new(),
            voter_sets: vec![(snapshot.index, snapshot.voters.clone())],
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(super) fn first_index(&self) -> LogIndex {
        self.base.index.next()
    }

    pub(super) fn last(&self) -> Position {
        match self.entries.back() {
            Some(entry) => Position {
                term: entry.term,
                index: entry.index,
            },
            None => self.base,
        }
    }

    /// Returns the term of the entry at an index; `None` if it is compacted or does not exist yet.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.first_index().0)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends an entry, whose index must be the next one.
    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        if let EntryBody::Voters(voters) = &entry.body {
            self.voter_sets.push((entry.index, voters.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        let retained = index.0.saturating_sub(self.first_index().0);
        self.entries
            .truncate(usize::try_from(retained).unwrap_or(usize::MAX));
        self.voter_sets.retain(|(at, _)| *at < index);
    }

    /// Returns the entries from an index on, up to a limit of bytes, but at least one if there is
    /// any.
    pub(super) fn slice(&self, from: LogIndex, limit_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut slice = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry_bytes(entry);
            if bytes > limit_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
            index = index.next();
        }
        slice
    }

    pub(super) fn all_from(&self, from: LogIndex) -> Vec<Entry> {
        self.slice(from, usize::MAX)
    }

    /// Returns the first index of the uninterrupted entries with the same term up to this index.
    pub(super) fn first_of_term_at(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.first_index() && self.term_at(first.previous()) == term {
            first = first.previous();
        }
        first
    }

    /// Returns the newest set of voters, which is in force as soon as its entry is appended.
    pub(super) fn voters(&self) -> &VoterSet {
        // PANIC: none; the first set is never truncated or compacted away.
        &self.voter_sets[self.voter_sets.len() - 1].1
    }

    /// Returns the index of the entry with the newest set of voters.
    pub(super) fn voters_index(&self) -> LogIndex {
        self.voter_sets[self.voter_sets.len() - 1].0
    }

    pub(super) fn voters_at(&self, index: LogIndex) -> &VoterSet {
        let mut sets = self.voter_sets.iter().rev();
        match sets.find(|(at, _)| *at <= index) {
            Some((_, voters)) => voters,
            None => &self.voter_sets[0].1,
        }
    }

    /// Removes the entries up to an index from memory.
    pub(super) fn compact(&mut self, through: LogIndex) {
        while let Some(entry) = self.entries.front() {
            if entry.index > through {
                break;
            }
            self.base = Position {
                term: entry.term,
                index: entry.index,
            };
            self.entries.pop_front();
        }
        while self.voter_sets.len() > 1 && self.voter_sets[1].0 <= self.base.index {
            self.voter_sets.remove(0);
        }
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    const ENTRY_OVERHEAD_BYTES: usize = 16;
    let body = match &entry.body {
        EntryBody::TermStart => 0,
        EntryBody::Command(command) => command.len(),
        EntryBody::Voters(voters) => voters.members().count() * 64,
    };
    ENTRY_OVERHEAD_BYTES + body
}
