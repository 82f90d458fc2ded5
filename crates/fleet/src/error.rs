//! Errors of fleet operations.

use std::path::PathBuf;

use crate::names::ProcessName;

/// Error of a fleet operation.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The topology file can't be read or is invalid.
    #[error("cannot load the topology {path}: {reason}")]
    Topology {
        /// Path of the file.
        path: PathBuf,
        /// Reason of the failure.
        reason: String,
    },
    /// No free range of loopback addresses was found.
    #[error("no free loopback address range found")]
    NoFreeRange,
    /// All addresses of the fleet's range have been assigned.
    #[error("all addresses of the fleet's loopback range are in use")]
    AddressesExhausted,
    /// The binaries are missing or could not be built.
    #[error("cannot build or find the binaries: {0}")]
    Build(String),
    /// The fleet has no process of this name.
    #[error("the fleet has no process {0}")]
    UnknownProcess(ProcessName),
    /// A process exited unexpectedly.
    #[error("{name} exited unexpectedly ({status}); last lines of its log:\n{log}")]
    ProcessExited {
        /// Name of the process.
        name: ProcessName,
        /// Exit code or signal.
        status: String,
        /// Last lines of its log.
        log: String,
    },
    /// A condition did not hold in time.
    #[error("timed out after {seconds} s waiting until {what}; last state: {last}")]
    TimedOut {
        /// The condition, as a statement such as "store:1 is ready".
        what: String,
        /// Timeout in seconds.
        seconds: u64,
        /// Result of the last check.
        last: String,
    },
    /// An HTTP request failed or returned an unexpected response.
    #[error("{0}")]
    Http(#[from] crate::http::HttpError),
    /// A file or process operation failed.
    #[error("{what}: {source}")]
    Io {
        /// Description of the failure.
        what: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Any other unexpected state or failure.
    #[error("{0}")]
    Unexpected(String),
}

impl FleetError {
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| Self::Io { what, source }
    }
}
