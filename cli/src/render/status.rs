//! The fleet's status.

use cicadabend::{
    operator_api::{
        DomainStatus,
        FleetStatus, //
    },
    peer_api::{
        GroupReport,
        VmReport, //
    },
};

use super::{
    duration,
    force_text,
    lagging_text,
    list,
    table, //
};

/// Returns the status as text: the revision, then each failure domain.
pub fn status(status: &FleetStatus) -> String {
    let mut text = format!(
        "Revision {} is {}.\nControl leader {}, term {}.\n",
        status.revision,
        force_text(status.in_force, &status.unreachable),
        status.leader,
        status.term
    );
    if !status.lagging.is_empty() {
        text.push_str(&format!("Behind: {}.\n", lagging_text(&status.lagging)));
    }
    if !status.unreachable.is_empty() {
        let daemons = list(&status.unreachable);
        text.push_str(&format!("Not heard from: {daemons}.\n"));
    }
    for domain in &status.domains {
        text.push_str(&domain_text(domain));
    }
    text
}

fn domain_text(domain: &DomainStatus) -> String {
    let report = &domain.report;
    let mut text = format!(
        "\n{}: leader {}, epoch {}, revision {}, report {} old\n  \
         group downtime {}, stranded accelerators {}\n",
        report.failure_domain,
        report.leader,
        report.epoch,
        report.applied,
        duration(domain.age_ms),
        duration(report.group_downtime_ms),
        duration(report.stranded_accelerator_ms),
    );
    text.push_str(&indented(&groups_table(&report.groups)));
    text.push_str(&indented(&vms_table(&report.vms)));
    text
}

fn groups_table(groups: &[GroupReport]) -> String {
    if groups.is_empty() {
        return "no groups\n".to_owned();
    }
    let heading = [
        "GROUP", "SERVICE", "STATE", "TOKEN", "RUNNING", "QUEUED", "MEMBERS",
    ];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    rows.extend(groups.iter().map(|group| {
        vec![
            group.assignment.group.to_string(),
            group.assignment.service.to_string(),
            group.state.clone(),
            group.assignment.token.to_string(),
            group.load.running.to_string(),
            group.load.queued.to_string(),
            list(&group.assignment.members),
        ]
    }));
    table(&rows)
}

fn vms_table(vms: &[VmReport]) -> String {
    if vms.is_empty() {
        return "no VMs\n".to_owned();
    }
    let heading = ["VM", "FABRIC DOMAIN", "STATE", "USED BY"];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    rows.extend(vms.iter().map(|vm| {
        vec![
            vm.vm.to_string(),
            vm.fabric_domain.to_string(),
            vm.state.clone(),
            used_by(vm),
        ]
    }));
    table(&rows)
}

fn used_by(vm: &VmReport) -> String {
    match (&vm.group, &vm.plain_service) {
        (Some(group), _) => group.to_string(),
        (None, Some(service)) => service.to_string(),
        (None, None) => "-".to_owned(),
    }
}

fn indented(text: &str) -> String {
    text.lines().map(|line| format!("  {line}\n")).collect()
}
