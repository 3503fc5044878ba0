//! Which groups a failure domain should have, given its configuration and its VMs.
//!
//! Placement answers an operator's intent. A kept group may be incomplete; what
//! becomes of it is decided by recovery, which weighs time and the chance of the lost
//! VM's return.

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

/// A VM that carries an engine, as placement sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementVm {
    /// The VM.
    pub vm: VmId,
    /// Its fabric domain.
    pub fabric_domain: FabricDomain,
    /// Its accelerators.
    pub accelerators: Accelerators,
    /// What is known of it; only [`UpstreamState::Alive`] may join a group.
    pub state: UpstreamState,
    /// The weights it holds, as [`weights_name`] writes them.
    pub weights: BTreeSet<String>,
}

/// The groups a failure domain should have, as a change from those it has.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Placement {
    /// Groups that stay, in order of their names.
    pub keep: Vec<GroupId>,
    /// Those of `keep` that lack a member; recovery decides what becomes of them.
    pub incomplete: Vec<GroupId>,
    /// Groups that end after their running requests.
    pub stop: Vec<StoppedGroup>,
    /// Groups to form.
    pub start: Vec<NewGroup>,
    /// VMs to keep ready with the weights loaded.
    pub spares: Vec<Spare>,
    /// Groups that are wanted and cannot be formed.
    pub missing: Vec<Missing>,
}

/// A group that ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoppedGroup {
    /// The group.
    pub group: GroupId,
    /// Why.
    pub reason: StopReason,
}

/// Why a group ends.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StopReason {
    /// its service is not a model service of this configuration
    ServiceRemoved,
    /// its model, version, adapters or size changed
    ServiceChanged,
    /// fewer groups are wanted here
    Surplus,
    /// a member is drained
    MemberDrained,
    /// a member is leaving
    MemberLeaving,
    /// it spans fabric domains, which its service may not
    SpansFabricDomains,
    /// a member is also in a group with a newer token
    SharesMember,
}

/// A group to form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewGroup {
    /// What it serves.
    pub service: ServiceName,
    /// Its members in rank order.
    pub members: Vec<VmId>,
    /// Whether its members are in several fabric domains, which makes it slow.
    pub spans_fabric_domains: bool,
    /// Stopping groups whose VMs it takes; it may form only after they have ended.
    pub waits_for: Vec<GroupId>,
}

/// A VM that stands ready to replace a lost member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spare {
    /// The VM.
    pub vm: VmId,
    /// Whose weights it holds or shall load.
    pub service: ServiceName,
    /// Whether it holds them already.
    pub holds_weights: bool,
}

/// Groups that are wanted and cannot be formed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Missing {
    /// The service.
    pub service: ServiceName,
    /// How many groups are short.
    pub groups: u32,
    /// Why.
    pub reason: MissingReason,
}

/// Why a wanted group cannot be formed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum MissingReason {
    /// a group of no VMs cannot serve
    EmptyGroup,
    /// {free} VMs are free and a group needs {needed}
    NotEnoughVms {
        /// Free VMs of the failure domain.
        free: u32,
        /// VMs in a group.
        needed: u32,
    },
    /// no fabric domain has more than {largest_free} free VMs and a group needs {needed}
    FabricDomainsTooSmall {
        /// Free VMs of the fabric domain that has most.
        largest_free: u32,
        /// VMs in a group.
        needed: u32,
    },
}

/// Returns how engines announce these weights.
pub fn weights_name(model: &ModelName, version: &str) -> String {
    format!("{model}@{version}")
}

/// Decides which groups a failure domain should have.
///
/// `vms` are the engines of `failure_domain`; of a VM that stands there twice, the
/// first entry counts. The outcome does not depend on the order of `vms` or
/// `current` otherwise.
pub fn place(
    config: &FleetConfig,
    failure_domain: &FailureDomain,
    vms: &[PlacementVm],
    current: &[Assignment],
) -> Placement {
    placer::run(config, failure_domain, vms, current)
}

/// Returns whether a group runs what its service asks for now.
pub fn matches_service(assignment: &Assignment, model: &ModelService) -> bool {
    assignment.model == model.model
        && assignment.version == model.version
        && assignment.adapters == model.adapters
        && assignment.members.len() == model.vms_per_group as usize
}
