//! The command line and the options that all commands share.

use clap::{
    Arg,
    ArgMatches,
    Command,
    builder::PossibleValuesParser, //
};

use crate::{
    commands,
    output::Format, //
};

const AFTER_HELP: &str = "\
Example:
  cicadabend --config client.json apply intent.json --reason \"a fourth drafting group\"
  cicadabend --config client.json confirm 7
  cicadabend --config client.json watch

The file of --config holds the other options, so that they need not be repeated; \
`cicadabend init DIR` writes one.

Exit codes:
  0  done
  1  refused by the control daemons, or failed
  2  wrong command line
  3  wrong settings, intent or data folder; every problem is printed
  4  conflict: the plan no longer fits the current revision
  5  the operator token is missing or wrong
  6  no control daemon reached, or no majority; nothing was changed
  7  the outcome is not known; retry with the same idempotency key
  8  `watch` ended before the revision was in force and its groups served";

/// Returns the whole command line.
pub fn command() -> Command {
    Command::new("cicadabend")
        .about("Plans, confirms and watches changes of a cicadabend fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args([
            text("config", "FILE", "JSON file with these options"),
            text(
                "control",
                "ADDR[,ADDR…]",
                "Operators' addresses of control daemons",
            ),
            text("token-file", "FILE", "File that holds the operator token"),
            text("operator", "NAME", "Who you are, for the history"),
            text(
                "timeout-ms",
                "MS",
                "Time for retries, in milliseconds [default: 10000]",
            ),
            output_argument(),
        ])
        .subcommands(commands::all())
        .after_help(AFTER_HELP)
}

/// Returns the output format that the command line chose.
pub fn format(matches: &ArgMatches) -> Format {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Format::Json,
        _ => Format::Text,
    }
}

fn text(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .global(true)
        .help(help)
}

fn output_argument() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .global(true)
        .default_value("text")
        .value_parser(PossibleValuesParser::new(["text", "json"]))
        .help("Format of results and errors")
}
