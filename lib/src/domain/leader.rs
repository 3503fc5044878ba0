//! What the domain leader decides: the table, and the commands that bring it about.
//!
//! A VM moves from one group to another in this order: a table without the old
//! group; an acknowledgement of that table by every daemon, or the end of the
//! routing lease of those that stay silent; the command; the engine's own
//! announcement; a table that admits the new group. A daemon that stayed silent
//! may count the VM's old announcement for one upstream lease more, so admission
//! waits for that too.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::{
    domain::{
        admission_gate,
        lease::Lease,
        membership::{
            Liveness,
            Upstream,
            Upstreams, //
        },
        parameters::DomainParameters,
    },
    fleet::{
        FleetConfig,
        ModelService,
        Service, //
    },
    ids::Address,
    peer_api::{
        Assignment,
        DomainTable, //
    },
    prelude::*,
    upstream_api::{
        Command,
        CommandAction,
        Membership, //
    },
};

/// How long a command may stay unanswered by an announcement before it is sent again.
const COMMAND_RETRY: Duration = Duration::from_secs(1);

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
    sequence: u64,
    published: Option<DomainTable>,
    held: BTreeMap<GroupId, HeldGroup>,
    retired: Vec<Retired>,
    acknowledged: BTreeMap<DaemonId, u64>,
    commanded: BTreeMap<VmId, (FencingToken, Timestamp)>,
    dismissed: BTreeMap<VmId, FencingToken>,
}

impl Leader {
    /// Starts an epoch; `inherited` is the newest table that this daemon knows.
    pub fn new(epoch: u32, inherited: Option<DomainTable>, now: Timestamp) -> Self {
        Self {
            epoch,
            since: now,
            settled: false,
            inherited,
            issued: 0,
            sequence: 0,
            published: None,
            held: BTreeMap::new(),
            retired: vec![Retired {
                members: None,
                sequence: 1,
            }],
            acknowledged: BTreeMap::new(),
            commanded: BTreeMap::new(),
            dismissed: BTreeMap::new(),
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
        if sequence > self.sequence {
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
        self.stop_unwanted(view, now);
        self.form_wanted(view, now);
        self.admit_complete(view, now);
        let table = self.publish(view, now);
        let commands = self.commands(view, now);
        LeaderWork { table, commands }
    }

    fn has_acknowledged(&self, daemon: &DaemonId, sequence: u64) -> bool {
        let known = self.acknowledged.get(daemon);
        known.is_some_and(|known| *known >= sequence)
    }

    fn all_acknowledged(&self, view: LeaderView<'_>, sequence: u64) -> bool {
        let own = &view.parameters.daemon;
        let mut daemons = view.parameters.daemons.iter();
        daemons.all(|daemon| daemon == own || self.has_acknowledged(daemon, sequence))
    }

    /// Returns whether no daemon with a routing lease may still route to a former group of `vm`.
    fn is_cleared(&self, view: LeaderView<'_>, vm: &VmId, now: Timestamp) -> bool {
        let own = &view.parameters.daemon;
        let mut retired = self.retired.iter().filter(|retired| retired.concerns(vm));
        retired.all(|retired| {
            let mut daemons = view.parameters.daemons.iter();
            daemons.all(|daemon| {
                daemon == own
                    || self.has_acknowledged(daemon, retired.sequence)
                    || now >= view.lease.routing_lease_bound(daemon)
            })
        })
    }

    /// Takes over what is there: the inherited table, then what engines announce beyond it.
    fn adopt(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let inherited = self.inherited.take();
        for assignment in inherited.into_iter().flat_map(|table| table.groups) {
            self.hold(assignment);
        }
        let mut announced: Vec<&Membership> = view
            .upstreams
            .iter()
            .filter(|(vm, _)| view.upstreams.liveness(vm, now) != Liveness::Dead)
            .filter_map(|(_, upstream)| upstream.membership())
            .collect();
        announced.sort_by_key(|membership| std::cmp::Reverse(membership.token));
        for membership in announced {
            self.adopt_announced(view, membership);
        }
    }

    /// Adopts a group that an engine announces, and drops older ones that share a member.
    fn adopt_announced(&mut self, view: LeaderView<'_>, membership: &Membership) {
        if self.held.contains_key(&membership.group) {
            return;
        }
        let Some(assignment) = assignment_of(view.config, membership) else {
            return;
        };
        let members: BTreeSet<&VmId> = assignment.members.iter().collect();
        let sharing: Vec<GroupId> = self
            .held
            .values()
            .filter(|held| {
                held.assignment
                    .members
                    .iter()
                    .any(|vm| members.contains(vm))
            })
            .map(|held| held.assignment.group.clone())
            .collect();
        let token_of = |group: &GroupId| self.held.get(group).map(|held| held.assignment.token);
        if sharing
            .iter()
            .any(|group| token_of(group) > Some(assignment.token))
        {
            return;
        }
        for group in sharing {
            self.retire(&group);
        }
        self.hold(assignment);
    }

    fn hold(&mut self, assignment: Assignment) {
        let held = HeldGroup {
            first_matched: BTreeMap::new(),
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

    fn note_matches(&mut self, view: LeaderView<'_>, now: Timestamp) {
        for held in self.held.values_mut() {
            for vm in &held.assignment.members {
                let member = view.upstreams.current(vm, true, now);
                if member.is_some_and(|member| is_member(&held.assignment, member)) {
                    held.first_matched.entry(vm.clone()).or_insert(now);
                }
            }
        }
        let obsolete: BTreeSet<u64> = self
            .retired
            .iter()
            .map(|retired| retired.sequence)
            .filter(|sequence| self.all_acknowledged(view, *sequence))
            .collect();
        self.retired
            .retain(|retired| !obsolete.contains(&retired.sequence));
    }

    fn stop_unwanted(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let mut kept: BTreeMap<ServiceName, u32> = BTreeMap::new();
        let mut stopped = Vec::new();
        for held in self.held.values() {
            let assignment = &held.assignment;
            let count = kept.entry(assignment.service.clone()).or_default();
            if is_wanted(view, assignment, *count, now) {
                *count += 1;
            } else {
                stopped.push(assignment.group.clone());
            }
        }
        for group in stopped {
            self.retire(&group);
        }
    }

    fn form_wanted(&mut self, view: LeaderView<'_>, now: Timestamp) {
        for (service, model) in model_services(view.config) {
            let wanted = model
                .groups_by_failure_domain
                .get(&view.parameters.failure_domain);
            let held = self.held.values();
            let have = held
                .filter(|held| held.assignment.service == *service)
                .count();
            for _ in have..wanted.copied().unwrap_or(0) as usize {
                let Some(members) = self.free_members(view, model.vms_per_group as usize, now)
                else {
                    break;
                };
                self.form(view, service, model, members);
            }
        }
    }

    fn free_members(
        &self,
        view: LeaderView<'_>,
        count: usize,
        now: Timestamp,
    ) -> Option<Vec<VmId>> {
        let mut free: BTreeMap<&FabricDomain, Vec<VmId>> = BTreeMap::new();
        for (vm, upstream) in view.upstreams.iter() {
            let is_usable = upstream.engine().is_some()
                && !upstream.announcement.leaving
                && view.upstreams.liveness(vm, now) == Liveness::Live
                && !view.config.drained_vms.contains(vm)
                && !self.is_member_of_any(vm);
            if is_usable {
                let fabric_domain = &upstream.announcement.fabric_domain;
                free.entry(fabric_domain).or_default().push(vm.clone());
            }
        }
        let large_enough = free
            .into_values()
            .find(|vms| count > 0 && vms.len() >= count);
        large_enough.map(|vms| vms.into_iter().take(count).collect())
    }

    fn is_member_of_any(&self, vm: &VmId) -> bool {
        let mut held = self.held.values();
        held.any(|held| held.assignment.members.contains(vm))
    }

    fn next_token(&mut self) -> FencingToken {
        self.issued += 1;
        FencingToken {
            epoch: self.epoch,
            sequence: self.issued,
        }
    }

    fn form(
        &mut self,
        view: LeaderView<'_>,
        service: &ServiceName,
        model: &ModelService,
        members: Vec<VmId>,
    ) {
        let token = self.next_token();
        let domain = &view.parameters.failure_domain;
        // A name that does not fit is an operator's very long service name; the token
        // alone tells groups of one domain apart.
        let name = format!("{service}/{domain}/{token}");
        let Some(group) = name.parse().or_else(|_| format!("{token}").parse()).ok() else {
            return;
        };
        for vm in &members {
            self.dismissed.remove(vm);
        }
        self.hold(Assignment {
            group,
            service: service.clone(),
            model: model.model.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            members,
            token,
            admits_requests: false,
        });
    }

    fn admit_complete(&mut self, view: LeaderView<'_>, now: Timestamp) {
        let mut admitted = Vec::new();
        for (group, held) in &self.held {
            let assignment = &held.assignment;
            let may_serve = !assignment.admits_requests
                && admission_gate::is_complete(assignment, view.upstreams, true, now)
                && self.no_daemon_counts_old_group(view, held, now);
            if may_serve {
                admitted.push(group.clone());
            }
        }
        for group in admitted {
            if let Some(held) = self.held.get_mut(&group) {
                held.assignment.admits_requests = true;
            }
        }
    }

    /// Returns whether every daemon has a table without the members' former groups, or has
    /// certainly stopped to count what the members announced while in them.
    fn no_daemon_counts_old_group(
        &self,
        view: LeaderView<'_>,
        held: &HeldGroup,
        now: Timestamp,
    ) -> bool {
        let members = &held.assignment.members;
        let concerns = |retired: &&Retired| members.iter().any(|vm| retired.concerns(vm));
        if self.retired.iter().find(concerns).is_none() {
            return true;
        }
        let patience = view.parameters.timing.forget_after();
        members.iter().all(|vm| {
            let matched = held.first_matched.get(vm);
            matched.is_some_and(|matched| now >= *matched + patience)
        })
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

    fn commands(&mut self, view: LeaderView<'_>, now: Timestamp) -> Vec<AddressedCommand> {
        let mut commands = Vec::new();
        for (vm, upstream) in view.upstreams.iter() {
            if upstream.engine().is_none() || view.upstreams.liveness(vm, now) == Liveness::Dead {
                continue;
            }
            let Some((token, action)) = self.wanted_command(view, vm, upstream, now) else {
                continue;
            };
            let sent = self.commanded.get(vm);
            let is_repeated =
                sent.is_some_and(|(last, at)| *last == token && now.since(*at) < COMMAND_RETRY);
            if is_repeated {
                continue;
            }
            self.commanded.insert(vm.clone(), (token, now));
            commands.push(AddressedCommand {
                address: upstream.announcement.address,
                epoch: self.epoch,
                command: Command {
                    vm: vm.clone(),
                    token,
                    action,
                },
            });
        }
        commands
    }

    fn wanted_command(
        &mut self,
        view: LeaderView<'_>,
        vm: &VmId,
        upstream: &Upstream,
        now: Timestamp,
    ) -> Option<(FencingToken, CommandAction)> {
        let mut held = self.held.values().map(|held| &held.assignment);
        let Some(assignment) = held.find(|group| group.members.contains(vm)) else {
            upstream.membership()?;
            return Some((self.dismissal(vm), CommandAction::LeaveGroup));
        };
        if is_member(assignment, upstream) || !self.is_cleared(view, vm, now) {
            return None;
        }
        let action = CommandAction::JoinGroup {
            group: assignment.group.clone(),
            service: assignment.service.clone(),
            model: assignment.model.clone(),
            version: assignment.version.clone(),
            adapters: assignment.adapters.clone(),
            members: assignment.members.clone(),
        };
        Some((assignment.token, action))
    }

    fn dismissal(&mut self, vm: &VmId) -> FencingToken {
        if let Some(token) = self.dismissed.get(vm) {
            return *token;
        }
        let token = self.next_token();
        self.dismissed.insert(vm.clone(), token);
        token
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

fn model_services(config: &FleetConfig) -> impl Iterator<Item = (&ServiceName, &ModelService)> {
    config
        .services
        .iter()
        .filter_map(|(name, service)| match service {
            Service::Model(model) => Some((name, model)),
            Service::Plain(_) => None,
        })
}

fn is_wanted(
    view: LeaderView<'_>,
    assignment: &Assignment,
    already_kept: u32,
    now: Timestamp,
) -> bool {
    let Some(Service::Model(model)) = view.config.services.get(&assignment.service) else {
        return false;
    };
    let wanted = model
        .groups_by_failure_domain
        .get(&view.parameters.failure_domain);
    let members = &assignment.members;
    let is_lost = |vm: &VmId| {
        let leaving = view
            .upstreams
            .get(vm)
            .is_some_and(|vm| vm.announcement.leaving);
        let is_dead = view.upstreams.liveness(vm, now) == Liveness::Dead;
        is_dead || leaving || view.config.drained_vms.contains(vm)
    };
    already_kept < wanted.copied().unwrap_or(0)
        && assignment.model == model.model
        && assignment.version == model.version
        && assignment.adapters == model.adapters
        && members.len() == model.vms_per_group as usize
        && !members.iter().any(is_lost)
}

fn assignment_of(config: &FleetConfig, membership: &Membership) -> Option<Assignment> {
    let Service::Model(model) = config.services.get(&membership.service)? else {
        return None;
    };
    Some(Assignment {
        group: membership.group.clone(),
        service: membership.service.clone(),
        model: model.model.clone(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
        members: membership.members.clone(),
        token: membership.token,
        admits_requests: false,
    })
}
