//! `watch`: shows progress until a revision is in force everywhere.

use std::time::Duration;

use cicadabend::prelude::*;
use clap::{
    Arg,
    ArgMatches,
    Command, //
};
use tokio::time::{
    Instant,
    sleep, //
};

use super::Context;
use crate::{
    error::CommandError,
    render, //
};

pub(super) const NAME: &str = "watch";
const REVISION: &str = "revision";
const FOR_MS: &str = "for-ms";
const DEFAULT_FOR_MS: &str = "60000";
const POLL_INTERVAL: Duration = Duration::from_millis(250);

pub(super) fn command() -> Command {
    let number = clap::value_parser!(u64);
    Command::new(NAME)
        .about("Show progress until a revision is in force everywhere and its groups are admitted")
        .arg(
            Arg::new(REVISION)
                .long(REVISION)
                .value_name("N")
                .value_parser(number)
                .help("The revision to wait for; the current one if absent"),
        )
        .arg(
            Arg::new(FOR_MS)
                .long(FOR_MS)
                .value_name("MS")
                .value_parser(number)
                .default_value(DEFAULT_FOR_MS)
                .help("How long to watch"),
        )
        .after_help("Example:\n  cicadabend --config client.json watch --revision 4")
}

pub(super) async fn run(
    arguments: &ArgMatches,
    context: &mut Context<'_, '_>,
) -> Result<(), CommandError> {
    let for_ms = arguments.get_one(FOR_MS).copied().unwrap_or_default();
    let deadline = Instant::now() + Duration::from_millis(for_ms);
    let mut wanted = arguments.get_one(REVISION).copied().map(Revision);
    let mut last_line = String::new();
    loop {
        let status = context.client.status().await?;
        let revision = *wanted.get_or_insert(status.revision);
        let line = render::progress_line(&status);
        if line != last_line {
            context.output.result(&status, |_| format!("{line}\n"));
            last_line = line;
        }
        let mut groups = status.domains.iter().flat_map(|d| &d.report.groups);
        let admitted = groups.all(|group| group.assignment.admits_requests);
        if status.in_force && status.revision >= revision && admitted {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::NotInForce {
                revision,
                waited_ms: for_ms,
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}
