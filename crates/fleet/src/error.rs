//! Why a fleet could not do what was asked.

use std::path::PathBuf;

use crate::names::ProcessName;

/// Why a fleet could not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The topology file is wrong.
    #[error("topology {path}: {reason}")]
    Topology {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// No free range of loopback addresses was found.
    #[error("no free loopback address range found")]
    NoAddresses,
    /// All addresses of the range are used.
    #[error("the fleet's address range is used up")]
    RangeUsedUp,
    /// The programs could not be built.
    #[error("cannot build the programs: {0}")]
    Build(String),
    /// There is no such process.
    #[error("no process {0}")]
    NoProcess(ProcessName),
    /// A process ended by itself.
    #[error("{name} ended by itself ({status}); the end of its log:\n{log}")]
    Ended {
        /// Which.
        name: ProcessName,
        /// Its exit status.
        status: String,
        /// The last lines that it wrote.
        log: String,
    },
    /// Something did not come about in time.
    #[error("{what} within {seconds} s: {last}")]
    TimedOut {
        /// What was waited for.
        what: String,
        /// How long, in seconds.
        seconds: u64,
        /// What was seen last.
        last: String,
    },
    /// A node answered something else than expected.
    #[error("{0}")]
    Http(#[from] crate::http::HttpError),
    /// Files or processes failed.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// The system's words.
        source: std::io::Error,
    },
    /// Something else was not as it should be.
    #[error("{0}")]
    Unexpected(String),
}

impl FleetError {
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| Self::Io { what, source }
    }
}
