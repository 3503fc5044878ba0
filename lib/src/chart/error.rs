//! Faults in chart files.

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
    /// The chart's name.
    pub chart: String,
    /// The fault in the chart.
    pub fault: ChartFault,
}

/// A fault in a chart.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ChartFault {
    /// it cannot be read: {reason}
    Malformed {
        /// The JSON parser's error.
        reason: String,
    },
    /// the file contains the chart {found:?}
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
        /// The state that lists the event.
        state: String,
        /// The name in the file.
        name: String,
    },
    /// the state {state} on {event}: the code knows no state {name:?}
    UnknownTarget {
        /// The state that has the transition.
        state: String,
        /// The event that the transition handles.
        event: String,
        /// The name in the file.
        name: String,
    },
    /// the state {state} on {event}: the code knows no guard {name:?}
    UnknownGuard {
        /// The state that has the transition.
        state: String,
        /// The event that the transition handles.
        event: String,
        /// The name in the file.
        name: String,
    },
    /// the state {state} on {event}: the code knows no action {name:?}
    UnknownAction {
        /// The state that has the transition.
        state: String,
        /// The event that the transition handles.
        event: String,
        /// The name in the file.
        name: String,
    },
    /// the code knows a state {state} that the file lacks
    MissingState {
        /// The state.
        state: String,
    },
    /// no state has a transition on the event {event}
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
    /// the state {state} neither has a transition on the event {event} nor lists it under "ignore"
    MissingTransition {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// the state {state} both has a transition on the event {event} and lists it under "ignore"
    HandledAndIgnored {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// the state {state} on {event}: the last transition must have no guard, all others must have one
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
    /// the state {state} has no transition to another state; if that is intended, mark it as final
    DeadEnd {
        /// The state.
        state: String,
    },
    /// the final state {state} has a transition to another state on {event}
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
