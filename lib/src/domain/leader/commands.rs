//! The commands that bring the table about.

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

/// How long a command may stay unanswered by an announcement before it is sent again.
const COMMAND_RETRY: Duration = Duration::from_secs(1);

impl Leader {
    pub(super) fn commands(
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
            let Some((token, action)) = self.wanted_command(view, vm, upstream, now) else {
                continue;
            };
            if self.was_just_sent(vm, token, now) {
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

    fn was_just_sent(&self, vm: &VmId, token: FencingToken, now: Timestamp) -> bool {
        let sent = self.commanded.get(vm);
        sent.is_some_and(|(last, at)| *last == token && now.since(*at) < COMMAND_RETRY)
    }

    /// Returns what a VM is to be told, if it does not announce it already.
    ///
    /// This is also how an engine is corrected that has obeyed an older command:
    /// its announcement differs from the table, so the newer command goes out again.
    fn wanted_command(
        &mut self,
        view: LeaderView<'_>,
        vm: &VmId,
        upstream: &Upstream,
        now: Timestamp,
    ) -> Option<(FencingToken, CommandAction)> {
        if !self.is_cleared(view, vm, now) {
            return None;
        }
        if let Some(assignment) = self.assignment_of(vm) {
            let is_due =
                !is_member(assignment, upstream) && !self.is_held_back(assignment, upstream);
            return is_due.then(|| (assignment.token, join(assignment)));
        }
        let action = match upstream.membership() {
            Some(_) => CommandAction::LeaveGroup,
            None => self.wanted_weights(view, vm, upstream)?,
        };
        Some((self.loose_token(vm, &action), action))
    }

    /// Returns whether joining would start a load for which the weight store has no room yet.
    fn is_held_back(&self, assignment: &Assignment, upstream: &Upstream) -> bool {
        let weights = weights_name(&assignment.model, &assignment.version);
        let holds = |engine: &EngineState| engine.weights.contains(&weights);
        self.held_back.contains(&assignment.group) && !upstream.engine().is_some_and(holds)
    }

    fn wanted_weights(
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

    /// Returns the token of a command to a VM in no group; a repeated command keeps its token.
    fn loose_token(&mut self, vm: &VmId, action: &CommandAction) -> FencingToken {
        if let Some((known, token)) = self.loose.get(vm)
            && known == action
        {
            return *token;
        }
        let token = self.next_token();
        self.loose.insert(vm.clone(), (action.clone(), token));
        token
    }
}

fn join(assignment: &Assignment) -> CommandAction {
    CommandAction::JoinGroup {
        group: assignment.group.clone(),
        service: assignment.service.clone(),
        model: assignment.model.clone(),
        version: assignment.version.clone(),
        adapters: assignment.adapters.clone(),
        members: assignment.members.clone(),
    }
}
