//! The entries in memory, from some place on.

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

/// The entries after a base; entries are consecutive.
#[derive(Clone, Debug)]
pub(super) struct Log {
    /// The entry before the first one kept.
    base: Position,
    entries: VecDeque<Entry>,
    /// Who votes, with the entry that said so; the first one is at or before the base.
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

    /// Returns the term at a place, `None` if that is compacted away or not there yet.
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

    /// Appends an entry whose place is the next one.
    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        if let EntryBody::Voters(voters) = &entry.body {
            self.voter_sets.push((entry.index, voters.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from a place on.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        let kept = index.0.saturating_sub(self.first_index().0);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        self.voter_sets.retain(|(at, _)| *at < index);
    }

    /// Returns the entries from a place on, at least one, up to about a size.
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

    /// Returns the first place that has the same term as this one.
    pub(super) fn first_of_term_at(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.first_index() && self.term_at(first.previous()) == term {
            first = first.previous();
        }
        first
    }

    /// Returns who votes: the newest set counts as soon as it is appended.
    pub(super) fn voters(&self) -> &VoterSet {
        // PANIC: none; the first set stays whatever is truncated or compacted.
        &self.voter_sets[self.voter_sets.len() - 1].1
    }

    /// Returns the entry that said who votes.
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

    /// Forgets the entries up to a place.
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
