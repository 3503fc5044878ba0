//! Commands to engines and their outcomes.

use crate::{
    ids::Address,
    prelude::*,
    registry::InstanceId, //
};

/// One command to one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCommand {
    /// The engine instance that the command is for; another instance at the address must refuse it.
    pub to: InstanceId,
    /// The address at which the instance takes commands.
    pub address: Address,
    /// The group that the command concerns; for a stage command the group that the engine is in, or
    /// the name `none` if it is in no group.
    pub group: GroupId,
    /// The epoch of the command; engines refuse epochs below the highest they have seen.
    ///
    /// Commands to the members of a group carry the epoch under which the group was formed, but
    /// each command to a retiring head takes a new one. A stage command to a free engine carries
    /// the leader's current epoch.
    pub epoch: u64,
    /// The action.
    pub kind: EngineCommandKind,
    /// The number of commands that the engine must have begun so far, else it refuses this one;
    /// `None` if any number will do.
    pub expected_command_count: Option<u64>,
}

/// The action that a command asks of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineCommandKind {
    /// Load the model and get ready as a member of the group.
    Join {
        /// The model to run.
        model: ModelName,
        /// All members by rank; the first is the head.
        members: Vec<InstanceId>,
    },
    /// Take requests, as the head of the group.
    Open,
    /// Take no more requests, as the head of the group.
    Close(CloseMode),
    /// Leave the group.
    Leave,
    /// Report the number of commands begun so far and the present group; changes nothing.
    Query,
    /// Load the weights of a model onto the host in the background, so that a later join needs no
    /// load from the store.
    Stage {
        /// The model whose weights to load.
        model: ModelName,
    },
}

impl EngineCommandKind {
    /// Returns the command's name for logs.
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

/// What happens to the running requests of a head that closes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseMode {
    /// The head finishes its running requests.
    Wait,
    /// The head aborts its running requests.
    Cut,
}

/// The result of sending a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineCommandOutcome {
    /// The engine has begun to execute the command.
    Begun,
    /// The command has been executed, now or earlier.
    Done,
    /// The answer to [`EngineCommandKind::Query`].
    Reported {
        /// The number of commands that the engine has begun so far.
        begun: u64,
        /// The group that the engine is in, whether joining, ready or serving.
        group: Option<GroupId>,
    },
    /// The engine refused the command because it does not fit its state.
    InvalidState,
    /// The engine refused the command because it has seen a higher epoch.
    Outdated,
    /// Another engine instance has the address.
    OtherInstance,
    /// The connection was refused.
    Refused,
    /// No valid answer came, so the command may have been executed, or may still be.
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
