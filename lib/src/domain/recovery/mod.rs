//! What becomes of groups that lost a member.
//!
//! [`RepairPlanner::plan`] is the one entrance: from the configuration, the table of
//! assignments, the VMs and the time it returns what the domain leader is to change.
//! It proposes only what can be done in one table: no VM stands in two groups of the
//! table that results. What it proposes again and again without effect is harmless.

mod cost;
mod doubtful;
mod loads;
mod options;
mod planner;
mod policies;
mod return_time;
mod situation;
mod straggler;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use displaydoc::Display;

pub use cost::{
    Cost,
    JOIN_TIME, //
};
pub use planner::RepairPlanner;
pub use return_time::OutageHistory;
pub use straggler::StragglerDetector;

use crate::{
    domain::placement::{
        Missing,
        NewGroup,
        PlacementVm,
        Spare,
        StoppedGroup, //
    },
    fleet::FleetConfig,
    peer_api::Assignment,
    prelude::*,
};

/// What repairs are decided from.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// The failure domain.
    pub failure_domain: &'a FailureDomain,
    /// The engines of the domain, lost ones included for as long as they are remembered.
    pub vms: &'a [PlacementVm],
    /// The table.
    pub groups: &'a [Assignment],
    /// Groups to which requests are sent now.
    pub serving: &'a BTreeSet<GroupId>,
    /// The time.
    pub now: Timestamp,
}

/// What the domain leader is to change.
///
/// The order is: retire what `stop` and `repairs` name, then form what `repairs` and
/// `start` name. All of it fits into one table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecoveryPlan {
    /// Groups that end because of the configuration.
    pub stop: Vec<StoppedGroup>,
    /// Groups that get other members.
    pub repairs: Vec<Repair>,
    /// Groups that are wanted beyond those of the table.
    pub start: Vec<NewGroup>,
    /// Groups that could start and wait, for the VMs of ending groups or for the weight store.
    pub postponed: Vec<NewGroup>,
    /// Incomplete groups that stay as they are.
    pub waits: Vec<Wait>,
    /// Groups whose members shall not begin to load weights yet.
    pub deferred_loads: BTreeSet<GroupId>,
    /// VMs that shall load weights without joining a group.
    pub load_spares: Vec<Spare>,
    /// Groups that are wanted and cannot be formed.
    pub missing: Vec<Missing>,
}

impl RecoveryPlan {
    /// Returns whether the table stays as it is.
    pub fn changes_nothing(&self) -> bool {
        self.stop.is_empty() && self.repairs.is_empty() && self.start.is_empty()
    }

    /// Returns the groups that leave the table.
    pub fn retired(&self) -> BTreeSet<&GroupId> {
        let stopped = self.stop.iter().map(|stopped| &stopped.group);
        let repaired = self.repairs.iter().map(|repair| &repair.group);
        let broken = self.repairs.iter().filter_map(|r| r.breaks.as_ref());
        stopped.chain(repaired).chain(broken).collect()
    }

    /// Returns the groups that enter the table: what they serve and their members.
    pub fn formed(&self) -> impl Iterator<Item = (&ServiceName, &[VmId])> {
        let repaired = self
            .repairs
            .iter()
            .map(|r| (&r.service, r.members.as_slice()));
        let started = self
            .start
            .iter()
            .map(|new| (&new.service, new.members.as_slice()));
        repaired.chain(started)
    }
}

/// A group that gets other members, under a new token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Repair {
    /// How.
    pub kind: RepairKind,
    /// The group that is replaced.
    pub group: GroupId,
    /// Another group that is broken for it.
    pub breaks: Option<GroupId>,
    /// What the group serves.
    pub service: ServiceName,
    /// The members afterwards, in rank order.
    pub members: Vec<VmId>,
    /// Whether these are in several fabric domains.
    pub spans_fabric_domains: bool,
    /// When the group is expected to serve.
    pub ready_in: Duration,
    /// What is expected to be saved against waiting.
    pub saved: Cost,
}

/// How a group is made whole.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RepairKind {
    /// free VMs take the places of the lost ones
    Replace,
    /// the group is built from other VMs
    Rebuild,
    /// another incomplete group is broken to complete this one
    Merge,
    /// a VM that is back and ready takes its place again from one that still loads
    Restore,
}

/// An incomplete group that stays as it is for now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wait {
    /// The group.
    pub group: GroupId,
    /// Why.
    pub reason: WaitReason,
    /// How long it is expected to take if nothing else happens.
    pub expected: Duration,
}

/// Why an incomplete group stays as it is.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WaitReason {
    /// the policy is to wait
    Policy,
    /// a member is late and not yet given up
    MemberSuspect,
    /// no VMs are free that could take the places
    NoFreeVms,
    /// the lost VM is expected back at less cost than any repair
    CheaperToWait,
    /// a repair that is worth more loads weights first
    WeightStoreBusy,
}
