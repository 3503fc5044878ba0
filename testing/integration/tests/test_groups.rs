//! "No replica group serves a request unless all of its VMs are present" and
//! "No VM belongs to two groups at once".

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use cicadabend::{
    operator_api::FleetStatus,
    peer_api::GroupReport,
    prelude::*, //
};
use cicadabend_testutils::{
    caller,
    client,
    deployment::{
        Deployment,
        STEP_LIMIT,
        Shape, //
    },
    wait::eventually, //
};
use rstest::rstest;
use serde_json::Value;

const TOKENS: u32 = 5;
const REQUESTS: usize = 20;

/// One entry daemon in each failure domain; groups of two with no VM to spare.
fn without_spare_vms() -> Shape {
    Shape {
        engines_per_domain: 2,
        ..Shape::with_one_entry_per_domain()
    }
}

/// One entry daemon in each failure domain; groups of two and one VM to spare.
fn with_a_spare_vm(engines_check_tokens: bool) -> Shape {
    Shape {
        engines_check_tokens,
        ..Shape::with_one_entry_per_domain()
    }
}

fn group_in<'a>(status: &'a FleetStatus, domain: &str) -> Option<&'a GroupReport> {
    let mut domains = status.domains.iter();
    let domain = domains.find(|found| found.report.failure_domain.as_str() == domain)?;
    let mut groups = domain.report.groups.iter();
    groups.find(|group| !group.assignment.members.is_empty())
}

fn members_in(deployment: &Deployment, domain: &str) -> Vec<VmId> {
    let status = deployment.operator().status().expect("a leader");
    let group = group_in(&status, domain).expect("a group");
    group.assignment.members.clone()
}

fn wait_until_serving_without(deployment: &Deployment, domain: &str, lost: &VmId) {
    let what = format!("a group in {domain} serves without {lost}");
    eventually(&what, STEP_LIMIT, || {
        let status = deployment.operator().status()?;
        let group = group_in(&status, domain)?;
        let is_repaired = group.state == "serving" && !group.assignment.members.contains(lost);
        is_repaired.then_some(())
    });
}

/// What each VM itself says of its group.
fn own_groups(deployment: &Deployment) -> BTreeMap<String, Option<String>> {
    let names = deployment.shape().engine_names().into_iter();
    names
        .map(|vm| {
            let state = vm_state(deployment.vm_address(&vm));
            let group = state.pointer("/engine/membership/group");
            (vm, group.and_then(Value::as_str).map(str::to_owned))
        })
        .collect()
}

fn vm_state(vm: SocketAddr) -> Value {
    let answer = client::send(vm, http::Method::GET, "/fake/state", &[], "");
    answer.map(|answer| answer.json()).unwrap_or_default()
}

/// Every caller of the domain still gets whole answers, from other domains. The group's
/// last member is killed; its first member lives and would take requests. The entry
/// daemon stops routing there when the member's lease ends, and nothing can repair the
/// group, so its first member must see no further request.
#[test]
fn a_group_with_a_dead_member_gets_no_request_while_it_cannot_be_repaired() {
    let mut deployment = Deployment::start_serving(without_spare_vms());
    let members = members_in(&deployment, "cumbaya");
    deployment.process(members[1].as_str()).kill();
    deployment.wait_until_groups_serve(2);
    let entry = deployment.entry_address("cumbaya-entry-1");
    let first = deployment.vm_address(members[0].as_str());
    let ran_before = caller::runs(first).len();

    let answers: Vec<_> = (0..REQUESTS)
        .map(|_| caller::stream(entry, TOKENS).expect("an answer"))
        .collect();

    for answer in answers {
        assert_eq!(caller::check_whole(&answer, TOKENS), Ok(()));
    }
    assert_eq!(caller::runs(first).len(), ran_before);
}

/// Callers see whole answers throughout. A member is stopped for longer than its lease,
/// a spare takes its place, then the member wakes and believes in its old assignment.
/// Engines that check tokens and engines that ignore them must both end up in the group
/// that the domain leader's table names, or in none.
#[rstest]
#[case::engines_check_tokens(true)]
#[case::engines_ignore_tokens(false)]
fn a_member_that_wakes_with_an_old_assignment_joins_no_second_group(
    #[case] engines_check_tokens: bool,
) {
    let mut deployment = Deployment::start_serving(with_a_spare_vm(engines_check_tokens));
    let paused = members_in(&deployment, "cumbaya")[1].clone();
    deployment.process(paused.as_str()).pause();
    wait_until_serving_without(&deployment, "cumbaya", &paused);

    deployment.process(paused.as_str()).resume();

    let entry = deployment.entry_address("cumbaya-entry-1");
    eventually("the woken VM leaves its old group", STEP_LIMIT, || {
        let answer = caller::stream(entry, TOKENS).expect("an answer");
        assert_eq!(caller::check_whole(&answer, TOKENS), Ok(()));
        let own = own_groups(&deployment).remove(paused.as_str())?;
        let status = deployment.operator().status()?;
        let group = group_in(&status, "cumbaya")?;
        let is_member = group.assignment.members.contains(&paused);
        let table = is_member.then(|| group.assignment.group.to_string());
        (own == table).then_some(())
    });
}

/// Callers see whole answers after both losses. The first repair takes the only spare
/// VM; the spare dies as soon as the table names it, before it is ready. The lost VM
/// comes back and the group must form again from the two that live.
#[test]
fn the_loss_of_the_spare_during_a_repair_is_repaired_by_the_returning_vm() {
    let mut deployment = Deployment::start_serving(with_a_spare_vm(true));
    let lost = members_in(&deployment, "cumbaya")[1].clone();
    deployment.process(lost.as_str()).kill();
    let spare = eventually("the table names the spare", STEP_LIMIT, || {
        let members = members_in(&deployment, "cumbaya");
        let is_replaced = !members.contains(&lost);
        is_replaced.then(|| members.last().cloned())?
    });

    deployment.process(spare.as_str()).kill();
    deployment.start_vm(lost.as_str());

    wait_until_serving_without(&deployment, "cumbaya", &spare);
    let entry = deployment.entry_address("cumbaya-entry-1");
    let answer = caller::stream(entry, TOKENS).expect("an answer");
    assert_eq!(caller::check_whole(&answer, TOKENS), Ok(()));
}

/// Callers see whole answers. The VM that dies comes back as a
/// new process that holds nothing; its group must form again from both VMs.
#[test]
fn a_vm_that_returns_is_reached_and_its_group_is_whole_again() {
    let mut deployment = Deployment::start_serving(without_spare_vms());
    let lost = members_in(&deployment, "carcelen")[0].clone();
    deployment.process(lost.as_str()).kill();
    deployment.wait_until_groups_serve(2);

    deployment.start_vm(lost.as_str());

    deployment.wait_until_groups_serve(3);
    let entry = deployment.entry_address("carcelen-entry-1");
    let served_at_home = eventually("the group at home serves again", STEP_LIMIT, || {
        let answer = caller::stream(entry, TOKENS).ok()?;
        caller::check_whole(&answer, TOKENS).ok()?;
        let ran = caller::runs(deployment.vm_address(lost.as_str())).len();
        (ran > 0).then_some(ran)
    });
    assert!(served_at_home > 0);
}
