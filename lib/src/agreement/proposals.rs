//! The proposals of this process that are in the log and not decided yet.

use std::collections::BTreeMap;

use super::types::{
    LogIndex,
    ProposalId,
    Term, //
};

/// Undecided proposals by their place.
///
/// A place may have several: one that was appended in an older term can still be
/// committed by a later leader until another entry is committed in its place.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposals {
    by_index: BTreeMap<LogIndex, Vec<(Term, ProposalId)>>,
}

/// What the commit of one entry decides.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Decided {
    /// The proposal that this entry is.
    pub applied: Option<ProposalId>,
    /// Those that can never be committed now.
    pub superseded: Vec<ProposalId>,
}

impl Proposals {
    pub(super) fn add(&mut self, index: LogIndex, term: Term, id: ProposalId) {
        self.by_index.entry(index).or_default().push((term, id));
    }

    /// Returns what the commit of the entry with this place and term decides.
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

    /// Returns those up to a place, whose entries this process will never see.
    pub(super) fn forget_through(&mut self, index: LogIndex) -> Vec<ProposalId> {
        let later = self.by_index.split_off(&index.next());
        let gone = std::mem::replace(&mut self.by_index, later);
        gone.into_values().flatten().map(|(_, id)| id).collect()
    }
}
