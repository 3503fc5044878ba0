//! Orders to engines and their answers.

use crate::{
    ids::Address,
    prelude::*,
    registry::InstanceId, //
};

/// One order to one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCommand {
    /// The run it is meant for; another one at the address must not take it.
    pub to: InstanceId,
    /// Where that run takes orders.
    pub address: Address,
    /// The group it concerns.
    pub group: GroupId,
    /// The group's number; engines refuse lower ones than they have seen.
    pub epoch: u64,
    /// What to do.
    pub kind: EngineCommandKind,
    /// How many orders the engine must have begun so far, or it refuses this one.
    pub expected_command_count: Option<u64>,
}

/// What an engine is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineCommandKind {
    /// Get ready as a member.
    Join {
        /// The model to run.
        model: ModelName,
        /// All members in order; the first is the head.
        members: Vec<InstanceId>,
    },
    /// As the head, take requests.
    Open,
    /// As the head, take no more requests.
    Close(CloseMode),
    /// Be in the group no longer.
    Leave,
    /// Tell how many orders were begun so far, and which group it is in; changes nothing.
    Query,
    /// Load a model onto the host, beside all other work.
    Stage {
        /// The model.
        model: ModelName,
    },
}

impl EngineCommandKind {
    /// Returns the order's name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            EngineCommandKind::Join { .. } => "join",
            EngineCommandKind::Open => "open",
            EngineCommandKind::Close(_) => "close",
            EngineCommandKind::Leave => "leave",
            EngineCommandKind::Query => "look",
            EngineCommandKind::Stage { .. } => "stage",
        }
    }
}

/// What becomes of the requests that a closing head has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseMode {
    /// They end first.
    Wait,
    /// They are cut off.
    Cut,
}

/// What came back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineCommandOutcome {
    /// The engine has begun to carry it out.
    Begun,
    /// It is done, or was so before.
    Done,
    /// What an engine that was looked at has told.
    Reported {
        /// How many orders it has begun so far.
        begun: u64,
        /// The group that it is in, however far.
        group: Option<GroupId>,
    },
    /// It does not fit the engine's state.
    InvalidState,
    /// The engine has seen a higher epoch.
    Outdated,
    /// Another run has the address.
    OtherInstance,
    /// Nothing listens at the address.
    Refused,
    /// Nobody knows whether it was, or will be, carried out.
    Unanswered,
}

impl EngineCommandOutcome {
    /// Returns the outcome's name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            EngineCommandOutcome::Begun => "begun",
            EngineCommandOutcome::Done => "done",
            EngineCommandOutcome::Reported { .. } => "seen",
            EngineCommandOutcome::InvalidState => "unfit",
            EngineCommandOutcome::Outdated => "outdated",
            EngineCommandOutcome::OtherInstance => "other_run",
            EngineCommandOutcome::Refused => "refused",
            EngineCommandOutcome::Unanswered => "unanswered",
        }
    }
}
