//! Commands that a group needs in its present phase.

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
        SentCommand, //
    },
};
use super::{
    Grouping,
    GroupingView,
    RETIRED_PREFIX,
    STABLE_AFTER_SILENCE,
    fabric_domain,
    is_in_group,
    is_member,
    reported_status, //
};
use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// Time after a query whose answer names a group that forbids the join, before the engine is
/// queried again.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

impl Grouping {
    /// Adds the commands that a group needs in its present phase.
    pub(super) fn issue_commands(
        &mut self,
        id: &GroupId,
        group: &mut Group,
        view: GroupingView<'_>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let wanted: Vec<(usize, EngineCommandKind)> = match group.phase {
            Phase::Joining => self.join_commands(id, group, view),
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
                self.retire_head(id, group, view, commands);
                Vec::new()
            }
            Phase::Leaving => vec![(0, EngineCommandKind::Leave)],
            Phase::Breaking => self.leave_commands(id, group, view),
        };
        let epoch = group.epoch;
        for (index, kind) in wanted {
            let Some(member) = group.members.get_mut(index) else {
                continue;
            };
            if !self.is_due(member, &kind, view.now) {
                continue;
            }
            member.last = Some(SentCommand {
                name: kind.name(),
                at: view.now,
                outcome: None,
            });
            commands.push(EngineCommand {
                to: member.id.clone(),
                address: member.address,
                group: id.clone(),
                epoch,
                expected_command_count: match kind {
                    EngineCommandKind::Join { .. } => {
                        self.unconfirmed.expected_command_count(&member.id)
                    }
                    _ => None,
                },
                kind,
            });
        }
    }

    /// Retires the head: has it join a group of its own, under a higher epoch.
    ///
    /// A head that only leaves can be brought back: a copy of its `join` that is executed late puts
    /// it into the group again, and a late `open` opens it, while the other members serve
    /// elsewhere. An engine that has seen a higher epoch refuses both.
    fn retire_head(
        &mut self,
        id: &GroupId,
        group: &mut Group,
        view: GroupingView<'_>,
        commands: &mut Vec<EngineCommand>,
    ) {
        let now = view.now;
        let Some(head) = group.head() else {
            return;
        };
        let join = EngineCommandKind::Join {
            model: self.model_to_retain(group, head, view),
            members: vec![head.id.clone()],
        };
        // The join itself may be executed late, after a late copy of another command has opened the
        // head once more. So the head is queried first, and refuses the join if it has begun any
        // command since.
        let (kind, expected_command_count) = match group.head_command_count {
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
        let sent = SentCommand {
            name: kind.name(),
            at: now,
            outcome: Some(EngineCommandOutcome::Unanswered),
        };
        commands.push(EngineCommand {
            to: head.id.clone(),
            address: head.address,
            group: retired,
            epoch,
            kind,
            expected_command_count,
        });
        // Whatever the outcome of the join, the head is queried again before the next one.
        group.head_command_count = None;
        if let Some(head) = group.members.first_mut() {
            head.last = Some(sent);
        }
    }

    /// Returns the model that a head still has after it has been retired.
    ///
    /// After a join an engine has only the joined model. A head whose group is taken apart for
    /// another model would lose just that one, and the domain would stay reserved for a group that
    /// it cannot form any more: this left six engines idle for 5 s.
    fn model_to_retain(&self, group: &Group, head: &Member, view: GroupingView<'_>) -> ModelName {
        let known = view.registry.get(&head.id);
        let reserved_model = known.and_then(|known| {
            let domain = fabric_domain(known)?;
            let (model, _) = self.reserved.get(&domain)?;
            let engine = known.registration.engine.as_ref()?;
            engine.staged.contains(model).then_some(model)
        });
        reserved_model.unwrap_or(&group.model).clone()
    }

    /// Returns a `join` for each member that has not joined yet, or a query if it must come first.
    ///
    /// The number of each entry is the member's index.
    fn join_commands(
        &self,
        id: &GroupId,
        group: &Group,
        view: GroupingView<'_>,
    ) -> Vec<(usize, EngineCommandKind)> {
        let members: Vec<InstanceId> = group.members.iter().map(|m| m.id.clone()).collect();
        let is_in_group = |member: &Member| {
            reported_status(view, &member.id)
                .is_some_and(|status| is_member(status, id, group.epoch, member.rank))
        };
        let missing = group.members.iter().enumerate();
        let missing = missing.filter(|(_, member)| !is_in_group(member));
        missing
            .map(|(index, member)| {
                if self.unconfirmed.needs_query(&member.id) {
                    return (index, EngineCommandKind::Query);
                }
                let kind = EngineCommandKind::Join {
                    model: group.model.clone(),
                    members: members.clone(),
                };
                (index, kind)
            })
            .collect()
    }

    /// Returns a `leave` for each reachable member other than the head that still reports the
    /// group.
    ///
    /// The number of each entry is the member's index.
    fn leave_commands(
        &self,
        id: &GroupId,
        group: &Group,
        view: GroupingView<'_>,
    ) -> Vec<(usize, EngineCommandKind)> {
        let others = group.members.iter().enumerate();
        let others = others.filter(|(_, member)| {
            let status = reported_status(view, &member.id);
            // A member that was cut off together with its head may report a little before it.
            member.rank != 0
                && member
                    .silence
                    .has_reported_for(STABLE_AFTER_SILENCE, view.now)
                && status.is_some_and(|status| is_in_group(status, id, group.epoch))
        });
        others
            .map(|(index, _)| (index, EngineCommandKind::Leave))
            .collect()
    }

    /// Returns whether a command is new to a member, or old enough to be sent again.
    fn is_due(&self, member: &Member, kind: &EngineCommandKind, now: Timestamp) -> bool {
        let last = member.last.as_ref();
        let Some(sent) = last.filter(|sent| sent.name == kind.name()) else {
            return true;
        };
        let pause = match &sent.outcome {
            // The report in the answer may be some hundred milliseconds old.
            Some(EngineCommandOutcome::Reported { .. }) => QUERY_INTERVAL,
            None
            | Some(
                EngineCommandOutcome::Begun
                | EngineCommandOutcome::Done
                | EngineCommandOutcome::InvalidState
                | EngineCommandOutcome::Outdated,
            ) => self.settings.retry_answered,
            Some(
                EngineCommandOutcome::Unanswered
                | EngineCommandOutcome::Refused
                | EngineCommandOutcome::OtherInstance,
            ) => self.settings.retry_unanswered,
        };
        now.since(sent.at) >= pause
    }
}
