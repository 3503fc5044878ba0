//! A whole program: command line, settings, logs, metrics and stop signals.
//!
//! Each test starts this test program again as the program under test.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::{
    env, fs,
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::TcpStream,
    path::Path,
    process::{
        Child,
        ChildStderr,
        Command,
        Stdio, //
    },
    thread,
    time::Duration,
};

use cicadabend_daemon::{
    program::{
        self,
        Program, //
    },
    settings::{
        EntrySettings,
        Settings, //
    },
};
use serde_json::{
    Value,
    json, //
};
use tempfile::TempDir;

const PROGRAM: Program = Program {
    name: "tested-program",
    about: "Drains when it is told to",
    version: "1.2.3",
};

/// Holds the arguments of the program under test, one a line.
const ARGUMENTS: &str = "CICADABEND_TEST_ARGUMENTS";
/// A file that appears when the program may end its drain.
const DRAINED: &str = "drained";

/// Not a test by itself: the program under test, when another test starts it.
#[test]
fn child() {
    let Ok(arguments) = env::var(ARGUMENTS) else {
        return;
    };
    let matches = program::command(&PROGRAM).get_matches_from(arguments.lines());
    let folder = env::current_dir().unwrap();
    let code = program::run_parsed(&PROGRAM, &matches, Ok, |_: EntrySettings, mut process| {
        let runtime = tokio::runtime::Builder::new_current_thread().build()?;
        runtime.block_on(process.stop.requested());
        while !folder.join(DRAINED).exists() {
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    });
    std::process::exit(code.into());
}

fn settings_folder(change: impl FnOnce(&mut Value)) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let mut settings = serde_json::from_str(EntrySettings::EXAMPLE).unwrap();
    change(&mut settings);
    fs::write(folder.path().join("entry.json"), settings.to_string()).unwrap();
    folder
}

fn start(folder: &Path, arguments: &[&str]) -> Child {
    let mut all = vec!["tested-program"];
    all.extend(arguments);
    Command::new(env::current_exe().unwrap())
        .args(["child", "--exact", "--nocapture"])
        .env(ARGUMENTS, all.join("\n"))
        .current_dir(folder)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Returns standard output, standard error and the exit code.
fn finish(child: Child) -> (String, String, i32) {
    let output = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    let code = output.status.code().unwrap();
    (text(output.stdout), text(output.stderr), code)
}

fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let status = Command::new("kill").args([name, &id]).status().unwrap();
    assert!(status.success());
}

/// Reads log lines up to one with this code; the test's time limit ends a wait in vain.
fn line_with(lines: &mut BufReader<ChildStderr>, code: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(lines.read_line(&mut line).unwrap() > 0, "{code} never came");
        if line.contains(code) {
            return line;
        }
    }
}

#[test]
fn check_config_starts_nothing() {
    let folder = settings_folder(|_| {});

    let child = start(folder.path(), &["--config", "entry.json", "--check-config"]);

    let (stdout, stderr, code) = finish(child);
    assert!(
        stdout.contains("tested-program: the settings are valid\n"),
        "{stdout}"
    );
    assert_eq!((stderr.as_str(), code), ("", 0));
}

#[test]
fn wrong_settings_are_all_printed_with_their_own_exit_code() {
    let folder = settings_folder(|settings| {
        settings["callers"]["queue_capacity"] = json!(0);
        settings["peers"][1]["role"] = json!("observer");
    });

    let child = start(folder.path(), &["--config", "entry.json"]);

    let (_, stderr, code) = finish(child);
    assert_eq!(
        stderr,
        "tested-program: the settings have 2 problem(s):\n  \
         $.peers[1].role: found \"observer\"; allowed: unknown variant `observer`, expected \
         `entry` or `control`\n  \
         $.callers.queue_capacity: found 0; allowed: 1 or more\n"
    );
    assert_eq!(code, 3);
}

#[test]
fn a_missing_settings_file_is_named() {
    let folder = tempfile::tempdir().unwrap();

    let child = start(folder.path(), &["--config", "nowhere.json"]);

    let (_, stderr, code) = finish(child);
    assert!(
        stderr.starts_with("tested-program: cannot read the settings file nowhere.json: "),
        "{stderr}"
    );
    assert_eq!(code, 3);
}

#[test]
fn the_help_has_an_example_and_the_exit_codes() {
    let help = program::command(&PROGRAM).render_help().to_string();

    assert!(
        help.contains("Example:\n  tested-program --config"),
        "{help}"
    );
    assert!(help.contains("Exit codes:"), "{help}");
}

/// The operator stops a process twice. The first signal starts the drain; a second one
/// arrives while a request is still running. If it ended the process at once, that
/// request would be cut off, so it only leaves a line in the log.
#[test]
fn a_second_stop_signal_does_not_cut_the_drain_short() {
    let folder = settings_folder(|settings| settings["metrics"]["listen"] = Value::Null);
    let mut child = start(folder.path(), &["--config", "entry.json"]);
    let mut lines = BufReader::new(child.stderr.take().unwrap());
    line_with(&mut lines, "CB1001");

    signal(&child, "-TERM");
    line_with(&mut lines, "CB1002");
    signal(&child, "-INT");
    let repeated = line_with(&mut lines, "CB1003");
    let ended_early = child.try_wait().unwrap().is_some();
    fs::write(folder.path().join(DRAINED), "").unwrap();
    line_with(&mut lines, "CB1004");

    assert!(repeated.ends_with("already stopping; signal ignored signal=SIGINT\n"));
    assert!(!ended_early);
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn figures_are_served_as_json() {
    let folder = settings_folder(|settings| settings["metrics"]["listen"] = json!("127.0.0.1:0"));
    let mut child = start(folder.path(), &["--config", "entry.json"]);
    let mut lines = BufReader::new(child.stderr.take().unwrap());
    let line = line_with(&mut lines, "CB1006");
    let address = line.trim().rsplit_once("address=").unwrap().1;

    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();

    let body = answer.split_once("\r\n\r\n").unwrap().1;
    let figures: Value = serde_json::from_str(body).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(figures["counters"].is_object(), "{figures}");
    fs::write(folder.path().join(DRAINED), "").unwrap();
    signal(&child, "-TERM");
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
