//! What the domain leader decides: the table, and the commands that bring it about.
//!
//! A VM moves from one group to another in this order: a table without the old
//! group; an acknowledgement of that table by every daemon, or the end of the
//! routing lease of those that stay silent; the command; the engine's own
//! announcement; a table that admits the new group. A daemon that stayed silent
//! may count the VM's old announcement for one upstream lease more, so admission
//! waits for that too.

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

/// How many tables one run may make, as a power of two.
const TABLES_OF_A_RUN_BITS: u32 = 24;

/// What the leader's decisions are made from.
#[derive(Clone, Copy)]
pub struct LeaderView<'a> {
    /// The daemon's place.
    pub parameters: &'a DomainParameters,
    /// The lease it holds.
    pub lease: &'a Lease,
    /// The configuration in force here.
    pub config: &'a FleetConfig,
    /// Its revision.
    pub revision: Revision,
    /// The upstreams heard.
    pub upstreams: &'a Upstreams,
}

/// A command and where to send it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressedCommand {
    /// The upstream.
    pub address: Address,
    /// The epoch of the leader that decided on it; not that of its token, which may be adopted.
    pub epoch: u32,
    /// The command.
    pub command: Command,
}

/// What a leader wants done.
#[derive(Clone, Debug, Default)]
pub struct LeaderWork {
    /// The table, if it changed.
    pub table: Option<DomainTable>,
    /// Commands to send now.
    pub commands: Vec<AddressedCommand>,
}

#[derive(Clone, Debug)]
struct HeldGroup {
    assignment: Assignment,
    /// When each member first announced this assignment to this leader.
    first_matched: BTreeMap<VmId, Timestamp>,
    /// Set when it is to end after its running requests.
    stopping: Option<Stopping>,
}

#[derive(Clone, Copy, Debug)]
struct Stopping {
    since: Timestamp,
    /// The first table that no longer admits requests to it; `None` if none did.
    sequence: Option<u64>,
    /// When every daemon that may route to it knew that table.
    known_at: Option<Timestamp>,
}

/// A group that left the table, or, with no members named, everything before this leader.
#[derive(Clone, Debug)]
struct Retired {
    members: Option<BTreeSet<VmId>>,
    sequence: u64,
}

impl Retired {
    fn concerns(&self, vm: &VmId) -> bool {
        let members = self.members.as_ref();
        members.is_none_or(|members| members.contains(vm))
    }
}

/// The leader of a failure domain in one epoch.
#[derive(Clone, Debug)]
pub struct Leader {
    epoch: u32,
    since: Timestamp,
    settled: bool,
    inherited: Option<DomainTable>,
    issued: u32,
    first_sequence: u64,
    sequence: u64,
    published: Option<DomainTable>,
    held: BTreeMap<GroupId, HeldGroup>,
    retired: Vec<Retired>,
    acknowledged: BTreeMap<DaemonId, u64>,
    commanded: BTreeMap<VmId, (FencingToken, Timestamp)>,
    /// The tokens of commands to VMs that are in no group.
    loose: BTreeMap<VmId, (CommandAction, FencingToken)>,
    planner: RepairPlanner,
    planned_at: Option<Timestamp>,
    /// Spares that shall load the weights of a service.
    spares: BTreeMap<VmId, ServiceName>,
    /// Groups whose members shall not begin to load weights yet.
    held_back: BTreeSet<GroupId>,
}

impl Leader {
    /// Starts an epoch; `inherited` is the newest table that this daemon knows.
    ///
    /// `run` differs by run of the daemon. If a majority restarts, a daemon may lead
    /// under an epoch that it has led in before; the tables of its two runs then still
    /// have numbers far apart, and an acknowledgement of one is not taken for the other.
    pub fn new(epoch: u32, inherited: Option<DomainTable>, run: u32, now: Timestamp) -> Self {
        let first_sequence = u64::from(run) << TABLES_OF_A_RUN_BITS;
        Self {
            epoch,
            since: now,
            settled: false,
            inherited,
            issued: 0,
            first_sequence,
            sequence: first_sequence,
            published: None,
            held: BTreeMap::new(),
            retired: vec![Retired {
                members: None,
                sequence: first_sequence + 1,
            }],
            acknowledged: BTreeMap::new(),
            commanded: BTreeMap::new(),
            loose: BTreeMap::new(),
            planner: RepairPlanner::new(),
            planned_at: None,
            spares: BTreeMap::new(),
            held_back: BTreeSet::new(),
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the groups of this epoch.
    pub fn assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.held.values().map(|held| &held.assignment)
    }

    /// Returns the group of this epoch that a VM belongs to.
    pub fn assignment_of(&self, vm: &VmId) -> Option<&Assignment> {
        self.assignments()
            .find(|assignment| assignment.members.contains(vm))
    }

    /// Returns whether the leader has listened for long enough to act.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Returns whether a token with this leader's epoch was issued by another run of it.
    pub fn is_foreign(&self, token: FencingToken) -> bool {
        token.epoch == self.epoch && token.sequence > self.issued
    }

    /// Takes the table of another daemon, which may be newer than the own one.
    pub fn inherit(&mut self, table: DomainTable) {
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

    /// Counts an acknowledgement; returns `false` if it is of a table that this leader never sent.
    pub fn acknowledge(&mut self, daemon: &DaemonId, epoch: u32, sequence: u64) -> bool {
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

    /// Returns the daemons that have not acknowledged the newest table.
    pub fn behind<'a>(&'a self, parameters: &'a DomainParameters) -> Vec<&'a DaemonId> {
        let others = parameters.daemons.iter();
        others
            .filter(|daemon| **daemon != parameters.daemon)
            .filter(|daemon| !self.has_acknowledged(daemon, self.sequence))
            .collect()
    }

    /// Returns the newest table of this epoch.
    pub fn table(&self) -> Option<&DomainTable> {
        self.published.as_ref()
    }

    /// Decides what to do now.
    pub fn tick(&mut self, view: LeaderView<'_>, now: Timestamp) -> LeaderWork {
        if !self.settled {
            if now.since(self.since) < view.parameters.timing.settle {
                return LeaderWork::default();
            }
            self.adopt(view, now);
            self.settled = true;
        }
        self.note_matches(view, now);
        self.plan(view, now);
        self.end_stopped(view, now);
        self.admit_complete(view, now);
        let table = self.publish(view, now);
        let commands = self.commands(view, now);
        LeaderWork { table, commands }
    }

    fn hold(&mut self, assignment: Assignment) {
        let held = HeldGroup {
            first_matched: BTreeMap::new(),
            stopping: None,
            assignment,
        };
        self.held.insert(held.assignment.group.clone(), held);
    }

    fn retire(&mut self, group: &GroupId) {
        let Some(held) = self.held.remove(group) else {
            return;
        };
        // A group that no table of this epoch named needs no acknowledgement of its
        // end, and none would come: the next table may equal the last one.
        let published = self.published.as_ref();
        let was_published =
            published.is_none_or(|table| table.groups.iter().any(|known| known.group == *group));
        if !was_published {
            return;
        }
        self.retired.push(Retired {
            members: Some(held.assignment.members.into_iter().collect()),
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

    fn publish(&mut self, view: LeaderView<'_>, now: Timestamp) -> Option<DomainTable> {
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

/// Returns whether an engine says that it is in this group, ready or not.
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
