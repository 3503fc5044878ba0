//! Which groups a daemon may route to: those in which table and members agree.
//!
//! The table says what the leader wants, announcements say what the engines do.
//! Some engines ignore fencing tokens, so an old leader that wakes may still move
//! one of them. That shows in the engine's next announcement, and the group is
//! no longer routed to, whatever the table says.

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
    /// Who is in it.
    pub assignment: &'a Assignment,
    /// Its first member, which takes the requests.
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
            let first = admit(assignment, upstreams, routing_lease_since, now)?;
            Some(AdmittedGroup { assignment, first })
        })
        .collect()
}

/// Returns whether a group of the table may take requests now.
pub fn admits(
    assignment: &Assignment,
    upstreams: &Upstreams,
    routing_lease_since: Option<Timestamp>,
    now: Timestamp,
) -> bool {
    admit(assignment, upstreams, routing_lease_since, now).is_some()
}

/// Returns whether every member announces exactly this assignment and is ready.
pub fn is_complete(
    assignment: &Assignment,
    upstreams: &Upstreams,
    routing_lease_since: Option<Timestamp>,
    now: Timestamp,
) -> bool {
    let mut members = assignment.members.iter();
    members.all(|vm| {
        let member = upstreams.current(vm, routing_lease_since, now);
        member.is_some_and(|member| matches(assignment, member))
    })
}

fn admit<'a>(
    assignment: &Assignment,
    upstreams: &'a Upstreams,
    routing_lease_since: Option<Timestamp>,
    now: Timestamp,
) -> Option<&'a Upstream> {
    let usable = |vm: &VmId| {
        let member = upstreams.current(vm, routing_lease_since, now);
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

fn matches(assignment: &Assignment, member: &Upstream) -> bool {
    let Some(engine) = member.engine() else {
        return false;
    };
    let Some(membership) = &engine.membership else {
        return false;
    };
    // An engine that ignores tokens and obeyed an old command says so by a
    // membership under a lower token than the highest it has seen.
    let is_newest = membership.token >= engine.highest_token;
    is_newest
        && membership.ready
        && membership.group == assignment.group
        && membership.token == assignment.token
        && membership.service == assignment.service
        && membership.members == assignment.members
}
