//! The groups to which a daemon may route: those for which table and announcements agree.
//!
//! The table shows the leader's decisions, announcements show the actual state of the engines.
//! Some engines ignore fencing tokens, so a former leader that resumes after a suspension may
//! still move one of them. The engine's next announcement shows that, and no daemon routes to
//! the group any more, whatever the table contains.

use crate::{
    domain::membership::{
        Liveness,
        Upstream,
        Upstreams, //
    },
    peer_api::{
        Assignment,
        DomainTable, //
    },
    prelude::*,
};

/// A group that may take requests.
#[derive(Clone, Debug)]
pub struct AdmittedGroup<'a> {
    /// The group's assignment.
    pub assignment: &'a Assignment,
    /// The first member, which takes the group's requests.
    pub first: &'a Upstream,
}

/// Returns the groups of `table` that may take requests now.
pub fn admitted_groups<'a>(
    table: &'a DomainTable,
    upstreams: &'a Upstreams,
    routing_lease_since: Option<Timestamp>,
    now: Timestamp,
) -> Vec<AdmittedGroup<'a>> {
    let admitted = table.groups.iter().filter(|group| group.admits_requests);
    admitted
        .filter_map(|assignment| {
            let first = first_member_if_admitted(assignment, upstreams, routing_lease_since, now)?;
            Some(AdmittedGroup { assignment, first })
        })
        .collect()
}

/// Returns whether a group may take requests now: all members are live, current, not leaving,
/// and ready.
pub fn admits(
    assignment: &Assignment,
    upstreams: &Upstreams,
    routing_lease_since: Option<Timestamp>,
    now: Timestamp,
) -> bool {
    first_member_if_admitted(assignment, upstreams, routing_lease_since, now).is_some()
}

/// Returns whether every member currently announces exactly this assignment and is ready.
pub fn is_complete(
    assignment: &Assignment,
    upstreams: &Upstreams,
    routing_lease_since: Option<Timestamp>,
    now: Timestamp,
) -> bool {
    let mut members = assignment.members.iter();
    members.all(|vm| {
        let member = upstreams.current_upstream(vm, routing_lease_since, now);
        member.is_some_and(|member| matches(assignment, member))
    })
}

/// Returns the first member of a group if the group may take requests.
fn first_member_if_admitted<'a>(
    assignment: &Assignment,
    upstreams: &'a Upstreams,
    routing_lease_since: Option<Timestamp>,
    now: Timestamp,
) -> Option<&'a Upstream> {
    let usable = |vm: &VmId| {
        let member = upstreams.current_upstream(vm, routing_lease_since, now);
        let is_live = upstreams.liveness(vm, now) == Liveness::Live;
        is_live && member.is_some_and(|member| !member.announcement.leaving)
    };
    if !assignment.members.iter().all(usable) {
        return None;
    }
    if !is_complete(assignment, upstreams, routing_lease_since, now) {
        return None;
    }
    upstreams.get(assignment.members.first()?)
}

/// Returns whether an upstream announces exactly this assignment and is ready.
fn matches(assignment: &Assignment, member: &Upstream) -> bool {
    let Some(engine) = member.engine() else {
        return false;
    };
    let Some(membership) = &engine.membership else {
        return false;
    };
    // An engine that ignores tokens and has obeyed an old command announces a membership with a
    // lower token than the highest that it has seen.
    let is_newest = membership.token >= engine.highest_token;
    is_newest
        && membership.ready
        && membership.group == assignment.group
        && membership.token == assignment.token
        && membership.service == assignment.service
        && membership.members == assignment.members
}
