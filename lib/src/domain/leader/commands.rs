//! The commands that bring the engines in line with the table.

use std::time::Duration;

use super::{
    AddressedCommand,
    Leader,
    LeaderView,
    is_member, //
};
use crate::{
    domain::{
        membership::{
            Liveness,
            Upstream, //
        },
        placement::weights_name,
    },
    fleet::Service,
    peer_api::Assignment,
    prelude::*,
    upstream_api::{
        Command,
        CommandAction,
        EngineState, //
    },
};

/// How long after a command the same one is sent again while the engine's announcement doesn't
/// show it carried out.
const COMMAND_RETRY: Duration = Duration::from_secs(1);

impl Leader {
    /// Returns the commands that are due, at most one for each live or suspect engine.
    pub(super) fn due_commands(
        &mut self,
        view: LeaderView<'_>,
        now: Timestamp,
    ) -> Vec<AddressedCommand> {
        let mut commands = Vec::new();
        for (vm, upstream) in view.upstreams.iter() {
            let is_dead = view.upstreams.liveness(vm, now) == Liveness::Dead;
            if is_dead || upstream.engine().is_none() {
                continue;
            }
            let Some((token, action)) = self.due_command(view, vm, upstream, now) else {
                continue;
            };
            if self.was_recently_sent(vm, token, now) {
                continue;
            }
            self.last_commands.insert(vm.clone(), (token, now));
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

    /// Returns whether a command with this token went to `vm` within [`COMMAND_RETRY`].
    fn was_recently_sent(&self, vm: &VmId, token: FencingToken, now: Timestamp) -> bool {
        let sent = self.last_commands.get(vm);
        sent.is_some_and(|(last, at)| *last == token && now.since(*at) < COMMAND_RETRY)
    }

    /// Returns the command for a VM whose announcement doesn't match the table.
    ///
    /// An engine that has obeyed an older command is corrected in the same way: its
    /// announcement differs from the table, so the newer command goes out again.
    fn due_command(
        &mut self,
        view: LeaderView<'_>,
        vm: &VmId,
        upstream: &Upstream,
        now: Timestamp,
    ) -> Option<(FencingToken, CommandAction)> {
        if !self.may_be_commanded(view, vm, now) {
            return None;
        }
        if let Some(assignment) = self.assignment_of(vm) {
            let is_due =
                !is_member(assignment, upstream) && !self.is_load_deferred(assignment, upstream);
            return is_due.then(|| (assignment.token, join_command(assignment)));
        }
        let action = match upstream.membership() {
            Some(_) => CommandAction::LeaveGroup,
            None => self.missing_weights_command(view, vm, upstream)?,
        };
        Some((self.token_for_ungrouped(vm, &action), action))
    }

    /// Returns whether joining would start a weight load for which the weight store has no
    /// capacity yet.
    fn is_load_deferred(&self, assignment: &Assignment, upstream: &Upstream) -> bool {
        let weights = weights_name(&assignment.model, &assignment.version);
        let holds = |engine: &EngineState| engine.weights.contains(&weights);
        self.deferred_loads.contains(&assignment.group) && !upstream.engine().is_some_and(holds)
    }

    /// Returns the command to load weights, for a spare that doesn't hold those of its service.
    fn missing_weights_command(
        &self,
        view: LeaderView<'_>,
        vm: &VmId,
        upstream: &Upstream,
    ) -> Option<CommandAction> {
        let service = self.spares.get(vm)?;
        let Service::Model(model) = view.config.services.get(service)? else {
            return None;
        };
        let weights = weights_name(&model.model, &model.version);
        if upstream.engine()?.weights.contains(&weights) {
            return None;
        }
        Some(CommandAction::LoadWeights {
            model: model.model.clone(),
            version: model.version.clone(),
        })
    }

    /// Returns the token of a command to a VM in no group; a retry has the same token.
    fn token_for_ungrouped(&mut self, vm: &VmId, action: &CommandAction) -> FencingToken {
        if let Some((known, token)) = self.ungrouped_tokens.get(vm)
            && known == action
        {
            return *token;
        }
        let token = self.next_token();
        self.ungrouped_tokens
            .insert(vm.clone(), (action.clone(), token));
        token
    }
}

/// Returns the command by which an engine joins a group.
fn join_command(assignment: &Assignment) -> CommandAction {
    CommandAction::JoinGroup {
        group: assignment.group.clone(),
        service: assignment.service.clone(),
        model: assignment.model.clone(),
        version: assignment.version.clone(),
        adapters: assignment.adapters.clone(),
        members: assignment.members.clone(),
    }
}
