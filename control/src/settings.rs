//! Reads the settings and the token file before anything starts.

use std::{
    fs,
    path::Path, //
};

use cicadabend_daemon::settings::ControlSettings;
use displaydoc::Display;
use thiserror::Error;

use crate::operators::tokens::{
    OperatorTokens,
    TokenError, //
};

/// Settings that passed every check.
pub(crate) struct LoadedSettings {
    /// The settings.
    pub(crate) control: ControlSettings,
    /// Who may act as an operator.
    pub(crate) tokens: OperatorTokens,
}

/// Why settings are refused.
#[derive(Debug, Display, Error)]
pub(crate) enum SettingsError {
    /// cannot read the settings: {0}
    Read(std::io::Error),
    /// the settings are not valid: {0}
    Parse(serde_json::Error),
    /// $.operators.token_file: {0}
    Tokens(TokenError),
}

/// Reads the settings of `path` and the token file that they name.
pub(crate) fn load(path: &Path) -> Result<LoadedSettings, SettingsError> {
    let text = fs::read_to_string(path).map_err(SettingsError::Read)?;
    let control: ControlSettings = serde_json::from_str(&text).map_err(SettingsError::Parse)?;
    let tokens = OperatorTokens::read(Path::new(&control.operators.token_file))
        .map_err(SettingsError::Tokens)?;
    Ok(LoadedSettings { control, tokens })
}
