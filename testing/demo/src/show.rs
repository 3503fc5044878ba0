//! What the demonstration prints.

use std::{
    net::SocketAddr,
    time::Instant, //
};

use cicadabend::operator_api::{
    FleetStatus,
    Plan,
    PlanChange, //
};
use cicadabend_testutils::{
    client::{
        self,
        Answer, //
    },
    deployment::{
        API_KEY,
        Deployment,
        MODEL_SERVICE,
        PLAIN_SERVICE, //
    },
};
use http::Method;
use serde_json::{
    Value,
    json, //
};

/// Tokens of the answer that is shown.
const SHOWN_TOKENS: u32 = 12;

/// Numbers the steps and tells the time since the start.
pub struct Steps {
    started: Instant,
    number: u32,
}

impl Steps {
    /// Starts the clock.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            number: 0,
        }
    }

    /// Prints the next step.
    pub fn say(&mut self, text: &str) {
        self.number += 1;
        let elapsed_s = self.started.elapsed().as_secs_f32();
        println!("[{elapsed_s:5.1} s] {}. {text}", self.number);
    }
}

/// Prints one indented line.
pub fn line(text: &str) {
    println!("            {text}");
}

/// Prints the groups that a plan starts and stops, and counts its other changes.
pub fn plan(plan: &Plan) {
    line(&format!(
        "plan {} on revision {}:",
        plan.id, plan.base_revision
    ));
    let mut values = 0;
    for change in &plan.changes {
        match change {
            PlanChange::Value { .. } => values += 1,
            PlanChange::StartGroup {
                failure_domain,
                members,
                ..
            } => {
                line(&format!("+ group in {failure_domain}: {}", names(members)));
            }
            PlanChange::StopGroup {
                group,
                failure_domain,
                ..
            } => {
                line(&format!("- group {group} in {failure_domain}"));
            }
            PlanChange::MissingCapacity {
                failure_domain,
                groups,
                reason,
                ..
            } => {
                line(&format!(
                    "! {groups} groups short in {failure_domain}: {reason}"
                ));
            }
        }
    }
    line(&format!("~ {values} configuration values"));
}

/// Prints every group of a status.
pub fn groups(status: &FleetStatus) {
    for domain in &status.domains {
        for group in &domain.report.groups {
            let assignment = &group.assignment;
            let members = names(&assignment.members);
            let domain = &domain.report.failure_domain;
            line(&format!(
                "{domain}: {} {} [{members}]",
                assignment.group, group.state
            ));
        }
    }
}

/// Streams a short answer, prints its text and returns it.
///
/// # Panics
///
/// Panics if the entry daemon gives no answer.
pub fn stream(entry: SocketAddr) -> Answer {
    let body = json!({
        "model": MODEL_SERVICE,
        "messages": [{ "role": "user", "content": "Summarise the interview." }],
        "max_tokens": SHOWN_TOKENS,
        "stream": true,
    });
    let authorization = format!("Bearer {API_KEY}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
    ];
    let path = "/v1/chat/completions";
    let answer = client::send(entry, Method::POST, path, &headers, body.to_string());
    let answer = answer.expect("an answer");
    line(&format!("{} {}", answer.status, text_of(&answer)));
    answer
}

fn text_of(answer: &Answer) -> String {
    let chunks = answer.events().into_iter();
    let chunks = chunks.filter_map(|event| serde_json::from_str::<Value>(&event).ok());
    chunks
        .filter_map(|chunk| {
            let text = chunk.pointer("/choices/0/delta/content")?;
            text.as_str().map(str::to_owned)
        })
        .collect()
}

/// Prints commands that work while the demonstration is kept.
pub fn hints(deployment: &Deployment) {
    let entry = deployment.shape().entry_names().remove(0);
    let address = deployment.entry_address(&entry);
    line(&format!(
        "curl -N -H 'Authorization: Bearer {API_KEY}' -d '{{\"model\":\"{MODEL_SERVICE}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hi\"}}]}}' http://{address}/v1/chat/completions"
    ));
    line(&format!(
        "curl -H 'Authorization: Bearer {API_KEY}' http://{address}/services/{PLAIN_SERVICE}/hello"
    ));
    line(&format!(
        "target/debug/cicadabend --control {} --token-file {}/operator-token --operator tester status",
        deployment.operator_addresses(),
        deployment.folder().display(),
    ));
    line("Press Enter to stop.");
}

fn names(members: &[cicadabend::prelude::VmId]) -> String {
    let names: Vec<_> = members.iter().map(ToString::to_string).collect();
    names.join(", ")
}
