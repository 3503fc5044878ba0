//! Recovery of groups that lost a member.
//!
//! [`RepairPlanner::plan`] is the entry point. From the configuration, the table of groups, the
//! VMs and the time, the planner returns the changes that the domain leader is to make. A plan
//! only contains changes that fit into one table: no VM is in two groups of the resulting
//! table. The leader may leave parts of a plan undone: as long as they are needed, the planner
//! proposes them again, which is harmless.

mod cost;
mod options;
mod outage_history;
mod planner;
mod policies;
mod situation;
mod straggler;
mod unreliable_vms;
mod weight_loads;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use displaydoc::Display;

pub use cost::{
    Cost,
    JOIN_TIME, //
};
pub use outage_history::OutageHistory;
pub use planner::RepairPlanner;
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

/// The input of one decision.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryInput<'a> {
    /// The configuration that the leader has applied.
    pub config: &'a FleetConfig,
    /// The leader's failure domain.
    pub failure_domain: &'a FailureDomain,
    /// The VMs with engines in the domain, lost ones included for as long as membership retains
    /// them.
    pub vms: &'a [PlacementVm],
    /// The groups of the leader's table.
    pub groups: &'a [Assignment],
    /// Groups to which requests are routed now.
    pub serving: &'a BTreeSet<GroupId>,
    /// The leader's present time.
    pub now: Timestamp,
}

/// The changes that the domain leader is to make.
///
/// The leader first retires the groups in `stop` and `repairs`, then forms those in `repairs`
/// and `start`. All of that fits into one table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecoveryPlan {
    /// Groups that end because of the configuration.
    pub stop: Vec<StoppedGroup>,
    /// Groups that are replaced by a group with other members.
    pub repairs: Vec<Repair>,
    /// New groups that the configuration demands beyond those of the table.
    pub start: Vec<NewGroup>,
    /// New groups that wait for the VMs of ending groups or for capacity of the weight store.
    pub postponed: Vec<NewGroup>,
    /// Incomplete groups that stay unchanged for now.
    pub waits: Vec<Wait>,
    /// Groups whose members must not begin to load weights yet.
    pub deferred_loads: BTreeSet<GroupId>,
    /// VMs that are to load weights without joining a group.
    pub load_spares: Vec<Spare>,
    /// Groups that the configuration demands and that cannot be formed.
    pub missing: Vec<Missing>,
}

impl RecoveryPlan {
    /// Returns whether the plan leaves the table unchanged.
    pub fn changes_nothing(&self) -> bool {
        self.stop.is_empty() && self.repairs.is_empty() && self.start.is_empty()
    }

    /// Returns the groups that the plan removes from the table.
    pub fn retired(&self) -> BTreeSet<&GroupId> {
        let stopped = self.stop.iter().map(|stopped| &stopped.group);
        let repaired = self.repairs.iter().map(|repair| &repair.group);
        let broken = self.repairs.iter().filter_map(|r| r.breaks.as_ref());
        stopped.chain(repaired).chain(broken).collect()
    }

    /// Returns the service and the members of each group that the plan adds to the table.
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

/// A replacement of a group by one with other members, under a new token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Repair {
    /// The kind of the repair.
    pub kind: RepairKind,
    /// The group that is replaced.
    pub group: GroupId,
    /// Another incomplete group that is dissolved to provide members.
    pub breaks: Option<GroupId>,
    /// The service of the group.
    pub service: ServiceName,
    /// The new members, ordered by their rank within the group.
    pub members: Vec<VmId>,
    /// Whether the new members are in several fabric domains.
    pub spans_fabric_domains: bool,
    /// The time until the group is expected to serve.
    pub ready_in: Duration,
    /// The expected cost of waiting minus that of this repair.
    pub saved: Cost,
}

/// How a group is made whole.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RepairKind {
    /// free VMs replace the lost members
    Replace,
    /// the group is built from other VMs
    Rebuild,
    /// another incomplete group is dissolved to complete this one
    Merge,
    /// a VM that returned with its weights replaces a member that still loads them
    Restore,
}

/// An incomplete group that stays unchanged for now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wait {
    /// The group's name.
    pub group: GroupId,
    /// Why the group isn't repaired.
    pub reason: WaitReason,
    /// The expected time until the group serves if nothing is done.
    pub expected: Duration,
}

/// Why an incomplete group isn't repaired for now.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WaitReason {
    /// the policy is to wait
    Policy,
    /// a member's announcements are overdue, but its lease has not ended
    MemberSuspect,
    /// no suitable VMs are free to replace the lost members
    NoFreeVms,
    /// waiting for the lost VM is expected to cost less than any repair
    CheaperToWait,
    /// the weight store has no capacity left for the loads of this repair
    WeightStoreBusy,
}
