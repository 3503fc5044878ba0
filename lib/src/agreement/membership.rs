//! Changes of the set of voters, by one node at a time, and leadership transfer.

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

/// The number of values from which the first term of a new cluster is picked at random.
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
        if self.accepts_proposals() {
            match self.changed_voters(change) {
                Ok(set) => {
                    self.propose(id, EntryBody::Voters(set));
                    self.track_members();
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

    /// Returns the set of voters after a change, or the reason why the change is not allowed.
    ///
    /// Any two majorities of sets that differ by one voter share a voter. This is safe only if
    /// the previous set is committed and so is the first entry of this leader's term.
    fn changed_voters(&self, change: VoterChange) -> Result<VoterSet, ChangeRefusal> {
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

    /// Returns whether a learner lacks few enough entries to be promoted; one far behind would count
    /// as a voter without being able to acknowledge new entries.
    fn has_caught_up(&self, voter: &Voter) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let matched = leadership.progress.get(voter).map(|one| one.matched);
        let needed = self.log.last().index.0;
        matched.is_some_and(|index| index.0 + self.settings.promotion_lag_entries >= needed)
    }

    /// Steps down if this leader's removal from the voters is committed; it leads until then.
    pub(super) fn step_down_if_removed(&mut self) {
        let committed = self.log.voters_index() <= self.commit;
        let is_voter = self.log.voters().voters.contains(&self.me);
        if committed && !is_voter && matches!(self.role, Role::Leader(_)) {
            self.become_follower(self.term, None);
        }
    }

    /// Creates the log of a new cluster, with the first set of voters; ignored on a node with state.
    pub(super) fn create_first_voters(&mut self, voters: VoterSet) {
        let is_new = self.term == Term(0) && self.log.last().index == LogIndex(0);
        if !is_new || !voters.voters.contains(&self.me) {
            return;
        }
        // The term is random: if the founder loses its disk and founds the cluster again, the two
        // first entries must not have the same index and term.
        let random_term = rand::Rng::random_range(&mut self.rng, 1..=FOUNDING_TERMS);
        self.set_term(Term(random_term));
        self.vote = Some(self.me.clone());
        let entry = Entry {
            index: LogIndex(1),
            term: self.term,
            body: EntryBody::Voters(voters),
        };
        self.log.push(entry);
        self.mark_unsaved_from(LogIndex(1));
        self.election_due = self.now;
    }

    /// Starts a leadership transfer to the voter that answered the latest round with the most synced
    /// entries; proposals are refused until the transfer ends or times out.
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
            is_sent: false,
        });
        self.send_timeout_now_if_ready();
    }

    /// Asks the target of a transfer to take over, once it has synced this node's whole log.
    pub(super) fn send_timeout_now_if_ready(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(transfer) = leadership.transfer.as_mut().filter(|one| !one.is_sent) else {
            return;
        };
        let progress = leadership.progress.get(&transfer.target);
        if progress.is_none_or(|progress| progress.matched < last) {
            return;
        }
        transfer.is_sent = true;
        // The voters elect the target although this leader's last messages have just arrived. The
        // request may also arrive late, so the lease stays void for the whole term.
        leadership.lease_is_void = true;
        let target = transfer.target.clone();
        self.send(target, self.term, MessageBody::TimeoutNow);
    }
}
