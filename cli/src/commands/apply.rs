//! `apply FILE`: requests a plan for an intent.

use cicadabend::{
    fleet::FleetConfig,
    prelude::*, //
};
use cicadabend_daemon::settings;
use clap::{
    Arg,
    ArgMatches,
    Command, //
};

use super::{
    Context,
    REASON,
    reason_argument,
    show_plan,
    text_argument, //
};
use crate::error::CommandError;

pub(super) const NAME: &str = "apply";
const FILE: &str = "FILE";
const BASE: &str = "base";

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Make a plan for an intent; nothing changes before it is confirmed")
        .arg(Arg::new(FILE).required(true).help("The intent, as JSON"))
        .arg(
            Arg::new(BASE)
                .long(BASE)
                .value_name("REVISION")
                .value_parser(clap::value_parser!(u64))
                .help("The revision that the intent was written from; fail if it has changed"),
        )
        .arg(reason_argument())
        .after_help("Example:\n  cicadabend --config client.json apply intent.json")
}

pub(super) async fn run(
    arguments: &ArgMatches,
    context: &mut Context<'_, '_>,
) -> Result<(), CommandError> {
    let path = text_argument(arguments, FILE).to_owned();
    let config: FleetConfig =
        settings::load(&path).map_err(|source| CommandError::Settings { path, source })?;
    let reason = text_argument(arguments, REASON);
    let plan = context.client.plan(config, reason).await?;
    let expected = arguments.get_one(BASE).copied().map(Revision);
    if let Some(expected) = expected.filter(|expected| *expected != plan.base_revision) {
        let found = plan.base_revision;
        return Err(CommandError::BaseChanged { expected, found });
    }
    show_plan(context.output, &plan);
    Ok(())
}
