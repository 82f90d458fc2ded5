//! One child process: started, signalled and ended by its id alone.

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

/// How often the end of a process is looked for.
const POLL: Duration = Duration::from_millis(10);
/// Lines of a log shown in errors.
const LOG_LINES: usize = 20;

/// How a process is started, also again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Launch {
    pub program: PathBuf,
    pub arguments: Vec<OsString>,
    pub log: PathBuf,
}

impl Launch {
    fn command(&self) -> std::io::Result<Command> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let errors: File = log.try_clone()?;
        let mut command = Command::new(&self.program);
        command
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            // Ctrl-C goes to this program, which then ends the others in order.
            .process_group(0);
        Ok(command)
    }

    /// The last lines that the process wrote.
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

/// A process of the fleet. Dropping it kills it.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    ended: Option<ExitStatus>,
    pub frozen: bool,
}

impl Process {
    pub(crate) fn start(launch: &Launch) -> Result<Self, FleetError> {
        let what = || format!("cannot start {}", launch.program.display());
        let mut command = launch.command().map_err(FleetError::io(what()))?;
        let child = command.spawn().map_err(FleetError::io(what()))?;
        Ok(Self { child, ended: None, frozen: false })
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it has.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten();
        }
        self.ended
    }

    /// Kills it, as a loss of power would as far as the process is concerned.
    pub(crate) fn kill(&mut self) {
        if self.ended().is_none() {
            // It may end by itself in between; waiting settles both.
            let _ = self.child.kill();
            self.ended = self.child.wait().ok();
        }
    }

    /// Sends a signal, unless it has ended: its id may then belong to another process.
    pub(crate) fn signal(&mut self, signal: Signal) -> Result<(), FleetError> {
        if self.ended().is_some() {
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

/// How an exit status reads.
pub(crate) fn describe(status: ExitStatus) -> String {
    match (status.code(), status.signal()) {
        (Some(code), _) => format!("exit code {code}"),
        (None, Some(signal)) => format!("signal {signal}"),
        (None, None) => "unknown".to_owned(),
    }
}

/// Polls a condition until it holds or the time is over; tells whether it held.
pub(crate) async fn poll_until(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + time;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(POLL).await;
    }
}
