//! The state of one group, as the leader knows it.

use std::time::Duration;

use crate::{
    ids::Address,
    prelude::*,
    registry::{
        GroupStatus,
        InstanceId,
        KnownInstance, //
    },
};

use super::engine_command::EngineCommandOutcome;

/// The stage of a group's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The members get ready; the head has never been opened.
    Joining,
    /// All members have been ready; the head is being opened.
    Opening,
    /// The head takes requests.
    Open,
    /// The head is being closed.
    Closing {
        /// Whether running requests are aborted.
        is_cut: bool,
    },
    /// The head takes no more requests and is told to leave the group.
    Leaving,
    /// The head has left and must see a higher epoch, so that no late command brings it back.
    Retiring,
    /// The head is unreachable; the other members leave, which makes the head unable to serve and
    /// them free.
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

/// A member, and the last command sent to it for this group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Member {
    pub id: InstanceId,
    pub address: Address,
    pub rank: u32,
    /// The last command sent to the member for this group.
    pub last: Option<SentCommand>,
    /// Whether a command for this group may still be executed late.
    pub has_unconfirmed_command: bool,
    /// The group that the member reported when this one was formed, if that group's head can no
    /// longer take requests.
    pub previous_group: Option<GroupId>,
    /// Whether the member has been silent while the head was unreachable.
    pub silence: Silence,
}

impl Member {
    /// Returns a member of a group that an earlier leader formed, from the member's own report.
    pub(super) fn reported(known: &KnownInstance, status: &GroupStatus) -> Self {
        Self {
            id: known.registration.id.clone(),
            address: known.registration.address,
            rank: status.rank,
            last: None,
            // The earlier leader may have sent commands whose outcome is unknown.
            has_unconfirmed_command: true,
            previous_group: None,
            silence: Silence::Never,
        }
    }
}

/// Whether a member has been silent while its group's head was unreachable.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Silence {
    /// The member has reported throughout.
    #[default]
    Never,
    /// The member is silent now.
    Silent,
    /// The member was silent and has reported again since this time.
    BackSince(Timestamp),
}

impl Silence {
    /// Records whether the member is silent now.
    pub(super) fn observe(&mut self, is_silent: bool, now: Timestamp) {
        *self = match *self {
            _ if is_silent => Silence::Silent,
            Silence::Silent => Silence::BackSince(now),
            unchanged => unchanged,
        };
    }

    /// Returns whether the member reports and, if it was silent before, has done so for `length` at
    /// least.
    pub(super) fn has_reported_for(&self, length: Duration, now: Timestamp) -> bool {
        match self {
            Silence::Never => true,
            Silence::Silent => false,
            Silence::BackSince(at) => now.since(*at) >= length,
        }
    }
}

/// A command that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct SentCommand {
    pub name: &'static str,
    pub at: Timestamp,
    /// The outcome; `None` while it is awaited.
    pub outcome: Option<EngineCommandOutcome>,
}

/// A group of engines that serves one replica of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Group {
    /// The number of the group's formation, which is in all of its commands.
    pub epoch: u64,
    pub service: ServiceName,
    pub model: ModelName,
    /// The number of members of a complete group.
    pub size: u32,
    /// Members by rank; ranks whose member has never reported are missing.
    pub members: Vec<Member>,
    pub phase: Phase,
    /// The time at which the group entered its phase.
    pub phase_since: Timestamp,
    /// Silent members that may have stalled the group.
    pub suspects: Vec<InstanceId>,
    /// The number of commands that the head had begun at its last query; `None` if it must be
    /// queried.
    pub head_command_count: Option<u64>,
}

impl Group {
    pub(super) fn head(&self) -> Option<&Member> {
        self.members.first().filter(|member| member.rank == 0)
    }

    /// Returns whether a command to the head may still be executed late.
    pub(super) fn has_unconfirmed_head(&self) -> bool {
        self.head().is_none_or(|head| head.has_unconfirmed_command)
    }

    pub(super) fn is_whole(&self) -> bool {
        self.members.len() == self.size as usize
            && (0..)
                .zip(&self.members)
                .all(|(rank, member)| member.rank == rank)
    }

    /// Adds a member that reports itself, if its rank is free.
    pub(super) fn add_member(&mut self, known: &KnownInstance, status: &GroupStatus) {
        let is_here = self
            .members
            .iter()
            .any(|member| member.rank == status.rank || member.id == known.registration.id);
        if is_here || status.epoch != self.epoch {
            return;
        }
        self.members.push(Member::reported(known, status));
        self.members.sort_by_key(|member| member.rank);
    }

    /// Returns whether a queried member may join, given the group that it reports: none, or the one
    /// that it was taken from when this group was formed.
    pub(super) fn may_join_from(&self, id: &InstanceId, seen: Option<&GroupId>) -> bool {
        let member = self.members.iter().find(|member| member.id == *id);
        member.is_some_and(|member| seen.is_none() || seen == member.previous_group.as_ref())
    }

    pub(super) fn enter(&mut self, phase: Phase, now: Timestamp) {
        if self.phase != phase {
            self.phase = phase;
            self.phase_since = now;
        }
    }
}
