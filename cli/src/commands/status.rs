//! `status`: groups, VMs, revisions and who has not acknowledged.

use clap::Command;

use super::Context;
use crate::{
    error::CommandError,
    render, //
};

pub(super) const NAME: &str = "status";

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Show groups, VMs, revisions and who has not acknowledged")
        .after_help("Example:\n  cicadabend --config client.json status --output json")
}

pub(super) async fn run(context: &mut Context<'_, '_>) -> Result<(), CommandError> {
    let status = context.client.status().await?;
    context.output.result(&status, render::status);
    Ok(())
}
