//! `confirm PLAN`: puts a plan in force.

use cicadabend::{
    operator_api::{
        ConfirmReply,
        ConfirmRequest, //
    },
    prelude::*,
};
use clap::{
    Arg,
    ArgMatches,
    Command, //
};
use serde::Serialize;

use super::{
    Context,
    text_argument, //
};
use crate::{
    error::CommandError,
    render, //
};

pub(super) const NAME: &str = "confirm";
const PLAN: &str = "PLAN";
const KEY: &str = "idempotency-key";

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Put a plan in force")
        .arg(Arg::new(PLAN).required(true).help("The plan's number"))
        .arg(
            Arg::new(KEY)
                .long(KEY)
                .value_name("KEY")
                .help("The key of an earlier confirmation, to get its first answer again"),
        )
        .after_help("Example:\n  cicadabend --config client.json confirm 7")
}

/// The JSON output of the command.
#[derive(Serialize)]
struct Confirmation {
    plan: PlanId,
    idempotency_key: IdempotencyKey,
    reply: ConfirmReply,
}

pub(super) async fn run(
    arguments: &ArgMatches,
    context: &mut Context<'_, '_>,
) -> Result<(), CommandError> {
    let plan = parse_plan_id(text_argument(arguments, PLAN))?;
    let request = ConfirmRequest {
        plan,
        idempotency_key: given_or_random_key(arguments.get_one::<String>(KEY))?,
    };
    // Printed before the request is sent, so that an interrupted operator can retry with the key.
    let key = request.idempotency_key.clone();
    context.output.progress(&format!("Idempotency key: {key}"));
    let reply = context.client.confirm(&request).await?;
    let text = reply_text(plan, &reply);
    let confirmation = Confirmation {
        plan,
        idempotency_key: key,
        reply,
    };
    context.output.result(&confirmation, |_| text);
    check_accepted(plan, confirmation.reply)?;
    let hint = "`cicadabend watch` shows when it is in force everywhere";
    context.output.hint(hint);
    Ok(())
}

fn reply_text(plan: PlanId, reply: &ConfirmReply) -> String {
    match reply {
        ConfirmReply::Accepted { revision } => {
            format!("Plan {plan} is accepted as revision {revision}.\n")
        }
        ConfirmReply::Conflict { changed_paths, .. } => {
            let paths = changed_paths.iter().map(|path| format!("  {path}\n"));
            let paths: String = paths.collect();
            format!("Changed since plan {plan} was made:\n{paths}")
        }
        ConfirmReply::FleetChanged { changes_now } => {
            let changes = render::changes(changes_now);
            format!("The same configuration would do this now:\n{changes}")
        }
        ConfirmReply::UnknownPlan | ConfirmReply::KeyReused { .. } => String::new(),
    }
}

/// Returns an error unless the plan was accepted.
fn check_accepted(plan: PlanId, reply: ConfirmReply) -> Result<(), CommandError> {
    match reply {
        ConfirmReply::Accepted { .. } => Ok(()),
        ConfirmReply::Conflict {
            winner,
            winner_operator,
            revision,
            ..
        } => Err(CommandError::Conflict {
            plan,
            winner,
            winner_operator,
            revision,
        }),
        ConfirmReply::UnknownPlan => Err(CommandError::UnknownPlan { plan }),
        ConfirmReply::KeyReused { first_plan } => Err(CommandError::KeyReused { first_plan }),
        ConfirmReply::FleetChanged { .. } => Err(CommandError::FleetChanged { plan }),
    }
}

fn parse_plan_id(text: &str) -> Result<PlanId, CommandError> {
    text.parse().map_err(|_| CommandError::WrongOption {
        option: PLAN,
        found: text.to_owned(),
        allowed: "use the number that `cicadabend apply` printed".to_owned(),
    })
}

/// Parses the given key, or generates a random one.
fn given_or_random_key(given: Option<&String>) -> Result<IdempotencyKey, CommandError> {
    let text = match given {
        Some(text) => text.clone(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let wrong = |error: cicadabend::ids::IdError| CommandError::WrongOption {
        option: KEY,
        found: text.clone(),
        allowed: error.to_string(),
    };
    text.parse().map_err(wrong)
}
