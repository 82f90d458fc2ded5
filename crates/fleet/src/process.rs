//! A child process of the fleet. It is signalled and killed by its id only, never by name.

use std::ffi::OsString;
use std::fs::{File, OpenOptions};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::time::Instant;

use crate::FleetError;

/// Interval at which the exit of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of log lines included in errors.
const LOG_LINES: usize = 20;

/// Command line and log file of a process, reused for restarts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LaunchSpec {
    pub program: PathBuf,
    pub arguments: Vec<OsString>,
    pub log: PathBuf,
}

impl LaunchSpec {
    fn command(&self) -> std::io::Result<Command> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let errors: File = log.try_clone()?;
        let mut command = Command::new(&self.program);
        command
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            // In a process group of its own the child does not receive Ctrl-C; this program handles
            // the signal and kills its children.
            .process_group(0);
        Ok(command)
    }

    /// The last lines of the process's log.
    pub(crate) fn log_tail(&self) -> String {
        tail(&self.log, LOG_LINES)
    }
}

/// The last lines of a file.
pub(crate) fn tail(path: &Path, lines: usize) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let all: Vec<&str> = text.lines().collect();
    all[all.len().saturating_sub(lines)..].join("\n")
}

/// A child process. Dropping it kills it.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    exit_status: Option<ExitStatus>,
    pub frozen: bool,
}

impl Process {
    pub(crate) fn start(launch: &LaunchSpec) -> Result<Self, FleetError> {
        let context = || format!("cannot start {}", launch.program.display());
        let mut command = launch.command().map_err(FleetError::io(context()))?;
        let child = command.spawn().map_err(FleetError::io(context()))?;
        Ok(Self { child, exit_status: None, frozen: false })
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// The exit status, if the process has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        if self.exit_status.is_none() {
            self.exit_status = self.child.try_wait().ok().flatten();
        }
        self.exit_status
    }

    /// Kills the process and waits for it to exit.
    pub(crate) fn kill(&mut self) {
        if self.exit_status().is_none() {
            // The kill fails if the process exits in between; `wait` returns its status either way.
            let _ = self.child.kill();
            self.exit_status = self.child.wait().ok();
        }
    }

    /// Sends a signal, unless the process has exited: its id may then belong to another process.
    pub(crate) fn signal(&mut self, signal: Signal) -> Result<(), FleetError> {
        if self.exit_status().is_some() {
            return Ok(());
        }
        let id = i32::try_from(self.id()).map_err(|e| FleetError::Unexpected(e.to_string()))?;
        kill(Pid::from_raw(id), signal).map_err(|e| FleetError::Unexpected(e.to_string()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Formats an exit status as an exit code or signal.
pub(crate) fn describe_exit_status(status: ExitStatus) -> String {
    match (status.code(), status.signal()) {
        (Some(code), _) => format!("exit code {code}"),
        (None, Some(signal)) => format!("signal {signal}"),
        (None, None) => "unknown".to_owned(),
    }
}

/// Polls a condition until it holds or the timeout expires; returns whether it held.
pub(crate) async fn poll_until(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + time;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
