//! `init DIR`: writes example settings and their documentation.

use std::{
    fs::{
        self,
        OpenOptions, //
    },
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{
        Path,
        PathBuf, //
    },
};

use cicadabend::fleet::FleetConfig;
use cicadabend_daemon::settings::{
    ControlSettings,
    EntrySettings,
    Settings, //
};
use clap::{
    Arg,
    ArgMatches,
    Command, //
};

use super::text_argument;
use crate::{
    error::CommandError,
    output::Output,
    settings::ClientSettings, //
};

pub(super) const NAME: &str = "init";
const DIR: &str = "DIR";
const REFERENCE: &str = include_str!("../../../docs/settings.md");
/// The mode of files with tokens, which only their owner may read.
const TOKEN_FILE_MODE: u32 = 0o600;
const FILE_MODE: u32 = 0o644;

pub(super) fn command() -> Command {
    Command::new(NAME)
        .about("Write example settings and their documentation")
        .arg(
            Arg::new(DIR)
                .required(true)
                .help("The folder to write into"),
        )
        .after_help("Example:\n  cicadabend init settings")
}

struct NewFile {
    name: &'static str,
    text: String,
    mode: u32,
}

pub(super) fn run(arguments: &ArgMatches, output: &mut Output<'_>) -> Result<(), CommandError> {
    let folder = PathBuf::from(text_argument(arguments, DIR));
    fs::create_dir_all(&folder).map_err(|source| file_error(&folder, source))?;
    let files = example_files();
    for file in &files {
        let path = folder.join(file.name);
        if path.exists() {
            return Err(CommandError::Exists {
                path: path.display().to_string(),
            });
        }
    }
    for file in &files {
        write(&folder.join(file.name), file)?;
    }
    let names: Vec<&str> = files.iter().map(|file| file.name).collect();
    output.result(&names, |names| {
        let lines = names.iter().map(|name| format!("wrote {name}\n"));
        lines.collect()
    });
    output.hint("settings.md explains each value; start the daemons in the new folder");
    Ok(())
}

fn example_files() -> Vec<NewFile> {
    let token = format!("{:032x}", rand::random::<u128>());
    let plain = |name, text: &str| NewFile {
        name,
        text: text.to_owned(),
        mode: FILE_MODE,
    };
    let secret = |name, text| NewFile {
        name,
        text,
        mode: TOKEN_FILE_MODE,
    };
    vec![
        plain("entry.json", EntrySettings::EXAMPLE),
        plain("control.json", ControlSettings::EXAMPLE),
        plain("client.json", ClientSettings::EXAMPLE),
        plain("intent.json", FleetConfig::EXAMPLE),
        plain("settings.md", REFERENCE),
        secret("operator_token.txt", format!("{token}\n")),
        secret("operator_tokens.txt", format!("operator-1 {token}\n")),
    ]
}

fn write(path: &Path, file: &NewFile) -> Result<(), CommandError> {
    let opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(file.mode)
        .open(path);
    opened
        .and_then(|mut opened| opened.write_all(file.text.as_bytes()))
        .map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: std::io::Error) -> CommandError {
    CommandError::File {
        path: path.display().to_string(),
        source,
    }
}
