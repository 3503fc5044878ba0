//! Membership of a group, as commanded by a domain leader.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    upstream_api::{
        Command,
        CommandAction,
        CommandReply,
        EngineState,
        Membership, //
    },
};

use crate::{
    run::RunState,
    vm::Vm, //
};

/// Obeys or refuses a command.
pub fn obey(vm: &Rc<Vm>, command: Command) -> CommandReply {
    if command.vm != vm.settings.vm {
        return CommandReply::WrongVm {
            vm: vm.settings.vm.clone(),
        };
    }
    let highest = vm.engine.borrow().highest_token;
    if vm.engine.borrow().checks_tokens && command.token < highest {
        return CommandReply::StaleToken { highest };
    }
    if vm.faults.borrow().ignore_commands {
        return CommandReply::Accepted;
    }
    vm.engine.borrow_mut().highest_token = highest.max(command.token);
    match command.action {
        CommandAction::JoinGroup {
            group,
            service,
            model,
            version,
            adapters: _,
            members,
        } => {
            let membership = Membership {
                group,
                token: command.token,
                service,
                members,
                ready: false,
            };
            join(vm, membership, weight_name(&model, &version));
        }
        CommandAction::LeaveGroup => vm.engine.borrow_mut().membership = None,
        CommandAction::LoadWeights { model, version } => {
            let weights = weight_name(&model, &version);
            tokio::task::spawn_local(load(Rc::clone(vm), weights));
        }
    }
    vm.news.notify_one();
    CommandReply::Accepted
}

fn weight_name(model: &ModelName, version: &str) -> String {
    format!("{model}@{version}")
}

/// Joins a group; a repeated command changes nothing but the token.
fn join(vm: &Rc<Vm>, mut joined: Membership, weights: String) {
    let before = vm.membership();
    let same = before.as_ref().is_some_and(|before| {
        before.group == joined.group
            && before.members == joined.members
            && before.service == joined.service
    });
    let held = vm.engine.borrow().weights.contains(&weights);
    joined.ready = held && same && before.as_ref().is_some_and(|before| before.ready);
    let is_ready = joined.ready;
    let token = joined.token;
    vm.engine.borrow_mut().membership = Some(joined);
    if is_ready {
        return;
    }
    // A replica of other members or weights cannot go on with a stream; whoever
    // reads it must see it break rather than wait.
    if before.is_some() && !same {
        vm.stop_runs(None, RunState::Broken);
    }
    let vm = Rc::clone(vm);
    tokio::task::spawn_local(async move {
        load(Rc::clone(&vm), weights).await;
        become_ready(&vm, token);
    });
}

/// Loads weights, which takes no time if they are held.
async fn load(vm: Rc<Vm>, weights: String) {
    let Some(settings) = vm.engine_settings() else {
        return;
    };
    if vm.engine.borrow().weights.contains(&weights) {
        return;
    }
    let load_us = vm.slowed_us(settings.weight_load_ms * 1_000);
    tokio::time::sleep(Duration::from_micros(load_us)).await;
    let mut engine = vm.engine.borrow_mut();
    hold(&mut engine, weights, settings.max_weights);
    drop(engine);
    vm.news.notify_one();
}

fn hold(engine: &mut EngineState, weights: String, max_weights: usize) {
    if engine.weights.contains(&weights) {
        return;
    }
    while engine.weights.len() >= max_weights.max(1) {
        engine.weights.remove(0);
    }
    engine.weights.push(weights);
}

/// Marks the membership ready unless another command replaced it meanwhile.
fn become_ready(vm: &Rc<Vm>, token: FencingToken) {
    let mut engine = vm.engine.borrow_mut();
    if let Some(membership) = &mut engine.membership
        && membership.token == token
    {
        membership.ready = true;
    }
    drop(engine);
    vm.news.notify_one();
}
