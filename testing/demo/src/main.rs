//! Shows the whole path on loopback, from an operator's intent to a repaired group.

mod show;

use std::{
    io::{
        self,
        BufRead, //
    },
    process::ExitCode,
    time::Instant,
};

use cicadabend::{
    operator_api::{
        ConfirmReply,
        FleetStatus, //
    },
    prelude::*,
};
use cicadabend_testutils::{
    deployment::{
        Deployment,
        STEP_LIMIT,
        Shape,
        intent, //
    },
    wait::eventually, //
};
use clap::{
    Arg,
    ArgAction,
    Command, //
};

fn command_line() -> Command {
    Command::new("cicadabend-demo")
        .about("Shows three failure domains on loopback: plan, stream, loss, repair")
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Leaves everything running until Enter is pressed"),
        )
}

fn main() -> ExitCode {
    let arguments = command_line().get_matches();
    let mut steps = show::Steps::new();
    steps.say("Starting 3 control daemons, 9 entry daemons, 9 engines, 3 plain services");
    let mut deployment = Deployment::start(Shape::default());
    put_intent_in_force(&deployment, &mut steps);
    ask(&deployment, &mut steps);
    lose_and_repair(&mut deployment, &mut steps);
    ask(&deployment, &mut steps);
    if arguments.get_flag("keep") {
        keep_running(&deployment, &mut steps);
    }
    steps.say("Stopping everything gracefully (SIGTERM)");
    deployment.stop_gracefully();
    steps.say("Every process ended with exit code 0");
    ExitCode::SUCCESS
}

fn put_intent_in_force(deployment: &Deployment, steps: &mut show::Steps) {
    steps.say("Stating an intent; nothing happens before it is confirmed");
    let plan = deployment.operator().plan(intent(deployment.shape()));
    show::plan(&plan);
    steps.say("Confirming the plan");
    match deployment.operator().confirm(plan.id, "demo-confirmation") {
        ConfirmReply::Accepted { revision } => {
            show::line(&format!("accepted as revision {revision}"))
        }
        refused => panic!("the plan was refused: {refused:?}"),
    }
    steps.say("Waiting until the revision is in force and every group serves");
    for entry in deployment.shape().entry_names() {
        deployment.wait_until_ready(&entry);
    }
    show::groups(&deployment.wait_until_groups_serve(deployment.shape().wanted_groups()));
}

fn ask(deployment: &Deployment, steps: &mut show::Steps) {
    let entry = deployment.shape().entry_names().remove(0);
    steps.say(&format!("Streaming an answer through {entry}"));
    let answer = show::stream(deployment.entry_address(&entry));
    assert!(answer.complete, "the answer broke off: {}", answer.text());
}

/// Kills one member and waits until another VM has taken its place.
fn lose_and_repair(deployment: &mut Deployment, steps: &mut show::Steps) {
    let lost = member_of_some_group(&deployment.operator().status().expect("a leader"));
    steps.say(&format!(
        "Killing {lost}; its group must not serve with a member missing"
    ));
    let started = Instant::now();
    deployment.process(lost.as_str()).kill();
    let status = eventually(
        "the group is repaired without the lost VM",
        STEP_LIMIT,
        || {
            let status = deployment.operator().status()?;
            is_repaired(&status, &lost, deployment.shape().wanted_groups()).then_some(status)
        },
    );
    show::line(&format!(
        "repaired after {:.1} s",
        started.elapsed().as_secs_f32()
    ));
    show::groups(&status);
}

fn member_of_some_group(status: &FleetStatus) -> VmId {
    let groups = status
        .domains
        .iter()
        .flat_map(|domain| &domain.report.groups);
    let mut members = groups.filter_map(|group| group.assignment.members.last());
    members.next().expect("a group with members").clone()
}

fn is_repaired(status: &FleetStatus, lost: &VmId, wanted: usize) -> bool {
    let groups = status
        .domains
        .iter()
        .flat_map(|domain| &domain.report.groups);
    let serving = groups.filter(|group| group.state == "serving");
    let whole = serving.filter(|group| !group.assignment.members.contains(lost));
    whole.count() == wanted
}

fn keep_running(deployment: &Deployment, steps: &mut show::Steps) {
    steps.say("Everything stays up. Try:");
    show::hints(deployment);
    let mut line = String::new();
    // The end of standard input ends the demonstration as Enter does.
    let _ = io::stdin().lock().read_line(&mut line);
}
