//! Loading of a chart file, with its validation against the code's enums.

use std::collections::BTreeMap;

use super::{
    error::{
        ChartError,
        ChartFault, //
    },
    file::{
        ChartFile,
        StateEntry,
        TransitionEntry, //
    },
    interpreter::{
        Answer,
        Chart,
        StateRow,
        Transition, //
    },
    names::ChartName,
};

impl<S: ChartName, E: ChartName, G: ChartName, A: ChartName> Chart<S, E, G, A> {
    /// Loads the chart of this name from the text of a chart file.
    ///
    /// # Errors
    ///
    /// Returns the first fault: a name that the code or the file lacks, a state that
    /// cannot be reached or left, or an event that a state neither handles nor ignores.
    pub fn load(name: &str, text: &str) -> Result<Self, ChartError> {
        let failed = |fault| ChartError {
            chart: name.to_owned(),
            fault,
        };
        let chart = read(name, text).map_err(failed)?;
        check_all_reachable(&chart).map_err(failed)?;
        check_final_states(&chart).map_err(failed)?;
        check_all_names_used(&chart).map_err(failed)?;
        Ok(chart)
    }
}

fn read<S: ChartName, E: ChartName, G: ChartName, A: ChartName>(
    name: &str,
    text: &str,
) -> Result<Chart<S, E, G, A>, ChartFault> {
    let malformed = |error: serde_json::Error| ChartFault::Malformed {
        reason: error.to_string(),
    };
    let file: ChartFile = serde_json::from_str(text).map_err(malformed)?;
    if file.chart != name {
        return Err(ChartFault::OtherChart { found: file.chart });
    }
    let unknown = |name: &String| ChartFault::UnknownState { name: name.clone() };
    let states = &file.states.0;
    if let Some(name) = states.keys().find(|name| S::from_name(name).is_none()) {
        return Err(unknown(name));
    }
    let initial = S::from_name(&file.initial).ok_or_else(|| unknown(&file.initial))?;
    let rows = S::ALL.iter().map(|state| parse_state(*state, states));
    Ok(Chart {
        name: file.chart,
        doc: file.doc,
        initial,
        states: rows.collect::<Result<_, _>>()?,
    })
}

fn parse_state<S: ChartName, E: ChartName, G: ChartName, A: ChartName>(
    state: S,
    states: &BTreeMap<String, StateEntry>,
) -> Result<StateRow<S, E, G, A>, ChartFault> {
    let missing = || ChartFault::MissingState {
        state: state.name().to_owned(),
    };
    let entry = states.get(state.name()).ok_or_else(missing)?;
    let mut names = entry.on.0.keys().chain(&entry.ignore);
    if let Some(name) = names.find(|name| E::from_name(name).is_none()) {
        return Err(ChartFault::UnknownEvent {
            state: state.name().to_owned(),
            name: name.clone(),
        });
    }
    let answers = E::ALL
        .iter()
        .map(|event| parse_answer(state, *event, entry));
    Ok(StateRow {
        state,
        doc: entry.doc.clone(),
        is_final: entry.is_final,
        answers: answers.collect::<Result<_, _>>()?,
    })
}

fn parse_answer<S: ChartName, E: ChartName, G: ChartName, A: ChartName>(
    state: S,
    event: E,
    entry: &StateEntry,
) -> Result<Answer<S, E, G, A>, ChartFault> {
    let ignored = entry.ignore.iter().any(|name| name == event.name());
    let answered = entry.on.0.get(event.name());
    let state_and_event = (state.name().to_owned(), event.name().to_owned());
    let entries = match (answered, ignored) {
        (Some(entries), false) => entries,
        (None, true) => {
            return Ok(Answer {
                event,
                transitions: Vec::new(),
            });
        }
        (Some(_), true) => {
            let (state, event) = state_and_event;
            return Err(ChartFault::HandledAndIgnored { state, event });
        }
        (None, false) => {
            let (state, event) = state_and_event;
            return Err(ChartFault::MissingTransition { state, event });
        }
    };
    let unguarded = entries.iter().position(|entry| entry.guard.is_none());
    if entries.is_empty() || unguarded != Some(entries.len() - 1) {
        let (state, event) = state_and_event;
        return Err(ChartFault::GuardOrder { state, event });
    }
    let transitions = entries
        .iter()
        .map(|entry| parse_transition(state, event, entry));
    Ok(Answer {
        event,
        transitions: transitions.collect::<Result<_, _>>()?,
    })
}

fn parse_transition<S: ChartName, E: ChartName, G: ChartName, A: ChartName>(
    state: S,
    event: E,
    entry: &TransitionEntry,
) -> Result<Transition<S, G, A>, ChartFault> {
    let state_name = || state.name().to_owned();
    let event_name = || event.name().to_owned();
    let unknown_guard = |name| ChartFault::UnknownGuard {
        state: state_name(),
        event: event_name(),
        name,
    };
    let unknown_target = |name| ChartFault::UnknownTarget {
        state: state_name(),
        event: event_name(),
        name,
    };
    let unknown_action = |name| ChartFault::UnknownAction {
        state: state_name(),
        event: event_name(),
        name,
    };
    let guard = entry.guard.as_ref().map(|name| find(name, unknown_guard));
    let to = entry.to.as_ref().map(|name| find(name, unknown_target));
    let actions = entry.actions.iter().map(|name| find(name, unknown_action));
    Ok(Transition {
        guard: guard.transpose()?,
        to: to.transpose()?.unwrap_or(state),
        actions: actions.collect::<Result<_, _>>()?,
    })
}

fn find<N: ChartName>(
    name: &str,
    unknown: impl FnOnce(String) -> ChartFault,
) -> Result<N, ChartFault> {
    N::from_name(name).ok_or_else(|| unknown(name.to_owned()))
}

/// Fails if a state cannot be reached from the initial state.
fn check_all_reachable<S: ChartName, E: ChartName, G: ChartName, A: ChartName>(
    chart: &Chart<S, E, G, A>,
) -> Result<(), ChartFault> {
    let reached = chart.reachable_from(chart.initial);
    match S::ALL.iter().find(|state| !reached[state.index()]) {
        Some(state) => Err(ChartFault::Unreachable {
            state: state.name().to_owned(),
        }),
        None => Ok(()),
    }
}

/// Fails if a final state can be left or another state cannot.
fn check_final_states<S: ChartName, E: ChartName, G: ChartName, A: ChartName>(
    chart: &Chart<S, E, G, A>,
) -> Result<(), ChartFault> {
    for row in &chart.states {
        let state = row.state.name().to_owned();
        let mut leaving = row
            .answers
            .iter()
            .filter(|answer| answer.transitions.iter().any(|t| t.to != row.state));
        match (leaving.next(), row.is_final) {
            (Some(answer), true) => {
                let event = answer.event.name().to_owned();
                return Err(ChartFault::LeavesFinal { state, event });
            }
            (None, false) => return Err(ChartFault::DeadEnd { state }),
            (Some(_), false) | (None, true) => {}
        }
    }
    Ok(())
}

/// Fails if the code has a name that the file does not use.
fn check_all_names_used<S: ChartName, E: ChartName, G: ChartName, A: ChartName>(
    chart: &Chart<S, E, G, A>,
) -> Result<(), ChartFault> {
    let unused_event = |event: &&E| chart.transitions().all(|t| t.event != **event);
    if let Some(event) = E::ALL.iter().find(unused_event) {
        let event = event.name().to_owned();
        return Err(ChartFault::UnusedEvent { event });
    }
    let unused_guard = |guard: &&G| chart.transitions().all(|t| t.guard != Some(**guard));
    if let Some(guard) = G::ALL.iter().find(unused_guard) {
        let guard = guard.name().to_owned();
        return Err(ChartFault::UnusedGuard { guard });
    }
    let unused_action = |action: &&A| chart.transitions().all(|t| !t.actions.contains(action));
    if let Some(action) = A::ALL.iter().find(unused_action) {
        let action = action.name().to_owned();
        return Err(ChartFault::UnusedAction { action });
    }
    Ok(())
}
