//! Placement: the groups that a failure domain gets for its configuration and its VMs.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use cicadabend::{
    chart::UpstreamState,
    domain::placement::{
        MissingReason,
        Placement,
        PlacementVm,
        StopReason,
        place,
        weights_name, //
    },
    fleet::{
        FleetConfig,
        ModelService,
        RoutingArm,
        RoutingPolicy,
        Service, //
    },
    peer_api::Assignment,
    prelude::*,
};
use proptest::prelude::*;
use rstest::rstest;

fn domain() -> FailureDomain {
    "cumbaya".parse().unwrap()
}

fn model(groups: u32, vms_per_group: u32) -> ModelService {
    ModelService {
        model: "drafting-llm".parse().unwrap(),
        version: "1".to_owned(),
        adapters: Vec::new(),
        vms_per_group,
        groups_by_failure_domain: BTreeMap::from([(domain(), groups)]),
        spare_vms_by_failure_domain: BTreeMap::new(),
        may_span_fabric_domains: false,
        routing: vec![RoutingArm {
            policy: RoutingPolicy::RoundRobin,
            share_percent: Percent(100),
        }],
    }
}

fn config(services: Vec<(&str, ModelService)>) -> FleetConfig {
    let named = |(name, model): (&str, ModelService)| {
        let name: ServiceName = name.parse().unwrap();
        (name, Service::Model(model))
    };
    FleetConfig {
        services: services.into_iter().map(named).collect(),
        ..FleetConfig::default()
    }
}

fn vm(name: &str, fabric: &str) -> PlacementVm {
    PlacementVm {
        vm: name.parse().unwrap(),
        fabric_domain: fabric.parse().unwrap(),
        accelerators: Accelerators(8),
        state: UpstreamState::Alive,
        weights: BTreeSet::new(),
    }
}

fn vms(fabrics: &[(&str, u32)]) -> Vec<PlacementVm> {
    let of_fabric = |(fabric, count): &(&str, u32)| {
        let fabric = (*fabric).to_owned();
        (0..*count).map(move |index| vm(&format!("{fabric}-{index}"), &fabric))
    };
    fabrics.iter().flat_map(of_fabric).collect()
}

fn assignment(group: &str, sequence: u32, members: &[&str]) -> Assignment {
    Assignment {
        group: group.parse().unwrap(),
        service: "drafts".parse().unwrap(),
        model: "drafting-llm".parse().unwrap(),
        version: "1".to_owned(),
        adapters: Vec::new(),
        members: members.iter().map(|name| name.parse().unwrap()).collect(),
        token: FencingToken { epoch: 1, sequence },
        admits_requests: true,
    }
}

fn names(ids: &[VmId]) -> Vec<&str> {
    ids.iter().map(VmId::as_str).collect()
}

#[test]
fn forms_the_wanted_groups_inside_fabric_domains() {
    let config = config(vec![("drafts", model(3, 2))]);

    let placement = place(&config, &domain(), &vms(&[("f1", 4), ("f2", 3)]), &[]);

    assert_eq!(placement.start.len(), 3);
    assert!(placement.missing.is_empty());
    assert!(placement.start.iter().all(|new| !new.spans_fabric_domains));
}

#[test]
fn large_groups_are_placed_before_small_ones() {
    let config = config(vec![("a-small", model(2, 1)), ("z-large", model(1, 4))]);

    let placement = place(&config, &domain(), &vms(&[("f1", 4), ("f2", 2)]), &[]);

    assert!(placement.missing.is_empty(), "{placement:?}");
}

#[test]
fn groups_are_placed_where_the_other_sizes_still_fit() {
    // Groups of 2 and 3 VMs: f1 with 5 VMs has room for one of each, f2 with 3 VMs only for one
    // group.
    let config = config(vec![("three", model(2, 3)), ("two", model(1, 2))]);

    let placement = place(&config, &domain(), &vms(&[("f1", 5), ("f2", 3)]), &[]);

    assert!(placement.missing.is_empty(), "{placement:?}");
}

#[test]
fn vms_that_hold_the_weights_are_preferred() {
    let config = config(vec![("drafts", model(1, 2))]);
    let mut vms = vms(&[("f1", 4), ("f2", 4)]);
    for vm in vms.iter_mut().filter(|vm| vm.vm.as_str() >= "f2-2") {
        let model: ModelName = "drafting-llm".parse().unwrap();
        vm.weights.insert(weights_name(&model, "1"));
    }

    let placement = place(&config, &domain(), &vms, &[]);

    assert_eq!(names(&placement.start[0].members), ["f2-2", "f2-3"]);
}

#[test]
fn a_group_spans_only_where_the_service_may() {
    let mut spanning = model(1, 2);
    spanning.may_span_fabric_domains = true;
    let vms = vms(&[("f1", 1), ("f2", 1)]);

    let refused = place(&config(vec![("drafts", model(1, 2))]), &domain(), &vms, &[]);
    let allowed = place(&config(vec![("drafts", spanning)]), &domain(), &vms, &[]);

    let too_small = MissingReason::FabricDomainsTooSmall {
        largest_free: 1,
        needed: 2,
    };
    assert_eq!(refused.missing[0].reason, too_small);
    assert!(refused.start.is_empty());
    assert!(allowed.start[0].spans_fabric_domains);
}

#[rstest]
#[case(UpstreamState::Dead)]
#[case(UpstreamState::Suspect)]
#[case(UpstreamState::Unknown)]
#[case(UpstreamState::Conflict)]
fn a_group_that_lacks_a_member_is_kept_for_recovery(#[case] state: UpstreamState) {
    let config = config(vec![("drafts", model(1, 2))]);
    let mut vms = vms(&[("f1", 4)]);
    vms[1].state = state;

    let placement = place(
        &config,
        &domain(),
        &vms,
        &[assignment("g1", 1, &["f1-0", "f1-1"])],
    );

    assert_eq!(placement.keep, placement.incomplete);
    assert_eq!(placement.keep.len(), 1);
    assert!(placement.start.is_empty());
}

#[test]
fn a_drained_member_ends_its_group_and_the_new_one_waits_for_it() {
    let mut config = config(vec![("drafts", model(1, 2))]);
    config.drained_vms.insert("f1-1".parse().unwrap());

    let placement = place(
        &config,
        &domain(),
        &vms(&[("f1", 3)]),
        &[assignment("g1", 1, &["f1-0", "f1-1"])],
    );

    assert_eq!(placement.stop[0].reason, StopReason::MemberDrained);
    assert_eq!(names(&placement.start[0].members), ["f1-0", "f1-2"]);
    assert_eq!(
        placement.start[0].waits_for,
        [placement.stop[0].group.clone()]
    );
}

#[test]
fn of_two_groups_that_name_one_vm_the_older_ends() {
    let config = config(vec![("drafts", model(2, 2))]);
    let older = assignment("g1", 1, &["f1-0", "f1-1"]);
    let newer = assignment("g2", 2, &["f1-1", "f1-2"]);

    let placement = place(&config, &domain(), &vms(&[("f1", 3)]), &[older, newer]);

    assert_eq!(placement.keep, ["g2".parse().unwrap()]);
    assert_eq!(placement.stop[0].reason, StopReason::SharesMember);
}

#[test]
fn surplus_ends_incomplete_groups_first() {
    let config = config(vec![("drafts", model(1, 2))]);
    let mut vms = vms(&[("f1", 4)]);
    vms[0].state = UpstreamState::Dead;
    let broken = assignment("g1", 1, &["f1-0", "f1-1"]);
    let whole = assignment("g2", 2, &["f1-2", "f1-3"]);

    let placement = place(&config, &domain(), &vms, &[broken, whole]);

    assert_eq!(placement.keep, ["g2".parse().unwrap()]);
    assert_eq!(placement.stop[0].reason, StopReason::Surplus);
}

#[test]
fn spares_are_chosen_in_the_fabric_domain_of_the_groups() {
    let mut service = model(1, 2);
    service.spare_vms_by_failure_domain = BTreeMap::from([(domain(), 1)]);
    let config = config(vec![("drafts", service)]);
    let current = [assignment("g1", 1, &["f2-0", "f2-1"])];

    let placement = place(&config, &domain(), &vms(&[("f1", 3), ("f2", 3)]), &current);

    assert_eq!(placement.spares[0].vm.as_str(), "f2-2");
}

/// A generated failure domain whose groups may overlap or have lost members.
#[derive(Clone, Debug)]
struct Case {
    config: FleetConfig,
    vms: Vec<PlacementVm>,
    current: Vec<Assignment>,
}

fn any_state() -> impl Strategy<Value = UpstreamState> {
    prop_oneof![
        6 => Just(UpstreamState::Alive),
        1 => Just(UpstreamState::Suspect),
        1 => Just(UpstreamState::Dead),
        1 => Just(UpstreamState::Leaving),
        1 => Just(UpstreamState::Drained),
        1 => Just(UpstreamState::Conflict),
        1 => Just(UpstreamState::Unknown),
    ]
}

fn any_case() -> impl Strategy<Value = Case> {
    let service = (0..5_u32, 0..4_u32, any::<bool>(), 0..3_u32);
    let fleet = prop::collection::vec((0..4_usize, any_state(), any::<bool>()), 1..16);
    let groups =
        prop::collection::vec((0..2_usize, prop::collection::vec(0..18_usize, 1..4)), 0..5);
    let drained = prop::collection::vec(0..16_usize, 0..2);
    (service.clone(), service, fleet, groups, drained)
        .prop_map(|(a, b, fleet, groups, drained)| build_case([a, b], fleet, groups, drained))
}

fn build_case(
    services: [(u32, u32, bool, u32); 2],
    fleet: Vec<(usize, UpstreamState, bool)>,
    groups: Vec<(usize, Vec<usize>)>,
    drained: Vec<usize>,
) -> Case {
    let service = |(groups, size, may_span, spares): (u32, u32, bool, u32)| {
        let mut service = model(groups, size);
        service.may_span_fabric_domains = may_span;
        service.spare_vms_by_failure_domain = BTreeMap::from([(domain(), spares)]);
        service
    };
    let mut config = config(vec![
        ("drafts", service(services[0])),
        ("verdicts", service(services[1])),
    ]);
    config.drained_vms = drained.iter().map(|index| vm_id(*index)).collect();
    let build_vm = |(index, (fabric, state, loaded)): (usize, &(usize, UpstreamState, bool))| {
        let mut built = vm(vm_id(index).as_str(), &format!("f{fabric}"));
        built.state = *state;
        if *loaded {
            built.weights.insert("drafting-llm@1".to_owned());
        }
        built
    };
    let build_group = |(index, (service, members)): (usize, &(usize, Vec<usize>))| {
        let members: BTreeSet<VmId> = members.iter().map(|index| vm_id(*index)).collect();
        let mut group = assignment(&format!("g{index}"), index as u32, &[]);
        group.members = members.into_iter().collect();
        group.service = ["drafts", "verdicts"][*service].parse().unwrap();
        group
    };
    Case {
        config,
        vms: fleet.iter().enumerate().map(build_vm).collect(),
        current: groups.iter().enumerate().map(build_group).collect(),
    }
}

fn vm_id(index: usize) -> VmId {
    format!("vm-{index:02}").parse().unwrap()
}

fn fabrics_of<'a>(vms: &'a [PlacementVm], members: &[VmId]) -> BTreeSet<&'a FabricDomain> {
    vms.iter()
        .filter(|vm| members.contains(&vm.vm))
        .map(|vm| &vm.fabric_domain)
        .collect()
}

fn members_of<'a>(case: &'a Case, group: &GroupId) -> &'a [VmId] {
    let found = case.current.iter().find(|a| a.group == *group);
    found.map(|a| a.members.as_slice()).unwrap()
}

fn wanted(case: &Case, name: &ServiceName) -> ModelService {
    match &case.config.services[name] {
        Service::Model(model) => model.clone(),
        Service::Plain(_) => unreachable!(),
    }
}

fn check_validity(case: &Case, placement: &Placement) {
    let kept = placement.keep.iter().map(|group| members_of(case, group));
    let started = placement.start.iter().map(|new| new.members.as_slice());
    let spares = placement
        .spares
        .iter()
        .map(|spare| std::slice::from_ref(&spare.vm));
    let mut seen = BTreeSet::new();
    for vm in kept.chain(started).chain(spares).flatten() {
        assert!(seen.insert(vm), "{vm} is placed twice");
    }
    for new in &placement.start {
        let service = wanted(case, &new.service);
        assert_eq!(new.members.len(), service.vms_per_group as usize);
        let spans = fabrics_of(&case.vms, &new.members).len() > 1;
        assert_eq!(spans, new.spans_fabric_domains);
        assert!(!spans || service.may_span_fabric_domains);
        for vm in &new.members {
            assert!(!case.config.drained_vms.contains(vm));
            let found = case.vms.iter().find(|known| known.vm == *vm).unwrap();
            assert_eq!(found.state, UpstreamState::Alive);
        }
    }
    let decided = placement.keep.len() + placement.stop.len();
    assert_eq!(decided, case.current.len(), "each group is kept or stopped");
}

fn check_counts(case: &Case, placement: &Placement) {
    for name in case.config.services.keys() {
        let kept = case
            .current
            .iter()
            .filter(|a| placement.keep.contains(&a.group));
        let kept = kept.filter(|a| a.service == *name).count();
        let started = placement.start.iter().filter(|new| new.service == *name);
        let missing: u32 = placement
            .missing
            .iter()
            .filter(|missing| missing.service == *name)
            .map(|missing| missing.groups)
            .sum();
        let wanted = wanted(case, name).groups_by_failure_domain[&domain()];
        let total = kept + started.count() + missing as usize;
        assert_eq!(total, wanted as usize);
    }
}

/// Returns the groups that exist once the placement is carried out.
fn groups_after(case: &Case, placement: &Placement) -> Vec<Assignment> {
    let kept = case
        .current
        .iter()
        .filter(|a| placement.keep.contains(&a.group));
    let mut after: Vec<Assignment> = kept.cloned().collect();
    for (index, new) in placement.start.iter().enumerate() {
        let mut formed = assignment(&format!("new{index}"), 100 + index as u32, &[]);
        formed.members = new.members.clone();
        formed.service = new.service.clone();
        after.push(formed);
    }
    after
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_placement_is_valid(case in any_case()) {
        let placement = place(&case.config, &domain(), &case.vms, &case.current);

        check_validity(&case, &placement);
        check_counts(&case, &placement);
    }

    #[test]
    fn the_order_of_the_input_does_not_matter(case in any_case()) {
        let mut reversed = case.clone();
        reversed.vms.reverse();
        reversed.current.reverse();

        let placement = place(&case.config, &domain(), &case.vms, &case.current);
        let again = place(&reversed.config, &domain(), &reversed.vms, &reversed.current);

        prop_assert_eq!(placement, again);
    }

    #[test]
    fn placement_is_stable_once_carried_out(case in any_case()) {
        let first = place(&case.config, &domain(), &case.vms, &case.current);
        let after = groups_after(&case, &first);

        let second = place(&case.config, &domain(), &case.vms, &after);

        prop_assert!(second.start.is_empty(), "{:?}", second);
        prop_assert!(second.stop.is_empty(), "{:?}", second);
        prop_assert_eq!(second.missing.len(), first.missing.len());
    }

    #[test]
    fn no_group_is_missing_while_a_fabric_domain_has_room(case in any_case()) {
        let placement = place(&case.config, &domain(), &case.vms, &case.current);

        let mut used: BTreeSet<&VmId> = placement.start.iter().flat_map(|n| &n.members).collect();
        used.extend(placement.keep.iter().flat_map(|group| members_of(&case, group)));
        let mut free: BTreeMap<&FabricDomain, u32> = BTreeMap::new();
        for vm in case.vms.iter().filter(|vm| vm.state == UpstreamState::Alive) {
            if !used.contains(&vm.vm) && !case.config.drained_vms.contains(&vm.vm) {
                *free.entry(&vm.fabric_domain).or_default() += 1;
            }
        }
        for missing in &placement.missing {
            let size = wanted(&case, &missing.service).vms_per_group;
            prop_assert!(size == 0 || free.values().all(|count| *count < size));
        }
    }
}
