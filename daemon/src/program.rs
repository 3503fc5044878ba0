//! What every program does before its own work: command line, settings, logs, signals.
//!
//! ```no_run
//! use cicadabend_daemon::{program, settings::EntrySettings};
//!
//! const PROGRAM: program::Program = program::Program {
//!     name: "cicadabend-entry",
//!     about: "Serves callers on one entry VM",
//!     version: env!("CARGO_PKG_VERSION"),
//! };
//!
//! fn main() -> std::process::ExitCode {
//!     program::run(&PROGRAM, |settings: EntrySettings, process| {
//!         // Start threads, give each `process.stop.clone()` and `process.metrics.clone()`,
//!         // join them, then return.
//!         Ok(())
//!     })
//! }
//! ```
//!
//! Exit codes: [`EXIT_OK`], [`EXIT_FAILED`], [`EXIT_USAGE`], [`EXIT_SETTINGS`].

use std::{
    error::Error,
    io,
    process::ExitCode, //
};

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};

use crate::{
    clock::Clock,
    daemon_events::LogEvent,
    logs,
    metrics::{
        self,
        MetricLoss,
        Metrics, //
    },
    settings::{
        self,
        DaemonSettings,
        MetricSettings,
        Settings, //
    },
    stop::{
        self,
        StopRequester,
        StopSignal, //
    },
};

/// The program did what it was asked, or stopped gracefully.
pub const EXIT_OK: u8 = 0;
/// The program failed while it ran; its last log line says why.
pub const EXIT_FAILED: u8 = 1;
/// The command line is wrong.
pub const EXIT_USAGE: u8 = 2;
/// The settings are wrong; all problems were printed.
pub const EXIT_SETTINGS: u8 = 3;

/// What differs between programs.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// The program's name.
    pub name: &'static str,
    /// One line on what it does.
    pub about: &'static str,
    /// Its version; `env!("CARGO_PKG_VERSION")`.
    pub version: &'static str,
}

/// What a running program has besides its settings.
pub struct Process {
    /// Tells when to stop.
    pub stop: StopSignal,
    /// Asks for a stop from inside, as a thread does that cannot go on.
    pub stop_requester: StopRequester,
    /// Counters and timers.
    pub metrics: Metrics,
    /// The monotonic clock.
    pub clock: Clock,
    /// The settings file, for those settings that may change while the process runs.
    pub settings_path: Option<std::path::PathBuf>,
}

/// Returns the command line that every daemon has.
pub fn command(program: &Program) -> Command {
    Command::new(program.name)
        .about(program.about)
        .version(program.version)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .help("The JSON file with this process's settings"),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print every problem, start nothing"),
        )
        .after_help(after_help(program.name))
}

fn after_help(name: &str) -> String {
    format!(
        "Example:\n  {name} --config /etc/cicadabend/{name}.json --check-config\n\n\
         SIGTERM or SIGINT stops gracefully; a second one changes nothing.\n\n\
         Exit codes:\n  \
         {EXIT_OK}  done, or stopped gracefully\n  \
         {EXIT_FAILED}  failed while running; the last log line says why\n  \
         {EXIT_USAGE}  wrong command line\n  \
         {EXIT_SETTINGS}  wrong settings; every problem is printed with its JSON path"
    )
}

/// Runs a program: reads the command line and settings, then calls `body`.
///
/// `body` returns when the program has stopped.
pub fn run<S, Body>(program: &Program, body: Body) -> ExitCode
where
    S: DaemonSettings,
    Body: FnOnce(S, Process) -> Result<(), Box<dyn Error>>,
{
    run_prepared(program, Ok, body)
}

/// Runs a program as [`run`] does, with a further check of the settings before it starts.
///
/// `prepare` reads what the settings name, such as a token file, and starts nothing;
/// `--check-config` calls it as well. What it returns goes to `body`.
pub fn run_prepared<S, P, Prepare, Body>(
    program: &Program,
    prepare: Prepare,
    body: Body,
) -> ExitCode
where
    S: DaemonSettings,
    Prepare: FnOnce(S) -> Result<P, Box<dyn Error>>,
    Body: FnOnce(P, Process) -> Result<(), Box<dyn Error>>,
{
    let code = match command(program).try_get_matches() {
        Ok(matches) => run_parsed(program, &matches, prepare, body),
        Err(error) => error.exit(),
    };
    ExitCode::from(code)
}

/// Runs a program as [`run_prepared`] does, on a parsed command line; returns the exit code.
pub fn run_parsed<S, P, Prepare, Body>(
    program: &Program,
    matches: &ArgMatches,
    prepare: Prepare,
    body: Body,
) -> u8
where
    S: DaemonSettings,
    Prepare: FnOnce(S) -> Result<P, Box<dyn Error>>,
    Body: FnOnce(P, Process) -> Result<(), Box<dyn Error>>,
{
    let checked = read_settings::<S>(matches).and_then(|settings| {
        let (logs, metrics) = (settings.logs().clone(), settings.metrics().clone());
        prepare(settings).map(|prepared| (prepared, logs, metrics))
    });
    let (prepared, logs, metrics) = match checked {
        Ok(checked) => checked,
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            return EXIT_SETTINGS;
        }
    };
    if matches.get_flag("check-config") {
        println!("{}: the settings are valid", program.name);
        return EXIT_OK;
    }
    if let Err(error) = logs::start(&logs) {
        eprintln!("{}: {error}", program.name);
        return EXIT_FAILED;
    }
    let outcome = start(program, &metrics).and_then(|mut process| {
        process.settings_path = matches.get_one::<String>("config").map(Into::into);
        let metrics = process.metrics.clone();
        let outcome = body(prepared, process);
        metrics.flush();
        outcome
    });
    let code = match outcome {
        Ok(()) => {
            LogEvent::Stopped {}.emit();
            EXIT_OK
        }
        Err(error) => {
            let reason = error.to_string();
            LogEvent::Failed { reason }.emit();
            EXIT_FAILED
        }
    };
    logs::flush();
    code
}

fn read_settings<S: Settings>(matches: &ArgMatches) -> Result<S, Box<dyn Error>> {
    let path = matches
        .get_one::<String>("config")
        .cloned()
        .unwrap_or_default();
    Ok(settings::load(&path)?)
}

fn start(program: &Program, settings: &MetricSettings) -> Result<Process, Box<dyn Error>> {
    let (stop_requester, stop) = stop::on_signals()?;
    let metrics = Metrics::start(program.name, settings)?;
    metrics.declare::<MetricLoss>();
    if let Some(address) = metrics::observe(settings.listen, metrics.clone())? {
        LogEvent::MetricsListening { address }.emit();
    }
    LogEvent::Started {
        program: program.name,
        version: program.version,
    }
    .emit();
    Ok(Process {
        stop,
        stop_requester,
        metrics,
        clock: Clock::start(),
        settings_path: None,
    })
}

/// Turns the end of a thread into an error for `body`.
///
/// # Errors
///
/// Returns an error that names the thread if it panicked.
pub fn join(handle: std::thread::JoinHandle<()>) -> io::Result<()> {
    let name = handle.thread().name().unwrap_or("unnamed").to_owned();
    handle
        .join()
        .map_err(|_| io::Error::other(format!("the thread {name} panicked")))
}
