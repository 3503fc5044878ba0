//! `status`: shows groups, VMs, the revision and the daemons that have not applied it.

use clap::Command;

use super::Context;
use crate::{
    error::CommandError,
    render, //
};

pub(super) const NAME: &str = "status";

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Show groups, VMs, the revision and the daemons that have not applied it")
        .after_help("Example:\n  cicadabend --config client.json status --output json")
}

pub(super) async fn run(context: &mut Context<'_, '_>) -> Result<(), CommandError> {
    let status = context.client.status().await?;
    context.output.result(&status, render::status);
    Ok(())
}
