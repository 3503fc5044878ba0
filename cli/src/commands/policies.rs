//! `policies SERVICE`: shows statistics of routing policies, or requests a plan to change them.

use cicadabend::{
    fleet::{
        FleetConfig,
        RoutingArm,
        RoutingPolicy,
        Service, //
    },
    prelude::*,
};
use clap::{
    Arg,
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
use crate::{
    error::CommandError,
    render, //
};

pub(super) const NAME: &str = "policies";
const SERVICE: &str = "SERVICE";
const SET: &str = "set";

const POLICIES: [RoutingPolicy; 5] = [
    RoutingPolicy::RoundRobin,
    RoutingPolicy::LeastOutstanding,
    RoutingPolicy::PowerOfTwoChoices,
    RoutingPolicy::PrefixAffinity,
    RoutingPolicy::ExpectedLatency,
];

/// Returns the policy's name in intent files.
pub fn policy_name(policy: RoutingPolicy) -> &'static str {
    match policy {
        RoutingPolicy::RoundRobin => "round_robin",
        RoutingPolicy::LeastOutstanding => "least_outstanding",
        RoutingPolicy::PowerOfTwoChoices => "power_of_two_choices",
        RoutingPolicy::PrefixAffinity => "prefix_affinity",
        RoutingPolicy::ExpectedLatency => "expected_latency",
    }
}

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Compare a service's routing policies, or make a plan that swaps or splits them")
        .arg(Arg::new(SERVICE).required(true).help("The service's name"))
        .arg(
            Arg::new(SET)
                .long(SET)
                .value_name("POLICY=SHARE,…")
                .help("Make a plan with these policies; shares in percent, 100 in sum"),
        )
        .arg(reason_argument())
        .after_help(
            "Example:\n  cicadabend --config client.json policies drafting-llm \
             --set least_outstanding=50,expected_latency=50",
        )
}

pub(super) async fn run(
    arguments: &ArgMatches,
    context: &mut Context<'_, '_>,
) -> Result<(), CommandError> {
    let service: ServiceName = {
        let text = text_argument(arguments, SERVICE);
        let wrong = |error: cicadabend::ids::IdError| CommandError::WrongOption {
            option: SERVICE,
            found: text.to_owned(),
            allowed: error.to_string(),
        };
        text.parse().map_err(wrong)?
    };
    match arguments.get_one::<String>(SET) {
        None => show_statistics(&service, context).await,
        Some(list) => {
            let arms = parse_arms(list)?;
            let reason = text_argument(arguments, REASON);
            plan_arms(&service, arms, reason, context).await
        }
    }
}

async fn show_statistics(
    service: &ServiceName,
    context: &mut Context<'_, '_>,
) -> Result<(), CommandError> {
    let mut statistics = context.client.policies().await?;
    statistics.retain(|policy| policy.service == *service);
    context
        .output
        .result(&statistics, |statistics| render::policies(statistics));
    Ok(())
}

async fn plan_arms(
    service: &ServiceName,
    arms: Vec<RoutingArm>,
    reason: &str,
    context: &mut Context<'_, '_>,
) -> Result<(), CommandError> {
    let change = |config: &mut FleetConfig| {
        match config.services.get_mut(service) {
            Some(Service::Model(model)) => model.routing = arms.clone(),
            Some(Service::Plain(plain)) => plain.routing = arms.clone(),
            None => {
                return Err(CommandError::UnknownService {
                    service: service.clone(),
                });
            }
        }
        Ok(())
    };
    let plan = plan_change(context, reason, change).await?;
    show_plan(context.output, &plan);
    Ok(())
}

fn parse_arms(list: &str) -> Result<Vec<RoutingArm>, CommandError> {
    let arms: Vec<RoutingArm> = list
        .split(',')
        .map(|text| parse_arm(text.trim()))
        .collect::<Result<_, _>>()?;
    let sum: u32 = arms.iter().map(|arm| u32::from(arm.share_percent.0)).sum();
    match sum {
        100 => Ok(arms),
        _ => Err(wrong_arms(
            list,
            format!("the shares sum to {sum}, not 100"),
        )),
    }
}

fn parse_arm(text: &str) -> Result<RoutingArm, CommandError> {
    let wrong_form = || wrong_arms(text, "use POLICY=SHARE".to_owned());
    let (name, share) = text.split_once('=').ok_or_else(wrong_form)?;
    let policy = POLICIES
        .into_iter()
        .find(|policy| policy_name(*policy) == name)
        .ok_or_else(|| {
            let names = POLICIES.map(policy_name).join(", ");
            wrong_arms(text, format!("policies are {names}"))
        })?;
    Ok(RoutingArm {
        policy,
        share_percent: Percent(share.parse().map_err(|_| wrong_form())?),
    })
}

fn wrong_arms(found: &str, allowed: String) -> CommandError {
    CommandError::WrongOption {
        option: SET,
        found: found.to_owned(),
        allowed,
    }
}
