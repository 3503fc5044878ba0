//! The connection to the control daemons, from options and the client settings file.

use std::{
    fs,
    time::Duration, //
};

use cicadabend::ids::Address;
use cicadabend_daemon::settings::{
    self,
    Problem,
    Settings, //
};
use clap::ArgMatches;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::error::CommandError;

const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// The settings in the file of `--config`; options on the command line override them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// The addresses at which control daemons listen for operators.
    pub control: Vec<Address>,
    /// The path of the file that contains the operator token.
    pub token_file: Option<String>,
    /// The operator's name, for the history.
    pub operator: Option<String>,
    /// The time for which requests are retried, in milliseconds.
    pub timeout_ms: Option<u64>,
}

impl Settings for ClientSettings {
    const EXAMPLE: &'static str = include_str!("example_client.json");

    fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        for (index, address) in self.control.iter().enumerate() {
            if address.port() == 0 {
                let path = format!("control[{index}]");
                problems.push(Problem::new(path, address, "an address with a port"));
            }
        }
        if self.timeout_ms == Some(0) {
            problems.push(Problem::new("timeout_ms", 0, "1 or more"));
        }
        problems
    }
}

/// The addresses, the token and the other values that a request to control daemons needs.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The addresses at which control daemons listen for operators; at least one.
    pub control: Vec<Address>,
    /// The operator token.
    pub token: String,
    /// The operator's name, for the history.
    pub operator: String,
    /// The time for which requests are retried.
    pub timeout: Duration,
}

/// Returns the connection from the command line and the settings file that it names.
///
/// # Errors
///
/// Returns an error that names the option or file that is missing or wrong.
pub fn connection(matches: &ArgMatches) -> Result<Connection, CommandError> {
    let settings = client_settings(matches)?;
    if settings.control.is_empty() {
        return Err(missing("control"));
    }
    let token_file = settings.token_file.ok_or(missing("token-file"))?;
    Ok(Connection {
        control: settings.control,
        token: read_token(&token_file)?,
        operator: settings.operator.ok_or(missing("operator"))?,
        timeout: Duration::from_millis(settings.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
    })
}

fn client_settings(matches: &ArgMatches) -> Result<ClientSettings, CommandError> {
    let mut settings = match option(matches, "config") {
        Some(path) => {
            settings::load(&path).map_err(|source| CommandError::Settings { path, source })?
        }
        None => ClientSettings::default(),
    };
    if let Some(list) = option(matches, "control") {
        settings.control = parse_addresses(&list)?;
    }
    if let Some(text) = option(matches, "timeout-ms") {
        settings.timeout_ms = Some(parse_timeout_ms(&text)?);
    }
    settings.token_file = option(matches, "token-file").or(settings.token_file);
    settings.operator = option(matches, "operator").or(settings.operator);
    Ok(settings)
}

fn option(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<String>(name).cloned()
}

fn missing(option: &'static str) -> CommandError {
    CommandError::MissingOption { option }
}

fn parse_addresses(list: &str) -> Result<Vec<Address>, CommandError> {
    let one = |text: &str| {
        text.trim().parse().map_err(|_| CommandError::WrongOption {
            option: "control",
            found: text.to_owned(),
            allowed: "use IP:PORT".to_owned(),
        })
    };
    list.split(',').map(one).collect()
}

fn parse_timeout_ms(text: &str) -> Result<u64, CommandError> {
    match text.parse() {
        Ok(timeout_ms) if timeout_ms > 0 => Ok(timeout_ms),
        _ => Err(CommandError::WrongOption {
            option: "timeout-ms",
            found: text.to_owned(),
            allowed: "use a whole number of 1 or more".to_owned(),
        }),
    }
}

fn read_token(path: &str) -> Result<String, CommandError> {
    let text = fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })?;
    match text.lines().next().map(str::trim) {
        Some(token) if !token.is_empty() => Ok(token.to_owned()),
        _ => Err(CommandError::NoToken {
            path: path.to_owned(),
        }),
    }
}
