//! One process of a deployment.

use std::{
    fs::{
        self,
        File, //
    },
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};

/// How often a process is asked whether it has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How many bytes of each log a failing test prints.
const LOG_TAIL_BYTES: usize = 4_000;

/// A started process; it is killed when dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    child: Child,
    log: PathBuf,
    was_killed: bool,
}

impl ManagedProcess {
    /// Starts a binary of this workspace; its output goes to a file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the missing build step if the binary is not built.
    pub fn start(
        name: &str,
        binary: &str,
        arguments: &[&str],
        log_folder: &Path,
    ) -> io::Result<Self> {
        let log = log_folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(binary_path(binary)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
            was_killed: false,
        })
    }

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the operating system's number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks for a graceful shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process where it stands (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Tells the process that its settings may have changed (SIGHUP).
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Returns whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        // An error means that its end was waited for before.
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        self.was_killed = true;
        // An error means that it has ended already, which is what was asked for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the test itself killed the process.
    pub fn was_killed(&self) -> bool {
        self.was_killed
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Returns an error with the tail of the log if it still runs at the deadline.
    pub fn wait_for_exit(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() > deadline {
                let message = format!("{} still runs:\n{}", self.name, self.log_tail());
                return Err(io::Error::new(io::ErrorKind::TimedOut, message));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns all that the process has written.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the last lines that the process has written.
    pub fn log_tail(&self) -> String {
        let log = self.log();
        let mut start = log.len().saturating_sub(LOG_TAIL_BYTES);
        while !log.is_char_boundary(start) {
            start += 1;
        }
        log.get(start..).unwrap_or_default().to_owned()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id().cast_signed()) {
            // An error means that the process has ended; the test notices that itself.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a binary of this workspace, in the profile the test was built in.
///
/// # Errors
///
/// Returns an error that names the missing build step if it is not there.
pub fn binary_path(binary: &str) -> io::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let folder = test
        .ancestors()
        .find(|folder| folder.join(binary).is_file())
        .ok_or_else(|| {
            let message = format!("{binary} is not built; run `cargo build --workspace` first");
            io::Error::new(io::ErrorKind::NotFound, message)
        })?;
    Ok(folder.join(binary))
}
