//! Renders the loaded charts as Markdown with Mermaid diagrams.

use super::{
    interpreter::{
        Chart,
        Transition, //
    },
    names::ChartName,
};

impl<S: ChartName, E: ChartName, G: ChartName, A: ChartName> Chart<S, E, G, A> {
    /// Returns a Markdown section with the chart's diagram and a table of its states.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("## {}\n\n{}\n\n", self.name, self.doc);
        text.push_str("| state | meaning | events that change nothing |\n| --- | --- | --- |\n");
        for row in &self.states {
            let ignored = row.answers.iter().filter(|a| a.transitions.is_empty());
            let ignored: Vec<String> = ignored.map(|a| format!("`{}`", a.event.name())).collect();
            let ignored = ignored.join(", ");
            push_line(
                &mut text,
                &format!("| `{}` | {} | {ignored} |", row.state.name(), row.doc),
            );
        }
        text.push_str("\n```mermaid\n");
        text.push_str(&self.to_mermaid());
        text.push_str("```\n");
        text
    }

    /// Returns the chart as a Mermaid state diagram.
    pub fn to_mermaid(&self) -> String {
        let mut text = String::from("stateDiagram-v2\n");
        push_line(&mut text, &format!("    [*] --> {}", self.initial.name()));
        for row in &self.states {
            for answer in &row.answers {
                for transition in &answer.transitions {
                    let from = row.state.name();
                    let to = transition.to.name();
                    let label = transition_label(answer.event.name(), transition);
                    push_line(&mut text, &format!("    {from} --> {to}: {label}"));
                }
            }
            if row.is_final {
                push_line(&mut text, &format!("    {} --> [*]", row.state.name()));
            }
        }
        text
    }
}

/// Returns a transition's label in the diagram: `event [guard] / actions`.
fn transition_label<S, G: ChartName, A: ChartName>(
    event: &str,
    transition: &Transition<S, G, A>,
) -> String {
    let mut label = event.to_owned();
    if let Some(guard) = transition.guard {
        label.push_str(&format!(" [{}]", guard.name()));
    }
    if !transition.actions.is_empty() {
        let actions: Vec<&str> = transition.actions.iter().map(|a| a.name()).collect();
        label.push_str(" / ");
        label.push_str(&actions.join(", "));
    }
    label
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}
