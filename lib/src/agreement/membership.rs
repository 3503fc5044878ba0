//! Changing who votes, by one at a time, and handing leadership over.

use super::{
    event::{
        Action,
        ChangeRefusal,
        ProposalFailure,
        VoterChange, //
    },
    leader::Transfer,
    message::MessageBody,
    node::{
        Node,
        Role, //
    },
    types::{
        Entry,
        EntryBody,
        LogIndex,
        ProposalId,
        Term,
        VoterSet, //
    },
};
use crate::fleet::Voter;

/// The first term is drawn from this many.
const FOUNDING_TERMS: u64 = 1 << 20;

fn remove(set: &mut VoterSet, voter: &Voter) -> Result<(), ChangeRefusal> {
    if set.learners.remove(voter) {
        return Ok(());
    }
    if !set.voters.contains(voter) {
        return Err(ChangeRefusal::NotMember);
    }
    if set.voters.len() == 1 {
        return Err(ChangeRefusal::LastVoter);
    }
    set.voters.remove(voter);
    set.number += 1;
    Ok(())
}

impl Node {
    pub(super) fn change_voters(&mut self, id: ProposalId, change: VoterChange) {
        if self.takes_proposals() {
            match self.changed_set(change) {
                Ok(set) => {
                    self.propose(id, EntryBody::Voters(set));
                    self.follow_members();
                }
                Err(refusal) => {
                    let reason = ProposalFailure::ChangeRefused(refusal);
                    self.actions.push(Action::ProposalFailed { id, reason });
                }
            }
            return;
        }
        let reason = ProposalFailure::NotAppended(self.unavailable());
        self.actions.push(Action::ProposalFailed { id, reason });
    }

    /// Two sets that differ by one voter share a voter in any two majorities, but only
    /// if the one before is committed and this leader's term has begun in the log.
    fn changed_set(&self, change: VoterChange) -> Result<VoterSet, ChangeRefusal> {
        let Role::Leader(leadership) = &self.role else {
            return Err(ChangeRefusal::NotSettled);
        };
        let settled = self.log.voters_index().max(leadership.term_start);
        if settled > self.commit {
            return Err(ChangeRefusal::NotSettled);
        }
        let mut set = self.log.voters().clone();
        match change {
            VoterChange::AddLearner(voter) => {
                if set.voters.contains(&voter) || !set.learners.insert(voter) {
                    return Err(ChangeRefusal::AlreadyMember);
                }
            }
            VoterChange::Promote(voter) => {
                if !set.learners.remove(&voter) {
                    return Err(ChangeRefusal::NotMember);
                }
                if !self.has_caught_up(&voter) {
                    return Err(ChangeRefusal::NotCaughtUp);
                }
                set.voters.insert(voter);
                set.number += 1;
            }
            VoterChange::Remove(voter) => remove(&mut set, &voter)?,
        }
        Ok(set)
    }

    /// A learner far behind would count as a voter without being able to acknowledge.
    fn has_caught_up(&self, voter: &Voter) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let matched = leadership.progress.get(voter).map(|one| one.matched);
        let needed = self.log.last().index.0;
        matched.is_some_and(|index| index.0 + self.settings.promotion_lag_entries >= needed)
    }

    /// A leader that is no voter any more leads until its removal is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        let committed = self.log.voters_index() <= self.commit;
        let is_voter = self.log.voters().voters.contains(&self.me);
        if committed && !is_voter && matches!(self.role, Role::Leader(_)) {
            self.follow(self.term, None);
        }
    }

    /// Makes the first set of voters, on a node without state.
    pub(super) fn found(&mut self, voters: VoterSet) {
        let is_new = self.term == Term(0) && self.log.last().index == LogIndex(0);
        if !is_new || !voters.voters.contains(&self.me) {
            return;
        }
        // Drawn, so that two foundings whose first lost its disk do not make two
        // different entries of the same place and term.
        let drawn = rand::Rng::random_range(&mut self.rng, 1..=FOUNDING_TERMS);
        self.set_term(Term(drawn));
        self.vote = Some(self.me.clone());
        let entry = Entry {
            index: LogIndex(1),
            term: self.term,
            body: EntryBody::Voters(voters),
        };
        self.log.push(entry);
        self.save_from(LogIndex(1));
        self.election_due = self.now;
    }

    /// Hands leadership to the voter that is furthest; proposals are refused meanwhile.
    pub(super) fn start_transfer(&mut self) {
        let until = self.now + self.settings.election_timeout();
        let voters = self.other_voters();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let candidates = voters.into_iter().filter_map(|voter| {
            let progress = leadership.progress.get(&voter)?;
            Some((progress.answered_round, progress.matched, voter))
        });
        let Some((_, _, target)) = candidates.max() else {
            return;
        };
        leadership.transfer = Some(Transfer {
            target,
            until,
            told: false,
        });
        self.hand_over_if_ready();
    }

    pub(super) fn hand_over_if_ready(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(transfer) = leadership.transfer.as_mut().filter(|one| !one.told) else {
            return;
        };
        let progress = leadership.progress.get(&transfer.target);
        if progress.is_none_or(|progress| progress.matched < last) {
            return;
        }
        transfer.told = true;
        // The target will be elected although others have just heard this leader; the
        // request may also arrive late, so the lease stays void for the whole term.
        leadership.lease_is_void = true;
        let target = transfer.target.clone();
        self.send(target, self.term, MessageBody::TimeoutNow);
    }
}
