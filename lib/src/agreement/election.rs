//! Elections: pre-votes, votes, and the rules that protect a healthy leader from being deposed.

use std::collections::BTreeSet;

use super::{
    message::{
        MessageBody,
        Position, //
    },
    node::{
        Node,
        Role, //
    },
    refusals::Refusal,
    types::Term, //
};
use crate::fleet::Voter;

impl Node {
    /// Asks the other voters whether they would elect this node, without starting a new term.
    ///
    /// A node that was cut off therefore returns with its old term and does not depose the
    /// leader.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        if !self.log.voters().voters.contains(&self.me) {
            self.role = Role::Follower { leader: None };
            return;
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.me.clone()]),
        };
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send(voter, self.term.next(), MessageBody::PreVote { last });
        }
        self.campaign_if_pre_elected();
    }

    fn campaign_if_pre_elected(&mut self) {
        let Role::PreCandidate { granted } = &self.role else {
            return;
        };
        if self
            .log
            .voters()
            .has_majority(|voter| granted.contains(voter))
        {
            self.campaign(false);
        }
    }

    /// Starts a new term and requests votes; the node's own vote counts once it is synced.
    pub(super) fn campaign(&mut self, transfer: bool) {
        self.set_term(self.term.next());
        self.vote = Some(self.me.clone());
        self.unsaved.hard_state = true;
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
        };
        self.reset_election_timer();
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_when_synced(voter, self.term, MessageBody::Vote { last, transfer });
        }
    }

    /// Counts the candidate's own vote if it is on disk.
    pub(super) fn count_own_vote(&mut self) {
        let durable = &self.durability.hard_state;
        if durable.term != self.term || durable.vote.as_ref() != Some(&self.me) {
            return;
        }
        self.count_vote(self.me.clone());
    }

    fn count_vote(&mut self, from: Voter) {
        let Role::Candidate { granted } = &mut self.role else {
            return;
        };
        granted.insert(from);
        let elected = self
            .log
            .voters()
            .has_majority(|voter| granted.contains(voter));
        if elected {
            self.become_leader();
        }
    }

    pub(super) fn handle_pre_vote(&mut self, from: Voter, term: Term, last: Position) {
        if term < self.term {
            let reply = MessageBody::PreVoteReply { granted: false };
            self.refusals.add(Refusal::OldTerm);
            self.send_when_synced(from, self.term, reply);
            return;
        }
        let refusal = self.reason_to_refuse_candidate(last, false);
        let reply = MessageBody::PreVoteReply {
            granted: refusal.is_none(),
        };
        match refusal {
            None => self.send(from, term, reply),
            Some(reason) => {
                self.refusals.add(reason);
                self.send_when_synced(from, self.term, reply);
            }
        }
    }

    pub(super) fn handle_pre_vote_reply(&mut self, from: Voter, term: Term, is_granted: bool) {
        if !is_granted {
            if term > self.term {
                self.become_follower(term, None);
            }
            return;
        }
        if term != self.term.next() {
            self.refusals.add(Refusal::OldTerm);
            return;
        }
        if let Role::PreCandidate { granted } = &mut self.role {
            granted.insert(from);
            self.campaign_if_pre_elected();
        }
    }

    pub(super) fn handle_vote(&mut self, from: Voter, term: Term, last: Position, transfer: bool) {
        if term < self.term {
            let reply = MessageBody::VoteReply { granted: false };
            self.refusals.add(Refusal::OldTerm);
            self.send_when_synced(from, self.term, reply);
            return;
        }
        // Not even the term is adopted, since that alone would depose a healthy leader.
        if !transfer && self.has_live_leader() {
            self.refusals.add(Refusal::LeaderAlive);
            return;
        }
        if term > self.term {
            self.become_follower(term, None);
        }
        let refusal = self.reason_to_refuse_vote(&from, last);
        match refusal {
            None => self.grant_vote(&from),
            Some(reason) => self.refusals.add(reason),
        }
        let granted = refusal.is_none();
        self.send_when_synced(from, self.term, MessageBody::VoteReply { granted });
    }

    fn reason_to_refuse_vote(&self, from: &Voter, last: Position) -> Option<Refusal> {
        let voted_for_other = self.vote.as_ref().is_some_and(|vote| vote != from);
        if voted_for_other {
            return Some(Refusal::AlreadyVoted);
        }
        self.reason_to_refuse_candidate(last, true)
    }

    fn reason_to_refuse_candidate(&self, last: Position, ignore_leader: bool) -> Option<Refusal> {
        if !ignore_leader && self.has_live_leader() {
            return Some(Refusal::LeaderAlive);
        }
        (last < self.log.last()).then_some(Refusal::OlderLog)
    }

    fn grant_vote(&mut self, to: &Voter) {
        if self.vote.as_ref() != Some(to) {
            self.vote = Some(to.clone());
            self.unsaved.hard_state = true;
        }
        self.reset_election_timer();
    }

    pub(super) fn handle_vote_reply(&mut self, from: Voter, term: Term, is_granted: bool) {
        if term > self.term {
            self.become_follower(term, None);
        } else if term == self.term && is_granted {
            self.count_vote(from);
        }
    }

    /// Campaigns at once, because the leader transfers its leadership to this node.
    pub(super) fn handle_timeout_now(&mut self, term: Term) {
        let is_voter = self.log.voters().voters.contains(&self.me);
        if term == self.term && is_voter && matches!(self.role, Role::Follower { .. }) {
            self.campaign(true);
        }
    }

    /// Returns whether a leader may hold a lease that relies on this node: its last message came
    /// less than an election timeout ago. On a leader, returns whether a majority has answered
    /// within the length of its own lease.
    pub(super) fn has_live_leader(&self) -> bool {
        if matches!(self.role, Role::Leader(_)) {
            return self.leads_with_quorum();
        }
        self.now < self.last_leader_contact + self.settings.election_timeout()
    }

    /// Becomes a follower in a term that is at least the current one; a leader fails its reads.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<Voter>) {
        if matches!(self.role, Role::Leader(_)) {
            self.fail_reads();
            self.reset_election_timer();
        }
        self.set_term(term);
        self.role = Role::Follower { leader };
    }

    pub(super) fn other_voters(&self) -> Vec<Voter> {
        let voters = self.log.voters().voters.iter();
        voters.filter(|voter| **voter != self.me).cloned().collect()
    }
}
