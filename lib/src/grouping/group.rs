//! One group as its leader sees it.

use std::time::Duration;

use crate::{
    ids::Address,
    prelude::*,
    registry::{
        GroupStanding,
        InstanceId,
        Known, //
    },
};

use super::engine_command::EngineCommandOutcome;

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
    /// The head cannot be reached; the others leave, which breaks it, and are free.
    Breaking,
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
            Phase::Breaking => "breaking",
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
    /// Whether a copy of an order for this group may still be carried out late.
    pub is_doubtful: bool,
    /// The group that it reported when this one was formed; its head is harmless.
    pub stood_in: Option<GroupId>,
    /// Whether it has been silent while its head could not be reached.
    pub silence: Silence,
}

impl Member {
    /// Returns a member of a group that was not formed by this leader, as it reports itself.
    pub(super) fn reported(known: &Known, standing: &GroupStanding) -> Self {
        Self {
            id: known.registration.id.clone(),
            address: known.registration.address,
            rank: standing.rank,
            last: None,
            // Nobody knows what the leader before has ordered without an answer.
            is_doubtful: true,
            stood_in: None,
            silence: Silence::Never,
        }
    }
}

/// Whether a member of a group whose head cannot be reached is silent as well.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Silence {
    /// It was heard all the time.
    #[default]
    Never,
    /// It is silent.
    Silent,
    /// It was silent and is heard again.
    BackSince(Timestamp),
}

impl Silence {
    /// Takes note of whether it is silent now.
    pub(super) fn observe(&mut self, is_silent: bool, now: Timestamp) {
        *self = match *self {
            _ if is_silent => Silence::Silent,
            Silence::Silent => Silence::BackSince(now),
            heard => heard,
        };
    }

    /// Returns whether it has been heard, and if it was silent before, for long enough.
    pub(super) fn is_heard_for(&self, length: Duration, now: Timestamp) -> bool {
        match self {
            Silence::Never => true,
            Silence::Silent => false,
            Silence::BackSince(at) => now.since(*at) >= length,
        }
    }
}

/// An order that was given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Sent {
    pub order: &'static str,
    pub at: Timestamp,
    /// `None` while the answer is awaited.
    pub outcome: Option<EngineCommandOutcome>,
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
    /// How many orders the head had begun when it was asked last.
    pub head_orders: Option<u64>,
}

impl Group {
    pub(super) fn head(&self) -> Option<&Member> {
        self.members.first().filter(|member| member.rank == 0)
    }

    /// Returns whether a copy of an order to the head may still be carried out late.
    pub(super) fn has_doubtful_head(&self) -> bool {
        self.head().is_none_or(|head| head.is_doubtful)
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
        self.members.push(Member::reported(known, standing));
        self.members.sort_by_key(|member| member.rank);
    }

    /// Returns whether a member that is looked at may join: it is in no group, in this one, or
    /// still in the one that it was taken from.
    pub(super) fn may_join_from(&self, id: &InstanceId, seen: Option<&GroupId>) -> bool {
        let member = self.members.iter().find(|member| member.id == *id);
        member.is_some_and(|member| seen.is_none() || seen == member.stood_in.as_ref())
    }

    pub(super) fn enter(&mut self, phase: Phase, now: Timestamp) {
        if self.phase != phase {
            self.phase = phase;
            self.since = now;
        }
    }
}
