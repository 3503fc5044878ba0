//! `drain VM`: requests a plan that takes a VM out of all groups, or one that undoes this.

use cicadabend::{
    fleet::FleetConfig,
    prelude::*, //
};
use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};

use super::{
    Context,
    REASON,
    planning::plan_change,
    reason_argument,
    show_plan,
    text_argument, //
};
use crate::error::CommandError;

pub(super) const NAME: &str = "drain";
const VM: &str = "VM";
const UNDO: &str = "undo";

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Make a plan that takes a VM out of all groups; it is confirmed like any other")
        .arg(Arg::new(VM).required(true).help("The VM's name"))
        .arg(
            Arg::new(UNDO)
                .long(UNDO)
                .action(ArgAction::SetTrue)
                .help("Let groups use the VM again"),
        )
        .arg(reason_argument())
        .after_help("Example:\n  cicadabend --config client.json drain cumbaya-vm-3")
}

pub(super) async fn run(
    arguments: &ArgMatches,
    context: &mut Context<'_, '_>,
) -> Result<(), CommandError> {
    let text = text_argument(arguments, VM);
    let vm: VmId =
        text.parse().map_err(
            |error: cicadabend::ids::IdError| CommandError::WrongOption {
                option: VM,
                found: text.to_owned(),
                allowed: error.to_string(),
            },
        )?;
    let is_undo = arguments.get_flag(UNDO);
    let reason = text_argument(arguments, REASON);
    let change = |config: &mut FleetConfig| set_drained(config, &vm, is_undo);
    let plan = plan_change(context, reason, change).await?;
    show_plan(context.output, &plan);
    Ok(())
}

/// Adds the VM to the drained ones, or removes it from them if `is_undo`.
fn set_drained(config: &mut FleetConfig, vm: &VmId, is_undo: bool) -> Result<(), CommandError> {
    let vm = vm.clone();
    if is_undo {
        return match config.drained_vms.remove(&vm) {
            true => Ok(()),
            false => Err(CommandError::NotDrained { vm }),
        };
    }
    match config.drained_vms.insert(vm.clone()) {
        true => Ok(()),
        false => Err(CommandError::Drained { vm }),
    }
}
