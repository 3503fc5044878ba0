//! Placement: the groups that a failure domain should have, given its configuration and its
//! VMs.
//!
//! Placement carries out the operator's configuration. A group that stays may be incomplete;
//! recovery then decides whether and how to repair it, by the expected time of each repair and
//! the chance that the lost VM returns.

mod placer;
mod review;

use std::collections::BTreeSet;

use displaydoc::Display;

use crate::{
    chart::UpstreamState,
    fleet::{
        FleetConfig,
        ModelService, //
    },
    peer_api::Assignment,
    prelude::*,
};

/// A VM with an engine, as input of placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementVm {
    /// The VM's name.
    pub vm: VmId,
    /// The VM's fabric domain; a group within one is faster than a group across several.
    pub fabric_domain: FabricDomain,
    /// The number of accelerators in the VM.
    pub accelerators: Accelerators,
    /// The VM's state, as seen by the domain leader. Only a VM in [`UpstreamState::Alive`] may
    /// join a new group.
    pub state: UpstreamState,
    /// The weights that the engine has loaded, in the form of [`weights_name`].
    pub weights: BTreeSet<String>,
}

/// The groups that a failure domain should have, as a change from the present groups.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Placement {
    /// Groups that stay, ordered by name.
    pub keep: Vec<GroupId>,
    /// The groups in `keep` with a member that isn't alive; recovery decides whether to repair
    /// them.
    pub incomplete: Vec<GroupId>,
    /// Groups that end once their running requests have ended.
    pub stop: Vec<StoppedGroup>,
    /// New groups to form; some wait for the end of stopping groups.
    pub start: Vec<NewGroup>,
    /// VMs to keep ready as spares, with the weights of a service loaded.
    pub spares: Vec<Spare>,
    /// Groups that the configuration demands and that cannot be formed.
    pub missing: Vec<Missing>,
}

/// A group that ends, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoppedGroup {
    /// The group's name.
    pub group: GroupId,
    /// Why the group ends.
    pub reason: StopReason,
}

/// Why a group ends.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StopReason {
    /// its service is not a model service of this configuration
    ServiceRemoved,
    /// its model, version, adapters or size changed
    ServiceChanged,
    /// the configuration demands fewer groups here
    Surplus,
    /// a member is drained
    MemberDrained,
    /// a member is leaving
    MemberLeaving,
    /// the group spans fabric domains, which its service does not allow
    SpansFabricDomains,
    /// a member is also in a group with a newer token
    SharesMember,
}

/// A new group to form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewGroup {
    /// The service of the group.
    pub service: ServiceName,
    /// The members, ordered by their rank within the group.
    pub members: Vec<VmId>,
    /// Whether the members are in several fabric domains, which makes the group slower.
    pub spans_fabric_domains: bool,
    /// The stopping groups that still occupy some of the members. The new group can form only
    /// after their end.
    pub waits_for: Vec<GroupId>,
}

/// A VM that is kept ready to replace a lost member of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spare {
    /// The VM's name.
    pub vm: VmId,
    /// The service whose weights the VM holds or is to load.
    pub service: ServiceName,
    /// Whether the VM holds those weights already.
    pub holds_weights: bool,
}

/// Groups of one service that the configuration demands and that cannot be formed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Missing {
    /// The service.
    pub service: ServiceName,
    /// The number of groups that cannot be formed.
    pub groups: u32,
    /// Why no further group can be formed.
    pub reason: MissingReason,
}

/// Why a demanded group cannot be formed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum MissingReason {
    /// a group of no VMs cannot serve
    EmptyGroup,
    /// {free} VMs are free and a group needs {needed}
    NotEnoughVms {
        /// The number of free VMs in the failure domain.
        free: u32,
        /// The number of VMs in a group.
        needed: u32,
    },
    /// no fabric domain has more than {largest_free} free VMs and a group needs {needed}
    FabricDomainsTooSmall {
        /// The number of free VMs in the fabric domain that has most of them.
        largest_free: u32,
        /// The number of VMs in a group.
        needed: u32,
    },
}

/// Returns the name by which engines announce the weights of a model's version.
pub fn weights_name(model: &ModelName, version: &str) -> String {
    format!("{model}@{version}")
}

/// Returns the groups that a failure domain should have.
///
/// `vms` are the VMs with engines in `failure_domain`. If a VM occurs twice, its first entry
/// counts. The result doesn't otherwise depend on the order of `vms` or `current`.
pub fn place(
    config: &FleetConfig,
    failure_domain: &FailureDomain,
    vms: &[PlacementVm],
    current: &[Assignment],
) -> Placement {
    placer::compute_placement(config, failure_domain, vms, current)
}

/// Returns whether a group's model, version, adapters and size are those that its service
/// demands now.
pub fn matches_service(assignment: &Assignment, model: &ModelService) -> bool {
    assignment.model == model.model
        && assignment.version == model.version
        && assignment.adapters == model.adapters
        && assignment.members.len() == model.vms_per_group as usize
}
