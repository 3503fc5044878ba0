//! Decisions that depend on the deployment's weights of downtime and idle accelerators.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use cicadabend::{
    chart::UpstreamState,
    domain::{
        placement::PlacementVm,
        recovery::{
            RecoveryInput,
            RecoveryPlan,
            RepairPlanner, //
        },
    },
    fleet::{
        FleetConfig,
        RecoveryPolicy,
        RecoverySettings,
        Service, //
    },
    peer_api::Assignment,
    prelude::*,
};
use rstest::rstest;

use crate::script::{
    auditorias,
    domain,
    lanterna,
    service, //
};

/// Returns a service with a group of six VMs, one with a group of two, and their assignments;
/// one more VM is free.
fn fleet(recovery: RecoverySettings) -> (FleetConfig, Vec<Assignment>) {
    let services = [("large", 6), ("small", 2)].map(|(name, size)| {
        let name: ServiceName = name.parse().unwrap();
        (name, Service::Model(service(1, size, 0)))
    });
    let config = FleetConfig {
        services: BTreeMap::from(services),
        recovery,
        ..FleetConfig::default()
    };
    let groups = vec![group("large", 0..6), group("small", 6..8)];
    (config, groups)
}

fn vm_id(index: u32) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

fn group(name: &str, members: std::ops::Range<u32>) -> Assignment {
    Assignment {
        group: name.parse().unwrap(),
        service: name.parse().unwrap(),
        model: "drafting-llm".parse().unwrap(),
        version: "1".to_owned(),
        adapters: Vec::new(),
        members: members.map(vm_id).collect(),
        token: FencingToken::default(),
        admits_requests: true,
    }
}

/// Returns nine VMs, of which those in `dead` are dead; VM 8 is in no group.
fn vms(dead: &[u32]) -> Vec<PlacementVm> {
    let seen = |index: u32| PlacementVm {
        vm: vm_id(index),
        fabric_domain: "f1".parse().unwrap(),
        accelerators: Accelerators(8),
        state: match dead.contains(&index) {
            true => UpstreamState::Dead,
            false => UpstreamState::Alive,
        },
        weights: (index < 8)
            .then(|| "drafting-llm@1".to_owned())
            .into_iter()
            .collect(),
    };
    (0..9).map(seen).collect()
}

fn plan_at(
    planner: &mut RepairPlanner,
    config: &FleetConfig,
    groups: &[Assignment],
    dead: &[u32],
    now_s: u64,
) -> RecoveryPlan {
    planner.plan(&RecoveryInput {
        config,
        failure_domain: &domain(),
        vms: &vms(dead),
        groups,
        serving: &BTreeSet::new(),
        now: Timestamp(now_s * 1_000),
    })
}

#[rstest]
#[case::downtime_is_dear(auditorias, "small")]
#[case::idle_accelerators_are_dear(lanterna, "large")]
fn the_free_vm_repairs_the_group_with_the_higher_weighted_cost(
    #[case] settings: fn(RecoveryPolicy) -> RecoverySettings,
    #[case] expected: &str,
) {
    // The small group's VM was lost long ago and is expected back late. The large group's VM
    // was just lost and is expected back sooner, but five VMs are idle meanwhile.
    let (config, groups) = fleet(settings(RecoveryPolicy::LowestCost));
    let mut planner = RepairPlanner::new();
    plan_at(&mut planner, &config, &groups, &[6, 8], 0);

    plan_at(&mut planner, &config, &groups, &[0, 6, 8], 100);
    let plan = plan_at(&mut planner, &config, &groups, &[0, 6], 105);

    let repaired: Vec<&str> = plan.repairs.iter().map(|r| r.group.as_str()).collect();
    assert_eq!(repaired, [expected]);
}
