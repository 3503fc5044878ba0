//! One group as its leader sees it.

use crate::{
    ids::Address,
    prelude::*,
    registry::{
        GroupStanding,
        InstanceId,
        Known, //
    },
};

use super::order::OrderOutcome;

/// How far a group is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Its members get ready; its head was never opened.
    Joining,
    /// Every member has been ready; the head is being opened.
    Opening,
    /// The head takes requests.
    Open,
    /// The head is being closed.
    Closing {
        /// Whether requests are cut off.
        is_cut: bool,
    },
    /// The head takes nothing any more and is being taken out of the group.
    Leaving,
    /// The head has left and must see a higher epoch, so that no late order brings it back.
    Retiring,
    /// The head cannot be reached; the others leave, which breaks it.
    Breaking {
        /// When the last other member was seen to have left.
        left_at: Option<Timestamp>,
    },
}

impl Phase {
    pub(super) fn name(self) -> &'static str {
        match self {
            Phase::Joining => "joining",
            Phase::Opening => "opening",
            Phase::Open => "open",
            Phase::Closing { .. } => "closing",
            Phase::Leaving => "leaving",
            Phase::Retiring => "retiring",
            Phase::Breaking { .. } => "breaking",
        }
    }
}

/// A member, and the last order given to it for this group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Member {
    pub id: InstanceId,
    pub address: Address,
    pub rank: u32,
    pub last: Option<Sent>,
}

/// An order that was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Sent {
    pub order: &'static str,
    pub at: Timestamp,
    /// `None` while the answer is awaited.
    pub outcome: Option<OrderOutcome>,
}

/// A group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Group {
    pub epoch: u64,
    pub service: ServiceName,
    pub model: ModelName,
    /// How many members it should have.
    pub size: u32,
    /// In order of rank; ranks of members that were never heard of are missing.
    pub members: Vec<Member>,
    pub phase: Phase,
    pub since: Timestamp,
    /// Members that may be what made the group stand still.
    pub suspects: Vec<InstanceId>,
    /// Whether a copy of an order to the head may still be carried out late.
    pub is_doubtful: bool,
    /// How many orders the head had begun when it was asked last.
    pub head_orders: Option<u64>,
}

impl Group {
    pub(super) fn head(&self) -> Option<&Member> {
        self.members.first().filter(|member| member.rank == 0)
    }

    pub(super) fn is_whole(&self) -> bool {
        self.members.len() == self.size as usize
            && (0..)
                .zip(&self.members)
                .all(|(rank, member)| member.rank == rank)
    }

    /// Takes in a member that reports itself, if its place is not taken.
    pub(super) fn add_member(&mut self, known: &Known, standing: &GroupStanding) {
        let is_here = self
            .members
            .iter()
            .any(|member| member.rank == standing.rank || member.id == known.registration.id);
        if is_here || standing.epoch != self.epoch {
            return;
        }
        self.members.push(Member {
            id: known.registration.id.clone(),
            address: known.registration.address,
            rank: standing.rank,
            last: None,
        });
        self.members.sort_by_key(|member| member.rank);
    }

    pub(super) fn enter(&mut self, phase: Phase, now: Timestamp) {
        if self.phase != phase {
            self.phase = phase;
            self.since = now;
        }
    }
}
