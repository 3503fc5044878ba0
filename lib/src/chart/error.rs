//! What can be wrong with a chart file.

use displaydoc::Display;
use thiserror::Error;

/// {found:?} is not a name of this chart
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub struct UnknownName {
    /// The text found.
    pub found: String,
}

/// the state chart {chart}: {fault}
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub struct ChartError {
    /// The chart.
    pub chart: String,
    /// What is wrong with it.
    pub fault: ChartFault,
}

/// What is wrong with a chart.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ChartFault {
    /// it cannot be read: {reason}
    Malformed {
        /// What the JSON reader found.
        reason: String,
    },
    /// the file is of the chart {found:?}
    OtherChart {
        /// The name in the file.
        found: String,
    },
    /// the code knows no state {name:?}
    UnknownState {
        /// The name in the file.
        name: String,
    },
    /// the state {state}: the code knows no event {name:?}
    UnknownEvent {
        /// Where the name stands.
        state: String,
        /// The name in the file.
        name: String,
    },
    /// the state {state} on {event}: the code knows no state {name:?}
    UnknownTarget {
        /// Where the name stands.
        state: String,
        /// The event it answers.
        event: String,
        /// The name in the file.
        name: String,
    },
    /// the state {state} on {event}: the code knows no guard {name:?}
    UnknownGuard {
        /// Where the name stands.
        state: String,
        /// The event it answers.
        event: String,
        /// The name in the file.
        name: String,
    },
    /// the state {state} on {event}: the code knows no action {name:?}
    UnknownAction {
        /// Where the name stands.
        state: String,
        /// The event it answers.
        event: String,
        /// The name in the file.
        name: String,
    },
    /// the code knows a state {state} that the file lacks
    MissingState {
        /// The state.
        state: String,
    },
    /// no state answers the event {event} other than by ignoring it
    UnusedEvent {
        /// The event.
        event: String,
    },
    /// the code knows a guard {guard} that the file does not use
    UnusedGuard {
        /// The guard.
        guard: String,
    },
    /// the code knows an action {action} that the file does not use
    UnusedAction {
        /// The action.
        action: String,
    },
    /// the state {state} does not answer the event {event}; list it under "ignore" if it should not
    MissingTransition {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// the state {state} both answers and ignores the event {event}
    AnsweredTwice {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// the state {state} on {event}: the last transition must have no guard, and only that one
    GuardOrder {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// the state {state} cannot be reached from the initial state
    Unreachable {
        /// The state.
        state: String,
    },
    /// the state {state} has no way out; mark it as final if that is meant
    DeadEnd {
        /// The state.
        state: String,
    },
    /// the final state {state} is left on {event}
    LeavesFinal {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// the state {state} on {event} would promise "not run" although the request may have run
    PromiseBroken {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
}
