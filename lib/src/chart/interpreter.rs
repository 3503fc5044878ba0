//! A validated chart and its transitions.

use super::names::ChartName;

/// A chart whose names have been validated against the code's enums.
///
/// The parameters are the chart's enums: `S` of states, `E` of events, `G` of guards and `A` of
/// actions.
#[derive(Clone, Debug)]
pub struct Chart<S, E, G, A> {
    pub(super) name: String,
    pub(super) doc: String,
    pub(super) initial: S,
    /// The states, by their index in `S::ALL`.
    pub(super) states: Vec<StateRow<S, E, G, A>>,
}

/// One state with its answers to all events, by the event's index in `E::ALL`.
#[derive(Clone, Debug)]
pub(super) struct StateRow<S, E, G, A> {
    pub(super) state: S,
    pub(super) doc: String,
    pub(super) is_final: bool,
    pub(super) answers: Vec<Answer<S, E, G, A>>,
}

/// A state's transitions on one event; without any, the state ignores the event.
#[derive(Clone, Debug)]
pub(super) struct Answer<S, E, G, A> {
    pub(super) event: E,
    pub(super) transitions: Vec<Transition<S, G, A>>,
}

/// One possible transition on an event.
#[derive(Clone, Debug)]
pub(super) struct Transition<S, G, A> {
    pub(super) guard: Option<G>,
    pub(super) to: S,
    pub(super) actions: Vec<A>,
}

/// The result of an event: the next state and the actions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step<'a, S, A> {
    /// The state after the event; the same as before if the event was ignored.
    pub state: S,
    /// The actions that the caller must carry out, in order.
    pub actions: &'a [A],
    /// Whether the chart lists the event under "ignore" in this state.
    pub ignored: bool,
}

/// One transition with its start state and its event, for checks and tests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransitionView<'a, S, E, G, A> {
    /// The state in which the transition starts.
    pub from: S,
    /// The event on which the transition is taken.
    pub event: E,
    /// The transition's index among those of the same state and event.
    pub position: usize,
    /// The condition for the transition, if there is one.
    pub guard: Option<G>,
    /// The state to which the transition leads.
    pub to: S,
    /// The transition's actions, in order.
    pub actions: &'a [A],
}

impl<S: ChartName, E: ChartName, G: ChartName, A: ChartName> Chart<S, E, G, A> {
    /// Returns the chart's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether the state is final: no transition leads to another state.
    pub fn is_final(&self, state: S) -> bool {
        self.states[state.index()].is_final
    }

    /// Returns the next state and the actions for an event.
    ///
    /// `holds` returns whether a guard holds now.
    pub fn step(&self, state: S, event: E, mut holds: impl FnMut(G) -> bool) -> Step<'_, S, A> {
        let answer = &self.states[state.index()].answers[event.index()];
        let mut transitions = answer.transitions.iter();
        match transitions.find(|transition| transition.guard.is_none_or(&mut holds)) {
            Some(transition) => Step {
                state: transition.to,
                actions: &transition.actions,
                ignored: false,
            },
            None => Step {
                state,
                actions: &[],
                ignored: true,
            },
        }
    }

    /// Returns all transitions, in the order of their states and events.
    pub fn transitions(&self) -> impl Iterator<Item = TransitionView<'_, S, E, G, A>> {
        self.states.iter().flat_map(|row| {
            row.answers.iter().flat_map(move |answer| {
                let transitions = answer.transitions.iter().enumerate();
                transitions.map(move |(position, transition)| TransitionView {
                    from: row.state,
                    event: answer.event,
                    position,
                    guard: transition.guard,
                    to: transition.to,
                    actions: &transition.actions,
                })
            })
        })
    }

    /// Returns, by state index, whether the state can be reached from `start`; `start` itself can.
    pub(super) fn reachable_from(&self, start: S) -> Vec<bool> {
        let mut reached = vec![false; S::ALL.len()];
        let mut open = vec![start];
        while let Some(state) = open.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            let answers = self.states[state.index()].answers.iter();
            open.extend(answers.flat_map(|answer| answer.transitions.iter().map(|t| t.to)));
        }
        reached
    }
}
