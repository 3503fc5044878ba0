//! How a group moves from one phase to the next, by what is known now.

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
    BACK_FOR,
    Grouping,
    GroupingView,
    has_moved_on,
    is_in,
    is_member,
    older_group,
    standing_of, //
};
use crate::{
    prelude::*,
    registry::{
        Ended,
        InstanceId,
        Known,
        MemberState, //
    },
};

impl Grouping {
    /// Moves a group on, and gives the orders that its phase then asks for.
    pub(super) fn step(
        &mut self,
        id: &GroupId,
        view: GroupingView<'_>,
        orders: &mut Vec<EngineCommand>,
    ) {
        let Some(mut group) = self.groups.remove(id) else {
            return;
        };
        let mut is_over = false;
        // A phase may end at once, so a few are looked at in one go.
        for _ in 0..4 {
            let before = group.phase;
            is_over = self.advance(id, &mut group, view);
            if is_over || group.phase == before {
                break;
            }
        }
        for suspect in std::mem::take(&mut group.suspects) {
            self.suspects.insert(suspect, view.now);
        }
        if is_over {
            // A head that was never heard may still be open. Whoever reports this group again
            // must leave it first, so it is not among those whose head is harmless.
            if group.phase != Phase::Breaking || group.head().is_some() {
                self.finished.insert(id.clone(), view.now);
            }
            return;
        }
        self.order(id, &mut group, view, orders);
        self.groups.insert(id.clone(), group);
    }

    /// Moves a group on by what is known now; returns whether its members are free.
    fn advance(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
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
                match self.head_standing(id, group, head, view) {
                    HeadStanding::Harmless => return true,
                    HeadStanding::Stopped => group.enter(Phase::Leaving, now),
                    HeadStanding::Silent => group.enter(Phase::Breaking, now),
                    HeadStanding::Serving => {
                        let is_late = now.since(group.since) >= self.settings.close_wait;
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
                match self.head_standing(id, group, head, view) {
                    HeadStanding::Harmless if self.may_be_brought_back(group, head, view) => {
                        group.enter(Phase::Retiring, now);
                    }
                    HeadStanding::Harmless => return true,
                    HeadStanding::Silent => group.enter(Phase::Breaking, now),
                    // An `open` that came late: close it again first.
                    HeadStanding::Serving => group.enter(Phase::Closing { is_cut: false }, now),
                    HeadStanding::Stopped => {}
                }
            }
            Phase::Retiring => {
                let Some(head) = group.head() else {
                    return true;
                };
                match self.head_standing(id, group, head, view) {
                    HeadStanding::Harmless => return !self.may_be_brought_back(group, head, view),
                    HeadStanding::Silent => group.enter(Phase::Breaking, now),
                    HeadStanding::Serving => group.enter(Phase::Closing { is_cut: false }, now),
                    HeadStanding::Stopped => group.enter(Phase::Leaving, now),
                }
            }
            Phase::Breaking => return self.advance_breaking(id, group, view),
        }
        false
    }

    /// Returns whether late copies of orders could put the head back into the group.
    fn may_be_brought_back(&self, group: &Group, head: &Member, view: GroupingView<'_>) -> bool {
        let known = view.registry.get(&head.id);
        let has_moved_on = known.is_none_or(|known| has_moved_on(known, group.epoch));
        // A late join has put it into an older group, which it cannot leave while this one
        // claims it; it is looked at before it joins any other.
        let is_elsewhere = known.is_some_and(|known| older_group(known, group.epoch).is_some());
        // A join to a newer group is on its way and outbids the late copies as well.
        let is_placed = self.groups.values().any(|other| {
            let is_member = |member: &Member| member.id == head.id;
            other.epoch > group.epoch && other.members.iter().any(is_member)
        });
        group.has_doubtful_head()
            && !has_moved_on
            && !is_elsewhere
            && !is_placed
            && !self.is_dead(&head.id, view)
    }

    fn advance_joining(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let now = view.now;
        // A late join to an older group was carried out after the member was chosen. It is not
        // joined from there while that group's head may be open, so it has to leave first, and
        // it does that only once nothing newer claims it.
        let is_back_elsewhere = |member: &Member, known: &Known| {
            let older = older_group(known, group.epoch);
            older.is_some() && older != member.stood_in.as_ref() && known.heard_at > group.since
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
            standing_of(view, &member.id).is_some_and(|standing| {
                is_member(standing, id, group.epoch, member.rank)
                    && matches!(standing.state, MemberState::Ready | MemberState::Open)
            })
        };
        if group.members.iter().all(is_ready) {
            group.enter(Phase::Opening, now);
        }
        false
    }

    fn advance_opening(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let standing = group
            .head()
            .map(|head| self.head_standing(id, group, head, view));
        match standing {
            Some(HeadStanding::Harmless) => return true,
            Some(HeadStanding::Silent) | None => {
                group.enter(Phase::Breaking, view.now);
                return false;
            }
            Some(HeadStanding::Serving | HeadStanding::Stopped) => {}
        }
        if self.has_lost_member(id, group, view) {
            group.enter(Phase::Closing { is_cut: true }, view.now);
            return false;
        }
        let head = group.head().and_then(|head| standing_of(view, &head.id));
        let state = head.map(|standing| standing.state);
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
        match self.head_standing(id, group, head, view) {
            HeadStanding::Harmless => return true,
            HeadStanding::Silent => {
                group.enter(Phase::Breaking, now);
                return false;
            }
            HeadStanding::Stopped => {
                group.enter(Phase::Leaving, now);
                return false;
            }
            HeadStanding::Serving => {}
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

    /// Takes the other members away from a head that cannot be reached.
    ///
    /// An engine that has left belongs to no group, whatever the head does, so it is free at
    /// once. The group stays until the head is heard or forgotten, so that a member whom a
    /// late copy of its `join` brings back is told to leave again.
    fn advance_breaking(&self, id: &GroupId, group: &mut Group, view: GroupingView<'_>) -> bool {
        let limit = self.settings.silent_in_stalled;
        for member in &mut group.members {
            let known = view.registry.get(&member.id);
            let is_silent = known.is_none_or(|known| known.silent_for(view.now) > limit);
            member.silence.observe(is_silent, view.now);
        }
        // Only a head that is heard again is more than silent, whatever the limit was.
        let is_heard = |head: &Member| {
            view.registry.get(&head.id).is_none_or(|known| {
                known.heard_at > group.since
                    && known.silent_for(view.now) <= self.settings.silent_in_stalled
            })
        };
        if let Some(head) = group
            .head()
            .filter(|head| is_heard(head) || self.is_dead(&head.id, view))
        {
            match self.head_standing(id, group, head, view) {
                HeadStanding::Harmless => return true,
                // A cut has healed, and the group has served on behind it.
                HeadStanding::Serving if self.is_intact(id, group, view) => {
                    group.enter(Phase::Open, view.now);
                    return false;
                }
                HeadStanding::Serving => {
                    // The others' reports come within one interval, if they were cut off too.
                    let is_due = head.silence.is_heard_for(BACK_FOR, view.now);
                    if is_due || self.has_lost_member(id, group, view) {
                        group.enter(Phase::Closing { is_cut: true }, view.now);
                    }
                    return false;
                }
                HeadStanding::Stopped => {
                    group.enter(Phase::Leaving, view.now);
                    return false;
                }
                HeadStanding::Silent => {}
            }
        }
        let epoch = group.epoch;
        let has_left = |member: &Member| {
            let known = view.registry.get(&member.id);
            let is_in_it = |known: &Known| known.group().is_some_and(|s| is_in(s, id, epoch));
            self.is_dead(&member.id, view) || known.is_some_and(|known| !is_in_it(known))
        };
        group
            .members
            .retain(|member| member.rank == 0 || !has_left(member));
        let is_unknown = |member: &Member| view.registry.get(&member.id).is_none();
        // Nobody is left of it that could be ordered anywhere.
        group.members.iter().all(is_unknown)
    }

    /// Returns whether the head is open and every member was heard lately in its place.
    fn is_intact(&self, id: &GroupId, group: &Group, view: GroupingView<'_>) -> bool {
        let is_in_place = |member: &Member| {
            let known = view.registry.get(&member.id);
            known.is_some_and(|known| {
                let standing = known.group();
                let is_open = standing.is_some_and(|s| s.state == MemberState::Open);
                known.is_ready()
                    && known.heard_at > group.since
                    && known.silent_for(view.now) <= self.settings.silent_in_stalled
                    && standing.is_some_and(|s| is_member(s, id, group.epoch, member.rank))
                    && (member.rank != 0 || is_open)
            })
        };
        group.is_whole() && group.members.iter().all(is_in_place)
    }

    pub(super) fn is_dead(&self, id: &InstanceId, view: GroupingView<'_>) -> bool {
        self.dead.contains(id) || view.registry.ended(id) == Some(Ended::Dead)
    }

    /// Returns whether a member is certainly gone, so that the group cannot work.
    fn has_lost_member(&self, id: &GroupId, group: &Group, view: GroupingView<'_>) -> bool {
        group.members.iter().any(|member| {
            let moved = view.registry.get(&member.id).is_some_and(|known| {
                let standing = known.group();
                standing.is_none_or(|standing| !is_member(standing, id, group.epoch, member.rank))
            });
            moved || self.is_dead(&member.id, view)
        })
    }

    /// Returns the silent members of a group that stands still: one of them may be lost.
    ///
    /// Silence alone may be a cut between a member and the leader, while the group goes
    /// on serving. Streams that stand still alone may be a slow head. Both together are
    /// a member that is lost, seconds before the head itself says that it is broken.
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

    fn has_leaving_member(&self, group: &Group, view: GroupingView<'_>) -> bool {
        group.members.iter().any(|member| {
            let known = view.registry.get(&member.id);
            known.is_some_and(|known| !known.is_ready())
                || view.registry.ended(&member.id) == Some(Ended::Left)
        })
    }

    fn head_standing(
        &self,
        id: &GroupId,
        group: &Group,
        head: &Member,
        view: GroupingView<'_>,
    ) -> HeadStanding {
        if self.is_dead(&head.id, view) {
            return HeadStanding::Harmless;
        }
        let Some(known) = view.registry.get(&head.id) else {
            return match view.registry.ended(&head.id) {
                // It works off what it has, and may be told to stop.
                Some(Ended::Left) => match group.phase {
                    Phase::Leaving => HeadStanding::Stopped,
                    Phase::Closing { .. } if self.was_done(head, "close") => HeadStanding::Stopped,
                    _ => HeadStanding::Serving,
                },
                _ => HeadStanding::Silent,
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
            return HeadStanding::Silent;
        }
        match known.group() {
            Some(standing) if is_in(standing, id, group.epoch) => match standing.state {
                MemberState::Open | MemberState::Closing => HeadStanding::Serving,
                MemberState::Joining | MemberState::Ready | MemberState::Broken => {
                    HeadStanding::Stopped
                }
            },
            // Before its join is seen, a head reports what it was in before.
            _ if group.phase == Phase::Joining => HeadStanding::Stopped,
            _ => HeadStanding::Harmless,
        }
    }

    fn was_done(&self, member: &Member, order: &str) -> bool {
        member.last.as_ref().is_some_and(|sent| {
            sent.order == order && sent.outcome == Some(EngineCommandOutcome::Done)
        })
    }
}

/// What a group's head can still do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeadStanding {
    /// It can never take a request for this group again.
    Harmless,
    /// It takes none now, but a late order could open it.
    Stopped,
    /// It takes requests, or works on some.
    Serving,
    /// Nothing is known.
    Silent,
}
