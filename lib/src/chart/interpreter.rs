//! A checked chart and how it answers events.

use super::names::ChartName;

/// A chart whose names have been checked against the code's enums.
///
/// `S` are its states, `E` its events, `G` its guards and `A` its actions.
#[derive(Clone, Debug)]
pub struct Chart<S, E, G, A> {
    pub(super) name: String,
    pub(super) doc: String,
    pub(super) initial: S,
    /// By the index of the state.
    pub(super) states: Vec<StateRow<S, E, G, A>>,
}

/// One state with its answers, by the index of the event.
#[derive(Clone, Debug)]
pub(super) struct StateRow<S, E, G, A> {
    pub(super) state: S,
    pub(super) doc: String,
    pub(super) is_final: bool,
    pub(super) answers: Vec<Answer<S, E, G, A>>,
}

/// A state's answer to an event; no transitions mean that it is ignored.
#[derive(Clone, Debug)]
pub(super) struct Answer<S, E, G, A> {
    pub(super) event: E,
    pub(super) transitions: Vec<Transition<S, G, A>>,
}

/// One way to answer an event.
#[derive(Clone, Debug)]
pub(super) struct Transition<S, G, A> {
    pub(super) guard: Option<G>,
    pub(super) to: S,
    pub(super) actions: Vec<A>,
}

/// What an event led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step<'a, S, A> {
    /// The state afterwards; the same as before if the event was ignored.
    pub state: S,
    /// What is to be done, in order.
    pub actions: &'a [A],
    /// Whether the chart lists the event under "ignore" in this state.
    pub ignored: bool,
}

/// One transition, as checks and tests walk over them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransitionView<'a, S, E, G, A> {
    /// Where it starts.
    pub from: S,
    /// What it answers.
    pub event: E,
    /// Its place among the transitions of this state and event.
    pub position: usize,
    /// What must hold, if anything.
    pub guard: Option<G>,
    /// Where it leads.
    pub to: S,
    /// What is to be done.
    pub actions: &'a [A],
}

impl<S: ChartName, E: ChartName, G: ChartName, A: ChartName> Chart<S, E, G, A> {
    /// Returns the chart's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the state in which everything starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether no event leads out of the state.
    pub fn is_final(&self, state: S) -> bool {
        self.states[state.index()].is_final
    }

    /// Returns what an event leads to; `holds` says whether a guard holds now.
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

    /// Returns every transition, by state and event.
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

    /// Returns the states that `start` leads to, itself included, by their index.
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
