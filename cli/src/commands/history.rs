//! `history`: the accepted revisions, newest first.

use clap::Command;

use super::Context;
use crate::{
    error::CommandError,
    render, //
};

pub(super) const NAME: &str = "history";

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Show the accepted revisions, newest first")
        .after_help("Example:\n  cicadabend --config client.json history")
}

pub(super) async fn run(context: &mut Context<'_, '_>) -> Result<(), CommandError> {
    let history = context.client.history().await?;
    context
        .output
        .result(&history, |entries| render::history(entries));
    Ok(())
}
