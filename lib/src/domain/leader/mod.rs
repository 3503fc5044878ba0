//! Decisions of the domain leader: the table of groups, and the commands that bring the engines
//! in line with it.
//!
//! A VM moves from one group to another in these steps:
//!
//! - The leader publishes a table without the old group.
//! - Every daemon acknowledges that table, or its routing lease ends.
//! - The leader sends the command to the engine.
//! - The engine announces the new group.
//! - The leader publishes a table that admits requests to the new group.
//!
//! A daemon that didn't acknowledge may still count the VM's old announcement for one more
//! upstream lease, so admission waits for the end of that too.

mod admission;
mod adoption;
mod commands;
mod planning;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    domain::{
        lease::Lease,
        membership::{
            Upstream,
            Upstreams, //
        },
        parameters::DomainParameters,
        recovery::RepairPlanner,
    },
    fleet::FleetConfig,
    ids::Address,
    peer_api::{
        Assignment,
        DomainTable, //
    },
    prelude::*,
    upstream_api::{
        Command,
        CommandAction, //
    },
};

/// The base-2 logarithm of the number of tables that one process of a daemon may publish.
const TABLES_PER_INSTANCE_LOG2: u32 = 24;

/// The input of the leader's decisions.
#[derive(Clone, Copy)]
pub struct LeaderView<'a> {
    /// This daemon's identity, the daemons that it knows, and the timing.
    pub parameters: &'a DomainParameters,
    /// This daemon's state of the leader's lease.
    pub lease: &'a Lease,
    /// The fleet configuration that this daemon has applied.
    pub config: &'a FleetConfig,
    /// The revision of that configuration.
    pub revision: Revision,
    /// The upstreams whose announcements this daemon has received, directly or relayed.
    pub upstreams: &'a Upstreams,
}

/// A command to an engine, with the engine's address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressedCommand {
    /// The engine's address.
    pub address: Address,
    /// The epoch of the leader that issued this command. The epoch of the command's token may
    /// be lower, because a leader adopts groups of earlier ones.
    pub epoch: u32,
    /// The command to send.
    pub command: Command,
}

/// The outcome of one decision of the leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderOutput {
    /// The new table, if it differs from the one published last.
    pub table: Option<DomainTable>,
    /// The commands that are due.
    pub commands: Vec<AddressedCommand>,
}

/// A group of the leader's table, with the state that only the leader needs.
#[derive(Clone, Debug)]
struct GroupRecord {
    assignment: Assignment,
    /// When each member was first seen to announce this assignment.
    first_joined_at: BTreeMap<VmId, Timestamp>,
    /// Set once the group is to end; it ends when its running requests have ended.
    stopping: Option<Stopping>,
}

/// The state of a group that ends once its running requests have ended.
#[derive(Clone, Copy, Debug)]
struct Stopping {
    /// When the leader decided to end the group.
    since: Timestamp,
    /// The sequence number of the first table that no longer admits requests to the group;
    /// `None` if the group wasn't admitting requests when it was stopped.
    sequence: Option<u64>,
    /// When that table was found applied by every daemon that may route to the group.
    applied_at: Option<Timestamp>,
}

/// A group that was removed from the table. Its VMs get no commands until the daemons have
/// applied a table without it.
#[derive(Clone, Debug)]
struct Retired {
    /// The group's members. `None` stands for every VM: the groups of earlier leaders, whose
    /// members aren't known for certain.
    members: Option<BTreeSet<VmId>>,
    /// The sequence number of the first table without the group.
    sequence: u64,
}

impl Retired {
    /// Returns whether `vm` may still be counted as a member of a retired group.
    fn affects(&self, vm: &VmId) -> bool {
        let members = self.members.as_ref();
        members.is_none_or(|members| members.contains(vm))
    }
}

/// The leader of a failure domain in one epoch.
#[derive(Clone, Debug)]
pub struct Leader {
    epoch: u32,
    /// When this daemon became the leader.
    since: Timestamp,
    /// Whether the leader has listened for the settle time and has adopted the groups that it
    /// found.
    settled: bool,
    /// The newest table of an earlier leader, until it is adopted.
    inherited: Option<DomainTable>,
    /// The sequence number of the newest token that was issued in this epoch.
    issued: u32,
    /// The number below the sequence number of this leader's first table.
    first_sequence: u64,
    /// The sequence number of the newest table.
    sequence: u64,
    published: Option<DomainTable>,
    groups: BTreeMap<GroupId, GroupRecord>,
    /// Removed groups, until every daemon has acknowledged a table without them.
    retired: Vec<Retired>,
    /// The newest table that each daemon has acknowledged.
    acknowledged: BTreeMap<DaemonId, u64>,
    /// The token of the newest command to each VM, and when that command was last sent.
    last_commands: BTreeMap<VmId, (FencingToken, Timestamp)>,
    /// The newest command to each VM outside of all groups, with its token; a retry has the
    /// same token.
    ungrouped_tokens: BTreeMap<VmId, (CommandAction, FencingToken)>,
    planner: RepairPlanner,
    last_planned_at: Option<Timestamp>,
    /// Spare VMs, each with the service whose weights it is to load.
    spares: BTreeMap<VmId, ServiceName>,
    /// Groups whose members must not begin to load weights yet.
    deferred_loads: BTreeSet<GroupId>,
}

impl Leader {
    /// Returns the leader of a new epoch; `inherited` is the newest table that this daemon has
    /// received.
    ///
    /// `instance` differs between processes of the same daemon. If a majority of the domain
    /// restarts, a daemon may lead again under an epoch in which an earlier process of it has
    /// led. The table numbers of the two processes then lie far apart, so that an
    /// acknowledgement meant for one isn't counted by the other.
    pub fn new(epoch: u32, inherited: Option<DomainTable>, instance: u32, now: Timestamp) -> Self {
        let first_sequence = u64::from(instance) << TABLES_PER_INSTANCE_LOG2;
        Self {
            epoch,
            since: now,
            settled: false,
            inherited,
            issued: 0,
            first_sequence,
            sequence: first_sequence,
            published: None,
            groups: BTreeMap::new(),
            retired: vec![Retired {
                members: None,
                sequence: first_sequence + 1,
            }],
            acknowledged: BTreeMap::new(),
            last_commands: BTreeMap::new(),
            ungrouped_tokens: BTreeMap::new(),
            planner: RepairPlanner::new(),
            last_planned_at: None,
            spares: BTreeMap::new(),
            deferred_loads: BTreeSet::new(),
        }
    }

    /// Returns the epoch in which this leader leads.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the assignments of all groups in the leader's table.
    pub fn assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.groups.values().map(|record| &record.assignment)
    }

    /// Returns the assignment of the group that has `vm` as a member.
    pub fn assignment_of(&self, vm: &VmId) -> Option<&Assignment> {
        self.assignments()
            .find(|assignment| assignment.members.contains(vm))
    }

    /// Returns whether the leader has listened for the settle time and now takes decisions.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Returns whether `token` has this leader's epoch and was issued by another process of
    /// this daemon.
    pub fn is_token_of_other_instance(&self, token: FencingToken) -> bool {
        token.epoch == self.epoch && token.sequence > self.issued
    }

    /// Takes in a table of an earlier epoch; the newest one is adopted when the leader settles.
    pub fn handle_earlier_table(&mut self, table: DomainTable) {
        let order = |table: &DomainTable| (table.epoch, table.sequence);
        let is_older = table.epoch < self.epoch;
        let is_newer = self
            .inherited
            .as_ref()
            .is_none_or(|own| order(own) < order(&table));
        if !self.settled && is_older && is_newer {
            self.inherited = Some(table);
        }
    }

    /// Records a daemon's acknowledgement; returns `false` if it has this epoch but names a table
    /// that this leader never sent. Acknowledgements of other epochs are ignored.
    pub fn handle_acknowledgement(&mut self, daemon: &DaemonId, epoch: u32, sequence: u64) -> bool {
        if epoch != self.epoch {
            return true;
        }
        if sequence > self.sequence || sequence <= self.first_sequence {
            return false;
        }
        let known = self.acknowledged.entry(daemon.clone()).or_default();
        *known = sequence.max(*known);
        true
    }

    /// Returns the other daemons that haven't acknowledged the newest table.
    pub fn outdated_daemons<'a>(&'a self, parameters: &'a DomainParameters) -> Vec<&'a DaemonId> {
        let others = parameters.daemons.iter();
        others
            .filter(|daemon| **daemon != parameters.daemon)
            .filter(|daemon| !self.has_acknowledged(daemon, self.sequence))
            .collect()
    }

    /// Returns the newest table that was published in this epoch.
    pub fn table(&self) -> Option<&DomainTable> {
        self.published.as_ref()
    }

    /// Plans groups, ends and admits them as far as possible; returns the changed table and the
    /// due commands.
    pub fn tick(&mut self, view: LeaderView<'_>, now: Timestamp) -> LeaderOutput {
        if !self.settled {
            if now.since(self.since) < view.parameters.timing.settle {
                return LeaderOutput::default();
            }
            self.adopt_groups(view, now);
            self.settled = true;
        }
        self.record_joined_members(view, now);
        self.plan(view, now);
        self.retire_stopped_groups(view, now);
        self.admit_complete_groups(view, now);
        let table = self.publish_if_changed(view, now);
        let commands = self.due_commands(view, now);
        LeaderOutput { table, commands }
    }

    /// Adds a group to the table.
    fn add_group(&mut self, assignment: Assignment) {
        let record = GroupRecord {
            first_joined_at: BTreeMap::new(),
            stopping: None,
            assignment,
        };
        self.groups.insert(record.assignment.group.clone(), record);
    }

    /// Removes a group from the table.
    fn retire_group(&mut self, group: &GroupId) {
        let Some(record) = self.groups.remove(group) else {
            return;
        };
        // A group in no published table of this epoch needs no acknowledgement of its end. None
        // would arrive: the next table may equal the last one, and is then not sent.
        let published = self.published.as_ref();
        let was_published =
            published.is_none_or(|table| table.groups.iter().any(|known| known.group == *group));
        if !was_published {
            return;
        }
        self.retired.push(Retired {
            members: Some(record.assignment.members.into_iter().collect()),
            sequence: self.sequence + 1,
        });
    }

    fn next_token(&mut self) -> FencingToken {
        self.issued += 1;
        FencingToken {
            epoch: self.epoch,
            sequence: self.issued,
        }
    }

    /// Numbers and returns the present table if it differs from the last published one.
    fn publish_if_changed(&mut self, view: LeaderView<'_>, now: Timestamp) -> Option<DomainTable> {
        let table = DomainTable {
            failure_domain: view.parameters.failure_domain.clone(),
            epoch: self.epoch,
            sequence: self.sequence,
            revision: view.revision,
            daemons: view.lease.live_daemons(now),
            groups: self.assignments().cloned().collect(),
        };
        if self.published.as_ref() == Some(&table) {
            return None;
        }
        self.sequence += 1;
        let table = DomainTable {
            sequence: self.sequence,
            ..table
        };
        self.published = Some(table.clone());
        Some(table)
    }
}

/// Returns whether an engine announces that it is in this group, whether ready or not.
fn is_member(assignment: &Assignment, upstream: &Upstream) -> bool {
    let Some(engine) = upstream.engine() else {
        return false;
    };
    let Some(membership) = &engine.membership else {
        return false;
    };
    membership.group == assignment.group
        && membership.token == assignment.token
        && membership.members == assignment.members
        && membership.token >= engine.highest_token
}
