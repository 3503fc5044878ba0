//! `config`: the accepted configuration, in the form of an intent file.

use clap::Command;

use super::Context;
use crate::error::CommandError;

pub(super) const NAME: &str = "config";

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Print the accepted configuration, in the form of an intent file")
        .after_help("Example:\n  cicadabend --config client.json config > intent.json")
}

pub(super) async fn run(context: &mut Context<'_, '_>) -> Result<(), CommandError> {
    let accepted = context.client.config().await?;
    context
        .output
        .progress(&format!("Revision {}", accepted.revision));
    context.output.result(&accepted, |accepted| {
        // Serialization cannot fail: all maps in these types have names as keys.
        let text = serde_json::to_string_pretty(&accepted.config).unwrap_or_default();
        format!("{text}\n")
    });
    Ok(())
}
