//! Groups of engines, formed and taken apart by one leader with numbered orders.
//!
//! [`Grouping`] is a pure decision: it looks at what engines report and returns the
//! orders to give now. It is asked again after each report and each answer, so an order
//! that was lost is given once more, and one that was carried out late changes nothing
//! that was built on its absence.
//!
//! Two rules hold whatever is lost, late or doubled:
//!
//! - A head is opened only when every member has reported itself ready under the same
//!   group and epoch, in the place that the order gave it.
//! - A member of a group is ordered into another one only when the group's head can no
//!   longer take requests: it was seen in no group or another one, or it is dead; or when
//!   the member itself has left the group.
//!
//! The second rule is why a group is taken apart from its head: an `open` that is
//! carried out late finds a head that is no longer in that group.

mod balance;
mod census;
mod doubts;
mod engine_command;
mod group;
mod leader;
mod loading;
mod placement;

pub use balance::{
    Change,
    DomainStanding,
    StandingGroup,
    Weighing,
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
