//! The commands, one file each: its arguments and one entry function.

mod apply;
mod config;
mod confirm;
mod drain;
mod explain;
mod history;
mod init;
mod planning;
mod policies;
mod status;
mod verify_data;
mod watch;

pub use policies::policy_name;

use clap::{
    ArgMatches,
    Command, //
};

use crate::{
    client::Client,
    error::CommandError,
    output::Output,
    settings, //
};

/// The client and the output, which commands use besides their own arguments.
struct Context<'c, 's> {
    client: &'c Client,
    output: &'c mut Output<'s>,
}

/// Returns the command lines of all commands.
pub fn all() -> [Command; 11] {
    [
        apply::command(),
        confirm::command(),
        status::command(),
        watch::command(),
        history::command(),
        config::command(),
        drain::command(),
        policies::command(),
        init::command(),
        verify_data::command(),
        explain::command(),
    ]
}

/// Runs the command that the command line names.
///
/// # Errors
///
/// Returns the reason for which the command failed.
pub fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some((init::NAME, arguments)) => init::run(arguments, output),
        Some((verify_data::NAME, arguments)) => verify_data::run(arguments, output),
        Some((explain::NAME, arguments)) => explain::run(arguments, output),
        Some((name, arguments)) => run_connected(name, arguments, output),
        // The command line requires a command.
        None => Ok(()),
    }
}

fn run_connected(
    name: &str,
    arguments: &ArgMatches,
    output: &mut Output<'_>,
) -> Result<(), CommandError> {
    let client = Client::new(settings::connection(arguments)?);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    let mut context = Context {
        client: &client,
        output,
    };
    runtime.block_on(dispatch(name, arguments, &mut context))
}

async fn dispatch(
    name: &str,
    arguments: &ArgMatches,
    context: &mut Context<'_, '_>,
) -> Result<(), CommandError> {
    match name {
        apply::NAME => apply::run(arguments, context).await,
        confirm::NAME => confirm::run(arguments, context).await,
        status::NAME => status::run(context).await,
        watch::NAME => watch::run(arguments, context).await,
        history::NAME => history::run(context).await,
        config::NAME => config::run(context).await,
        drain::NAME => drain::run(arguments, context).await,
        policies::NAME => policies::run(arguments, context).await,
        // Clap accepts only the names above.
        _ => Ok(()),
    }
}

/// The name of the option with the reason for a plan.
const REASON: &str = "reason";

fn reason_argument() -> clap::Arg {
    clap::Arg::new(REASON)
        .long(REASON)
        .value_name("TEXT")
        .default_value("")
        .help("The reason for the plan, for the history")
}

fn text_argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    // The default is never used: all callers name required arguments or those with a default.
    arguments
        .get_one::<String>(name)
        .map(String::as_str)
        .unwrap_or_default()
}

/// Writes a plan, and a hint on the command that puts it in force.
fn show_plan(output: &mut Output<'_>, plan: &cicadabend::operator_api::Plan) {
    output.result(plan, crate::render::plan);
    output.hint(&format!(
        "nothing has changed yet; `cicadabend confirm {}` puts it in force",
        plan.id
    ));
}
