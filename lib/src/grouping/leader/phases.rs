//! Transitions of a group between its phases.

use super::super::{
    engine_command::{
        EngineCommand,
        EngineCommandOutcome, //
    },
    group::{
        Group,
        Member,
        Phase, //
    },
};
use super::{
    Grouping,
    GroupingView,
    STABLE_AFTER_SILENCE,
    has_moved_on,
    is_in_group,
    is_member,
    older_group,
    reported_status, //
};
use crate::{
    prelude::*,
    registry::{
        Ended,
        InstanceId,
        KnownInstance,
        MemberState, //
    },
};

impl Grouping {
    /// Advances a group to its next phases, and adds the commands that it then needs.
    pub(super) fn advance_group(
        &mut self,
        id: &GroupId,
        view: GroupingView<'_>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let Some(mut group) = self.groups.remove(id) else {
            return;
        };
        let mut is_over = false;
        // A phase may end at once, so up to four are passed in one call.
        for _ in 0..4 {
            let before = group.phase;
            is_over = self.advance_phase(id, &mut group, view);
            if is_over || group.phase == before {
                break;
            }
        }
        for suspect in std::mem::take(&mut group.suspects) {
            self.suspects.insert(suspect, view.now);
        }
        if is_over {
            // A head that has never reported may still be open. An engine that reports this group
            // again must leave it first, so the group is not recorded as finished.
            if group.phase != Phase::Breaking || group.head().is_some() {
                self.finished_groups.insert(id.clone(), view.now);
            }
            return;
        }
        self.issue_commands(id, &mut group, view, commands);
        self.groups.insert(id.clone(), group);
    }

    /// Advances a group by one phase at most; returns whether it is over and its members are free.
    fn advance_phase(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let now = view.now;
        match group.phase {
            Phase::Joining => return self.advance_joining(id, group, view),
            Phase::Opening => return self.advance_opening(id, group, view),
            Phase::Open => return self.advance_open(id, group, view),
            Phase::Closing { is_cut } => {
                let Some(head) = group.head() else {
                    group.enter(Phase::Breaking, now);
                    return false;
                };
                match self.head_status(id, group, head, view) {
                    HeadStatus::Detached => return true,
                    HeadStatus::Stopped => group.enter(Phase::Leaving, now),
                    HeadStatus::Silent => group.enter(Phase::Breaking, now),
                    HeadStatus::Serving => {
                        let is_late = now.since(group.phase_since) >= self.settings.close_wait;
                        if is_late && !is_cut {
                            group.enter(Phase::Closing { is_cut: true }, now);
                        }
                    }
                }
            }
            Phase::Leaving => {
                let Some(head) = group.head() else {
                    group.enter(Phase::Breaking, now);
                    return false;
                };
                match self.head_status(id, group, head, view) {
                    HeadStatus::Detached if self.may_be_brought_back(group, head, view) => {
                        group.enter(Phase::Retiring, now);
                    }
                    HeadStatus::Detached => return true,
                    HeadStatus::Silent => group.enter(Phase::Breaking, now),
                    // A late `open` has opened the head: close it again first.
                    HeadStatus::Serving => group.enter(Phase::Closing { is_cut: false }, now),
                    HeadStatus::Stopped => {}
                }
            }
            Phase::Retiring => {
                let Some(head) = group.head() else {
                    return true;
                };
                match self.head_status(id, group, head, view) {
                    HeadStatus::Detached => return !self.may_be_brought_back(group, head, view),
                    HeadStatus::Silent => group.enter(Phase::Breaking, now),
                    HeadStatus::Serving => group.enter(Phase::Closing { is_cut: false }, now),
                    HeadStatus::Stopped => group.enter(Phase::Leaving, now),
                }
            }
            Phase::Breaking => return self.advance_breaking(id, group, view),
        }
        false
    }

    /// Returns whether late copies of commands could put the head back into the group.
    fn may_be_brought_back(&self, group: &Group, head: &Member, view: GroupingView<'_>) -> bool {
        let known = view.registry.get(&head.id);
        let has_moved_on = known.is_none_or(|known| has_moved_on(known, group.epoch));
        // A late join has put the head into an older group, which it cannot leave while this one
        // claims it; it is queried before it joins any other.
        let is_elsewhere = known.is_some_and(|known| older_group(known, group.epoch).is_some());
        // A join to a newer group is on its way, whose higher epoch also makes the head refuse the
        // late copies.
        let is_placed = self.groups.values().any(|other| {
            let is_member = |member: &Member| member.id == head.id;
            other.epoch > group.epoch && other.members.iter().any(is_member)
        });
        group.has_unconfirmed_head()
            && !has_moved_on
            && !is_elsewhere
            && !is_placed
            && !self.is_dead(&head.id, view)
    }

    fn advance_joining(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let now = view.now;
        // A late join to an older group was executed after the member was chosen. The member must
        // not join from there while that group's head may be open, so it has to leave first, and it
        // is told so only once no newer group claims it.
        let is_back_elsewhere = |member: &Member, known: &KnownInstance| {
            let older = older_group(known, group.epoch);
            older.is_some()
                && older != member.previous_group.as_ref()
                && known.last_contact > group.phase_since
        };
        let is_lost = |member: &Member| match view.registry.get(&member.id) {
            None => true,
            Some(known) => {
                !known.is_ready()
                    || known.silent_for(now) > self.settings.silent_while_joining
                    || self.dead.contains(&member.id)
                    || has_moved_on(known, group.epoch)
                    || is_back_elsewhere(member, known)
            }
        };
        if !group.is_whole() || group.members.iter().any(is_lost) {
            group.enter(Phase::Leaving, now);
            return false;
        }
        let is_ready = |member: &Member| {
            reported_status(view, &member.id).is_some_and(|status| {
                is_member(status, id, group.epoch, member.rank)
                    && matches!(status.state, MemberState::Ready | MemberState::Open)
            })
        };
        if group.members.iter().all(is_ready) {
            group.enter(Phase::Opening, now);
        }
        false
    }

    fn advance_opening(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let status = group
            .head()
            .map(|head| self.head_status(id, group, head, view));
        match status {
            Some(HeadStatus::Detached) => return true,
            Some(HeadStatus::Silent) | None => {
                group.enter(Phase::Breaking, view.now);
                return false;
            }
            Some(HeadStatus::Serving | HeadStatus::Stopped) => {}
        }
        if self.has_lost_member(id, group, view) {
            group.enter(Phase::Closing { is_cut: true }, view.now);
            return false;
        }
        let head = group
            .head()
            .and_then(|head| reported_status(view, &head.id));
        let state = head.map(|status| status.state);
        match state {
            Some(MemberState::Open) => group.enter(Phase::Open, view.now),
            Some(MemberState::Joining) => group.enter(Phase::Joining, view.now),
            Some(MemberState::Broken) => group.enter(Phase::Leaving, view.now),
            Some(MemberState::Ready | MemberState::Closing) | None => {}
        }
        false
    }

    fn advance_open(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let now = view.now;
        let Some(head) = group.head() else {
            group.enter(Phase::Breaking, now);
            return false;
        };
        match self.head_status(id, group, head, view) {
            HeadStatus::Detached => return true,
            HeadStatus::Silent => {
                group.enter(Phase::Breaking, now);
                return false;
            }
            HeadStatus::Stopped => {
                group.enter(Phase::Leaving, now);
                return false;
            }
            HeadStatus::Serving => {}
        }
        let suspects = self.suspects_of(group, view);
        let is_lost = !suspects.is_empty() || self.has_lost_member(id, group, view);
        if !suspects.is_empty() {
            group.suspects = suspects;
        }
        if !group.is_whole() || is_lost {
            group.enter(Phase::Closing { is_cut: true }, now);
        } else if self.has_leaving_member(group, view) {
            group.enter(Phase::Closing { is_cut: false }, now);
        }
        false
    }

    /// Releases the other members of a head that is unreachable; returns whether the group is over.
    ///
    /// An engine that has left belongs to no group, whatever the head does, so it is free at once.
    /// The group stays until the head reports or the registry drops it, so that a member that a
    /// late copy of its `join` brings back is told to leave again.
    fn advance_breaking(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let limit = self.settings.silent_in_stalled;
        for member in &mut group.members {
            let known = view.registry.get(&member.id);
            let is_silent = known.is_none_or(|known| known.silent_for(view.now) > limit);
            member.silence.observe(is_silent, view.now);
        }
        // Only a new report shows that the head is reachable again, whichever silence limit it had
        // exceeded.
        let has_reported_again = |head: &Member| {
            view.registry.get(&head.id).is_none_or(|known| {
                known.last_contact > group.phase_since
                    && known.silent_for(view.now) <= self.settings.silent_in_stalled
            })
        };
        if let Some(head) = group
            .head()
            .filter(|head| has_reported_again(head) || self.is_dead(&head.id, view))
        {
            match self.head_status(id, group, head, view) {
                HeadStatus::Detached => return true,
                // A network cut has healed, and the group has gone on serving behind it.
                HeadStatus::Serving if self.is_intact(id, group, view) => {
                    group.enter(Phase::Open, view.now);
                    return false;
                }
                HeadStatus::Serving => {
                    // If the other members were cut off too, their reports come within one
                    // interval.
                    let is_due = head
                        .silence
                        .has_reported_for(STABLE_AFTER_SILENCE, view.now);
                    if is_due || self.has_lost_member(id, group, view) {
                        group.enter(Phase::Closing { is_cut: true }, view.now);
                    }
                    return false;
                }
                HeadStatus::Stopped => {
                    group.enter(Phase::Leaving, view.now);
                    return false;
                }
                HeadStatus::Silent => {}
            }
        }
        let epoch = group.epoch;
        let has_left = |member: &Member| {
            let known = view.registry.get(&member.id);
            let is_in_it =
                |known: &KnownInstance| known.group().is_some_and(|s| is_in_group(s, id, epoch));
            self.is_dead(&member.id, view) || known.is_some_and(|known| !is_in_it(known))
        };
        group
            .members
            .retain(|member| member.rank == 0 || !has_left(member));
        let is_unknown = |member: &Member| view.registry.get(&member.id).is_none();
        // The registry knows no member any more that could be sent a command.
        group.members.iter().all(is_unknown)
    }

    /// Returns whether the head is open and every member has lately reported the group at its rank.
    fn is_intact(&self, id: &GroupId, group: &Group, view: GroupingView<'_>) -> bool {
        let is_in_place = |member: &Member| {
            let known = view.registry.get(&member.id);
            known.is_some_and(|known| {
                let status = known.group();
                let is_open = status.is_some_and(|s| s.state == MemberState::Open);
                known.is_ready()
                    && known.last_contact > group.phase_since
                    && known.silent_for(view.now) <= self.settings.silent_in_stalled
                    && status.is_some_and(|s| is_member(s, id, group.epoch, member.rank))
                    && (member.rank != 0 || is_open)
            })
        };
        group.is_whole() && group.members.iter().all(is_in_place)
    }

    /// Returns whether an engine instance is known to have ended.
    pub(super) fn is_dead(&self, id: &InstanceId, view: GroupingView<'_>) -> bool {
        self.dead.contains(id) || view.registry.ended(id) == Some(Ended::Dead)
    }

    /// Returns whether a member is dead or reports another group or none, so that the group cannot
    /// work.
    fn has_lost_member(&self, id: &GroupId, group: &Group, view: GroupingView<'_>) -> bool {
        group.members.iter().any(|member| {
            let moved = view.registry.get(&member.id).is_some_and(|known| {
                let status = known.group();
                status.is_none_or(|status| !is_member(status, id, group.epoch, member.rank))
            });
            moved || self.is_dead(&member.id, view)
        })
    }

    /// Returns the silent members of a group whose streams are stalled: one of them may be lost.
    ///
    /// Silence alone may be a network cut between a member and the leader, while the group goes on
    /// serving. Stalled streams alone may be a slow head. Both together mean a lost member, seconds
    /// before the head itself reports that it is broken.
    fn suspects_of(&self, group: &Group, view: GroupingView<'_>) -> Vec<InstanceId> {
        let head = group.head();
        if !head.is_some_and(|head| view.stalled.contains(&head.id)) {
            return Vec::new();
        }
        let limit = self.settings.silent_in_stalled;
        let is_silent = |member: &&Member| {
            let known = view.registry.get(&member.id);
            known.is_none_or(|known| known.silent_for(view.now) >= limit)
        };
        let silent = group.members.iter().filter(is_silent);
        silent.map(|member| member.id.clone()).collect()
    }

    /// Returns whether a member is about to end or has announced that it leaves.
    fn has_leaving_member(&self, group: &Group, view: GroupingView<'_>) -> bool {
        group.members.iter().any(|member| {
            let known = view.registry.get(&member.id);
            known.is_some_and(|known| !known.is_ready())
                || view.registry.ended(&member.id) == Some(Ended::Left)
        })
    }

    /// Returns what the head can still do, by its last report and its silence.
    fn head_status(
        &self,
        id: &GroupId,
        group: &Group,
        head: &Member,
        view: GroupingView<'_>,
    ) -> HeadStatus {
        if self.is_dead(&head.id, view) {
            return HeadStatus::Detached;
        }
        let Some(known) = view.registry.get(&head.id) else {
            return match view.registry.ended(&head.id) {
                // The head finishes its requests, and may still be told to stop.
                Some(Ended::Left) => match group.phase {
                    Phase::Leaving => HeadStatus::Stopped,
                    Phase::Closing { .. } if self.is_command_done(head, "close") => {
                        HeadStatus::Stopped
                    }
                    _ => HeadStatus::Serving,
                },
                _ => HeadStatus::Silent,
            };
        };
        let is_refused = head
            .last
            .as_ref()
            .is_some_and(|sent| sent.outcome == Some(EngineCommandOutcome::Refused));
        let limit = match is_refused {
            _ if view.stalled.contains(&head.id) => self.settings.silent_in_stalled,
            true => self.settings.silent_and_refused,
            false => self.settings.silent_head,
        };
        if known.silent_for(view.now) > limit {
            return HeadStatus::Silent;
        }
        match known.group() {
            Some(status) if is_in_group(status, id, group.epoch) => match status.state {
                MemberState::Open | MemberState::Closing => HeadStatus::Serving,
                MemberState::Joining | MemberState::Ready | MemberState::Broken => {
                    HeadStatus::Stopped
                }
            },
            // Until the head has executed its join, it reports its former group or none.
            _ if group.phase == Phase::Joining => HeadStatus::Stopped,
            _ => HeadStatus::Detached,
        }
    }

    /// Returns whether the last command to a member has this name and was executed.
    fn is_command_done(&self, member: &Member, command: &str) -> bool {
        member.last.as_ref().is_some_and(|sent| {
            sent.name == command && sent.outcome == Some(EngineCommandOutcome::Done)
        })
    }
}

/// What a group's head can still do for the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeadStatus {
    /// The head is dead, or in another group or none: it takes no request for this group again.
    Detached,
    /// The head takes no requests now, but a late command could open it.
    Stopped,
    /// The head takes requests, or works on some.
    Serving,
    /// The head has been silent for too long, so its state is unknown.
    Silent,
}
