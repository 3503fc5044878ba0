//! Effects of a configuration on the groups of the observed fleet.
//!
//! The effects of an intent are those that the accepted configuration would not have anyway: a
//! domain leader that is already building a group goes on doing so whether or not the plan is
//! confirmed.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    FleetConfig,
    ModelService,
    Service, //
};
use crate::{
    chart::UpstreamState,
    domain::placement::{
        Missing,
        NewGroup,
        Placement,
        PlacementVm,
        place,
        weights_name, //
    },
    operator_api::{
        PlanChange,
        PlanImpact, //
    },
    peer_api::{
        Assignment,
        DomainReport,
        GroupReport,
        VmReport, //
    },
    prelude::*,
};

/// The reason for missing groups in a failure domain that has no report.
const NO_REPORT: &str = "no report of this failure domain has been received";

/// The effects of an intent on groups, with totals.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupEffects {
    /// Groups that stop, start or are missing, by failure domain.
    pub changes: Vec<PlanChange>,
    /// The totals over all changes.
    pub impact: PlanImpact,
}

/// Returns the effects on the reported groups of replacing `base` by `wanted`.
pub fn group_effects(
    base: &FleetConfig,
    wanted: &FleetConfig,
    reports: &[DomainReport],
) -> GroupEffects {
    let mut effects = GroupEffects::default();
    let mut affected = AffectedVms::default();
    for failure_domain in failure_domains(base, wanted, reports) {
        match report_of(&failure_domain, reports) {
            Some(report) => {
                let domain = Domain::new(report);
                domain.compare(base, wanted, &mut effects.changes, &mut affected);
            }
            None => report_missing_domain(base, wanted, &failure_domain, &mut effects.changes),
        }
    }
    effects.impact = affected.impact(&effects.changes, wanted);
    effects
}

/// Returns the changes to groups that the configuration still requires.
pub fn remaining_changes(config: &FleetConfig, reports: &[DomainReport]) -> Vec<PlanChange> {
    let empty_config = FleetConfig::default();
    let mut changes = Vec::new();
    let mut affected = AffectedVms::default();
    for failure_domain in failure_domains(&empty_config, config, reports) {
        match report_of(&failure_domain, reports) {
            Some(report) => {
                let domain = Domain::new(report);
                let planned = domain.place(config);
                let baseline = Placement::default();
                domain.changes(&planned, &baseline, config, &mut changes, &mut affected);
            }
            None => report_missing_domain(&empty_config, config, &failure_domain, &mut changes),
        }
    }
    changes
}

fn report_of<'a>(
    failure_domain: &FailureDomain,
    reports: &'a [DomainReport],
) -> Option<&'a DomainReport> {
    reports
        .iter()
        .find(|report| report.failure_domain == *failure_domain)
}

/// Returns the failure domains that a configuration or a report names.
fn failure_domains(
    base: &FleetConfig,
    wanted: &FleetConfig,
    reports: &[DomainReport],
) -> BTreeSet<FailureDomain> {
    let configured = models(base).chain(models(wanted));
    let configured = configured.flat_map(|(_, model)| model.groups_by_failure_domain.keys());
    let reported = reports.iter().map(|report| &report.failure_domain);
    configured.chain(reported).cloned().collect()
}

fn models(config: &FleetConfig) -> impl Iterator<Item = (&ServiceName, &ModelService)> {
    config
        .services
        .iter()
        .filter_map(|(name, service)| match service {
            Service::Model(model) => Some((name, model)),
            Service::Plain(_) => None,
        })
}

/// Adds the groups that cannot be placed, because their failure domain has no report.
fn report_missing_domain(
    base: &FleetConfig,
    wanted: &FleetConfig,
    failure_domain: &FailureDomain,
    changes: &mut Vec<PlanChange>,
) {
    let groups_of = |model: &ModelService| {
        let groups = model.groups_by_failure_domain.get(failure_domain);
        groups.copied().unwrap_or_default()
    };
    for (service, model) in models(wanted) {
        let before = models(base).find(|(name, _)| *name == service);
        let same = before.is_some_and(|(_, before)| before == model);
        if !same && groups_of(model) > 0 {
            changes.push(PlanChange::MissingCapacity {
                service: service.clone(),
                failure_domain: failure_domain.clone(),
                groups: groups_of(model),
                reason: NO_REPORT.to_owned(),
            });
        }
    }
}

/// One failure domain, as input of the placement.
struct Domain<'a> {
    report: &'a DomainReport,
    vms: Vec<PlacementVm>,
    current: Vec<Assignment>,
}

impl<'a> Domain<'a> {
    fn new(report: &'a DomainReport) -> Self {
        let engines = report.vms.iter().filter(|vm| vm.plain_service.is_none());
        let assignments = report.groups.iter().map(|group| group.assignment.clone());
        Self {
            report,
            vms: engines.map(|vm| placement_vm(vm, report)).collect(),
            current: assignments.collect(),
        }
    }

    /// Adds the changes that `wanted` requires and `base` does not.
    fn compare(
        &self,
        base: &FleetConfig,
        wanted: &FleetConfig,
        changes: &mut Vec<PlanChange>,
        affected: &mut AffectedVms,
    ) {
        let baseline = self.place(base);
        let planned = self.place(wanted);
        self.changes(&planned, &baseline, wanted, changes, affected);
    }

    /// Adds the changes that are in `planned` but not in `baseline`.
    fn changes(
        &self,
        planned: &Placement,
        baseline: &Placement,
        wanted: &FleetConfig,
        changes: &mut Vec<PlanChange>,
        affected: &mut AffectedVms,
    ) {
        for stopped in &planned.stop {
            if !baseline.stop.iter().any(|stop| stop.group == stopped.group) {
                changes.extend(self.stop(&stopped.group, affected));
            }
        }
        for started in &planned.start {
            if !baseline
                .start
                .iter()
                .any(|start| is_same_group(start, started))
            {
                changes.push(self.start(started, wanted, affected));
            }
        }
        for missing in &planned.missing {
            if !baseline.missing.contains(missing) {
                changes.push(self.missing(missing));
            }
        }
    }

    fn place(&self, config: &FleetConfig) -> Placement {
        let failure_domain = &self.report.failure_domain;
        place(config, failure_domain, &self.vms, &self.current)
    }

    fn stop(&self, group: &GroupId, affected: &mut AffectedVms) -> Option<PlanChange> {
        let mut groups = self.report.groups.iter();
        let reported = groups.find(|reported| reported.assignment.group == *group)?;
        let members = reported.assignment.members.clone();
        affected.vms(self.report, &members);
        Some(PlanChange::StopGroup {
            group: group.clone(),
            failure_domain: self.report.failure_domain.clone(),
            members,
            running_requests: reported.load.running,
        })
    }

    fn start(
        &self,
        started: &NewGroup,
        wanted: &FleetConfig,
        affected: &mut AffectedVms,
    ) -> PlanChange {
        affected.vms(self.report, &started.members);
        affected.weight_loads += self.weight_loads(started, wanted);
        PlanChange::StartGroup {
            service: started.service.clone(),
            failure_domain: self.report.failure_domain.clone(),
            members: started.members.clone(),
            spans_fabric_domains: started.spans_fabric_domains,
        }
    }

    fn missing(&self, missing: &Missing) -> PlanChange {
        PlanChange::MissingCapacity {
            service: missing.service.clone(),
            failure_domain: self.report.failure_domain.clone(),
            groups: missing.groups,
            reason: missing.reason.to_string(),
        }
    }

    /// Returns the number of members of a new group that must load its weights.
    fn weight_loads(&self, started: &NewGroup, wanted: &FleetConfig) -> u64 {
        let Some(Service::Model(model)) = wanted.services.get(&started.service) else {
            return 0;
        };
        let weights = weights_name(&model.model, &model.version);
        let has_weights = |member: &VmId| {
            let mut vms = self.vms.iter();
            vms.any(|vm| vm.vm == *member && vm.weights.contains(&weights))
        };
        let loading = started.members.iter().filter(|member| !has_weights(member));
        loading.count() as u64
    }
}

fn is_same_group(one: &NewGroup, other: &NewGroup) -> bool {
    one.service == other.service && one.members == other.members
}

fn placement_vm(vm: &VmReport, report: &DomainReport) -> PlacementVm {
    let groups = report.groups.iter();
    let member_of = |group: &&GroupReport| group.assignment.members.contains(&vm.vm);
    let weights = groups
        .filter(member_of)
        .map(|group| weights_name(&group.assignment.model, &group.assignment.version));
    PlacementVm {
        vm: vm.vm.clone(),
        fabric_domain: vm.fabric_domain.clone(),
        accelerators: vm.accelerators,
        // A state that only a newer version knows counts as unknown, so that no group is placed on
        // the VM.
        state: vm.state.parse().unwrap_or(UpstreamState::Unknown),
        weights: weights.collect(),
    }
}

/// The accelerators and weight loads of the changes so far.
#[derive(Default)]
struct AffectedVms {
    accelerators: BTreeMap<VmId, Accelerators>,
    weight_loads: u64,
}

impl AffectedVms {
    fn vms(&mut self, report: &DomainReport, members: &[VmId]) {
        for vm in report.vms.iter().filter(|vm| members.contains(&vm.vm)) {
            self.accelerators.insert(vm.vm.clone(), vm.accelerators);
        }
    }

    fn impact(&self, changes: &[PlanChange], wanted: &FleetConfig) -> PlanImpact {
        let mut impact = PlanImpact::default();
        for change in changes {
            match change {
                PlanChange::StartGroup { .. } => impact.groups_started += 1,
                PlanChange::StopGroup {
                    running_requests, ..
                } => {
                    impact.groups_stopped += 1;
                    impact.requests_touched += running_requests;
                }
                PlanChange::Value { .. } | PlanChange::MissingCapacity { .. } => {}
            }
        }
        let accelerators = self.accelerators.values().map(|count| count.0);
        impact.accelerators_touched = Accelerators(accelerators.sum());
        impact.expected_duration_ms = self.duration_ms(wanted);
        impact
    }

    /// Returns the expected duration of all weight loads in milliseconds. The weight store serves a
    /// fixed number of VMs at full rate, so the loads run in batches of that number.
    fn duration_ms(&self, wanted: &FleetConfig) -> u64 {
        let at_once = u64::from(wanted.recovery.concurrent_weight_loads.max(1));
        let rounds = self.weight_loads.div_ceil(at_once);
        rounds.saturating_mul(wanted.recovery.weight_load_ms)
    }
}
