//! Groups of engines, formed and taken apart by one leader with numbered commands.
//!
//! [`Grouping`] is a pure decision: it reads the engines' reports and returns the commands to send
//! now. It is called again after each report and each command outcome, so a lost command is sent
//! again. A command that is executed late must not invalidate a decision that was made without it.
//!
//! Two rules hold whatever is lost, late or duplicated:
//!
//! - A group's head (its first member) is opened only when every member has reported itself ready
//!   under the same group and epoch, at the rank that its command gave it.
//! - A member of a group joins another one only when its group's head can no longer take requests
//!   (the head reports no group or another one, or is dead), or when the member itself has left the
//!   group.
//!
//! Because of the second rule, a group is taken apart starting with its head: an `open` that is
//! executed late then finds a head that is no longer in that group.

mod balance;
mod census;
mod engine_command;
mod group;
mod leader;
mod loading;
mod placement;
mod unconfirmed;

pub use balance::{
    BalanceInput,
    Change,
    DomainState,
    OpenGroup,
    next_change, //
};
pub use census::{
    Census,
    DomainCensus, //
};
pub use engine_command::{
    CloseMode,
    EngineCommand,
    EngineCommandKind,
    EngineCommandOutcome, //
};
pub use leader::{
    Grouping,
    GroupingSettings,
    GroupingView, //
};
pub use loading::{
    NeededModel,
    next_loads, //
};
pub use placement::{
    FreeEngine,
    NewGroup,
    best_members, //
};
