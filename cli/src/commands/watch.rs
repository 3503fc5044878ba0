//! `watch`: shows progress until a revision is in force everywhere.

use std::time::Duration;

use cicadabend::{
    operator_api::PlanProgress,
    prelude::*, //
};
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
        .about("Show progress until a revision is in force everywhere and its groups serve")
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
                .help("Time to watch, in milliseconds"),
        )
        .after_help("Example:\n  cicadabend --config client.json watch --revision 4")
}

pub(super) async fn run(
    arguments: &ArgMatches,
    context: &mut Context<'_, '_>,
) -> Result<(), CommandError> {
    let for_ms = arguments.get_one(FOR_MS).copied().unwrap_or_default();
    let deadline = Instant::now() + Duration::from_millis(for_ms);
    let wanted = arguments.get_one(REVISION).copied().map(Revision);
    let mut last_shown = None;
    loop {
        let progress = context.client.progress().await?;
        if last_shown.as_ref() != Some(&progress) {
            context.output.result(&progress, |progress| {
                let line = render::progress_line(progress.as_ref());
                format!("{line}\n")
            });
        }
        if is_done(wanted, progress.as_ref()) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(timeout_error(context, wanted, progress, for_ms));
        }
        last_shown = Some(progress);
        sleep(POLL_INTERVAL).await;
    }
}

fn is_done(wanted: Option<Revision>, progress: Option<&PlanProgress>) -> bool {
    progress.is_some_and(|progress| {
        wanted.is_none_or(|wanted| progress.revision >= wanted)
            && progress.in_force
            && progress.remaining.is_empty()
            && progress.not_serving.is_empty()
    })
}

/// Writes the remaining changes, if only groups are unfinished, and returns the error.
fn timeout_error(
    context: &mut Context<'_, '_>,
    wanted: Option<Revision>,
    progress: Option<PlanProgress>,
    waited_ms: u64,
) -> CommandError {
    let Some(progress) = progress else {
        return CommandError::NoRevision { waited_ms };
    };
    let revision = wanted.unwrap_or(progress.revision);
    if revision > progress.revision || !progress.in_force {
        return CommandError::NotInForce {
            revision,
            waited_ms,
        };
    }
    if !progress.remaining.is_empty() {
        let remaining = render::changes(&progress.remaining);
        context
            .output
            .progress(&format!("Remaining:\n{}", remaining.trim_end()));
    }
    CommandError::GroupsUnfinished {
        revision,
        waited_ms,
    }
}
