//! The orders that a group's phase asks for.

use std::time::Duration;

use super::super::{
    engine_command::{
        CloseMode,
        EngineCommand,
        EngineCommandKind,
        EngineCommandOutcome, //
    },
    group::{
        Group,
        Member,
        Phase,
        Sent, //
    },
};
use super::{
    BACK_FOR,
    Grouping,
    GroupingView,
    RETIRED_PREFIX,
    fabric_domain,
    is_in,
    is_member,
    standing_of, //
};
use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// How long after a look that told of another group an engine is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(200);

impl Grouping {
    /// Gives the orders that a group's phase asks for.
    pub(super) fn order(
        &mut self,
        id: &GroupId,
        group: &mut Group,
        view: GroupingView<'_>,
        orders: &mut Vec<EngineCommand>,
    ) {
        let wanted: Vec<(usize, EngineCommandKind)> = match group.phase {
            Phase::Joining => self.joins(id, group, view),
            Phase::Opening => vec![(0, EngineCommandKind::Open)],
            Phase::Open => Vec::new(),
            Phase::Closing { is_cut } => {
                let mode = match is_cut {
                    true => CloseMode::Cut,
                    false => CloseMode::Wait,
                };
                vec![(0, EngineCommandKind::Close(mode))]
            }
            Phase::Retiring => {
                self.retire_head(id, group, view, orders);
                Vec::new()
            }
            Phase::Leaving => vec![(0, EngineCommandKind::Leave)],
            Phase::Breaking => self.departures(id, group, view),
        };
        let epoch = group.epoch;
        for (place, kind) in wanted {
            let Some(member) = group.members.get_mut(place) else {
                continue;
            };
            if !self.is_due(member, &kind, view.now) {
                continue;
            }
            member.last = Some(Sent {
                order: kind.name(),
                at: view.now,
                outcome: None,
            });
            orders.push(EngineCommand {
                to: member.id.clone(),
                address: member.address,
                group: id.clone(),
                epoch,
                expected_command_count: match kind {
                    EngineCommandKind::Join { .. } => {
                        self.doubts.expected_command_count(&member.id)
                    }
                    _ => None,
                },
                kind,
            });
        }
    }

    /// Takes the head out of its group by a join of its own, under a higher epoch.
    ///
    /// A head that only leaves can be brought back: a copy of its `join` that is carried
    /// out late puts it into the group again, and a late `open` opens it, while the other
    /// members serve elsewhere. An engine that has seen a higher epoch refuses both.
    fn retire_head(
        &mut self,
        id: &GroupId,
        group: &mut Group,
        view: GroupingView<'_>,
        orders: &mut Vec<EngineCommand>,
    ) {
        let now = view.now;
        let Some(head) = group.head() else {
            return;
        };
        let join = EngineCommandKind::Join {
            model: self.model_to_keep(group, head, view),
            members: vec![head.id.clone()],
        };
        // The join itself may be carried out late, after a late copy of another order has
        // opened the head once more. So the head is asked first, and refuses the join if
        // it has begun anything since.
        let (kind, expected_command_count) = match group.head_orders {
            None => (EngineCommandKind::Query, None),
            Some(count) => (join, Some(count)),
        };
        if !self.is_due(head, &kind, now) {
            return;
        }
        let epoch = self.next_epoch();
        let retired = match kind {
            EngineCommandKind::Query => Some(id.clone()),
            _ => format!("{RETIRED_PREFIX}{epoch}").parse().ok(),
        };
        let Some(retired) = retired else {
            return;
        };
        let sent = Sent {
            order: kind.name(),
            at: now,
            outcome: Some(EngineCommandOutcome::Unanswered),
        };
        orders.push(EngineCommand {
            to: head.id.clone(),
            address: head.address,
            group: retired,
            epoch,
            kind,
            expected_command_count,
        });
        // Whatever becomes of the join, the head is asked again before the next one.
        group.head_orders = None;
        if let Some(head) = group.members.first_mut() {
            head.last = Some(sent);
        }
    }

    /// Returns the model that a head keeps at hand when it is taken out of its group.
    ///
    /// A join leaves the joined model alone at hand. A head whose group is taken apart for
    /// another model would lose just that one, and the domain would be kept for a group that
    /// it cannot make any more: in one day six engines idled for 5 s so.
    fn model_to_keep(&self, group: &Group, head: &Member, view: GroupingView<'_>) -> ModelName {
        let known = view.registry.get(&head.id);
        let awaited = known.and_then(|known| {
            let domain = fabric_domain(known)?;
            let (model, _) = self.reserved.get(&domain)?;
            let engine = known.registration.engine.as_ref()?;
            engine.staged.contains(model).then_some(model)
        });
        awaited.unwrap_or(&group.model).clone()
    }

    fn joins(
        &self,
        id: &GroupId,
        group: &Group,
        view: GroupingView<'_>,
    ) -> Vec<(usize, EngineCommandKind)> {
        let members: Vec<InstanceId> = group.members.iter().map(|m| m.id.clone()).collect();
        let is_in = |member: &Member| {
            standing_of(view, &member.id)
                .is_some_and(|standing| is_member(standing, id, group.epoch, member.rank))
        };
        let missing = group.members.iter().enumerate();
        let missing = missing.filter(|(_, member)| !is_in(member));
        missing
            .map(|(place, member)| {
                if self.doubts.must_look(&member.id) {
                    return (place, EngineCommandKind::Query);
                }
                let kind = EngineCommandKind::Join {
                    model: group.model.clone(),
                    members: members.clone(),
                };
                (place, kind)
            })
            .collect()
    }

    fn departures(
        &self,
        id: &GroupId,
        group: &Group,
        view: GroupingView<'_>,
    ) -> Vec<(usize, EngineCommandKind)> {
        let others = group.members.iter().enumerate();
        let others = others.filter(|(_, member)| {
            let standing = standing_of(view, &member.id);
            // One that was cut off with its head may be heard a little before it.
            member.rank != 0
                && member.silence.is_heard_for(BACK_FOR, view.now)
                && standing.is_some_and(|standing| is_in(standing, id, group.epoch))
        });
        others
            .map(|(place, _)| (place, EngineCommandKind::Leave))
            .collect()
    }

    fn is_due(&self, member: &Member, kind: &EngineCommandKind, now: Timestamp) -> bool {
        let last = member.last.as_ref();
        let Some(sent) = last.filter(|sent| sent.order == kind.name()) else {
            return true;
        };
        let pause = match &sent.outcome {
            // A report may be some hundred milliseconds old.
            Some(EngineCommandOutcome::Reported { .. }) => LOOK_AGAIN,
            None
            | Some(
                EngineCommandOutcome::Begun
                | EngineCommandOutcome::Done
                | EngineCommandOutcome::InvalidState
                | EngineCommandOutcome::Outdated,
            ) => self.settings.repeat_taken,
            Some(
                EngineCommandOutcome::Unanswered
                | EngineCommandOutcome::Refused
                | EngineCommandOutcome::OtherInstance,
            ) => self.settings.repeat_unanswered,
        };
        now.since(sent.at) >= pause
    }
}
