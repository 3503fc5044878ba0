//! Compares the recovery policies on the same scripts of VM losses, for both example deployments.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a script that cannot be built ends the comparison"
)]

#[path = "../tests/test_recovery/script.rs"]
mod script;

use cicadabend::fleet::{
    RecoveryPolicy,
    RecoverySettings, //
};
use script::{
    Outcome,
    Run,
    Script,
    auditorias,
    lanterna,
    scripts, //
};

const POLICIES: [RecoveryPolicy; 3] = [
    RecoveryPolicy::AlwaysWait,
    RecoveryPolicy::AlwaysRebuild,
    RecoveryPolicy::LowestCost,
];

fn main() {
    type Deployment = (&'static str, fn(RecoveryPolicy) -> RecoverySettings);
    let deployments: [Deployment; 2] = [("auditorias", auditorias), ("lanterna", lanterna)];
    for (name, settings) in deployments {
        println!("## {name}\n");
        println!(
            "| script | policy | group downtime s | stranded accelerator s | cost | repairs |"
        );
        println!("| --- | --- | ---: | ---: | ---: | --- |");
        let mut totals = [0.0; POLICIES.len()];
        for script in scripts() {
            for (index, policy) in POLICIES.into_iter().enumerate() {
                let outcome = Run::new(&script, settings(policy)).run(&script);
                totals[index] += cost(&outcome, &settings(policy));
                print_row(&script, policy, &outcome, &settings(policy));
            }
        }
        for (policy, total) in POLICIES.into_iter().zip(totals) {
            println!("| all | {policy:?} | | | {total:.0} | |");
        }
        println!();
    }
}

fn cost(outcome: &Outcome, settings: &RecoverySettings) -> f64 {
    f64::from(settings.group_downtime_weight) * outcome.group_downtime_s
        + f64::from(settings.stranded_accelerator_weight) * outcome.stranded_accelerator_s
}

fn print_row(
    script: &Script,
    policy: RecoveryPolicy,
    outcome: &Outcome,
    settings: &RecoverySettings,
) {
    let repairs: Vec<String> = outcome
        .repairs
        .iter()
        .map(|(kind, count)| format!("{kind:?} {count}"))
        .collect();
    println!(
        "| {} | {policy:?} | {:.0} | {:.0} | {:.0} | {} |",
        script.name,
        outcome.group_downtime_s,
        outcome.stranded_accelerator_s,
        cost(outcome, settings),
        repairs.join(", "),
    );
}
