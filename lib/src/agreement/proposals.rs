//! The proposals of this process that are appended and neither committed nor superseded yet.

use std::collections::BTreeMap;

use super::types::{
    LogIndex,
    ProposalId,
    Term, //
};

/// The undecided proposals by the index of their entries.
///
/// An index may have several proposals: one that was appended in an older term can still be
/// committed by a later leader until another entry is committed at its index.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposals {
    by_index: BTreeMap<LogIndex, Vec<(Term, ProposalId)>>,
}

/// The proposals that are decided by the commit of one entry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Decided {
    /// The proposal whose entry was committed.
    pub applied: Option<ProposalId>,
    /// The proposals at the same index that can never be committed now.
    pub superseded: Vec<ProposalId>,
}

impl Proposals {
    pub(super) fn add(&mut self, index: LogIndex, term: Term, id: ProposalId) {
        self.by_index.entry(index).or_default().push((term, id));
    }

    /// Removes and returns the proposals that the commit of the entry with this index and term
    /// decides.
    pub(super) fn decide(&mut self, index: LogIndex, term: Term) -> Decided {
        let mut decided = Decided::default();
        for (proposed_in, id) in self.by_index.remove(&index).unwrap_or_default() {
            if proposed_in == term {
                decided.applied = Some(id);
            } else {
                decided.superseded.push(id);
            }
        }
        decided
    }

    /// Removes and returns the proposals up to an index, because a snapshot has replaced their
    /// entries and their outcomes stay unknown.
    pub(super) fn remove_through(&mut self, index: LogIndex) -> Vec<ProposalId> {
        let later = self.by_index.split_off(&index.next());
        let removed = std::mem::replace(&mut self.by_index, later);
        removed.into_values().flatten().map(|(_, id)| id).collect()
    }
}
